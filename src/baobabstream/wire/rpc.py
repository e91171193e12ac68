"""Request/reply client and server between daemons, over pynng.

pynng is the Python binding of nng, a messaging library. A message is encoded by ``WireCodec`` into
one frame. nng runs each request in a context, so that one socket carries many calls at a time.

A peer is the daemon at the other end. A long poll is a call that the server answers only after a
change or a time limit. Daemons that replicate a log elect one of them as leader. Entry daemons,
one on each entry host, handle callers' requests.
"""

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

__all__ = ["Handler", "RpcClient", "RpcServer", "await_operation"]

ResultT = TypeVar("ResultT")
# Gets the sender's host name and a decoded message, and returns the reply.
Handler = Callable[[str, Any], Awaitable[Struct]]

# Bounds of the time between two attempts to connect to a peer.
DIAL_RETRY_MIN_MS = 50
DIAL_RETRY_MAX_MS = 500

# Bounds of the number of workers that wait for a call. With 330 entry hosts, 330 workers of the
# leader are each occupied by the long poll of one host. The number of workers therefore grows with
# the open calls, so that short calls (votes, claims on requests, bills) always find an idle worker.
# The bounds lie apart, so that steady load does not start and end a worker with each call.
MIN_IDLE_WORKERS = 8
MAX_IDLE_WORKERS = 32
# Default limit of the workers of one server, which is the number of calls served at once.
MAX_WORKERS = 4096

# Seconds for a cancelled operation to end before its context or socket is closed. A cancellation
# takes effect within one iteration of the event loop, unless nng ignores it.
CANCEL_GRACE_S = 0.2

# Least seconds between two log lines for refused frames with the same result code. A refused peer
# tries again several times a second.
REFUSAL_LOG_INTERVAL_S = 10.0

_log = get_logger("wire")


async def await_operation(operation: Awaitable[ResultT]) -> ResultT:
    """Await a pynng operation and raise ``CancelledError`` if pynng dropped a cancellation.

    pynng drops a cancellation that arrives at the same moment as the end of the operation. If a
    time limit that expires at the end of the send were lost, the receive would have no limit.
    """
    task = asyncio.current_task()
    assert task is not None
    # Number of cancellations that were requested of this task before the operation.
    cancellations_before = task.cancelling()
    try:
        result = await operation
    except NNGException as error:
        if task.cancelling() > cancellations_before:
            raise asyncio.CancelledError from error
        raise
    if task.cancelling() > cancellations_before:
        raise asyncio.CancelledError
    return result


