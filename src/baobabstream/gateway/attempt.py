"""One send of a request to one backend server, called an attempt.

A backend server is either an engine, which runs models, or a server of a plain service, which runs
none. An engine first processes the prompt of a request and then sends its answer as a stream of
server-sent events.

A prompt consists of parts. All parts but the last are its shared prefix: other requests, for
instance later ones of the same session, may begin with the same parts. An engine keeps the prefixes
that it has processed in a cache, and processes only the rest of a prompt whose prefix it has there.

Request times are those of the event loop's clock, in seconds.
"""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass

from baobabstream.backends.answer_head import AnswerHead
from baobabstream.backends.http_connection import AnswerFailed, ConnectFailed, HttpConnection
from baobabstream.errors.codes import RunState
from baobabstream.gateway.event_buffer import (
    EVENT_END,
    EventBuffer,
    EventTooLarge,
    InvalidEvent,
)
from baobabstream.gateway.header_names import HeaderNames
from baobabstream.gateway.routed_request import RoutedRequest
from baobabstream.gateway.server_directory import KnownServer
from baobabstream.paths.path_connector import NoPath
from baobabstream.resources.memory_budget import MemoryBudget
from baobabstream.routing.version_evidence import ResponseVerdict

__all__ = ["SURVIVAL_S", "Attempt", "AttemptFailed", "uncached_prompt_tokens"]

# The round trip to a server takes milliseconds; one that takes this long to accept a connection
# counts as unreachable.
CONNECT_TIMEOUT_S = 0.6
# Largest body that is buffered. Responses of plain services are buffered until they are known to be
# complete, so that the request can be sent again if one breaks off.
MAX_BUFFERED_RESPONSE_BYTES = 16 * 1024 * 1024
# Time in seconds after the first event of an answer from which on a crash of its server is not put
# down to a part of its prompt, and after the end of an answer, to the request.
SURVIVAL_S = 0.5
# Number of different ranks that engines accept in the urgency header: 0, the first, to 9.
URGENCY_RANKS = 10
# Number of events after which the mean interval between events is measured. The mean over fewer
# events depends mostly on when the first one came; a higher number would delay the detection of a
# slow stream.
MIN_MEASURED_EVENTS = 10
# HTTP status (Misdirected Request) with which a server refuses a request that names another server.
# It occurs if another server has taken over the address.
MISDIRECTED_STATUS = 421
# Reason of the failure of a stream into which its server writes something else.
NO_EVENT_REASON = "the stream contains bytes that are no event"


def uncached_prompt_tokens(request: RoutedRequest, server: KnownServer, model: str) -> int:
    """Return the number of prompt tokens that are probably not in a server's cache.

    The server has to process these. They are the whole prompt, less its shared prefix if this
    gateway has sent a request with the same prefix and model to the server lately.
    ``shared_prompt_key`` identifies the prefix and the model, and ``shared_tokens`` is the number
    of tokens of the prefix.
    """
    is_cached = server.has_cached_prompt(request.shared_prompt_key(model))
    return request.prompt_tokens - (request.shared_tokens if is_cached else 0)


@dataclass(eq=False)
class AttemptFailed(Exception):
    """Raised when an attempt gives no response that may be forwarded as a success.

    Parameters
    ----------
    run_state
        Whether the request has run at the server: ``NO``, ``YES`` or ``UNKNOWN``. A request that
        has not run may always be sent to another server; any other one only if it is repeatable.
    reason
        What happened, in a few words.
    head, body
        Status and headers, and the body, of the server's own error response, if it gave one.
    connection_lost
        Whether the connection ended, or its stream stalled, while the request was under way; the
        server may have crashed.
    server_unreachable
        Whether the server accepts no connection, of this gateway or another one.
    no_path
        Whether no connection was opened for want of a path, which says nothing about the server.
    """

    run_state: RunState
    reason: str
    head: AnswerHead | None = None
    body: bytes = b""
    connection_lost: bool = False
    server_unreachable: bool = False
    no_path: bool = False


