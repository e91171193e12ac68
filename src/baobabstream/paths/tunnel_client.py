"""Opens HTTP connections to backend servers through other gateways."""

import asyncio
from collections.abc import Callable
from typing import Any

from baobabstream.backends.http_connection import ConnectFailed, HttpConnection
from baobabstream.errors.exceptions import PeerError
from baobabstream.paths.tunnel_frames import (
    FrameDecoder,
    FrameKind,
    InvalidFrame,
    decode_end,
    encode_header,
)
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.tunnel_messages import TunnelOutcome, TunnelReply, TunnelRequest

__all__ = ["TunnelRefused", "open_tunnel"]


class TunnelRefused(ConnectFailed):
    """Raised when the other gateway has not opened the tunnel; nothing was sent to the server.

    Attributes
    ----------
    outcome
        What it replied, or None if it could not be asked.
    """

    def __init__(self, detail: str, outcome: TunnelOutcome | None = None) -> None:
        super().__init__(detail)
        self.outcome = outcome


async def open_tunnel(
    gateway: str,
    request: TunnelRequest,
    connection: HttpConnection,
    codec: WireCodec,
    timeout_s: float,
    on_end: Callable[[], None],
) -> None:
    """Open a connection to a server through another gateway.

    Parameters
    ----------
    gateway
        ``IP:PORT`` at which the other gateway takes tunnels.
    request
        Server that is to be reached.
    connection
        Unused connection, which then sends to the server.
    codec
        Codec of the protocol between the daemons.
    timeout_s
        Limit in seconds on the whole.
    on_end
        Called at the end of the tunnel, if it was opened.

    Raises
    ------
    TunnelRefused
        If the other gateway cannot be asked in time, or does not open the tunnel.
    """
    ip, _, port = gateway.partition(":")
    protocol = _TunnelProtocol(connection, codec, on_end)
    try:
        async with asyncio.timeout(timeout_s):
            await asyncio.get_running_loop().create_connection(lambda: protocol, ip, int(port))
            outcome = await protocol.request(request)
    except (OSError, TimeoutError) as error:
        protocol.abort()
        raise TunnelRefused(f"gateway {gateway}: {error or 'no answer'}") from error
    except BaseException:
        protocol.abort()
        raise
    if outcome is not TunnelOutcome.OPEN:
        protocol.abort()
        raise TunnelRefused(f"gateway {gateway}: {outcome}", outcome)


class _TunnelProtocol(asyncio.Protocol):
    """Origin's end of a tunnel: takes the frames apart for an `HttpConnection`."""

    def __init__(
        self, connection: HttpConnection, codec: WireCodec, on_end: Callable[[], None]
    ) -> None:
        self._connection = connection
        self._codec = codec
        self._on_end = on_end
        self._decoder = FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._reply: asyncio.Future[TunnelOutcome] = asyncio.get_running_loop().create_future()
        # Whether the connection uses the tunnel and has not been told of its end.
        self._is_attached = False

    async def request(self, request: TunnelRequest) -> TunnelOutcome:
        """Ask for the tunnel and return the outcome; attaches the connection if it is open.

        Raises
        ------
        ConnectionError
            If the other gateway closes the connection, or replies with anything else.
        """
        assert self._transport is not None
        frame = self._codec.encode(request)
        self._transport.write(encode_header(FrameKind.REQUEST, len(frame)) + frame)
        return await self._reply

    def abort(self) -> None:
        """End the tunnel at once."""
        self._reply.cancel()
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport: Any) -> None:
        """Store the transport."""
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Handle the frames in received bytes."""
        try:
            for kind, payload in self._decoder.feed(data):
                self._handle_frame(kind, payload)
        except (InvalidFrame, PeerError) as error:
            self._end(ConnectionAbortedError(f"not a tunnel: {error}"))

    def connection_lost(self, error: Exception | None) -> None:
        """Report the end of the tunnel; without an end frame it counts as a reset."""
        self._end(error or ConnectionResetError("the tunnel ended"))

    def pause_writing(self) -> None:
        """Ignore that much is buffered; the connection sends one request at a time."""

    def resume_writing(self) -> None:
        """Ignore that less is buffered."""

    def _handle_frame(self, kind: FrameKind, payload: bytes) -> None:
        """Handle one frame.

        Raises
        ------
        InvalidFrame
            If a frame of this kind is not expected now.
        """
        if kind is FrameKind.DATA and self._is_attached:
            self._connection.data_received(payload)
        elif kind is FrameKind.END and self._is_attached:
            self._handle_server_end(decode_end(payload))
        elif kind is FrameKind.RETIRE:
            self._connection.retire()
        elif kind is FrameKind.REPLY and not self._reply.done():
            _, reply = self._codec.decode(payload)
            if not isinstance(reply, TunnelReply):
                raise InvalidFrame(f"{type(reply).__name__} in place of a reply")
            if reply.outcome is TunnelOutcome.OPEN:
                assert self._transport is not None
                self._is_attached = True
                self._connection.is_direct = False
                self._connection.connection_made(self._transport)
            self._reply.set_result(reply.outcome)
        else:
            raise InvalidFrame(f"unexpected kind {kind.name}")

    def _handle_server_end(self, delivered_bytes: int | None) -> None:
        """End the connection, unless its end is that of a body and the request is on its way.

        The other gateway reports again when more bytes have reached the server, or resets the
        tunnel if the server has reset its connection. ``delivered_bytes`` is None if the other
        gateway does not count them.
        """
        connection = self._connection
        is_delivered = delivered_bytes is None or delivered_bytes >= connection.sent_bytes
        if is_delivered or not connection.awaits_end:
            connection.eof_received()
            self._end(None)

    def _end(self, error: Exception | None) -> None:
        """Tell the connection, or the method that waits for the reply, that the tunnel has ended.

        ``error`` is None if the server closed its connection in order.
        """
        if self._is_attached:
            self._is_attached = False
            self._on_end()
            self._connection.connection_lost(error)
        elif not self._reply.done():
            self._reply.set_exception(error or ConnectionResetError("the tunnel ended"))
        self.abort()
