"""Client of the calls between daemons, over pynng.

pynng is the Python binding of nng, a messaging library. A message is encoded by ``WireCodec`` into
one frame. nng runs each request in a context, so that one socket carries many calls at a time.

A peer is the daemon at the other end. A long poll is a call that the server answers only after a
change or a time limit. Daemons that replicate a log elect one of them as leader. Entry daemons,
one on each entry host, handle callers' requests.
"""

import asyncio
from collections.abc import Awaitable, Iterator
from contextlib import contextmanager, suppress
from typing import Any, TypeVar

from msgspec import Struct
from pynng import Req0
from pynng.exceptions import NNGException

from baobabstream.errors.codes import CODE_TABLE, ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.wire.codec import MAX_FRAME_BYTES, WireCodec
from baobabstream.wire.messages import ErrorReply
from baobabstream.wire.tls import tls_url

__all__ = ["RpcClient", "await_operation"]

ResultT = TypeVar("ResultT")

# Bounds of the time between two attempts to connect to a peer.
DIAL_RETRY_MIN_MS = 50
DIAL_RETRY_MAX_MS = 500

# Seconds for a cancelled operation to end before its context or socket is closed. A cancellation
# takes effect within one iteration of the event loop, unless nng ignores it.
CANCEL_GRACE_S = 0.2


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