class RpcClient:
    """Calls one peer over one request socket.

    A call without a reply in time closes the socket, and the next call opens a new connection.
    This replaces connections that the network has dropped without notice. Closing the socket also
    ends the other calls that are open on it.

    Parameters
    ----------
    url
        nng address of the peer, such as ``tcp://127.0.0.1:7001``.
    codec
        Codec of the cluster, with the TLS configuration of the connection.
    """

    def __init__(self, url: str, codec: WireCodec) -> None:
        self.url = url if codec.tls is None else tls_url(url)
        self._codec = codec
        self._tls = None if codec.tls is None else codec.tls.client(url)
        self._socket: Req0 | None = None

    async def call(self, message: Struct, timeout_s: float) -> Any:
        """Send a message and return the peer's decoded reply.

        Parameters
        ----------
        message
            One of the request messages.
        timeout_s
            Time limit in seconds on the whole call, including the connection.

        Raises
        ------
        PeerError
            ``PEER_UNREACHABLE`` if the message was certainly not sent, ``PEER_TIMEOUT`` if it may
            have been sent and no reply arrived, a 4xxx code if the reply cannot be decoded, or
            the code of the peer's ``ErrorReply``.
        """
        was_sent = False
        try:
            socket = self._open_socket()
        except NNGException as error:
            raise PeerError(ResultCode.PEER_UNREACHABLE, f"{self.url}: {error}") from error
        try:
            with _request_context(socket, timeout_s) as context:
                async with asyncio.timeout(timeout_s):
                    await await_operation(context.asend(self._codec.encode(message)))
                    was_sent = True
                    frame = await await_operation(context.arecv())
        except TimeoutError as error:
            self._close_socket(socket)
            raise PeerError(ResultCode.PEER_TIMEOUT, f"no reply from {self.url}") from error
        except NNGException as error:
            self._close_socket(socket)
            code = ResultCode.PEER_TIMEOUT if was_sent else ResultCode.PEER_UNREACHABLE
            raise PeerError(code, f"{self.url}: {error}") from error
        # The first element is the sender's host name.
        _, reply = self._codec.decode(frame)
        if isinstance(reply, ErrorReply):
            raise _error_from_reply(reply)
        return reply

    def close(self) -> None:
        """Close the connection; open calls fail. A later call opens a new connection."""
        if self._socket is not None:
            self._close_socket(self._socket)

    def _open_socket(self) -> Req0:
        """Return the socket; if there is none, open one and connect in the background.

        nng repeats a failed attempt to connect until the socket is closed. Requests wait for the
        connection within the time limit of their call. Raises ``NNGException`` if nng cannot open
        the socket or use the address.
        """
        if self._socket is None:
            socket = Req0(
                recv_max_size=MAX_FRAME_BYTES,
                reconnect_time_min=DIAL_RETRY_MIN_MS,
                reconnect_time_max=DIAL_RETRY_MAX_MS,
                # -1 means never. By default nng sends a request again after a minute without a
                # reply, or when the connection breaks, and the peer would then execute it twice.
                resend_time=-1,
                tls_config=self._tls,
            )
            self._socket = socket
            # block=False returns at once instead of blocking the event loop until it is connected.
            socket.dial(self.url, block=False)
        return self._socket

    def _close_socket(self, socket: Req0) -> None:
        """Close a socket; the next call opens a new one if it was the current one."""
        if self._socket is socket:
            self._socket = None
        socket.close()


def _error_from_reply(reply: ErrorReply) -> PeerError:
    """Return the exception for an error reply.

    A newer peer may send a result code that this version does not know; the exception then has
    the code ``PEER_FAILED``. ``leader`` is the leader's host name, to which the caller may turn
    instead, or empty if the peer did not name it.
    """
    is_known_code = reply.code in CODE_TABLE
    code = ResultCode(reply.code) if is_known_code else ResultCode.PEER_FAILED
    error = PeerError(code, reply.detail if is_known_code else f"code {reply.code}: {reply.detail}")
    error.leader = reply.leader
    return error


@contextmanager
def _request_context(socket: Req0, timeout_s: float) -> Iterator[Any]:
    """Open an nng context for one call and close it, even if the socket is closed already.

    nng sometimes ignores the cancellation of an operation, and pynng then waits until the
    operation ends. A timer therefore closes the context ``CANCEL_GRACE_S`` after the time limit
    of the call, which ends the operations on it. ``timeout_s`` is this limit in seconds.
    """
    context = socket.new_context()
    loop = asyncio.get_running_loop()
    close_timer = loop.call_later(timeout_s + CANCEL_GRACE_S, _close_context, context)
    try:
        yield context
    finally:
        close_timer.cancel()
        _close_context(context)


def _close_context(context: Any) -> None:
    """Close an nng context; it may be closed already."""
    with suppress(NNGException):
        context.close()


