"""HTTP/1.1 client connection that verifies which request each answer belongs to.

Each answer must repeat the identity of its request in a header. An answer that a faulty backend
server sends late, twice or to the wrong request is thus not taken for the answer to another one.
The head of an answer is its status and headers. An answer is pending from the sending of its
request until it is complete.
"""

import asyncio
import socket
from typing import cast

from baobabstream.backends.answer_head import AnswerHead
from baobabstream.backends.answer_parser import AnswerParser, InvalidAnswer
from baobabstream.backends.delivery import DeliveryWait, count_undelivered_bytes
from baobabstream.backends.repeated_answer import RepeatedAnswerScanner
from baobabstream.backends.response_memory import NO_MEMORY_REASON
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.resources.memory_budget import MemoryHolder

__all__ = [
    "AnswerFailed",
    "ConnectFailed",
    "HttpConnection",
    "configure_socket",
]

# Reading from the socket pauses when more bytes than this have arrived since the last
# ``read_part``, so that a fast server does not keep the event loop from other connections.
MAX_READ_AHEAD_BYTES = 256 * 1024
# TCP timeouts that detect a peer that vanished without a reset. Keep-alive probes are sent on a
# connection without traffic: the time before the first one, the time between two, and the number of
# unanswered ones that ends the connection. A server that is silent for less than two seconds
# answers one of them.
KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_PROBE_COUNT = 1, 1, 2
# Time for which sent data may stay unacknowledged. It also ends a connection whose last probe was
# not answered, whatever their number, so it must not be shorter than all of them take.
UNACKNOWLEDGED_TIMEOUT_MS = 1000 * (KEEPALIVE_IDLE_S + KEEPALIVE_PROBE_COUNT * KEEPALIVE_INTERVAL_S)
# A connection that ends within this time after a request was sent counts as dropped by the server
# while it was idle: the reset of such a connection takes one round trip. A crash of the server
# rarely falls into this short time.
IMMEDIATE_LOSS_S = 0.05


