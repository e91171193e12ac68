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
from baobabstream.gateway.event_buffer import EVENT_END, EventBuffer
from baobabstream.gateway.header_names import HeaderNames
from baobabstream.gateway.routed_request import RoutedRequest
from baobabstream.gateway.server_directory import KnownServer

__all__ = ["Attempt", "AttemptFailed", "uncached_prompt_tokens"]

# Servers are milliseconds away; one that takes this long to accept a connection is unreachable.
CONNECT_TIMEOUT_S = 0.6
# Responses of plain services are buffered until they are known to be complete.
MAX_BUFFERED_RESPONSE_BYTES = 32 * 1024 * 1024
# Engines know the ranks 0 to 9.
URGENCY_RANKS = 10
# Events after which the mean interval is measured. Shorter streams mostly show the time of their
# first event, and a slow stream should show early.
MIN_MEASURED_EVENTS = 10
# HTTP status of a server that is not the one the request names.
MISDIRECTED_STATUS = 421


def uncached_prompt_tokens(request: RoutedRequest, server: KnownServer, model: str) -> int:
    """Return the number of prompt tokens that are probably not in a server's cache."""
    is_cached = server.has_cached_prompt(request.shared_prompt_key(model))
    return request.prompt_tokens - (request.shared_tokens if is_cached else 0)


@dataclass(eq=False)
class AttemptFailed(Exception):
    """Raised when an attempt gives no response that may be forwarded as a success.

    Parameters
    ----------
    run_state
        Whether the request has run at the server.
    reason
        What happened, in a few words.
    head, body
        The server's own error response, if it gave one.
    connection_lost
        Whether the connection ended while the request was under way.
    server_unreachable
        Whether no connection could be opened.
    """

    run_state: RunState
    reason: str
    head: AnswerHead | None = None
    body: bytes = b""
    connection_lost: bool = False
    server_unreachable: bool = False


