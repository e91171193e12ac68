"""TLS configuration of the connections between daemons."""

from pynng import TLSConfig

from baobabstream.settings.tls import PeerTlsFiles

__all__ = ["client_tls", "server_tls", "tls_url"]


def tls_url(url: str) -> str:
    """Return the TLS form of an nng TCP address."""
    return url.replace("tcp://", "tls+tcp://", 1)


def server_tls(files: PeerTlsFiles) -> TLSConfig:
    """Return the configuration of a listener that demands a client certificate."""
    return _config(files, TLSConfig.MODE_SERVER)


def client_tls(files: PeerTlsFiles, server_name: str) -> TLSConfig:
    """Return the configuration of a connection to the host named ``server_name``."""
    return _config(files, TLSConfig.MODE_CLIENT, server_name)


def _config(files: PeerTlsFiles, mode: int, server_name: str | None = None) -> TLSConfig:
    return TLSConfig(
        mode,
        server_name=server_name,
        ca_string=files.ca_file.read_text(encoding="ascii"),
        own_cert_string=files.certificate_file.read_text(encoding="ascii"),
        own_key_string=files.key_file.read_text(encoding="ascii"),
        auth_mode=TLSConfig.AUTH_MODE_REQUIRED,
    )