class ConnectFailed(BaobabstreamError):
    """Raised when no connection is available; nothing was sent."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.PEER_UNREACHABLE, detail)


class AnswerFailed(BaobabstreamError):
    """Raised when the answer is missing, incomplete or not a valid answer to the request.

    Attributes
    ----------
    connection_lost
        Whether the connection ended, as opposed to invalid bytes on it.
    """

    def __init__(self, detail: str, connection_lost: bool = False) -> None:
        super().__init__(ResultCode.BACKEND_FAILED, detail)
        self.connection_lost = connection_lost


class HttpConnection(asyncio.Protocol):
    """HTTP/1.1 connection that carries one request at a time.

    Parameters
    ----------
    request_id_header
        Lower-case name of the header in which an answer repeats the identity of its request.

    Attributes
    ----------
    reusable_until_s
        Event loop time up to which the server promised to keep the idle connection open; infinite
        if it promised nothing.
    idle_before_request_s
        Idle time in seconds before the last request, or None before the second request. Set by the
        connection pool.
    body_ends_at_close
        Whether the last body has no announced length, so that the end of the connection ends it.
    is_direct
        Whether this host has opened the connection to the server itself.
    sent_bytes
        Number of bytes of all requests.
    lost_immediately
        Whether the connection ended right after the last request was sent, before any header.

    Notes
    -----
    Answers that name another request are skipped. Bytes that arrive while no answer is pending
    forbid the reuse of the connection, since it is unknown which request they belong to. A second
    answer inside a body that ends with the connection ends that body. The body is complete if the
    second answer has the same status; otherwise the server has failed in the middle of the first.

    ``asyncio`` calls the methods of the protocol section, and the parser calls those of the parser
    section. Both record what was received and wake the reading method.
    """

    def __init__(self, request_id_header: str) -> None:
        self.reusable_until_s = float("inf")
        self.idle_before_request_s: float | None = None
        self.is_direct = True
        self.sent_bytes = 0
        self.lost_immediately = False
        # Event loop time in seconds at which the last request was sent.
        self._request_sent_s = 0.0
        self._request_id_header = request_id_header
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        # Future on which the reading method waits for progress, or None if it is not waiting.
        self._wake_future: asyncio.Future[None] | None = None
        self._parser = AnswerParser(
            self._begin_answer, self._handle_head, self._handle_body, self._complete_answer
        )
        self._expected_request_id = ""
        # Identity of the request before, whose answer may come again.
        self._previous_request_id = ""
        # Scans a body that ends with the connection; None for any other one.
        self._repeated_answers: RepeatedAnswerScanner | None = None
        self._is_answer_pending = False
        self._is_reuse_forbidden = False
        self._answer_head: AnswerHead | None = None
        # Whether any byte of an answer has arrived since the request.
        self._has_begun_answer = False
        # Body bytes that ``read_part`` has not returned.
        self._unread_body = bytearray()
        # Bytes that have arrived since ``read_part`` was called.
        self._read_ahead_bytes = 0
        # Memory for the body, or None without a limit.
        self._memory: MemoryHolder | None = None
        self._is_answer_complete = False
        self.body_ends_at_close = False
        # Whether no more valid bytes will arrive, and why. The reason begins with "connection" if
        # the connection ended, as opposed to invalid bytes on it.
        self._has_ended = False
        self._end_reason = ""
        self._received_eof = False
        # Waits until the server has received the request, after it has closed its side.
        self._delivery_wait: DeliveryWait | None = None

    async def open(self, ip: str, port: int, timeout_s: float) -> None:
        """Open the connection.

        Raises
        ------
        ConnectFailed
            If the server refuses the connection or does not accept it within ``timeout_s``.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._loop.create_connection(lambda: self, ip, port)
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(f"{ip}:{port}: {error or 'no answer'}") from error

    @property
    def is_reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return not (self._has_ended or self._is_reuse_forbidden or self._is_answer_pending)

    @property
    def was_lost_while_idle(self) -> bool:
        """Whether the server has probably closed the connection before the last request."""
        return self.lost_immediately and self.idle_before_request_s is not None

    @property
    def is_answer_pending(self) -> bool:
        """Whether a request has been sent whose answer is not complete."""
        return self._is_answer_pending

    @property
    def awaits_end(self) -> bool:
        """Whether the end of the connection would be that of the pending answer's body."""
        return self._is_answer_pending and self.body_ends_at_close

    @property
    def has_sent_everything(self) -> bool:
        """Whether the whole request has been handed to the operating system."""
        return self._transport is not None and self._transport.get_write_buffer_size() == 0

    def send(
        self,
        request_id: str,
        data: bytes,
        memory: MemoryHolder | None = None,
        may_have_body: bool = True,
    ) -> None:
        """Send a request.

        Parameters
        ----------
        request_id
            Identity that the answer must repeat.
        data
            Encoded request line, headers and body.
        memory
            Memory from which bytes are taken for the body; the reader gives them back. None sets
            no limit.
        may_have_body
            Whether the answer may have a body, as one to HEAD has none whatever its head says.
        """
        assert self._transport is not None
        self._previous_request_id = self._expected_request_id
        self._expected_request_id = request_id
        self._repeated_answers = None
        self._is_answer_pending = True
        self._answer_head = None
        self._has_begun_answer = False
        self._parser.expect_answer(may_have_body)
        self._is_answer_complete = False
        self.body_ends_at_close = False
        # Unread body bytes belong to the answer to the previous request.
        self._unread_body.clear()
        self._read_ahead_bytes = 0
        self._memory = memory
        self._request_sent_s = self._loop.time()
        self._transport.resume_reading()
        self.sent_bytes += len(data)
        self._transport.write(data)

    async def read_head(self) -> AnswerHead:
        """Wait for status and headers of the answer and return them.

        Raises
        ------
        AnswerFailed
            If the connection ends first or its bytes are not valid HTTP.
        """
        while self._answer_head is None:
            self._raise_if_ended()
            await self._wait_for_progress()
        return self._answer_head

    async def read_part(self) -> bytes:
        """Wait for the next bytes of the body and return them, or empty bytes at its end.

        Reading from the socket resumes if it had paused.

        Raises
        ------
        AnswerFailed
            If the connection ends before the body is complete.
        """
        while not self._unread_body:
            if self._is_answer_complete:
                return b""
            self._raise_if_ended()
            await self._wait_for_progress()
        data = bytes(self._unread_body)
        self._unread_body.clear()
        self._read_ahead_bytes = 0
        if self._transport is not None and not self._has_ended:
            self._transport.resume_reading()
        return data

    def close(self) -> None:
        """Abort the connection; this makes the server cancel a request that it still processes."""
        self._is_reuse_forbidden = True
        if self._transport is not None:
            self._transport.abort()

    def give_up_answer(self) -> None:
        """End the connection, and drop the unread body, as no memory is left for it.

        An answer that had arrived completely no longer counts as complete.
        """
        self._end_invalid(NO_MEMORY_REASON)
        self._is_answer_complete = False
        self._unread_body.clear()
        self._wake_reader()

    def retire(self) -> None:
        """Carry no request after the pending one; an idle connection is closed."""
        self._is_reuse_forbidden = True
        if not self._is_answer_pending:
            self.close()

    # Callbacks of asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and configure its socket."""
        # Transports of uvloop have the interface of asyncio.Transport without deriving from it.
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            configure_socket(sock)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; pause reading if too many of them wait for ``read_part``.

        Bytes that are not valid HTTP end the connection, and so do too many that are no part of the
        expected answer.
        """
        if self._has_ended:
            return
        if not self._is_answer_pending:
            # This includes a second answer that directly follows the first.
            self.close()
            return
        try:
            self._parser.feed(data)
        except InvalidAnswer as error:
            self._end_invalid(f"not an answer: {error}")
        self._read_ahead_bytes += len(data)
        has_read_ahead = self._unread_body and self._read_ahead_bytes >= MAX_READ_AHEAD_BYTES
        if has_read_ahead and self._transport is not None:
            self._transport.pause_reading()
        self._wake_reader()

    def eof_received(self) -> bool:
        """Record that the server closed its side of the connection in order.

        The result False makes asyncio close the transport. If this is the end of a body and a part
        of the request is still on its way, the transport stays open until that has arrived or the
        server's host has reset the connection.
        """
        self._received_eof = True
        if not self.awaits_end or not self.is_direct:
            return False
        assert self._transport is not None
        if not count_undelivered_bytes(self._transport):
            return False
        self._delivery_wait = DeliveryWait(self._transport, self._transport.close)
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Record why the connection ended; complete a body that ends with the connection.

        Such a body is complete only if the server closed the connection in order, without an error.
        """
        if self._delivery_wait is not None:
            error = self._delivery_wait.end() or error
        if self.awaits_end and self._received_eof and error is None:
            self._finish_body_at_close()
        ended_soon = self._loop.time() - self._request_sent_s < IMMEDIATE_LOSS_S
        self.lost_immediately = (
            self._is_answer_pending and ended_soon and not self._has_begun_answer
        )
        self._mark_ended(f"connection ended: {error or 'closed by the server'}")
        self._wake_reader()

    # Callbacks of AnswerParser

    def _begin_answer(self) -> None:
        """Forbid the reuse of the connection if no answer is pending."""
        if not self._is_answer_pending:
            self._is_reuse_forbidden = True
        self._has_begun_answer = True

    def _handle_head(self, head: AnswerHead) -> bool:
        """Return whether the answer belongs to the pending request, and store how its body ends.

        One that names two requests belongs to none.
        """
        is_expected = self._is_answer_pending and (
            set(head.get_all(self._request_id_header)) == {self._expected_request_id}
        )
        if not is_expected:
            return False
        self._answer_head = head
        self.body_ends_at_close = self._parser.body_ends_at_close
        if self.body_ends_at_close:
            self._repeated_answers = RepeatedAnswerScanner(
                self._request_id_header,
                frozenset({self._expected_request_id, self._previous_request_id} - {""}),
            )
        if not self._parser.keeps_alive:
            self._is_reuse_forbidden = True
        self._apply_keep_alive_timeout(next(reversed(head.get_all("Keep-Alive")), ""))
        return True

    def _handle_body(self, data: bytes) -> None:
        """Buffer a part of the body, and end it where another answer begins."""
        if not self._is_answer_pending:
            return
        if self._repeated_answers is not None:
            data = self._repeated_answers.feed(data)
        if data:
            self._buffer_body(data)
        if self._repeated_answers is not None:
            self._end_at_repeated_answer(self._repeated_answers.repeated_status)

    def _buffer_body(self, data: bytes) -> bool:
        """Store a part of the body, and return whether there was memory for it.

        Without memory the connection ends.
        """
        if self._memory is not None and not self._memory.try_acquire(len(data)):
            self.give_up_answer()
            return False
        self._unread_body += data
        return True

    def _complete_answer(self) -> None:
        """Complete the answer, unless it has been given up."""
        if self._is_answer_pending:
            self._finish_answer()

    def _end_at_repeated_answer(self, status: int | None) -> None:
        """End the connection if another answer, with a status, has begun inside the body."""
        assert self._answer_head is not None
        if status is None:
            return
        if status == self._answer_head.status:
            self._finish_answer()
        self._end_invalid(f"another answer with status {status} inside the body")

    def _finish_body_at_close(self) -> None:
        """Complete a body that ends with the connection, unless part of another answer ends it."""
        assert self._repeated_answers is not None
        if self._repeated_answers.has_partial_head:
            self._mark_ended("part of another answer inside the body")
            return
        if (rest := self._repeated_answers.finish()) and not self._buffer_body(rest):
            return
        self._finish_answer()

    def _finish_answer(self) -> None:
        """Mark the pending answer as complete, so that the connection can be reused."""
        self._is_answer_complete = True
        self._is_answer_pending = False

    def _apply_keep_alive_timeout(self, keep_alive: str) -> None:
        """Store the idle timeout that the server promises in its ``Keep-Alive`` header.

        ``keep_alive`` is the value of the header, such as ``timeout=5, max=100``, or empty. The
        timeout is in seconds; without one, the earlier promise stays.
        """
        fields = (item.strip().partition("=") for item in keep_alive.split(","))
        timeout = next((value for name, _, value in fields if name == "timeout"), "")
        if timeout.isdigit():
            self.reusable_until_s = self._loop.time() + int(timeout)

    def _end_invalid(self, reason: str) -> None:
        """End the connection because of the bytes that the server sent on it."""
        self._mark_ended(reason)
        if self._transport is not None:
            self._transport.abort()

    def _mark_ended(self, reason: str) -> None:
        """Record that no more valid bytes will arrive; the first reason is kept."""
        if not self._has_ended:
            self._has_ended = True
            self._end_reason = reason

    def _raise_if_ended(self) -> None:
        """Raise AnswerFailed if no more valid bytes will arrive."""
        if self._has_ended:
            raise AnswerFailed(
                self._end_reason, connection_lost=self._end_reason.startswith("connection")
            )

    async def _wait_for_progress(self) -> None:
        """Wait until bytes have arrived or the connection has ended."""
        self._wake_future = self._loop.create_future()
        try:
            await self._wake_future
        finally:
            self._wake_future = None

    def _wake_reader(self) -> None:
        """Wake the reading method that waits in ``_wait_for_progress``, if any."""
        if self._wake_future is not None and not self._wake_future.done():
            self._wake_future.set_result(None)


def configure_socket(sock: socket.socket) -> None:
    """Send small writes without delay and set the TCP timeouts that detect a vanished peer.

    The option value 1 turns an option on.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