class RpcServer:
    """Listens for the calls of peers and answers them.

    Each worker is a task with its own nng context that serves one call at a time. Workers are
    added when few are idle and end when many are.

    Parameters
    ----------
    url
        nng address to listen on.
    codec
        Codec of the cluster, with the TLS configuration of the listener.
    handler
        Coroutine function that gets the sender's host name and the message, and returns the reply.
        A ``BaobabstreamError`` that it raises is sent to the peer as an ``ErrorReply``, any other
        exception as one with the code ``PEER_FAILED``.
    max_workers
        Most calls served at once. A long poll occupies a worker while it waits.

    Raises
    ------
    BaobabstreamError
        ``ADDRESS_IN_USE`` if another socket listens on the address.
    NNGException
        If nng cannot listen on the address for another reason.
    """

    def __init__(
        self, url: str, codec: WireCodec, handler: Handler, max_workers: int = MAX_WORKERS
    ) -> None:
        self._codec = codec
        self._handler = handler
        self._max_workers = max_workers
        self._idle_worker_count = 0
        # Time of the event loop at the last log line about a refused frame, by result code.
        self._last_logged_s: dict[ResultCode, float] = {}
        self._worker_tasks: set[asyncio.Task[None]] = set()
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
        """Cancel the calls that are being served and close the socket."""
        for task in (worker_tasks := list(self._worker_tasks)):
            task.cancel()
        if worker_tasks:
            # Workers whose cancellation nng ignores end when the socket is closed.
            await asyncio.wait(worker_tasks, timeout=CANCEL_GRACE_S)
        self._socket.close()
        await asyncio.gather(*worker_tasks, return_exceptions=True)

    def _add_workers(self) -> None:
        """Start workers until enough are idle or the limit is reached."""
        while (
            self._idle_worker_count < MIN_IDLE_WORKERS
            and len(self._worker_tasks) < self._max_workers
        ):
            self._idle_worker_count += 1
            task = asyncio.create_task(self._run_worker())
            self._worker_tasks.add(task)
            task.add_done_callback(self._worker_tasks.discard)

    async def _run_worker(self) -> None:
        """Receive, handle and answer calls until there are too many idle workers.

        The worker also ends after an error of nng. A new worker is already counted as idle by
        ``_add_workers``. ``is_idle`` says whether the count includes this worker at present.
        """
        context = self._socket.new_context()
        is_idle = True
        try:
            while self._idle_worker_count <= MAX_IDLE_WORKERS:
                frame = await await_operation(context.arecv())
                self._idle_worker_count -= 1
                is_idle = False
                self._add_workers()
                reply_frame = self._encode_reply(await self._handle_frame(frame))
                await await_operation(context.asend(reply_frame))
                self._idle_worker_count += 1
                is_idle = True
        except NNGException as error:
            _log.warning("A worker stops after an nng error: %s.", error)
        finally:
            # Subtracts 1 if the count includes this worker, else 0.
            self._idle_worker_count -= is_idle
            with suppress(NNGException):
                context.close()

    async def _handle_frame(self, frame: bytes) -> Struct:
        """Return the handler's reply to a frame, or an ``ErrorReply`` if there is none.

        There is none if the codec refuses the frame, for example because it cannot be decoded, or
        if the handler raises an exception. The error reply has the code of a
        ``BaobabstreamError``, and ``PEER_FAILED`` for any other exception.

        For a call that only the leader can serve, the handler on another host raises a
        ``PeerError`` whose attribute ``leader`` is the leader's host name, if this host knows it.
        The error reply passes the name on, so that the caller can turn to the leader. Other
        exceptions do not have this attribute.
        """
        try:
            sender, message = self._codec.decode(frame)
        except PeerError as error:
            self._log_refusal(error)
            return ErrorReply(int(error.code), error.detail)
        try:
            return await self._handler(sender, message)
        except BaobabstreamError as error:
            # Empty if the error names no leader.
            leader_host = getattr(error, "leader", "")
            return ErrorReply(int(error.code), error.detail, leader_host)
        except Exception:
            _log.exception("The handler of a peer's call failed.")
            return ErrorReply(int(ResultCode.PEER_FAILED), "the handler failed")

    def _encode_reply(self, reply: Struct) -> bytes:
        """Return the frame of a reply, or of an ``ErrorReply`` if it cannot be encoded.

        That is the case for text with undecoded bytes, and for integers over 64 bits.
        """
        try:
            return self._codec.encode(reply)
        except (ValueError, OverflowError, TypeError):
            _log.exception("A reply to a peer cannot be encoded.")
            return self._codec.encode(
                ErrorReply(int(ResultCode.PEER_FAILED), "the reply cannot be encoded")
            )

    def _log_refusal(self, error: PeerError) -> None:
        """Log why a frame was refused, at most once per result code and interval."""
        # The default of minus infinity lets the first refusal with a code be logged.
        now_s = asyncio.get_running_loop().time()
        if now_s - self._last_logged_s.get(error.code, float("-inf")) >= REFUSAL_LOG_INTERVAL_S:
            self._last_logged_s[error.code] = now_s
            _log.warning("Refused a peer's frame: %s.", error)
