"""TLS configuration of the connections between daemons.

The connections are made by nng, a messaging library, through its Python binding pynng. PEM is the
text format of certificates and keys.
"""

from collections.abc import Mapping
from ssl import SSLContext
from typing import TYPE_CHECKING

from pynng import TLSConfig

if TYPE_CHECKING:
    # pydantic is loaded only by daemons whose settings name TLS files.
    from baobabstream.settings.tls import PeerTlsFiles

__all__ = ["PeerTls", "tls_url"]


def tls_url(url: str) -> str:
    """Return an nng TCP address with the scheme ``tls+tcp`` in place of ``tcp``.

    nng opens a TLS connection for this scheme.
    """
    # 1 is the number of replacements: only the scheme at the start.
    return url.replace("tcp://", "tls+tcp://", 1)


class PeerTls:
    """Creates the TLS configurations of one daemon's listener and client connections.

    Parameters
    ----------
    files
        Certificate and key of this daemon, and the certificate authority of all daemons, in PEM
        files.
    host_names
        By nng address of a daemon, such as ``tcp://10.0.0.1:7001``, the host name that its
        certificate must carry.
    """

    def __init__(self, files: "PeerTlsFiles", host_names: Mapping[str, str]) -> None:
        self._files = files
        self._host_names = host_names

    def server_context(self) -> SSLContext:
        """Return the context of a listener that requires a client certificate."""
        return self._files.server_context()

    def client(self, url: str) -> TLSConfig:
        """Return the configuration of a client connection to the daemon at an nng address.

        Both sides must show a certificate. ``url`` is a key of ``host_names``, with the scheme
        ``tcp``. An address that is no key raises ``KeyError``, since the host name to check is not
        known. ``OSError`` is raised if one of the files cannot be read.
        """
        return TLSConfig(
            TLSConfig.MODE_CLIENT,
            server_name=self._host_names[url],
            ca_string=self._files.ca_file.read_text(encoding="ascii"),
            own_cert_string=self._files.certificate_file.read_text(encoding="ascii"),
            own_key_string=self._files.key_file.read_text(encoding="ascii"),
            auth_mode=TLSConfig.AUTH_MODE_REQUIRED,
        )