class Attempt:
    """A request at one server; ``close`` must be called at its end.

    From `send` to `close` the request counts as in flight at the server, and until its first event
    the expected time for its prompt counts as queued there. Both go into the choice of servers.

    Parameters
    ----------
    request
        The request that is sent.
    server
        Backend server that it is sent to.
    model
        Model named to the server, or empty for a plain service.
    last_event_id
        Identity of the event after which the server is to continue a stream, or empty to start
        from the beginning.
    header_names
        Names of the HTTP headers that the gateway reads and writes.
    expected_prompt_s
        Expected seconds for the server to process the prompt.
    response_memory
        Memory for the buffered bodies of all attempts.

    Attributes
    ----------
    sent_s
        Time in seconds at which the request was written to its connection; before that the time at
        which `send` began. The time to find a path to the server says nothing about the server.
    requests_at_send
        Number of requests of all gateways at the server just before this one was sent.
    is_counted_as_run
        Whether a response of this attempt has been counted as a run of the request, so that a later
        failure of the attempt is not counted as a second one; set by the request's execution.
    uncached_prompt_tokens
        Prompt tokens that are probably not in the server's cache.
    interval_was_reported, provisional_pace
        Whether the mean interval between the events has been measured; and before that the pace
        that is recorded for the stream, or None.
    is_open
        Whether the attempt has been sent and not closed.
    was_transmitted
        Whether the request has been written to a connection, so that the server may get it.
    was_cut
        Whether the attempt was closed before its response was complete.
    verdict
        How the response has been counted for the version of the server so far.
    lost_idle_connection
        Whether the request was lost with a connection that the server had closed while it was idle.
    event_count, first_event_s
        Events received so far, and the time in seconds at which the first one arrived, or None.
    """

    def __init__(
        self,
        request: RoutedRequest,
        server: KnownServer,
        model: str,
        last_event_id: str,
        header_names: HeaderNames,
        expected_prompt_s: float,
        response_memory: MemoryBudget,
    ) -> None:
        self.server = server
        self.model = model
        self.sent_s = 0.0
        self.requests_at_send = 0
        self._request = request
        self._resume_event_id = last_event_id
        self._header_names = header_names
        self._expected_prompt_s = expected_prompt_s
        # Memory of the body. It gives way to smaller ones if that of all attempts is used up.
        self._memory = response_memory.open(self._give_up_response)
        # Parts of a body that is read whole.
        self._body_parts: list[bytes] = []
        self._connection: HttpConnection | None = None
        self.is_counted_as_run = False
        self.uncached_prompt_tokens = uncached_prompt_tokens(request, server, model)
        # Whether the expected time for the prompt is included in the server's queued time.
        self._is_processing_prompt = False
        self._event_buffer = EventBuffer()
        self.is_open = False
        self.was_transmitted = False
        # Status and headers of the server's response, or None before them.
        self._head: AnswerHead | None = None
        self.provisional_pace: float | None = None
        self.was_cut = False
        self.verdict = ResponseVerdict.NONE
        self.lost_idle_connection = False
        self.event_count = 0
        self.interval_was_reported = False
        self.first_event_s: float | None = None
        # Time in seconds at which the last event arrived.
        self._last_event_s = 0.0

    async def send(self) -> AnswerHead:
        """Send the request and return the head of the server's response: status and headers.

        Raises
        ------
        AttemptFailed
            If there is no response, or one that may not be forwarded as a success.
        """
        server, loop = self.server, asyncio.get_running_loop()
        # The load is counted before the connection opens, so that other requests that choose a
        # server in the meantime take it into account.
        self.requests_at_send = server.in_flight + server.remote_work.in_flight
        server.in_flight += 1
        server.queued_prompt_s += self._expected_prompt_s
        self._is_processing_prompt = True
        self.sent_s = loop.time()
        self.is_open = True
        try:
            self._connection = await server.pool.acquire(CONNECT_TIMEOUT_S)
        except NoPath as error:
            raise AttemptFailed(RunState.NO, error.detail, no_path=True) from error
        except ConnectFailed as error:
            raise AttemptFailed(RunState.NO, error.detail, server_unreachable=True) from error
        self.was_transmitted = True
        self.sent_s = loop.time()
        self._connection.send(
            self._request.request_id,
            self._encode(self.sent_s),
            self._memory,
            may_have_body=self._request.method != "HEAD",
        )
        try:
            head = await self._connection.read_head()
        except AnswerFailed as error:
            self.lost_idle_connection = self._connection.was_lost_while_idle
            raise AttemptFailed(
                RunState.UNKNOWN, error.detail, connection_lost=error.connection_lost
            ) from error
        self._head = head
        return await self._validate(head)

    async def read_whole(self) -> bytes:
        """Return the whole body of the response.

        Raises
        ------
        AttemptFailed
            If the body breaks off, is larger than ``MAX_BUFFERED_RESPONSE_BYTES``, or finds no room
            beside the bodies of other attempts; or if a success has no body and only the end of its
            connection, which may be that of the server's process, says so.
        """
        parts = self._body_parts
        while data := await self._read_part():
            parts.append(data)
            if self._memory.held_bytes > MAX_BUFFERED_RESPONSE_BYTES:
                raise AttemptFailed(RunState.YES, "the answer is over the size limit")
        assert self._head is not None
        if not parts and self._head.status < 300 and self._connection_ends_body():
            raise AttemptFailed(
                RunState.UNKNOWN, "the answer ended before its body", connection_lost=True
            )
        return b"".join(parts)

    async def read_events(self) -> bytes:
        """Return the next complete events as bytes, or nothing at the end of the stream.

        Raises
        ------
        AttemptFailed
            If the stream breaks off, ends within an event or with its connection before the first
            one, has one over the size limit, or contains other bytes than events.
        """
        if self._event_buffer.has_invalid_event:
            raise AttemptFailed(RunState.UNKNOWN, NO_EVENT_REASON)
        while data := await self._read_part():
            buffered_before = self._event_buffer.buffered_bytes
            try:
                events = self._event_buffer.feed(data)
            except EventTooLarge as error:
                raise AttemptFailed(RunState.UNKNOWN, "an event is over the size limit") from error
            except InvalidEvent as error:
                raise AttemptFailed(RunState.UNKNOWN, NO_EVENT_REASON) from error
            # Released events belong to the caller's connection from here on.
            self._memory.release(buffered_before + len(data) - self._event_buffer.buffered_bytes)
            if events:
                self.end_prompt_processing()
                self._count_events(events)
                return events
        if self._event_buffer.has_partial_event:
            raise AttemptFailed(
                RunState.UNKNOWN, "the stream ended within an event", connection_lost=True
            )
        # Without a length or chunks, the end of the connection may be that of the server's process.
        if not self.event_count and self._connection_ends_body():
            raise AttemptFailed(
                RunState.UNKNOWN, "the stream ended before its first event", connection_lost=True
            )
        return self._event_buffer.take_comments()

    def _connection_ends_body(self) -> bool:
        """Return whether only the end of the connection marks the end of the response."""
        return self._connection is not None and self._connection.body_ends_at_close

    @property
    def last_event_id(self) -> str:
        """Identity of the last complete event that was read and had one, or empty."""
        return self._event_buffer.last_event_id

    @property
    def may_be_beginning_answer(self) -> bool:
        """Whether the answer has not begun, or began less than ``SURVIVAL_S`` ago."""
        now_s = asyncio.get_running_loop().time()
        return self.first_event_s is None or now_s - self.first_event_s < SURVIVAL_S

    @property
    def suspect_keys(self) -> frozenset[str]:
        """Keys of the request to which a crash of the server would be put down now.

        A part of the prompt crashes a server only as the answer begins.
        """
        request = self._request
        return request.crash_keys if self.may_be_beginning_answer else request.content_keys

    def interval_became_ready(self) -> bool:
        """Return whether the mean interval can be measured now and was not reported before.

        It is True once, after ``MIN_MEASURED_EVENTS`` events, so that a stream is measured once.
        """
        if self.interval_was_reported or self.event_count < MIN_MEASURED_EVENTS:
            return False
        self.interval_was_reported = True
        return True

    def mean_event_interval_s(self) -> float:
        """Return the mean time between the events so far, in seconds."""
        assert self.first_event_s is not None
        # Between n events there are n - 1 intervals.
        return (self._last_event_s - self.first_event_s) / max(1, self.event_count - 1)

    def _count_events(self, events: bytes) -> None:
        """Count complete events that have just arrived, and store the times of first and last."""
        self._last_event_s = asyncio.get_running_loop().time()
        if self.first_event_s is None:
            self.first_event_s = self._last_event_s
        self.event_count += events.count(EVENT_END)

    def end_prompt_processing(self) -> None:
        """Subtract the prompt from the server's queued time, at the first event or at the end.

        The first event shows that the server has processed the prompt. Later calls do nothing.
        """
        if self._is_processing_prompt:
            self._is_processing_prompt = False
            self.server.queued_prompt_s -= self._expected_prompt_s

    def close(self) -> None:
        """End the count as in flight, and return the connection to its pool.

        The pool closes the connection if the response has not arrived completely, by which the
        server learns that it must stop. Further calls do nothing.
        """
        if not self.is_open:
            return
        self.is_open = False
        self.end_prompt_processing()
        self._memory.close()
        self._drop_body()
        self.server.in_flight -= 1
        self.server.arrivals.record_end(asyncio.get_running_loop().time() - self.sent_s)
        if self._connection is not None:
            self.was_cut = self._connection.is_answer_pending
            if self.was_cut:
                self._record_abandoned_run()
            self.server.pool.release(self._connection)
            self._connection = None

    def _give_up_response(self) -> None:
        """End the connection and drop the body, so that its memory is free for others."""
        if self._connection is not None:
            self._connection.give_up_answer()
        self._drop_body()

    def _drop_body(self) -> None:
        """Forget the buffered parts of the body."""
        self._body_parts.clear()
        self._event_buffer.drop_partial_event()

    def _record_abandoned_run(self) -> None:
        """Let the request count as a suspect as long as the server may still work on it.

        The server has been told the deadline. A part of the prompt is a suspect only until shortly
        after the answer has begun.
        """
        request = self._request
        if self._head is not None:
            begin_ends_s = asyncio.get_running_loop().time() + SURVIVAL_S
            self.server.record_abandoned_run(self.suspect_keys, begin_ends_s)
            self.server.record_abandoned_run(request.content_keys, request.deadline_s)
        else:
            self.server.record_abandoned_run(request.crash_keys, request.deadline_s)

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
            higher, used a content encoding, or sent a success without its signature. Other
            statuses from 400 on say that the request is invalid, and are forwarded.
        """
        header_names = self._header_names
        # The header that marks a request that has not run, or a server that the request is not for.
        not_run = head.get(header_names.not_run) is not None or head.status == MISDIRECTED_STATUS
        if not_run and head.status >= 400:
            await self.read_whole()
            raise AttemptFailed(RunState.NO, f"refused with status {head.status}", head)
        # The gateway decodes no bodies, and it could not find the ends of events in an encoded one.
        if head.get("Content-Encoding") is not None:
            raise AttemptFailed(RunState.UNKNOWN, "the answer has another encoding")
        # A backend server adds its signature, a header that nothing else sends, to each response. A
        # success without it comes from something else, such as a proxy on the way, and does not
        # show that the request has run. Only the presence of the header is checked.
        if head.status < 400 and head.get(header_names.server_signature) is None:
            raise AttemptFailed(RunState.UNKNOWN, "the answer has no signature")
        if head.status >= 500:
            body = await self.read_whole()
            raise AttemptFailed(RunState.YES, f"failed with status {head.status}", head, body)
        return head

    def _encode(self, now_s: float) -> bytes:
        """Return the HTTP/1.1 request as bytes; ``now_s`` is the present time in seconds."""
        request = self._request
        lines = [f"{request.method} {request.target} HTTP/1.1"]
        lines.extend(f"{name}: {value}" for name, value in self._headers(now_s))
        head = "\r\n".join(lines) + "\r\n\r\n"
        # The HTTP server decodes header bytes that are no valid UTF-8 as surrogates; encoding them
        # in the same way sends the bytes on as they came.
        return head.encode("utf-8", "surrogateescape") + request.body

    def _headers(self, now_s: float) -> Iterator[tuple[str, str]]:
        """Yield the name and value of each header that is sent to the server.

        These are the caller's headers, without those that only the gateway may set, and the
        gateway's own. ``now_s`` is the present time in seconds.
        """
        request, header_names = self._request, self._header_names
        yield from request.headers
        # At least 1 ms, so that the header is always a positive number.
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
        # Other methods may have a body, so the length is sent even if it is 0.
        if request.body or request.method not in ("GET", "HEAD", "OPTIONS"):
            yield "Content-Length", str(len(request.body))