class Attempt:
    """A request at one server; ``close`` must be called at its end.

    Parameters
    ----------
    request
        The request.
    server
        Backend server that it is sent to.
    model
        Model named to the server, or empty.
    last_event_id
        Identity of the event after which a stream continues, or empty.
    header_names
        Names of the headers.
    expected_prompt_s
        Expected seconds for the server to process the prompt.

    Attributes
    ----------
    sent_s
        Time at which the request was sent, in seconds.
    requests_at_send
        Requests of all gateways at the server just before the request was sent.
    has_response
        Whether the response has been counted as a run; set by the request's execution.
    uncached_prompt_tokens
        Prompt tokens that are probably not in the server's cache.
    """

    def __init__(
        self,
        request: RoutedRequest,
        server: KnownServer,
        model: str,
        last_event_id: str,
        header_names: HeaderNames,
        expected_prompt_s: float,
    ) -> None:
        self.server = server
        self.model = model
        self.sent_s = 0.0
        self.requests_at_send = 0
        self._request = request
        self._resume_event_id = last_event_id
        self._header_names = header_names
        self._expected_prompt_s = expected_prompt_s
        self._connection: HttpConnection | None = None
        self.has_response = False
        self.uncached_prompt_tokens = uncached_prompt_tokens(request, server, model)
        self._is_processing_prompt = False
        self._event_buffer = EventBuffer()
        self._event_count = 0
        self._interval_was_ready = False
        self._first_event_s = 0.0
        self._last_event_s = 0.0

    async def send(self) -> AnswerHead:
        """Send the request and return the head of the server's response.

        Raises
        ------
        AttemptFailed
            If there is no response, or one that may not be forwarded as a success.
        """
        server, loop = self.server, asyncio.get_running_loop()
        self.requests_at_send = server.in_flight + server.remote_work.in_flight
        server.in_flight += 1
        server.queued_prompt_s += self._expected_prompt_s
        self._is_processing_prompt = True
        self.sent_s = loop.time()
        try:
            self._connection = await server.pool.acquire(CONNECT_TIMEOUT_S)
        except ConnectFailed as error:
            raise AttemptFailed(RunState.NO, error.detail, server_unreachable=True) from error
        self._connection.send(self._request.request_id, self._encode(loop.time()))
        try:
            head = await self._connection.read_head()
        except AnswerFailed as error:
            raise AttemptFailed(
                RunState.UNKNOWN, error.detail, connection_lost=error.connection_lost
            ) from error
        return await self._validate(head)

    async def read_whole(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        AttemptFailed
            If the body breaks off or is larger than ``MAX_BUFFERED_RESPONSE_BYTES``.
        """
        parts: list[bytes] = []
        size_bytes = 0
        while data := await self._read_part():
            parts.append(data)
            size_bytes += len(data)
            if size_bytes > MAX_BUFFERED_RESPONSE_BYTES:
                raise AttemptFailed(RunState.YES, "the answer is over the size limit")
        return b"".join(parts)

    async def read_events(self) -> bytes:
        """Return the next complete events, or nothing at the end of the stream.

        Raises
        ------
        AttemptFailed
            If the stream breaks off or ends in the middle of an event.
        """
        while data := await self._read_part():
            events = self._event_buffer.feed(data)
            if events:
                self.end_prompt_processing()
                self._count_events(events)
                return events
        if self._event_buffer.has_partial_event:
            raise AttemptFailed(
                RunState.UNKNOWN, "the stream ended within an event", connection_lost=True
            )
        return b""

    @property
    def last_event_id(self) -> str:
        """Identity of the last complete event that was read."""
        return self._event_buffer.last_event_id

    def interval_became_ready(self) -> bool:
        """Return True once, when enough events have come to measure their mean interval."""
        if self._interval_was_ready or self._event_count < MIN_MEASURED_EVENTS:
            return False
        self._interval_was_ready = True
        return True

    def mean_event_interval_s(self) -> float:
        """Return the mean time between the events so far, in seconds."""
        return (self._last_event_s - self._first_event_s) / max(1, self._event_count - 1)

    def _count_events(self, events: bytes) -> None:
        """Count complete events, and store the time of the first and the last ones."""
        self._last_event_s = asyncio.get_running_loop().time()
        if not self._event_count:
            self._first_event_s = self._last_event_s
        self._event_count += events.count(EVENT_END)

    def end_prompt_processing(self) -> None:
        """Remove the prompt from the server's queued work once its first event has come."""
        if self._is_processing_prompt:
            self._is_processing_prompt = False
            self.server.queued_prompt_s -= self._expected_prompt_s

    def close(self) -> None:
        """Return the connection to its pool, which drops it if the response is incomplete."""
        self.end_prompt_processing()
        self.server.in_flight -= 1
        if self._connection is not None:
            self.server.pool.release(self._connection)
            self._connection = None

    async def _read_part(self) -> bytes:
        """Return the next bytes of the body, or nothing at its end.

        Raises
        ------
        AttemptFailed
            If the response breaks off.
        """
        assert self._connection is not None
        try:
            return await self._connection.read_part()
        except AnswerFailed as error:
            raise AttemptFailed(
                RunState.UNKNOWN, error.detail, connection_lost=error.connection_lost
            ) from error

    async def _validate(self, head: AnswerHead) -> AnswerHead:
        """Return the head of a response that may be forwarded.

        Raises
        ------
        AttemptFailed
            If the server refused the request without running it, failed with a status of 500 or
            higher, used a content encoding, or sent a success without its signature.
        """
        header_names = self._header_names
        not_run = head.get(header_names.not_run) is not None or head.status == MISDIRECTED_STATUS
        if not_run and head.status >= 400:
            await self.read_whole()
            raise AttemptFailed(RunState.NO, f"refused with status {head.status}", head)
        if head.get("Content-Encoding") is not None:
            raise AttemptFailed(RunState.UNKNOWN, "the answer has another encoding")
        if head.status < 400 and head.get(header_names.server_signature) is None:
            raise AttemptFailed(RunState.UNKNOWN, "the answer has no signature")
        if head.status >= 500:
            body = await self.read_whole()
            raise AttemptFailed(RunState.YES, f"failed with status {head.status}", head, body)
        return head

    def _encode(self, now_s: float) -> bytes:
        """Return the HTTP/1.1 request as bytes."""
        request = self._request
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in self._headers(now_s))
        head = "\r\n".join(lines) + "\r\n\r\n"
        return head.encode("utf-8", "surrogateescape") + request.body

    def _headers(self, now_s: float) -> Iterator[tuple[str, str]]:
        """Yield the name and value of each header that is sent to the server."""
        request, header_names = self._request, self._header_names
        yield from request.headers
        time_left_ms = max(1, int((request.deadline_s - now_s) * 1000))
        yield header_names.time_left_ms, str(time_left_ms)
        yield header_names.expected_server, self.server.row.server_id
        if request.account is not None:
            yield header_names.client_account, request.account.name
        if self.model:
            yield header_names.model, self.model
            yield header_names.urgency, str(min(max(request.priority, 0), URGENCY_RANKS - 1))
        if self._resume_event_id:
            yield header_names.last_event_id, self._resume_event_id
        if request.body or request.method not in ("GET", "HEAD", "OPTIONS"):
            yield "Content-Length", str(len(request.body))
