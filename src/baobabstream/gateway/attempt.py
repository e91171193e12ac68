"""One send of a request to one backend server."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from baobabstream.backends.http_connection import (
    AnswerFailed,
    AnswerHead,
    ConnectFailed,
    HttpConnection,
)
from baobabstream.errors.codes import RunState
from baobabstream.gateway.event_cutter import EVENT_END, EventCutter
from baobabstream.gateway.header_names import HeaderNames
from baobabstream.gateway.routed_request import RoutedRequest
from baobabstream.gateway.server_directory import KnownServer

__all__ = ["Attempt", "AttemptFailed", "unread_tokens"]

# Servers are milliseconds away; one that takes this long to accept is not there.
CONNECT_TIMEOUT_S = 0.6
# Answers of plain services are kept whole until they are known to be complete.
MAX_WHOLE_ANSWER_BYTES = 32 * 1024 * 1024
# Ranks that engines know, 0 to 9.
URGENCY_RANKS = 10
# Shorter streams mostly show the time of their first event, and a slow one should show early.
MIN_PACED_EVENTS = 10
MISDIRECTED = 421


def unread_tokens(request: RoutedRequest, server: KnownServer, model: str) -> int:
    """Return the prompt tokens that a server probably has to read."""
    held = server.holds(request.cached_prompt(model))
    return request.prompt_tokens - (request.shared_tokens if held else 0)


@dataclass(eq=False)
class AttemptFailed(Exception):
    """A send brought no answer that may be passed on as a success.

    Parameters
    ----------
    run_state
        Whether the request has run at the server.
    reason
        What happened, in a few words.
    head, body
        The server's own failure, if it gave one.
    reset
        Whether the connection ended while the request was under way.
    unreachable
        Whether no connection could be opened.
    """

    run_state: RunState
    reason: str
    head: AnswerHead | None = None
    body: bytes = b""
    reset: bool = False
    unreachable: bool = False


class Attempt:
    """A request at one server; ``close`` must be called at its end.

    Parameters
    ----------
    request
        The request.
    server
        Where it is sent.
    model
        Model named to the server, or empty.
    last_event_id
        Event after which a stream goes on, or empty.
    names
        Names of the headers.
    expected_s
        Expected time for the server to read the prompt.
    """

    def __init__(
        self,
        request: RoutedRequest,
        server: KnownServer,
        model: str,
        last_event_id: str,
        names: HeaderNames,
        expected_s: float,
    ) -> None:
        self.server = server
        self.model = model
        self.sent_s = 0.0
        self.load = 0
        self._request = request
        self._last_event_id = last_event_id
        self._names = names
        self._expected_s = expected_s
        self._connection: HttpConnection | None = None
        self.answered = False
        self.unread_tokens = unread_tokens(request, server, model)
        self._reading_prompt = False
        self._cutter = EventCutter()
        self._event_count = 0
        self._pace_told = False
        self._first_event_s = 0.0
        self._last_event_s = 0.0

    async def send(self) -> AnswerHead:
        """Send the request and return the head of the server's answer.

        Raises
        ------
        AttemptFailed
            If there is no answer, or one that says that the request has not run.
        """
        server, loop = self.server, asyncio.get_running_loop()
        self.load = server.in_flight + server.elsewhere.in_flight
        server.in_flight += 1
        server.pending_s += self._expected_s
        self._reading_prompt = True
        self.sent_s = loop.time()
        try:
            self._connection = await server.pool.acquire(CONNECT_TIMEOUT_S)
        except ConnectFailed as error:
            raise AttemptFailed(RunState.NO, error.detail, unreachable=True) from error
        self._connection.send(self._request.request_id, self._encode(loop.time()))
        try:
            head = await self._connection.read_head()
        except AnswerFailed as error:
            raise AttemptFailed(
                RunState.UNKNOWN, error.detail, reset=error.connection_lost
            ) from error
        return await self._checked(head)

    async def read_whole(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        AttemptFailed
            If it breaks off.
        """
        parts: list[bytes] = []
        size_bytes = 0
        while data := await self._read_part():
            parts.append(data)
            size_bytes += len(data)
            if size_bytes > MAX_WHOLE_ANSWER_BYTES:
                raise AttemptFailed(RunState.YES, "the answer is over the size limit")
        return b"".join(parts)

    async def read_events(self) -> bytes:
        """Return the next whole events, or nothing at the end of the stream.

        Raises
        ------
        AttemptFailed
            If the stream breaks off, also in the middle of an event.
        """
        while data := await self._read_part():
            events = self._cutter.feed(data)
            if events:
                self.prompt_read()
                self._note_events(events)
                return events
        if self._cutter.pending:
            raise AttemptFailed(RunState.UNKNOWN, "the stream ended within an event", reset=True)
        return b""

    @property
    def last_event_id(self) -> str:
        """Identity of the last whole event that was read."""
        return self._cutter.last_event_id

    def pace_is_known(self) -> bool:
        """Return True once, as soon as enough events have come to tell their pace."""
        if self._pace_told or self._event_count < MIN_PACED_EVENTS:
            return False
        self._pace_told = True
        return True

    def event_pace_s(self) -> float:
        """Return the mean time between the events so far."""
        return (self._last_event_s - self._first_event_s) / max(1, self._event_count - 1)

    def _note_events(self, events: bytes) -> None:
        self._last_event_s = asyncio.get_running_loop().time()
        if not self._event_count:
            self._first_event_s = self._last_event_s
        self._event_count += events.count(EVENT_END)

    def prompt_read(self) -> None:
        """Note that the server has read the prompt: its first event has come."""
        if self._reading_prompt:
            self._reading_prompt = False
            self.server.pending_s -= self._expected_s

    def close(self) -> None:
        """Give the connection back, or drop it if the answer is not complete."""
        self.prompt_read()
        self.server.in_flight -= 1
        if self._connection is not None:
            self.server.pool.release(self._connection)
            self._connection = None

    async def _read_part(self) -> bytes:
        assert self._connection is not None
        try:
            return await self._connection.read_part()
        except AnswerFailed as error:
            raise AttemptFailed(
                RunState.UNKNOWN, error.detail, reset=error.connection_lost
            ) from error

    async def _checked(self, head: AnswerHead) -> AnswerHead:
        names = self._names
        refused = head.get(names.not_run) is not None or head.status == MISDIRECTED
        if refused and head.status >= 400:
            await self.read_whole()
            raise AttemptFailed(RunState.NO, f"refused with status {head.status}", head)
        if head.get("Content-Encoding") is not None:
            raise AttemptFailed(RunState.UNKNOWN, "the answer has another encoding")
        if head.status < 400 and head.get(names.server_signature) is None:
            raise AttemptFailed(RunState.UNKNOWN, "the answer has no signature")
        if head.status >= 500:
            body = await self.read_whole()
            raise AttemptFailed(RunState.YES, f"failed with status {head.status}", head, body)
        return head

    def _encode(self, now_s: float) -> bytes:
        request = self._request
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in self._headers(now_s))
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("utf-8", "surrogateescape") + request.body

    def _headers(self, now_s: float) -> Iterator[tuple[str, str]]:
        request, names = self._request, self._names
        yield from request.headers
        left_ms = max(1, int((request.deadline_s - now_s) * 1000))
        yield names.time_left_ms, str(left_ms)
        yield names.expected_server, self.server.row.server_id
        if request.account is not None:
            yield names.client_account, request.account.name
        if self.model:
            yield names.model, self.model
            yield names.urgency, str(min(max(request.priority, 0), URGENCY_RANKS - 1))
        if self._last_event_id:
            yield names.last_event_id, self._last_event_id
        if request.body or request.method not in ("GET", "HEAD", "OPTIONS"):
            yield "Content-Length", str(len(request.body))
