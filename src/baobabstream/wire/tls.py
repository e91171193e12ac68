"""TLS of the connections between daemons."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from pynng import TLSConfig

if TYPE_CHECKING:
    # pydantic is loaded only by daemons whose settings name TLS files.
    from baobabstream.settings.tls import PeerTlsFiles

__all__ = ["PeerTls", "tls_url"]


def tls_url(url: str) -> str:
    """Return the TLS form of an nng TCP address."""
    return url.replace("tcp://", "tls+tcp://", 1)


class PeerTls:
    """TLS configurations of one daemon.

    Parameters
    ----------
    files
        Certificate of this daemon and the authority of all daemons' certificates.
    names
        Host name in the certificate of the daemon at each nng address.
    """

    def __init__(self, files: "PeerTlsFiles", names: Mapping[str, str]) -> None:
        self._files = files
        self._names = names

    def server(self) -> TLSConfig:
        """Return the configuration of a listener that demands a client certificate."""
        return self._config(TLSConfig.MODE_SERVER, None)

    def client(self, url: str) -> TLSConfig:
        """Return the configuration of a connection to the daemon at an address."""
        return self._config(TLSConfig.MODE_CLIENT, self._names[url])

    def _config(self, mode: int, server_name: str | None) -> TLSConfig:
        return TLSConfig(
            mode,
            server_name=server_name,
            ca_string=self._files.ca_file.read_text(encoding="ascii"),
            own_cert_string=self._files.certificate_file.read_text(encoding="ascii"),
            own_key_string=self._files.key_file.read_text(encoding="ascii"),
            auth_mode=TLSConfig.AUTH_MODE_REQUIRED,
        )
