"""Request/reply client and server over pynng."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from msgspec import Struct
from pynng import Rep0, Req0
from pynng.exceptions import AddressInUse, NNGException

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, PeerError
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.codec import MAX_FRAME_BYTES, WireCodec
from baobabstream.wire.messages import ErrorReply

__all__ = ["Handler", "RpcClient", "RpcServer"]

Handler = Callable[[str, Any], Awaitable[Struct]]

DIAL_RETRY_MIN_MS = 50
DIAL_RETRY_MAX_MS = 500

_log = get_logger("wire")


class RpcClient:
    """Calls one peer over one request socket.

    A call that gets no reply in time closes the socket, and the next call dials anew. A
    connection that something between the hosts has silently dropped is therefore replaced.

    Parameters
    ----------
    url
        nng address of the peer, such as ``tcp://127.0.0.1:7001``.
    codec
        Codec of this cluster.
    """

    def __init__(self, url: str, codec: WireCodec) -> None:
        self.url = url
        self._codec = codec
        self._socket: Req0 | None = None

    async def call(self, message: Struct, timeout_s: float) -> Any:
        """Send a message and return the peer's reply.

        Raises
        ------
        PeerError
            ``PEER_TIMEOUT`` if no reply came within ``timeout_s``, or the code of the peer's
            ``ErrorReply``.
        """
        socket = self._open()
        try:
            frame = await self._exchange(socket, self._codec.encode(message), timeout_s)
        except TimeoutError as error:
            self._discard(socket)
            raise PeerError(ResultCode.PEER_TIMEOUT, f"no reply from {self.url}") from error
        except NNGException as error:
            self._discard(socket)
            raise PeerError(ResultCode.PEER_UNREACHABLE, f"{self.url}: {error}") from error
        _, reply = self._codec.decode(frame)
        if isinstance(reply, ErrorReply):
            refusal = PeerError(ResultCode(reply.code), reply.detail)
            refusal.leader = reply.leader
            raise refusal
        return reply

    @staticmethod
    async def _exchange(socket: Req0, frame: bytes, timeout_s: float) -> bytes:
        # The context is closed before the socket is discarded: closing it later raises Closed, as
        # does any use after another call discarded the socket.
        context = socket.new_context()
        try:
            async with asyncio.timeout(timeout_s):
                await context.asend(frame)
                return await context.arecv()
        finally:
            context.close()

    def close(self) -> None:
        """Close the socket."""
        if self._socket is not None:
            self._discard(self._socket)

    def _open(self) -> Req0:
        if self._socket is None:
            socket = Req0(
                recv_max_size=MAX_FRAME_BYTES,
                reconnect_time_min=DIAL_RETRY_MIN_MS,
                reconnect_time_max=DIAL_RETRY_MAX_MS,
                resend_time=-1,
            )
            socket.dial(self.url, block=False)
            self._socket = socket
        return self._socket

    def _discard(self, socket: Req0) -> None:
        if self._socket is socket:
            self._socket = None
        socket.close()


class RpcServer:
    """Answers peers; each worker serves one call at a time.

    Parameters
    ----------
    url
        nng address to listen on.
    codec
        Codec of this cluster.
    handler
        Coroutine function that gets sender and message and returns the reply.
    workers
        Number of calls served at once. Long polls hold a worker while they wait.
    """

    def __init__(self, url: str, codec: WireCodec, handler: Handler, workers: int = 64) -> None:
        self._codec = codec
        self._handler = handler
        self._socket = Rep0(recv_max_size=MAX_FRAME_BYTES)
        try:
            self._socket.listen(url)
        except AddressInUse as error:
            self._socket.close()
            raise BaobabstreamError(ResultCode.ADDRESS_IN_USE, url) from error
        self._closing = False
        self._tasks = [asyncio.create_task(self._serve()) for _ in range(workers)]

    async def close(self) -> None:
        """Stop serving and close the socket."""
        self._closing = True
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._socket.close()

    async def _serve(self) -> None:
        context = self._socket.new_context()
        try:
            # pynng can complete a cancelled call, which swallows the cancellation.
            while not self._closing:
                frame = await context.arecv()
                reply = await self._answer(frame)
                await context.asend(self._codec.encode(reply))
        except NNGException as error:
            _log.warning("Worker stops: %s.", error)
        finally:
            context.close()

    async def _answer(self, frame: bytes) -> Struct:
        try:
            sender, message = self._codec.decode(frame)
            return await self._handler(sender, message)
        except BaobabstreamError as error:
            leader = getattr(error, "leader", "")
            return ErrorReply(int(error.code), error.detail, leader)
        except Exception:
            _log.exception("Handler failed.")
            return ErrorReply(int(ResultCode.MESSAGE_MALFORMED), "the handler failed")
