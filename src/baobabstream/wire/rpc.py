"""Request/reply client and server over pynng."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from typing import Any, TypeVar

from msgspec import Struct
from pynng import Rep0, Req0
from pynng.exceptions import AddressInUse, NNGException

from baobabstream.errors.codes import CODE_TABLE, ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, PeerError
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.codec import MAX_FRAME_BYTES, WireCodec
from baobabstream.wire.messages import ErrorReply
from baobabstream.wire.tls import tls_url

__all__ = ["Handler", "RpcClient", "RpcServer", "finish"]

ResultT = TypeVar("ResultT")
Handler = Callable[[str, Any], Awaitable[Struct]]

DIAL_RETRY_MIN_MS = 50
DIAL_RETRY_MAX_MS = 500

# Workers that wait for a call. A long poll of each of 330 entry hosts holds a worker, so the
# number of workers follows the calls, and votes, claims and bills always find a free one. The two
# bounds lie apart, so that steady load does not start and end a worker with each call.
MIN_IDLE_WORKERS = 8
MAX_IDLE_WORKERS = 32
MAX_WORKERS = 4096

# An operation that is cancelled ends within a turn of the event loop, unless nng ignores it.
CANCEL_GRACE_S = 0.2

# A refused peer tries again several times a second; one log line for each code is enough.
REFUSAL_LOG_INTERVAL_S = 10.0

_log = get_logger("wire")


async def finish(operation: Awaitable[ResultT]) -> ResultT:
    """Await a pynng operation and raise a cancellation that it swallowed.

    pynng drops a cancellation that meets the completion of the operation. Without this a time
    limit that ends during the send would leave the receive without one.
    """
    task = asyncio.current_task()
    assert task is not None
    requests = task.cancelling()
    try:
        result = await operation
    except NNGException as error:
        if task.cancelling() > requests:
            raise asyncio.CancelledError from error
        raise
    if task.cancelling() > requests:
        raise asyncio.CancelledError
    return result


class RpcClient:
    """Calls one peer over one request socket.

    A call that gets no reply in time closes the socket, and the next call dials anew. A
    connection that something between the hosts has silently dropped is therefore replaced.

    Parameters
    ----------
    url
        nng address of the peer, such as ``tcp://127.0.0.1:7001``.
    codec
        Codec of this cluster, with the TLS of the connection.
    """

    def __init__(self, url: str, codec: WireCodec) -> None:
        self.url = url if codec.tls is None else tls_url(url)
        self._codec = codec
        self._tls = None if codec.tls is None else codec.tls.client(url)
        self._socket: Req0 | None = None

    async def call(self, message: Struct, timeout_s: float) -> Any:
        """Send a message and return the peer's reply.

        Raises
        ------
        PeerError
            ``PEER_UNREACHABLE`` if the message was certainly not sent, ``PEER_TIMEOUT`` if it may
            have been and no reply came within ``timeout_s``, or the code of the peer's
            ``ErrorReply``.
        """
        sent = False
        try:
            socket = self._open()
        except NNGException as error:
            raise PeerError(ResultCode.PEER_UNREACHABLE, f"{self.url}: {error}") from error
        try:
            with _request_context(socket, timeout_s) as context:
                async with asyncio.timeout(timeout_s):
                    await finish(context.asend(self._codec.encode(message)))
                    sent = True
                    frame = await finish(context.arecv())
        except TimeoutError as error:
            self._discard(socket)
            raise PeerError(ResultCode.PEER_TIMEOUT, f"no reply from {self.url}") from error
        except NNGException as error:
            self._discard(socket)
            code = ResultCode.PEER_TIMEOUT if sent else ResultCode.PEER_UNREACHABLE
            raise PeerError(code, f"{self.url}: {error}") from error
        _, reply = self._codec.decode(frame)
        if isinstance(reply, ErrorReply):
            raise _refusal(reply)
        return reply

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
                tls_config=self._tls,
            )
            self._socket = socket
            socket.dial(self.url, block=False)
        return self._socket

    def _discard(self, socket: Req0) -> None:
        if self._socket is socket:
            self._socket = None
        socket.close()


def _refusal(reply: ErrorReply) -> PeerError:
    """Return the error of a reply; a newer peer may send a code that is not known here."""
    known = reply.code in CODE_TABLE
    code = ResultCode(reply.code) if known else ResultCode.PEER_FAILED
    refusal = PeerError(code, reply.detail if known else f"code {reply.code}: {reply.detail}")
    refusal.leader = reply.leader
    return refusal


@contextmanager
def _request_context(socket: Req0, timeout_s: float) -> Iterator[Any]:
    """Open a context and close it, even if another call has closed the socket meanwhile.

    nng at times ignores the cancellation of an operation, and pynng then waits for its end. The
    context is therefore closed by a timer too, which ends what is under way there.
    """
    context = socket.new_context()
    loop = asyncio.get_running_loop()
    guard = loop.call_later(timeout_s + CANCEL_GRACE_S, _close_context, context)
    try:
        yield context
    finally:
        guard.cancel()
        _close_context(context)


def _close_context(context: Any) -> None:
    with suppress(NNGException):
        context.close()


class RpcServer:
    """Answers peers; each worker serves one call at a time, and workers are added on demand.

    Parameters
    ----------
    url
        nng address to listen on.
    codec
        Codec of this cluster, with the TLS of the listener.
    handler
        Coroutine function that gets sender and message and returns the reply.
    workers
        Most calls served at once. Long polls hold a worker while they wait.
    """

    def __init__(
        self, url: str, codec: WireCodec, handler: Handler, workers: int = MAX_WORKERS
    ) -> None:
        self._codec = codec
        self._handler = handler
        self._max_workers = workers
        self._idle = 0
        self._logged_s: dict[ResultCode, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        tls = codec.tls
        self._socket = Rep0(
            recv_max_size=MAX_FRAME_BYTES, tls_config=None if tls is None else tls.server()
        )
        try:
            self._socket.listen(url if tls is None else tls_url(url))
        except AddressInUse as error:
            self._socket.close()
            raise BaobabstreamError(ResultCode.ADDRESS_IN_USE, url) from error
        self._add_workers()

    async def close(self) -> None:
        """Stop serving and close the socket."""
        for task in (tasks := list(self._tasks)):
            task.cancel()
        if tasks:
            # Workers whose cancellation nng ignores end when the socket is closed under them.
            await asyncio.wait(tasks, timeout=CANCEL_GRACE_S)
        self._socket.close()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _add_workers(self) -> None:
        while self._idle < MIN_IDLE_WORKERS and len(self._tasks) < self._max_workers:
            self._idle += 1
            task = asyncio.create_task(self._serve())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self) -> None:
        context = self._socket.new_context()
        idle = True
        try:
            while self._idle <= MAX_IDLE_WORKERS:
                frame = await finish(context.arecv())
                self._idle -= 1
                idle = False
                self._add_workers()
                reply = await self._answer(frame)
                await finish(context.asend(self._codec.encode(reply)))
                self._idle += 1
                idle = True
        except NNGException as error:
            _log.warning("Worker stops: %s.", error)
        finally:
            self._idle -= idle
            with suppress(NNGException):
                context.close()

    async def _answer(self, frame: bytes) -> Struct:
        try:
            sender, message = self._codec.decode(frame)
        except PeerError as error:
            self._log_refusal(error)
            return ErrorReply(int(error.code), error.detail)
        try:
            return await self._handler(sender, message)
        except BaobabstreamError as error:
            leader = getattr(error, "leader", "")
            return ErrorReply(int(error.code), error.detail, leader)
        except Exception:
            _log.exception("The handler of a call failed.")
            return ErrorReply(int(ResultCode.PEER_FAILED), "the handler failed")

    def _log_refusal(self, error: PeerError) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._logged_s.get(error.code, float("-inf")) >= REFUSAL_LOG_INTERVAL_S:
            self._logged_s[error.code] = now_s
            _log.warning("Refused a peer's frame: %s.", error)
