"""One HTTP/1.1 connection to a backend server that does not trust what comes back."""

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from typing import cast

from httptools import HttpParserError, HttpResponseParser

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError

__all__ = ["AnswerBroken", "AnswerHead", "ConnectFailed", "HttpConnection"]

# Answers are read ahead of a slow caller only up to this size.
READ_AHEAD_BYTES = 256 * 1024
MAX_HEAD_BYTES = 64 * 1024
# A peer that has vanished without a reset is found by its missing acknowledgements: of data after
# the first time, of probes on a quiet connection after the others.
UNACKNOWLEDGED_TIMEOUT_MS = 2000
PROBE_IDLE_S, PROBE_INTERVAL_S, PROBE_COUNT = 1, 1, 2
# The reset of a forgotten connection takes a round trip; a server that crashes seldom does so just
# as a request comes.
AT_ONCE_S = 0.05
INFORMATIONAL = range(100, 200)
WITHOUT_BODY = frozenset({204, 304})


class ConnectFailed(BaobabstreamError):
    """No connection could be opened; nothing was sent."""

    def __init__(self, detail: str) -> None:
        super().__init__(ResultCode.PEER_UNREACHABLE, detail)


class AnswerBroken(BaobabstreamError):
    """The answer did not come, broke off, or was not a valid answer to the request.

    Attributes
    ----------
    reset
        Whether the connection ended, rather than its bytes being wrong.
    """

    def __init__(self, detail: str, reset: bool = False) -> None:
        super().__init__(ResultCode.BACKEND_FAILED, detail)
        self.reset = reset


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and headers of an answer; names as they came, values decoded as Latin-1."""

    status: int
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str | None:
        """Return the first value of a header, or None."""
        wanted = name.lower()
        return next((value for key, value in self.headers if key.lower() == wanted), None)


class HttpConnection(asyncio.Protocol):
    """Connection that carries one request at a time.

    Parameters
    ----------
    id_header
        Lower-case name of the header by which an answer names its request.

    Attributes
    ----------
    idle_s
        Time for which the connection was idle before its last request, or None before the second.
    lost_at_once
        Whether it was reset as soon as that request was sent.

    Notes
    -----
    Answers that name another request are skipped. Bytes that come while no request is under way
    make the connection unusable, since what they belong to is not known.
    """

    def __init__(self, id_header: str) -> None:
        self.reusable_until_s = float("inf")
        self.idle_s: float | None = None
        self.lost_at_once = False
        self._sent_s = 0.0
        self._id_header = id_header
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._parser = HttpResponseParser(self)
        self._expected_id = ""
        self._expecting = False
        self._skipping = False
        self._tainted = False
        self._head: AnswerHead | None = None
        self._headers: list[tuple[str, str]] = []
        self._head_bytes = 0
        self._parts: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._complete = False
        self._until_close = False
        self._ended = False
        self._end_reason = ""
        self._clean_end = False

    async def open(self, ip: str, port: int, timeout_s: float) -> None:
        """Connect.

        Raises
        ------
        ConnectFailed
            If the server refuses or does not answer in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._loop.create_connection(lambda: self, ip, port)
        except (OSError, TimeoutError) as error:
            raise ConnectFailed(f"{ip}:{port}: {error or 'no answer'}") from error

    @property
    def usable(self) -> bool:
        """Whether another request may be sent."""
        return not (self._ended or self._tainted or self._expecting)

    @property
    def drained(self) -> bool:
        """Whether the whole request has left this process."""
        return self._transport is not None and self._transport.get_write_buffer_size() == 0

    def send(self, request_id: str, data: bytes) -> None:
        """Write a request; the answer must name it by ``request_id``."""
        assert self._transport is not None
        self._expected_id = request_id
        self._expecting = True
        self._head = None
        self._head_bytes = 0
        self._complete = False
        self._until_close = False
        # An answer that was complete but not read to its end belongs to the request before.
        self._parts.clear()
        self._buffered_bytes = 0
        self._sent_s = self._loop.time()
        self._transport.resume_reading()
        self._transport.write(data)

    async def read_head(self) -> AnswerHead:
        """Return status and headers of the answer.

        Raises
        ------
        AnswerBroken
            If the connection ends or carries something else.
        """
        while self._head is None:
            self._raise_if_broken()
            await self._wait()
        return self._head

    async def read_part(self) -> bytes:
        """Return the next bytes of the body, or nothing at its end.

        Raises
        ------
        AnswerBroken
            If the body breaks off.
        """
        while not self._parts:
            if self._complete:
                return b""
            self._raise_if_broken()
            await self._wait()
        data = b"".join(self._parts)
        self._parts.clear()
        self._buffered_bytes = 0
        if self._transport is not None and not self._ended:
            self._transport.resume_reading()
        return data

    def close(self) -> None:
        """Drop the connection at once; a server ends the work on an open request."""
        self._tainted = True
        if self._transport is not None:
            self._transport.abort()

    # Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Note the transport and set its time limits."""
        # uvloop's transports have the interface without the base class.
        self._transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        if raw is not None:
            _limit_silence(raw)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of the server."""
        if not self._expecting:
            # Also covers a second answer right behind the first.
            self._tainted = True
            return
        try:
            self._parser.feed_data(data)
        except HttpParserError as error:
            self._end(f"not an answer: {error}")
            if self._transport is not None:
                self._transport.abort()
        if self._buffered_bytes > READ_AHEAD_BYTES and self._transport is not None:
            self._transport.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Note that the server has ended its side in order."""
        self._clean_end = True
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note the end of the connection."""
        if self._expecting and self._until_close and self._clean_end and error is None:
            self._finish_answer()
        prompt = self._loop.time() - self._sent_s < AT_ONCE_S
        self.lost_at_once = self._expecting and prompt and not self._head_bytes
        self._end(f"connection ended: {error or 'closed by the server'}")
        self._wake()

    # Parser

    def on_message_begin(self) -> None:
        """Start an answer."""
        if not self._expecting:
            self._tainted = True
        self._headers = []
        self._head_bytes = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a header."""
        self._head_bytes += len(name) + len(value)
        if self._head_bytes > MAX_HEAD_BYTES:
            self._end("the head of the answer is too large")
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Decide whether the answer belongs to the open request."""
        status = self._parser.get_status_code()
        names = {name.lower(): value for name, value in self._headers}
        answers = self._expecting and names.get(self._id_header) == self._expected_id
        self._skipping = not answers or status in INFORMATIONAL
        if self._skipping:
            return
        self._head = AnswerHead(status, tuple(self._headers))
        framed = "content-length" in names or "transfer-encoding" in names
        self._until_close = not framed and status not in WITHOUT_BODY
        if not self._parser.should_keep_alive():
            self._tainted = True
        self._note_idle_limit(names.get("keep-alive", ""))

    def on_body(self, data: bytes) -> None:
        """Keep a part of the body."""
        if not self._skipping:
            self._parts.append(data)
            self._buffered_bytes += len(data)

    def on_message_complete(self) -> None:
        """End an answer."""
        if self._skipping:
            self._skipping = False
        elif self._expecting:
            self._finish_answer()

    def _finish_answer(self) -> None:
        self._complete = True
        self._expecting = False

    def _note_idle_limit(self, keep_alive: str) -> None:
        fields = (item.strip().partition("=") for item in keep_alive.split(","))
        limit = next((value for name, _, value in fields if name == "timeout"), "")
        if limit.isdigit():
            self.reusable_until_s = self._loop.time() + int(limit)

    def _end(self, reason: str) -> None:
        if not self._ended:
            self._ended = True
            self._end_reason = reason

    def _raise_if_broken(self) -> None:
        if self._ended:
            raise AnswerBroken(self._end_reason, reset=self._end_reason.startswith("connection"))

    async def _wait(self) -> None:
        self._waiter = self._loop.create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


def _limit_silence(raw: socket.socket) -> None:
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
