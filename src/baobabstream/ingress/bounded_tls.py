"""Server side of TLS on a connection that counts as a client's from its first byte on."""

import asyncio
from asyncio.sslproto import SSLProtocol
from collections.abc import Callable
from ssl import SSLContext
from typing import cast

from baobabstream.resources.client_resources import ClientConnection, ClientResources
from baobabstream.resources.process_limits import RECEIVE_BUFFER_BYTES, WRITE_BUFFER_BYTES

__all__ = ["HANDSHAKE_TIMEOUT_S", "BoundedTlsProtocol", "with_tls"]

# Time for the handshake of a connection.
HANDSHAKE_TIMEOUT_S = 10


class BoundedTlsProtocol(SSLProtocol):
    """Protocol of a TCP connection that carries the connection of another protocol in TLS.

    The other protocol sees its connection once the handshake has ended, and admits it then by
    itself. Until then the connection is admitted here.

    Parameters
    ----------
    app_protocol
        Protocol inside TLS.
    context
        Context of the listener.
    resources
        Resources for the clients, or the peers, of the process.

    Notes
    -----
    asyncio has no public way to bound its buffers, which take 512 KiB, and to see a connection
    before its handshake has ended. This relies on the attribute ``max_size`` of asyncio's protocol
    and its methods ``_on_handshake_complete`` and ``_set_read_buffer_limits``.
    """

    max_size = RECEIVE_BUFFER_BYTES

    def __init__(
        self,
        app_protocol: asyncio.BaseProtocol,
        context: SSLContext,
        resources: ClientResources,
    ) -> None:
        super().__init__(
            asyncio.get_running_loop(),
            app_protocol,
            context,
            None,  # type: ignore[arg-type]  # Nobody waits for the handshake.
            server_side=True,
            ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S,
        )
        self._set_read_buffer_limits(high=RECEIVE_BUFFER_BYTES)  # type: ignore[attr-defined]
        self._resources = resources
        self._handshake: ClientConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin the handshake, or close the connection if the process has no room for it."""
        tcp_transport = cast(asyncio.Transport, transport)
        self._handshake = self._resources.admit(tcp_transport.abort)
        if self._handshake is None:
            tcp_transport.abort()
            return
        tcp_transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the handshake held."""
        if self._handshake is not None:
            self._handshake.release()
        super().connection_lost(exc)

    def _on_handshake_complete(self, handshake_exc: BaseException | None) -> None:
        """Leave the room of the connection to the protocol inside, or close a failed one."""
        if self._handshake is not None:
            self._handshake.release()
        super()._on_handshake_complete(handshake_exc)


def with_tls(
    protocol_factory: Callable[[], asyncio.BaseProtocol],
    context: SSLContext | None,
    resources: ClientResources,
) -> Callable[[], asyncio.BaseProtocol]:
    """Return a protocol factory whose connections use TLS, or the same without a context.

    The other parameters are those of `BoundedTlsProtocol`.
    """
    if context is None:
        return protocol_factory
    return lambda: BoundedTlsProtocol(protocol_factory(), context, resources)
