"""Cache of RPC clients for daemons whose addresses become known at run time.

An RPC client sends requests to one daemon over one connection and returns its replies.
nng is the messaging library of the connections.
"""

from baobabstream.wire.codec import WireCodec
from baobabstream.wire.rpc import RpcClient

__all__ = ["RpcClients"]


class RpcClients:
    """Keeps one client for each address, created at its first use.

    Parameters
    ----------
    codec
        Encodes and decodes the messages of all clients.
    """

    def __init__(self, codec: WireCodec) -> None:
        self._codec = codec
        self._client_by_url: dict[str, RpcClient] = {}

    def client_for(self, url: str) -> RpcClient:
        """Return the client for an nng address, such as ``tcp://10.0.0.1:7340``."""
        client = self._client_by_url.get(url)
        if client is None:
            client = self._client_by_url[url] = RpcClient(url, self._codec)
        return client

    def close(self) -> None:
        """Close the connections of all clients; their open calls fail."""
        for client in self._client_by_url.values():
            client.close()
