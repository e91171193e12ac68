"""Carries one request through its attempts to its answer."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from aiohttp import web

from baobabstream.backends.http_connection import AnswerHead
from baobabstream.errors.codes import CODE_TABLE, ResultCode, RunState
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.gateway.answer_notes import AnswerNotes
from baobabstream.gateway.attempt import Attempt, AttemptFailed, unread_tokens
from baobabstream.gateway.refusals import refusal
from baobabstream.gateway.request_reader import CONNECTION_HEADERS
from baobabstream.gateway.routed_request import RoutedRequest
from baobabstream.gateway.run_context import RunContext
from baobabstream.gateway.server_directory import KnownServer
from baobabstream.routing.document import RouteKind
from baobabstream.routing.model_choice import first_model, larger_model
from baobabstream.routing.server_choice import choose_server
from baobabstream.telemetry.decision_log import DecisionEvent
from baobabstream.telemetry.statistics import StatisticName

__all__ = ["RequestRun"]

# Sends of one request, counting those that servers refuse without running it.
MAX_SENDS = 5
# A server without a first part after this many times the target, and this many times the expected
# time, hangs. Twice the target leaves late answers their worth; servers' noise triples a time.
HUNG_TARGETS, HUNG_RATIO = 2.0, 5.0
# An engine that is silent this long in the middle of a stream is taken for lost.
STALL_GAPS = 2.5


@dataclass
class _Progress:
    """Sends of a request so far."""

    sends: int = 0
    runs: int = 0
    maybe_run: bool = False
    model: str = ""
    confidence: str = ""
    first_event_s: float | None = None


class RequestRun:
    """One request from its arrival to its end.

    Parameters
    ----------
    request
        The request as read.
    http
        The caller's HTTP request.
    context
        What runs share.
    """

    def __init__(self, request: RoutedRequest, http: web.Request, context: RunContext) -> None:
        self._request = request
        self._http = http
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._progress = _Progress(model=first_model(request.route, request.model))
        self._tried: set[str] = set()
        self._refused_by: set[str] = set()
        self._server: KnownServer | None = None
        self._response: web.StreamResponse | None = None
        self._notes = AnswerNotes(request, context)
        self._outcome = "caller_left"

    async def run(self) -> web.StreamResponse:
        """Return the response that was given to the caller."""
        try:
            async with asyncio.timeout_at(self._request.deadline_s):
                return await self._answer()
        except TimeoutError:
            return self._timed_out()
        except _Delivered as delivered:
            self._outcome = "failed by the server"
            return self._respond(delivered.response())
        except AttemptFailed as failure:
            self._outcome = f"broke off: {failure.reason}"
            return self._broken_off()
        except RequestRefused as error:
            self._outcome = f"refused {int(error.code)}"
            if self._response is not None and self._response.prepared:
                return self._broken_off()
            return self._respond(refusal(self._truthful(error)))
        finally:
            self._log_end()

    async def _answer(self) -> web.StreamResponse:
        request, context = self._request, self._context
        if context.crashes.quarantined(request.fingerprint):
            raise RequestRefused(ResultCode.QUARANTINED)
        context.budget(request.service).note_request(self._loop.time())
        while True:
            attempt = self._new_attempt(self._resume_id())
            try:
                return await self._attempt(attempt)
            except _LargerModel as larger:
                self._progress.model = larger.model
                self._tried.clear()
            except AttemptFailed as failure:
                self._note_failure(attempt, failure)
                self._check_retry(failure)
            finally:
                attempt.close()

    async def _attempt(self, attempt: Attempt) -> web.StreamResponse:
        self._server = attempt.server
        self._progress.sends += 1
        if self._request.route.kind is RouteKind.STREAM:
            return await self._attempt_stream(attempt)
        async with self._first_part_limit(attempt):
            head = await attempt.send()
            body = await attempt.read_whole()
        self._note_answer(attempt)
        self._outcome = "served"
        response = web.Response(body=body, status=head.status, headers=_passed_back(head))
        return self._respond(response)

    async def _attempt_stream(self, attempt: Attempt) -> web.StreamResponse:
        async with self._first_part_limit(attempt):
            head = await attempt.send()
        if head.status >= 300:
            body = await attempt.read_whole()
            self._outcome = "failed by the server"
            failed = web.Response(body=body, status=head.status, headers=_passed_back(head))
            return self._respond(failed)
        self._progress.confidence = head.get(self._context.names.confidence) or ""
        self._check_confidence(attempt)
        async with self._first_part_limit(attempt):
            events = await attempt.read_events()
        self._note_answer(attempt)
        response = web.StreamResponse(status=head.status, headers=_passed_back(head))
        response.enable_chunked_encoding()
        self._response = response
        await response.prepare(self._http)
        await self._relay(attempt, response, events)
        return response

    @asynccontextmanager
    async def _first_part_limit(self, attempt: Attempt) -> AsyncIterator[None]:
        """Bound the wait for a server's first part if another server may be asked instead."""
        route, progress, context = self._request.route, self._progress, self._context
        budget = context.budget(self._request.service)
        may_leave = (
            route.repeatable
            and progress.runs + 1 < route.max_attempts
            and budget.left(self._loop.time(), context.gateways)
        )
        if not may_leave:
            yield
            return
        expected_s = context.times.expected_s(attempt.model or route.name, attempt.unread_tokens)
        limit_s = max(route.target_s * HUNG_TARGETS, expected_s * HUNG_RATIO)
        try:
            async with asyncio.timeout(limit_s):
                yield
        except TimeoutError as error:
            reason = f"no answer within {limit_s:.2f} s"
            raise AttemptFailed(RunState.UNKNOWN, reason) from error

    def _check_confidence(self, attempt: Attempt) -> None:
        """Raise ``_LargerModel`` if another model should answer instead."""
        request, progress = self._request, self._progress
        try:
            confidence = float(progress.confidence)
        except ValueError:
            return
        if not request.route.repeatable or progress.runs + 1 >= request.route.max_attempts:
            return
        model = larger_model(request.route, attempt.model, confidence, self._strain())
        if model is not None and self._budget_left():
            self._note_answer(attempt)
            raise _LargerModel(model)

    def _strain(self) -> float:
        """Return the largest model's time to its first event over the time left to the target."""
        request, context, now_s = self._request, self._context, self._loop.time()
        left_s = request.arrived_s + request.route.target_s - now_s
        if left_s <= 0 or not request.route.model_names:
            return float("inf")
        largest = request.route.model_names[-1]
        zone = context.settings.availability_zone
        times_s = (
            load.pending_s + load.own_s * load.slowness
            for load in (
                server.load(now_s, zone, self._own_s(server, largest))
                for server in context.candidates(request.service, request.session, now_s)
            )
        )
        return min(times_s, default=float("inf")) / left_s

    async def _relay(self, attempt: Attempt, response: web.StreamResponse, events: bytes) -> None:
        """Pass events on until the end; goes on at another server if the stream breaks."""
        owned: Attempt | None = None
        last_event_id = ""
        try:
            while True:
                try:
                    while events:
                        last_event_id = attempt.last_event_id
                        await response.write(events)
                        events = await self._next_events(attempt)
                        if attempt.pace_is_known():
                            self._notes.paced(attempt)
                    await response.write_eof()
                    self._outcome = "served"
                    return
                except AttemptFailed as failure:
                    self._note_failure(attempt, failure)
                    self._check_resume(failure, last_event_id)
                if owned is not None:
                    owned.close()
                    owned = None
                attempt, events = await self._resume(last_event_id)
                owned = attempt
        finally:
            if owned is not None:
                owned.close()

    async def _next_events(self, attempt: Attempt) -> bytes:
        limit_s = max(STALL_GAPS * self._request.route.event_gap_target_s, STALL_GAPS)
        try:
            async with asyncio.timeout(limit_s):
                return await attempt.read_events()
        except TimeoutError as error:
            raise AttemptFailed(RunState.UNKNOWN, "the stream stalled", reset=True) from error

    async def _resume(self, last_event_id: str) -> tuple[Attempt, bytes]:
        """Open the stream at another server after the last event that the caller has."""
        while True:
            attempt = self._new_attempt(last_event_id)
            self._server = attempt.server
            self._progress.sends += 1
            try:
                head = await attempt.send()
                if head.status >= 300:
                    raise AttemptFailed(RunState.YES, f"status {head.status} on a resume", head)
                return attempt, await attempt.read_events()
            except AttemptFailed as failure:
                self._note_failure(attempt, failure)
                attempt.close()
                self._check_resume(failure, last_event_id)
            except BaseException:
                attempt.close()
                raise

    def _resume_id(self) -> str:
        return self._request.last_event_id if self._request.route.resumable else ""

    def _choose(self) -> tuple[KnownServer, float]:
        """Return the server that fits best, and its expected time to read the prompt."""
        request, context, now_s = self._request, self._context, self._loop.time()
        servers = context.candidates(request.service, request.session, now_s)
        willing = [server for server in servers if server.row.server_id not in self._refused_by]
        fresh = [server for server in willing if server.row.server_id not in self._tried]
        open_to = [server for server in fresh or willing if not server.pool.is_full]
        usable = [item for item in open_to if item.held_until_s <= now_s] or open_to
        if not usable:
            raise RequestRefused(ResultCode.NO_BACKEND_SERVER)
        zone = context.settings.availability_zone
        loads = [
            server.load(now_s, zone, self._own_s(server, self._progress.model)) for server in usable
        ]
        chosen = choose_server(loads, context.random)
        server = next(item for item in usable if item.row.server_id == chosen.server_id)
        self._tried.add(chosen.server_id)
        context.sessions.note(request.service, request.session, now_s)
        return server, chosen.own_s

    def _own_s(self, server: KnownServer, model: str) -> float:
        """Return the expected time for a server to read the prompt with a model."""
        if not model:
            return 0.0
        return self._context.times.expected_s(model, unread_tokens(self._request, server, model))

    def _new_attempt(self, last_event_id: str) -> Attempt:
        server, own_s = self._choose()
        return Attempt(
            self._request,
            server,
            self._progress.model,
            last_event_id,
            self._context.names,
            own_s,
        )

    def _note_answer(self, attempt: Attempt) -> None:
        attempt.answered = True
        self._progress.runs += 1
        self._progress.first_event_s = self._loop.time() - self._request.arrived_s
        self._notes.answered(attempt)

    def _note_failure(self, attempt: Attempt, failure: AttemptFailed) -> None:
        if failure.run_state is RunState.NO:
            self._refused_by.add(attempt.server.row.server_id)
        else:
            self._progress.runs += not attempt.answered
            self._progress.maybe_run = True
        self._notes.failed(attempt, failure, self._progress.sends)

    def _check_retry(self, failure: AttemptFailed) -> None:
        """Return if the request may be sent again; else raise its final answer."""
        request, progress = self._request, self._progress
        allowed = failure.run_state is RunState.NO or request.route.repeatable
        if (
            not allowed
            or progress.runs >= request.route.max_attempts
            or progress.sends >= MAX_SENDS
            or not self._budget_left()
        ):
            self._give_up(failure)

    def _check_resume(self, failure: AttemptFailed, last_event_id: str) -> None:
        request, progress = self._request, self._progress
        if (
            not request.route.resumable
            or not last_event_id
            or progress.runs >= request.route.max_attempts
            or progress.sends >= MAX_SENDS
            or not self._budget_left()
        ):
            raise failure

    def _budget_left(self) -> bool:
        context = self._context
        budget = context.budget(self._request.service)
        return budget.take(self._loop.time(), context.gateways)

    def _give_up(self, failure: AttemptFailed) -> None:
        if failure.head is not None and failure.run_state is RunState.YES:
            raise _Delivered(failure) from failure
        if self._progress.maybe_run:
            raise RequestRefused(ResultCode.BACKEND_FAILED, failure.reason) from failure
        raise RequestRefused(ResultCode.NO_BACKEND_SERVER, failure.reason) from failure

    def _truthful(self, error: RequestRefused) -> RequestRefused:
        """Return a refusal as it is, or a failure if the request may have run somewhere."""
        ran = self._progress.runs > 0 or self._progress.maybe_run
        if not ran or CODE_TABLE[error.code].run_state is not RunState.NO:
            return error
        return RequestRefused(ResultCode.BACKEND_FAILED, error.detail)

    def _respond(self, response: web.Response) -> web.Response:
        self._response = response
        return response

    def _timed_out(self) -> web.StreamResponse:
        self._outcome = "timed out"
        if self._response is not None and self._response.prepared:
            return self._broken_off()
        maybe_run = self._progress.maybe_run or self._progress.sends > 0
        code = ResultCode.TIMED_OUT if maybe_run else ResultCode.NO_BACKEND_SERVER
        return self._respond(refusal(RequestRefused(code)))

    def _broken_off(self) -> web.StreamResponse:
        """End a stream so that the caller cannot take it for complete."""
        assert self._response is not None
        if self._http.transport is not None:
            self._http.transport.close()
        return self._response

    def _log_end(self) -> None:
        context, request, progress = self._context, self._request, self._progress
        now_s = self._loop.time()
        first_s = progress.first_event_s
        statistics, kind = context.decisions.statistics, request.route.kind
        statistics.add(StatisticName.REQUESTS, kind, self._outcome.partition(":")[0])
        statistics.observe(StatisticName.REQUEST_SECONDS, now_s - request.arrived_s, kind)
        if first_s is not None and self._outcome == "served":
            statistics.observe(StatisticName.FIRST_EVENT_SECONDS, first_s, kind)
        context.decisions.record(
            DecisionEvent.REQUEST_ENDED,
            important=self._outcome != "served",
            request_id=request.request_id,
            route=request.route.name,
            account=request.account.name if request.account else "",
            outcome=self._outcome,
            status=self._response.status if self._response is not None else 0,
            attempts=progress.sends,
            server=self._server.row.server_id if self._server else "",
            server_version=self._server.row.version if self._server else "",
            model=progress.model,
            confidence=progress.confidence,
            first_event_ms=int(first_s * 1000) if first_s is not None else None,
            elapsed_ms=int((now_s - request.arrived_s) * 1000),
            document_version=context.table.document.version if context.table else 0,
            control_age_ms=context.control_age_ms(),
            pace_ratio=round(self._notes.pace_ratio, 2) if self._notes.pace_ratio else None,
            session=request.session,
        )


class _LargerModel(Exception):
    """Another model should answer; the caller has received nothing yet."""

    def __init__(self, model: str) -> None:
        self.model = model
        super().__init__(model)


class _Delivered(Exception):
    """Carries a server's own failure to the caller."""

    def __init__(self, failure: AttemptFailed) -> None:
        self.failure = failure
        super().__init__(failure.reason)

    def response(self) -> web.Response:
        """Return the failure as the server gave it."""
        head = self.failure.head
        assert head is not None
        return web.Response(body=self.failure.body, status=head.status, headers=_passed_back(head))


def _passed_back(head: AnswerHead) -> list[tuple[str, str]]:
    return [(name, value) for name, value in head.headers if name.lower() not in CONNECTION_HEADERS]
