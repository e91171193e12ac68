"""Ways to open an HTTP connection to one server."""

from abc import ABC, abstractmethod

from baobabstream.backends.http_connection import HttpConnection

__all__ = ["Connector", "DirectConnector"]


class Connector(ABC):
    """Opens the connections of a pool."""

    @abstractmethod
    async def connect(self, timeout_s: float) -> HttpConnection:
        """Return a new connection to the server, which the caller closes.

        Raises
        ------
        ConnectFailed
            If the server cannot be reached within ``timeout_s`` seconds.
        """

    def may_reuse(self, connection: HttpConnection) -> bool:
        """Return whether an idle connection that was opened earlier may carry another request."""
        return True


class DirectConnector(Connector):
    """Opens connections from this host to the server itself.

    Parameters
    ----------
    address
        ``IP:PORT`` of the server.
    request_id_header
        Lower-case name of the header in which an answer repeats the identity of its request.
    """

    def __init__(self, address: str, request_id_header: str) -> None:
        ip, _, port = address.partition(":")
        self._ip, self._port = ip, int(port)
        self._request_id_header = request_id_header

    async def connect(self, timeout_s: float) -> HttpConnection:
        """Open a connection; see `Connector.connect`."""
        connection = HttpConnection(self._request_id_header)
        try:
            await connection.open(self._ip, self._port, timeout_s)
        except BaseException:
            connection.close()
            raise
        return connection
