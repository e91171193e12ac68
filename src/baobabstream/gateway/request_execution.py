"""Executes one request: chooses servers, retries, escalates to a larger model, and responds.

An attempt sends the request to one backend server. The gateway counts *sends*, which include those
that a server refuses without running them, and *runs*, which are attempts whose server has run the
request or may have run it.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

from aiohttp import web

from baobabstream.backends.http_connection import AnswerHead
from baobabstream.errors.codes import CODE_TABLE, ResultCode, RunState
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.gateway.attempt import Attempt, AttemptFailed, uncached_prompt_tokens
from baobabstream.gateway.attempt_recorder import AttemptRecorder
from baobabstream.gateway.error_responses import error_response
from baobabstream.gateway.gateway_context import GatewayContext
from baobabstream.gateway.request_reader import CONNECTION_HEADERS
from baobabstream.gateway.routed_request import RoutedRequest
from baobabstream.gateway.server_directory import KnownServer
from baobabstream.routing.document import RouteKind
from baobabstream.routing.model_cascade import escalation_model, initial_model
from baobabstream.routing.server_choice import choose_server
from baobabstream.telemetry.decision_log import DecisionEvent
from baobabstream.telemetry.statistics import StatisticName

__all__ = ["RequestExecution"]

# Most sends of one request, counting those that servers refuse without running it.
MAX_SENDS = 5
# A server without a first part of its response counts as hung after this multiple of the latency
# target and this multiple of the expected time, whichever is later. Twice the target leaves late
# responses their worth; servers' noise triples a response time.
HANG_TARGET_MULTIPLE, HANG_EXPECTED_MULTIPLE = 2.0, 5.0
# A stream that is silent for this multiple of the route's target gap between events counts as
# stalled. It is also the shortest such time in seconds.
STALL_GAP_MULTIPLE = 2.5


@dataclass
class _Progress:
    """Attempts of a request so far.

    Parameters
    ----------
    send_count, run_count
        Number of sends, and of runs.
    may_have_run
        Whether a failed attempt ran or may have run the request.
    model
        Model for the next or current attempt, or empty.
    confidence
        Confidence header of the last response, 0 to 100 as text, or empty.
    first_event_s
        Seconds from the arrival to the first part of the last response, or None before it.
    """

    send_count: int = 0
    run_count: int = 0
    may_have_run: bool = False
    model: str = ""
    confidence: str = ""
    first_event_s: float | None = None


class RequestExecution:
    """Executes one request from its arrival to its end.

    Parameters
    ----------
    request
        The parsed request.
    http_request
        The caller's HTTP request.
    context
        State that all requests of the gateway share.
    """

    def __init__(
        self, request: RoutedRequest, http_request: web.Request, context: GatewayContext
    ) -> None:
        self._request = request
        self._http_request = http_request
        self._context = context
        self._loop = asyncio.get_running_loop()
        self._progress = _Progress(model=initial_model(request.route, request.model))
        # Servers that the current model has been tried at, and servers that refused the request.
        self._tried_server_ids: set[str] = set()
        self._refusing_server_ids: set[str] = set()
        # Server of the last attempt, and the response to the caller once there is one.
        self._server: KnownServer | None = None
        self._response: web.StreamResponse | None = None
        self._recorder = AttemptRecorder(request, context)
        self._outcome = "caller_left"

    async def run(self) -> web.StreamResponse:
        """Execute the request and return the response that was given to the caller."""
        try:
            async with asyncio.timeout_at(self._request.deadline_s):
                return await self._execute()
        except TimeoutError:
            return self._respond_timed_out()
        except _BackendError as backend_error:
            self._outcome = "failed by the server"
            return self._respond(backend_error.response())
        except AttemptFailed as failure:
            self._outcome = f"broke off: {failure.reason}"
            return self._abort_stream()
        except RequestRefused as error:
            self._outcome = f"refused {int(error.code)}"
            if self._response is not None and self._response.prepared:
                return self._abort_stream()
            return self._respond(error_response(self._with_true_run_state(error)))
        finally:
            self._log_end()

    async def _execute(self) -> web.StreamResponse:
        """Attempt the request until there is a response.

        Raises
        ------
        RequestRefused
            If the request is quarantined, no server is available, or no retry is allowed.
        _BackendError
            If the server's own error is to be forwarded.
        AttemptFailed
            If a stream broke off after its start and cannot be continued.
        """
        request, context = self._request, self._context
        if context.crash_tracker.is_quarantined(request.fingerprint):
            raise RequestRefused(ResultCode.QUARANTINED)
        context.retry_budget(request.service).record_request(self._loop.time())
        while True:
            attempt = self._new_attempt(self._callers_last_event_id())
            try:
                return await self._run_attempt(attempt)
            except _EscalateModel as escalation:
                self._progress.model = escalation.model
                self._tried_server_ids.clear()
            except AttemptFailed as failure:
                self._record_failure(attempt, failure)
                self._require_retry(failure)
            finally:
                attempt.close()

    async def _run_attempt(self, attempt: Attempt) -> web.StreamResponse:
        """Send the request to the server of an attempt and return the response to the caller."""
        self._server = attempt.server
        self._progress.send_count += 1
        if self._request.route.kind is RouteKind.STREAM:
            return await self._run_stream_attempt(attempt)
        async with self._hang_timeout(attempt):
            head = await attempt.send()
            body = await attempt.read_whole()
        self._record_response(attempt)
        self._outcome = "served"
        response = web.Response(body=body, status=head.status, headers=_forwarded_headers(head))
        return self._respond(response)

    async def _run_stream_attempt(self, attempt: Attempt) -> web.StreamResponse:
        """Send a request for a stream, and relay its events to the caller until the end."""
        async with self._hang_timeout(attempt):
            head = await attempt.send()
        if head.status >= 300:
            body = await attempt.read_whole()
            self._outcome = "failed by the server"
            failed_response = web.Response(
                body=body, status=head.status, headers=_forwarded_headers(head)
            )
            return self._respond(failed_response)
        self._progress.confidence = head.get(self._context.header_names.confidence) or ""
        self._check_confidence(attempt)
        async with self._hang_timeout(attempt):
            events = await attempt.read_events()
        self._record_response(attempt)
        response = web.StreamResponse(status=head.status, headers=_forwarded_headers(head))
        response.enable_chunked_encoding()
        self._response = response
        await response.prepare(self._http_request)
        await self._relay(attempt, response, events)
        return response

    @asynccontextmanager
    async def _hang_timeout(self, attempt: Attempt) -> AsyncIterator[None]:
        """Limit the time of the enclosed block if the request may be sent to another server.

        Raises
        ------
        AttemptFailed
            If the server counts as hung.
        """
        route, progress, context = self._request.route, self._progress, self._context
        budget = context.retry_budget(self._request.service)
        may_retry = (
            route.is_repeatable
            and progress.run_count + 1 < route.max_attempts
            and budget.allows_retry(self._loop.time(), context.gateway_count)
        )
        if not may_retry:
            yield
            return
        expected_s = context.response_times.expected_s(
            attempt.model or route.name, attempt.uncached_prompt_tokens
        )
        timeout_s = max(
            route.latency_target_s * HANG_TARGET_MULTIPLE, expected_s * HANG_EXPECTED_MULTIPLE
        )
        try:
            async with asyncio.timeout(timeout_s):
                yield
        except TimeoutError as error:
            reason = f"no answer within {timeout_s:.2f} s"
            raise AttemptFailed(RunState.UNKNOWN, reason) from error

    def _check_confidence(self, attempt: Attempt) -> None:
        """Raise ``_EscalateModel`` if the confidence is too low and another run is allowed."""
        request, progress = self._request, self._progress
        try:
            confidence = float(progress.confidence)
        except ValueError:
            return
        if not request.route.is_repeatable or progress.run_count + 1 >= request.route.max_attempts:
            return
        model = escalation_model(
            request.route, attempt.model, confidence, self._largest_model_time_fraction()
        )
        if model is not None and self._try_acquire_retry():
            self._record_response(attempt)
            raise _EscalateModel(model)

    def _largest_model_time_fraction(self) -> float:
        """Return the largest model's expected time to its first event over the time left.

        The time left is that until the route's latency target. The result is infinite if the
        target has passed, or the route has no models or no candidate servers.
        """
        request, context, now_s = self._request, self._context, self._loop.time()
        time_left_s = request.arrived_s + request.route.latency_target_s - now_s
        if time_left_s <= 0 or not request.route.model_names:
            return float("inf")
        largest_model = request.route.model_names[-1]
        zone = context.settings.availability_zone
        first_event_times_s = (
            load.queued_prompt_s + load.prompt_s * load.slowdown
            for load in (
                server.load(now_s, zone, self._expected_prompt_s(server, largest_model))
                for server in context.candidates(request.service, request.session, now_s)
            )
        )
        return min(first_event_times_s, default=float("inf")) / time_left_s

    async def _relay(self, attempt: Attempt, response: web.StreamResponse, events: bytes) -> None:
        """Write a stream's events to the caller until its end.

        If the stream breaks, it continues at another server.

        Parameters
        ----------
        attempt
            Attempt that reads the stream; its owner closes it.
        response
            Response to the caller.
        events
            First events, already read.

        Raises
        ------
        AttemptFailed
            If the stream breaks and cannot be continued.
        """
        # A later attempt that was opened here, and must be closed here.
        resumed_attempt: Attempt | None = None
        last_event_id = ""
        try:
            while True:
                try:
                    while events:
                        last_event_id = attempt.last_event_id
                        await response.write(events)
                        events = await self._read_events(attempt)
                        if attempt.interval_became_ready():
                            self._recorder.record_event_interval(attempt)
                    await response.write_eof()
                    self._outcome = "served"
                    return
                except AttemptFailed as failure:
                    self._record_failure(attempt, failure)
                    self._require_resume(failure, last_event_id)
                if resumed_attempt is not None:
                    resumed_attempt.close()
                    resumed_attempt = None
                attempt, events = await self._resume(last_event_id)
                resumed_attempt = attempt
        finally:
            if resumed_attempt is not None:
                resumed_attempt.close()

    async def _read_events(self, attempt: Attempt) -> bytes:
        """Return the next complete events of a stream, or nothing at its end.

        Raises
        ------
        AttemptFailed
            If the stream breaks off or stalls.
        """
        timeout_s = max(
            STALL_GAP_MULTIPLE * self._request.route.event_gap_target_s, STALL_GAP_MULTIPLE
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await attempt.read_events()
        except TimeoutError as error:
            raise AttemptFailed(
                RunState.UNKNOWN, "the stream stalled", connection_lost=True
            ) from error

    async def _resume(self, last_event_id: str) -> tuple[Attempt, bytes]:
        """Continue the stream at another server after the last event that the caller has.

        Returns
        -------
        tuple of Attempt and bytes
            The new attempt, which the caller must close, and its first events.
        """
        while True:
            attempt = self._new_attempt(last_event_id)
            self._server = attempt.server
            self._progress.send_count += 1
            try:
                head = await attempt.send()
                if head.status >= 300:
                    raise AttemptFailed(RunState.YES, f"status {head.status} on a resume", head)
                return attempt, await attempt.read_events()
            except AttemptFailed as failure:
                self._record_failure(attempt, failure)
                attempt.close()
                self._require_resume(failure, last_event_id)
            except BaseException:
                attempt.close()
                raise

    def _callers_last_event_id(self) -> str:
        """Return the event after which the caller resumes a stream, or empty."""
        return self._request.last_event_id if self._request.route.is_resumable else ""

    def _choose_server(self) -> tuple[KnownServer, float]:
        """Choose the server of the next attempt.

        Servers that refused the request or have no free connection are excluded. Servers that have
        not been tried, and those that are not suspended, are preferred.

        Returns
        -------
        tuple of KnownServer and float
            The server, and its expected seconds to process the prompt.

        Raises
        ------
        RequestRefused
            ``NO_BACKEND_SERVER`` if no server is left.
        """
        request, context, now_s = self._request, self._context, self._loop.time()
        servers = context.candidates(request.service, request.session, now_s)
        accepting_servers = [
            server for server in servers if server.row.server_id not in self._refusing_server_ids
        ]
        untried_servers = [
            server
            for server in accepting_servers
            if server.row.server_id not in self._tried_server_ids
        ]
        connectable_servers = [
            server for server in untried_servers or accepting_servers if not server.pool.is_full
        ]
        usable_servers = [
            server for server in connectable_servers if server.suspended_until_s <= now_s
        ] or connectable_servers
        if not usable_servers:
            raise RequestRefused(ResultCode.NO_BACKEND_SERVER)
        zone = context.settings.availability_zone
        loads = [
            server.load(now_s, zone, self._expected_prompt_s(server, self._progress.model))
            for server in usable_servers
        ]
        chosen_load = choose_server(loads, context.random)
        chosen_server = next(
            server for server in usable_servers if server.row.server_id == chosen_load.server_id
        )
        self._tried_server_ids.add(chosen_load.server_id)
        context.session_versions.record_request(request.service, request.session, now_s)
        return chosen_server, chosen_load.prompt_s

    def _expected_prompt_s(self, server: KnownServer, model: str) -> float:
        """Return the expected seconds for a server to process the prompt with a model."""
        if not model:
            return 0.0
        return self._context.response_times.expected_s(
            model, uncached_prompt_tokens(self._request, server, model)
        )

    def _new_attempt(self, last_event_id: str) -> Attempt:
        """Choose a server and return an attempt there that has not been sent yet."""
        server, expected_prompt_s = self._choose_server()
        return Attempt(
            self._request,
            server,
            self._progress.model,
            last_event_id,
            self._context.header_names,
            expected_prompt_s,
        )

    def _record_response(self, attempt: Attempt) -> None:
        """Count an attempt whose response has begun as a run."""
        attempt.has_response = True
        self._progress.run_count += 1
        self._progress.first_event_s = self._loop.time() - self._request.arrived_s
        self._recorder.record_response(attempt)

    def _record_failure(self, attempt: Attempt, failure: AttemptFailed) -> None:
        """Record whether a failed attempt ran or was refused without running."""
        if failure.run_state is RunState.NO:
            self._refusing_server_ids.add(attempt.server.row.server_id)
        else:
            self._progress.run_count += not attempt.has_response
            self._progress.may_have_run = True
        self._recorder.record_failure(attempt, failure, self._progress.send_count)

    def _require_retry(self, failure: AttemptFailed) -> None:
        """Return if the request may be sent again; else raise its final error."""
        request, progress = self._request, self._progress
        may_repeat = failure.run_state is RunState.NO or request.route.is_repeatable
        if (
            not may_repeat
            or progress.run_count >= request.route.max_attempts
            or progress.send_count >= MAX_SENDS
            or not self._try_acquire_retry()
        ):
            self._raise_final_error(failure)

    def _require_resume(self, failure: AttemptFailed, last_event_id: str) -> None:
        """Return if the stream may continue at another server; else raise ``failure``."""
        request, progress = self._request, self._progress
        if (
            not request.route.is_resumable
            or not last_event_id
            or progress.run_count >= request.route.max_attempts
            or progress.send_count >= MAX_SENDS
            or not self._try_acquire_retry()
        ):
            raise failure

    def _try_acquire_retry(self) -> bool:
        """Use one retry of the service's budget, and return whether the budget allows it."""
        context = self._context
        budget = context.retry_budget(self._request.service)
        return budget.try_acquire(self._loop.time(), context.gateway_count)

    def _raise_final_error(self, failure: AttemptFailed) -> None:
        """Raise the error that the caller gets after the last failed attempt."""
        if failure.head is not None and failure.run_state is RunState.YES:
            raise _BackendError(failure) from failure
        if self._progress.may_have_run:
            raise RequestRefused(ResultCode.BACKEND_FAILED, failure.reason) from failure
        raise RequestRefused(ResultCode.NO_BACKEND_SERVER, failure.reason) from failure

    def _with_true_run_state(self, error: RequestRefused) -> RequestRefused:
        """Return an error that doesn't claim that a request has not run if it may have run."""
        may_have_run = self._progress.run_count > 0 or self._progress.may_have_run
        if not may_have_run or CODE_TABLE[error.code].run_state is not RunState.NO:
            return error
        return RequestRefused(ResultCode.BACKEND_FAILED, error.detail)

    def _respond(self, response: web.Response) -> web.Response:
        """Store a response as the one to the caller, and return it."""
        self._response = response
        return response

    def _respond_timed_out(self) -> web.StreamResponse:
        """Return the response to a request whose deadline has passed."""
        self._outcome = "timed out"
        if self._response is not None and self._response.prepared:
            return self._abort_stream()
        may_have_run = self._progress.may_have_run or self._progress.send_count > 0
        code = ResultCode.TIMED_OUT if may_have_run else ResultCode.NO_BACKEND_SERVER
        return self._respond(error_response(RequestRefused(code)))

    def _abort_stream(self) -> web.StreamResponse:
        """Close the connection, so that the caller doesn't take the stream for complete."""
        assert self._response is not None
        if self._http_request.transport is not None:
            self._http_request.transport.close()
        return self._response

    def _log_end(self) -> None:
        """Add the request to the statistics and the decision log."""
        context, request, progress = self._context, self._request, self._progress
        now_s = self._loop.time()
        first_event_s = progress.first_event_s
        statistics, kind = context.decisions.statistics, request.route.kind
        statistics.add(StatisticName.REQUESTS, kind, self._outcome.partition(":")[0])
        statistics.observe(StatisticName.REQUEST_SECONDS, now_s - request.arrived_s, kind)
        if first_event_s is not None and self._outcome == "served":
            statistics.observe(StatisticName.FIRST_EVENT_SECONDS, first_event_s, kind)
        context.decisions.record(
            DecisionEvent.REQUEST_ENDED,
            important=self._outcome != "served",
            request_id=request.request_id,
            route=request.route.name,
            account=request.account.name if request.account else "",
            outcome=self._outcome,
            status=self._response.status if self._response is not None else 0,
            attempts=progress.send_count,
            server=self._server.row.server_id if self._server else "",
            server_version=self._server.row.version if self._server else "",
            model=progress.model,
            confidence=progress.confidence,
            first_event_ms=int(first_event_s * 1000) if first_event_s is not None else None,
            elapsed_ms=int((now_s - request.arrived_s) * 1000),
            document_version=context.route_table.document.version if context.route_table else 0,
            control_age_ms=context.control_age_ms(),
            pace_ratio=(
                round(self._recorder.event_slowdown, 2) if self._recorder.event_slowdown else None
            ),
            session=request.session,
        )


class _EscalateModel(Exception):
    """Raised when a larger model should answer; the caller has received nothing yet."""

    def __init__(self, model: str) -> None:
        self.model = model
        super().__init__(model)


class _BackendError(Exception):
    """Raised when a server's own error response is to be forwarded to the caller."""

    def __init__(self, failure: AttemptFailed) -> None:
        self.failure = failure
        super().__init__(failure.reason)

    def response(self) -> web.Response:
        """Return the error response as the server gave it."""
        head = self.failure.head
        assert head is not None
        return web.Response(
            body=self.failure.body, status=head.status, headers=_forwarded_headers(head)
        )


def _forwarded_headers(head: AnswerHead) -> list[tuple[str, str]]:
    """Return the headers of a server's response that the caller gets."""
    return [(name, value) for name, value in head.headers if name.lower() not in CONNECTION_HEADERS]
