"""Server of the calls that other daemons make with nng's request sockets.

nng, the messaging library, gives no bound on what many connections hold, and takes the memory of a
message from its announced length on. This server therefore speaks the same protocol itself, the
REQ/REP protocol of the nanomsg family over TCP (RFCs sp-tcp-mapping-01 and sp-request-reply-01): a
header of 8 bytes from each side, then frames with their length in 8 bytes before them. A frame
begins with the identity of the call, which its reply repeats.

A peer is the daemon at the other end. A long poll is a call that the server answers only after a
change or a time limit.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast
from urllib.parse import urlsplit

from msgspec import Struct

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, PeerError
from baobabstream.ingress.bounded_tls import with_tls
from baobabstream.ingress.listening_socket import open_listening_socket
from baobabstream.resources.client_resources import (
    ClientConnection,
    ClientRefusal,
    ClientResources,
    ProcessResources,
)
from baobabstream.resources.process_limits import WRITE_BUFFER_BYTES, ProcessLimits
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.codec import MAX_FRAME_BYTES, WireCodec
from baobabstream.wire.messages import ErrorReply

__all__ = ["Handler", "RpcServer"]

# Gets the sender's host name and a decoded message, and returns the reply.
Handler = Callable[[str, Any], Awaitable[Struct]]

# First bytes that each side sends: "\0SP\0", the number of its protocol, and two bytes of zero.
REQUEST_HEADER, REPLY_HEADER = b"\0SP\0\0\x30\0\0", b"\0SP\0\0\x31\0\0"
LENGTH_BYTES = 8
# The identity of a call is a series of words of 4 bytes, one for each device on its way and then
# one with the highest bit set.
WORD_BYTES, LAST_WORD_BIT, MAX_WORDS = 4, 0x80, 8
# Memory of a call beside its frame, and the number of copies of a frame that are held at once.
CALL_BYTES, FRAME_COPIES = 8 * 1024, 2
# Connections of other daemons that may wait to be accepted.
BACKLOG = 64
# Longest time for the rest of a frame or header to arrive, and for a peer to read a reply.
TRANSFER_TIMEOUT_S = 15.0
# Least seconds between two log lines for refused frames with the same result code. A refused peer
# tries again several times a second.
REFUSAL_LOG_INTERVAL_S = 10.0

_log = get_logger("wire")


class RpcServer:
    """Listens for the calls of peers and answers them.

    Parameters
    ----------
    url
        nng address to listen on, such as ``tcp://127.0.0.1:7001``.
    codec
        Codec of the cluster, with the TLS configuration of the listener.
    handler
        Coroutine function that gets the sender's host name and the message, and returns the reply.
        A ``BaobabstreamError`` that it raises is sent to the peer as an ``ErrorReply``, any other
        exception as one with the code ``PEER_FAILED``.
    resources
        Resources for the connections and the calls, by default those of a small process.

    Raises
    ------
    BaobabstreamError
        ``ADDRESS_IN_USE`` if the address cannot be used.
    """

    def __init__(
        self,
        url: str,
        codec: WireCodec,
        handler: Handler,
        resources: ClientResources | None = None,
    ) -> None:
        self.codec = codec
        self.resources = resources or ProcessResources(ProcessLimits()).peers
        self._handler = handler
        # Time of the event loop at the last log line about a refused frame, by result code.
        self._last_logged_s: dict[ResultCode, float] = {}
        self._connections: set[_PeerConnection] = set()
        address = urlsplit(url)
        assert address.hostname is not None
        assert address.port is not None
        listener = open_listening_socket(address.hostname, address.port, BACKLOG)
        protocol_factory = with_tls(
            lambda: _PeerConnection(self),
            None if codec.tls is None else codec.tls.server_context(),
            self.resources,
        )
        loop = asyncio.get_running_loop()
        self._start_task = loop.create_task(
            loop.create_server(protocol_factory, sock=listener, backlog=BACKLOG)
        )

    async def close(self) -> None:
        """Cancel the calls that are being served and close all connections."""
        server = await self._start_task
        server.close()
        tasks = [task for connection in self._connections for task in connection.calls]
        for connection in list(self._connections):
            connection.abort()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def add(self, connection: "_PeerConnection") -> None:
        """Remember an open connection."""
        self._connections.add(connection)

    def remove(self, connection: "_PeerConnection") -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)

    def decode(self, frame: bytes) -> tuple[str, Any] | ErrorReply:
        """Return sender and message of a frame, or the reply to one that the codec refuses."""
        try:
            return self.codec.decode(frame)
        except PeerError as error:
            self._log_refusal(error)
            return ErrorReply(int(error.code), error.detail)

    async def answer(self, sender: str, message: Any) -> Struct:
        """Return the handler's reply to a message, or an ``ErrorReply`` if it raises an exception.

        For a call that only the leader can serve, the handler on another host raises a
        ``PeerError`` whose attribute ``leader`` is the leader's host name, if this host knows it.
        The error reply passes the name on, so that the caller can turn to the leader. Other
        exceptions do not have this attribute.
        """
        try:
            return await self._handler(sender, message)
        except BaobabstreamError as error:
            # Empty if the error names no leader.
            leader_host = getattr(error, "leader", "")
            return ErrorReply(int(error.code), error.detail, leader_host)
        except Exception:
            _log.exception("The handler of a peer's call failed.")
            return ErrorReply(int(ResultCode.PEER_FAILED), "the handler failed")

    def encode(self, reply: Struct) -> bytes:
        """Return the frame of a reply, or of an ``ErrorReply`` if it cannot be encoded.

        That is the case for text with undecoded bytes, and for integers over 64 bits.
        """
        try:
            return self.codec.encode(reply)
        except (ValueError, OverflowError, TypeError):
            _log.exception("A reply to a peer cannot be encoded.")
            return self.codec.encode(
                ErrorReply(int(ResultCode.PEER_FAILED), "the reply cannot be encoded")
            )

    def _log_refusal(self, error: PeerError) -> None:
        """Log why a frame was refused, at most once per result code and interval."""
        # The default of minus infinity lets the first refusal with a code be logged.
        now_s = asyncio.get_running_loop().time()
        if now_s - self._last_logged_s.get(error.code, float("-inf")) >= REFUSAL_LOG_INTERVAL_S:
            self._last_logged_s[error.code] = now_s
            _log.warning("Refused a peer's frame: %s.", error)


class _PeerConnection(asyncio.Protocol):
    """Connection of one peer.

    Attributes
    ----------
    calls
        Calls that are being served.
    """

    def __init__(self, server: RpcServer) -> None:
        self.calls: set[asyncio.Task[None]] = set()
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._client: ClientConnection | None = None
        self._received = bytearray()
        self._has_header = False
        # Length of the frame that is arriving; None before its length is known.
        self._frame_bytes: int | None = None
        self._arrival_timer: asyncio.TimerHandle | None = None
        # Set while the peer reads the replies.
        self._may_write = asyncio.Event()
        self._may_write.set()

    # Methods of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the header, or close the connection if there is no room for it."""
        self._transport = cast(asyncio.Transport, transport)
        self._client = self._server.resources.admit(self.abort)
        if self._client is None:
            self.abort()
            return
        self._server.add(self)
        self._transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._transport.write(REPLY_HEADER)
        self._watch_arrival()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the calls, whose replies nobody would get, and give back what they held."""
        if self._client is None:
            return
        self._server.remove(self)
        self._may_write.set()
        if self._arrival_timer is not None:
            self._arrival_timer.cancel()
        self._client.release()
        self._received.clear()

    def data_received(self, data: bytes) -> None:
        """Begin to serve the calls that have arrived as a whole."""
        if self._client is None or self._is_closing():
            return
        self._received += data
        try:
            while self._take_header() and (frame := self._take_frame()) is not None:
                self._begin_call(frame)
        except _InvalidBytes as error:
            _log.debug("The connection of a peer ends: %s.", error)
            self.abort()
            return
        self._watch_arrival()

    def pause_writing(self) -> None:
        """Take no more calls until the peer reads the replies to earlier ones."""
        assert self._transport is not None
        assert self._client is not None
        self._may_write.clear()
        self._transport.pause_reading()
        self._client.set_reading(False, TRANSFER_TIMEOUT_S)

    def resume_writing(self) -> None:
        """Take calls again."""
        assert self._transport is not None
        assert self._client is not None
        self._may_write.set()
        self._client.set_reading(True)
        if not self._transport.is_closing():
            self._transport.resume_reading()

    # Reading of calls

    def _take_header(self) -> bool:
        """Return whether the header of the peer has been read.

        Raises ``_InvalidBytes`` if it is not that of a request socket.
        """
        if not self._has_header and len(self._received) >= len(REQUEST_HEADER):
            if not self._received.startswith(REQUEST_HEADER):
                raise _InvalidBytes("it does not begin as a request socket's")
            del self._received[: len(REQUEST_HEADER)]
            self._has_header = True
        return self._has_header

    def _take_frame(self) -> bytes | None:
        """Return the next frame if it has arrived as a whole.

        Raises
        ------
        _InvalidBytes
            If the frame is over the limit, or there is no memory for it.
        """
        assert self._client is not None
        if self._frame_bytes is None:
            if len(self._received) < LENGTH_BYTES:
                return None
            length = int.from_bytes(self._received[:LENGTH_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                raise _InvalidBytes(f"a frame of {length} bytes")
            if not self._client.memory.try_acquire(length * FRAME_COPIES + CALL_BYTES):
                self._client.record_refusal(ClientRefusal.NO_MEMORY)
                raise _InvalidBytes(f"no memory for a frame of {length} bytes")
            del self._received[:LENGTH_BYTES]
            self._frame_bytes = length
        if len(self._received) < self._frame_bytes:
            return None
        frame = bytes(self._received[: self._frame_bytes])
        del self._received[: self._frame_bytes]
        self._frame_bytes = None
        return frame

    def _begin_call(self, frame: bytes) -> None:
        """Serve the call of a frame in a task of its own."""
        identity_bytes = _identity_bytes(frame)
        task = self._loop.create_task(
            self._serve(frame[:identity_bytes], frame[identity_bytes:], len(frame))
        )
        self.calls.add(task)
        task.add_done_callback(self._end_call)

    def _end_call(self, task: asyncio.Task[None]) -> None:
        """Forget a call; without others the connection waits for the next one."""
        assert self._client is not None
        self.calls.discard(task)
        if not self.calls:
            self._client.end_service()
        if not task.cancelled() and task.exception() is not None:
            _log.error("A peer's call failed.", exc_info=task.exception())

    async def _serve(self, identity: bytes, frame: bytes, frame_bytes: int) -> None:
        """Answer one call, and give back its memory once the peer has read the reply."""
        assert self._client is not None
        assert self._transport is not None
        held_bytes = frame_bytes * FRAME_COPIES + CALL_BYTES
        try:
            decoded = self._server.decode(frame)
            if isinstance(decoded, ErrorReply):
                reply: Struct = decoded
            else:
                self._client.begin_service()
                reply = await self._server.answer(*decoded)
            reply_frame = self._server.encode(reply)
            if self._is_closing():
                return
            if not self._client.memory.try_acquire(len(reply_frame)):
                self._client.evict(ClientRefusal.NO_MEMORY)
                return
            held_bytes += len(reply_frame)
            length = len(identity) + len(reply_frame)
            self._transport.write(length.to_bytes(LENGTH_BYTES, "big") + identity + reply_frame)
            await self._may_write.wait()
        finally:
            self._client.memory.release(held_bytes)

    def _watch_arrival(self) -> None:
        """Limit the time until the header, or the frame that is arriving, is whole."""
        if self._arrival_timer is not None:
            self._arrival_timer.cancel()
            self._arrival_timer = None
        if not self._has_header or self._received or self._frame_bytes is not None:
            self._arrival_timer = self._loop.call_later(TRANSFER_TIMEOUT_S, self.abort)

    def _is_closing(self) -> bool:
        """Return whether the connection is ending."""
        return self._transport is None or self._transport.is_closing()

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()


class _InvalidBytes(ValueError):
    """Raised when a peer sends what cannot be served."""


def _identity_bytes(frame: bytes) -> int:
    """Return the length of the identity that a frame begins with.

    Raises
    ------
    _InvalidBytes
        If the frame has none.
    """
    ends = range(WORD_BYTES, min(len(frame), MAX_WORDS * WORD_BYTES) + 1, WORD_BYTES)
    for end in ends:
        if frame[end - WORD_BYTES] & LAST_WORD_BIT:
            return end
    raise _InvalidBytes("a frame without the identity of a call")
