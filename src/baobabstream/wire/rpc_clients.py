"""Clients of daemons whose addresses are learned on the way."""

from baobabstream.wire.codec import WireCodec
from baobabstream.wire.rpc import RpcClient

__all__ = ["RpcClients"]


class RpcClients:
    """One client for each address that was called.

    Parameters
    ----------
    codec
        Codec of the inner protocol.
    """

    def __init__(self, codec: WireCodec) -> None:
        self._codec = codec
        self._clients: dict[str, RpcClient] = {}

    def at(self, url: str) -> RpcClient:
        """Return the client of an address."""
        client = self._clients.get(url)
        if client is None:
            client = self._clients[url] = RpcClient(url, self._codec)
        return client

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()
