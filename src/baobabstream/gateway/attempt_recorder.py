"""Records the outcomes of the attempts of one request.

An attempt is one send of a request to one backend server. Its outcome updates the averages of the
server, the counts of good and bad responses by which versions are compared in a rollout, the
estimates of response times and the decision log. A rollout moves a service from one version to
another, its target, step by step.

The slowdown of a response is its time as a multiple of the time that is expected from earlier
responses. A server of a plain service runs no models and sends its response as a whole; an engine
runs a model and sends a stream of events.

The crash keys of a request are those by which requests that crash servers are recognised: a hash of
its content, and its shared prompt parts. A part crashes a server as the answer begins, so it
survives if the server's process is alive some time after that; a short answer may be complete
before its server crashes. A whole request may crash a server at any time of its run, so it survives
only if the process is alive some time after the answer is complete. The shared prefix of a prompt
is the part that other requests may begin with too, and that a server keeps in its cache once it has
processed it.
"""

import asyncio
from collections.abc import Collection

from baobabstream.backends.answer_head import AnswerHead
from baobabstream.errors.codes import RunState
from baobabstream.gateway.attempt import (
    MIN_MEASURED_EVENTS,
    MISDIRECTED_STATUS,
    SURVIVAL_S,
    Attempt,
    AttemptFailed,
)
from baobabstream.gateway.gateway_context import GatewayContext
from baobabstream.gateway.routed_request import RoutedRequest
from baobabstream.gateway.server_directory import BegunAnswer, KnownServer
from baobabstream.paths.path_connector import NoPath
from baobabstream.routing.document import RouteKind
from baobabstream.routing.version_evidence import (
    BAD_EVENT_SLOWDOWN,
    BAD_RESPONSE_SLOWDOWN,
    ResponseVerdict,
    judge_event_interval,
    judge_missing_response,
    judge_response,
)
from baobabstream.telemetry.decision_log import DecisionEvent
from baobabstream.telemetry.statistics import StatisticName
from baobabstream.wire.coordination_messages import ServerState

__all__ = ["AttemptRecorder"]

# Value of the header by which a server says that it is leaving.
LEAVING_VALUE = "1"
# HTTP status (Service Unavailable) with which a server refuses requests for a while.
UNAVAILABLE_STATUS = 503
# Longest pause that a server may ask for. A longer one is more likely an error of the server, which
# would take it out for good.
MAX_PAUSE_S = 300.0
# Time that is allowed for opening the connection before a response counts as late.
LATE_CHECK_MARGIN_S = 0.02
# Time in seconds without a reply after which no coordination host decides for this gateway.
MAX_CONTROL_AGE_S = 2.0


class AttemptRecorder:
    """Records the attempts of one request at the servers and in the decision log.

    Parameters
    ----------
    request
        The request whose attempts are recorded.
    context
        State that all requests of the gateway share.

    Attributes
    ----------
    event_slowdown
        Mean time between the events of the last measured stream as a multiple of the expected one;
        None before a measurement. A value above 1 means slower than expected.
    crash_checks
        Tasks that return whether a server has crashed that was beginning to answer the request.
    """

    def __init__(self, request: RoutedRequest, context: GatewayContext) -> None:
        self._request = request
        self._context = context
        self._loop = asyncio.get_running_loop()
        self.event_slowdown: float | None = None
        self.crash_checks: list[asyncio.Task[bool]] = []

    def record_response(self, attempt: Attempt, status: int) -> None:
        """Record the first part of a stream, or the whole response of a plain service.

        ``status`` is its HTTP status.

        The response time is compared with earlier responses of the same model, or of the same route
        if there is no model, for the number of prompt tokens that the server had to process. For
        a stream it ends with the first events and does not decide whether the response counts as
        good; see `record_event_interval`.

        The server now has the shared prefix of its prompt in its cache, under the key that names
        the model and the prefix.
        """
        now_s = self._loop.time()
        server, request, context = attempt.server, self._request, self._context
        model_or_route = attempt.model or request.route.name
        slowdown = context.response_times.slowdown(
            model_or_route, attempt.uncached_prompt_tokens, now_s - attempt.sent_s
        )
        server.record_response(failed=False, slowdown=slowdown, now_s=now_s)
        is_stream = request.route.kind is RouteKind.STREAM
        if is_stream:
            self._watch_event_interval(attempt)
        _count_response(attempt, judge_response(status, 0.0 if is_stream else slowdown))
        shared_prompt_key = request.shared_prompt_key(attempt.model)
        if shared_prompt_key is not None:
            server.record_cached_prompt(shared_prompt_key)

    def watch_response(self, attempt: Attempt) -> None:
        """Count a response of a plain service as bad as soon as it is too late to be good.

        A server may be so slow that a rollout ends before its responses come. Only responses that
        a rollout compares are watched.
        """
        request, context = self._request, self._context
        if request.route.kind is RouteKind.STREAM or not context.is_in_rollout(request.service):
            return
        late_s = BAD_RESPONSE_SLOWDOWN * context.response_times.expected_s(
            attempt.model or request.route.name, attempt.uncached_prompt_tokens
        )

        def count_if_late() -> None:
            """Count the response unless it has come, or the request was sent later than planned."""
            is_late = attempt.was_transmitted and self._loop.time() - attempt.sent_s >= late_s
            if attempt.is_open and is_late and attempt.verdict is ResponseVerdict.NONE:
                _count_response(attempt, ResponseVerdict.BAD)

        if late_s > 0:
            self._loop.call_later(late_s + LATE_CHECK_MARGIN_S, count_if_late)

    def record_failed_stream_response(self, attempt: Attempt, status: int) -> None:
        """Record an ordinary response in place of a stream, which is forwarded to the caller."""
        _count_response(attempt, judge_response(status, 0.0))

    def record_abandoned(self, attempt: Attempt) -> None:
        """Record an attempt that ended with its request: at the deadline, or as the caller left.

        A stream that has begun and whose caller leaves says nothing more about the version.
        """
        now_s, request = self._loop.time(), self._request
        has_begun = attempt.verdict is not ResponseVerdict.NONE
        if not attempt.was_transmitted or (has_begun and now_s < request.deadline_s):
            return
        wait_s = now_s - attempt.sent_s
        slowdown = 0.0
        if request.route.kind is not RouteKind.STREAM:
            expected_s = self._context.response_times.expected_s(
                attempt.model or request.route.name, attempt.uncached_prompt_tokens
            )
            slowdown = wait_s / expected_s if expected_s > 0 else 0.0
        _count_response(attempt, judge_missing_response(slowdown, wait_s / request.route.timeout_s))

    def watch_survival(self, attempt: Attempt, surviving_keys: frozenset[str]) -> None:
        """Record ``SURVIVAL_S`` from now that some keys survive, unless the server crashes.

        An answer that is cut earlier, as its caller has left, says nothing.

        Parameters
        ----------
        attempt
            Attempt whose answer has begun, or has arrived completely.
        surviving_keys
            Keys of the request that the survival clears: those of the parts of its prompt when the
            answer has begun, and that of its content when the answer is complete.
        """
        server, tracker, loop = attempt.server, self._context.crash_tracker, self._loop
        answer = BegunAnswer(self._request.crash_keys)
        server.begun_answers.add(answer)

        def record_survival() -> None:
            """Record a survival unless the answer was cut, or the server may have crashed."""
            server.begun_answers.discard(answer)
            if server.is_alive and not attempt.was_cut:
                tracker.record_survival(surviving_keys, loop.time())

        loop.call_later(SURVIVAL_S, record_survival)

    def record_event_interval(self, attempt: Attempt) -> None:
        """Count a stream as bad if its events are much slower than expected at this load.

        `record_response` has counted the stream as good, which is undone here. The load is the
        number of requests at the server when the attempt was sent. The time to the first event is
        not used for streams: under peak load a request waits at any server, whatever its version.
        Servers that run the target of a rollout don't contribute to the expected interval, which
        they are compared with. Streams without a model are not measured.
        """
        if not attempt.model:
            return
        if attempt.provisional_pace is not None:
            attempt.server.record_pace(attempt.provisional_pace, count=-1)
            attempt.provisional_pace = None
        interval_s = attempt.mean_event_interval_s()
        updates_estimate = not self._context.runs_rollout_target(attempt.server)
        slowdown = self._context.event_intervals.slowdown(
            attempt.model, attempt.requests_at_send, interval_s, updates_estimate
        )
        self.event_slowdown = slowdown
        attempt.server.record_pace(slowdown)
        _count_response(attempt, judge_event_interval(slowdown))

    def _watch_event_interval(self, attempt: Attempt) -> None:
        """Count a stream as bad once its events are certainly much slower than expected.

        The streams of a bad version may be so slow that a rollout ends before they are measured. It
        counts until `record_event_interval` measures it.
        """
        if not attempt.model:
            return
        expected_s = self._context.event_intervals.expected_s(
            attempt.model, attempt.requests_at_send
        )

        def record_provisionally() -> None:
            """Record the pace that the stream has at best, if it has not been measured yet."""
            if attempt.is_open and not attempt.interval_was_reported:
                attempt.provisional_pace = BAD_EVENT_SLOWDOWN
                attempt.server.record_pace(BAD_EVENT_SLOWDOWN)
                _count_response(attempt, ResponseVerdict.BAD)

        if expected_s > 0:
            interval_count = MIN_MEASURED_EVENTS - 1
            self._loop.call_later(
                interval_count * expected_s * BAD_EVENT_SLOWDOWN, record_provisionally
            )

    def record_failure(self, attempt: Attempt, failure: AttemptFailed, send_count: int) -> None:
        """Record an attempt without a response that may be forwarded as a success.

        The failure goes into the averages of the server unless the request has not run. It counts
        as a bad response of the server's version too, but a lost connection does so only if the
        server still runs. A server that cannot be reached, or whose address another server has
        taken over, is suspended: it gets no requests for a while if there is another one. So is one
        to which no path was found while those to other servers are there.

        Parameters
        ----------
        attempt
            The attempt that failed.
        failure
            Why it failed.
        send_count
            Number of sends of the request so far.
        """
        now_s = self._loop.time()
        server = attempt.server
        if failure.run_state is not RunState.NO:
            server.record_response(failed=True, slowdown=None, now_s=now_s)
        if failure.run_state is RunState.NO:
            # The refusal may have come so late that the response has been counted.
            _discard_count(attempt)
        elif attempt.was_transmitted and not failure.connection_lost:
            _count_response(attempt, ResponseVerdict.BAD)
        if failure.server_unreachable:
            self._suspend(server, failure.reason, now_s)
            self._record_unnoticed_crash(attempt)
        if failure.no_path and not self._context.paths.is_isolated:
            self._suspend(server, failure.reason, now_s)
        if failure.head is not None and failure.head.status == MISDIRECTED_STATUS:
            self._suspend(server, "another server has its address", now_s)
        if failure.connection_lost:
            self._check_crash(attempt)
        self._log_failure(attempt, failure, send_count, now_s)

    def record_notices(self, server: KnownServer, head: AnswerHead) -> None:
        """Record what the head of a response says about the server beside the response itself.

        A server that is leaving gets no more requests, and one that has refused a request and names
        a time gets none until then. One that names a limit gets no more requests than that, and one
        that is brittle no more than it has room for, as long as its responses say so. A response
        from another server at the address says nothing about this one.
        """
        if head.status == MISDIRECTED_STATUS:
            return
        header_names, now_s = self._context.header_names, self._loop.time()
        if head.get(header_names.server_leaving) == LEAVING_VALUE and not server.is_leaving:
            server.is_leaving = True
            self._context.decisions.record(
                DecisionEvent.SERVER_CHANGED,
                server=server.row.server_id,
                service=server.row.service,
                address=server.row.address,
                state=ServerState.DRAINING,
                version=server.row.version,
                reason="a response said that the server is leaving",
            )
        limit_per_s = _parse_rate_per_s(head.get(header_names.server_limit))
        if server.limit.observe(limit_per_s, now_s, now_s):
            self._context.log_limit(server, "an answer")
        max_rejections_per_s = _parse_rate_per_s(head.get(header_names.server_brittle))
        if self._context.directory.observe_brittleness(server, max_rejections_per_s):
            self._context.log_brittleness(server)
        if head.status == UNAVAILABLE_STATUS and head.get(header_names.not_run) is not None:
            gateway_count = self._context.ranks.current(now_s).count
            server.rejection_guard.record_rejection(gateway_count, now_s)
        pause_s = _parse_pause_s(head.get(header_names.retry_after))
        if head.status == UNAVAILABLE_STATUS and pause_s > 0:
            server.refuses_until_s = max(server.refuses_until_s, now_s + pause_s)
            self._context.decisions.record(
                DecisionEvent.SERVER_SUSPECTED,
                server=server.row.server_id,
                reason="the server asked for a pause",
                hold_ms=int(pause_s * 1000),
                others_in_flight=server.remote_work.in_flight,
            )

    def _suspend(self, server: KnownServer, reason: str, now_s: float) -> None:
        """Prefer other servers to a server for a while, and log the reason.

        ``hold_ms`` in the log is how long it is suspended. ``now_s`` is the present time in
        seconds.
        """
        suspension_s = server.suspend(now_s)
        self._context.decisions.record(
            DecisionEvent.SERVER_SUSPECTED,
            server=server.row.server_id,
            reason=reason,
            hold_ms=int(suspension_s * 1000),
            others_in_flight=server.remote_work.in_flight,
        )

    def _log_failure(
        self, attempt: Attempt, failure: AttemptFailed, send_count: int, now_s: float
    ) -> None:
        """Count a failed attempt in the statistics and write it to the decision log.

        ``elapsed_ms`` counts from the arrival of the caller's request, ``in_flight`` is the number
        of this gateway's requests at the server, and ``announced_age_ms`` is the time since the
        server last announced itself. A status of 0 stands for no response. ``now_s`` is the present
        time in seconds.
        """
        server, decisions = attempt.server, self._context.decisions
        decisions.statistics.add(StatisticName.FAILED_ATTEMPTS, failure.run_state)
        decisions.record(
            DecisionEvent.ATTEMPT_FAILED,
            request_id=self._request.request_id,
            server=server.row.server_id,
            model=attempt.model,
            attempt=send_count,
            run_state=failure.run_state,
            reason=failure.reason,
            status=failure.head.status if failure.head else 0,
            elapsed_ms=int((now_s - self._request.arrived_s) * 1000),
            in_flight=server.in_flight,
            announced_age_ms=int((now_s - server.last_announced_s) * 1000),
        )

    def _check_crash(self, attempt: Attempt) -> None:
        """Start a background task that suspends the server of an attempt if it has crashed.

        Called after the connection to the server ended, or its stream stalled, while a request was
        under way. The request itself does not wait for the task, which may take longer than the
        request. A crash counts against the request unless the server was about to end anyway, but
        not against the parts of its prompt if the answer had gone on for a while. If the server
        still runs, the lost response counts against its version.
        """
        context, server, lost_s = self._context, attempt.server, self._loop.time()
        suspect_keys, may_be_beginning = attempt.suspect_keys, attempt.may_be_beginning_answer

        async def suspend_if_crashed() -> bool:
            """Probe the server, suspend it if it has crashed, and return whether it has."""
            try:
                has_crashed = await context.crash_tracker.check_crash(server.pool.connector)
            except NoPath:
                return False
            if not has_crashed:
                if not attempt.lost_idle_connection:
                    _count_response(attempt, ResponseVerdict.BAD)
                return False
            _discard_count(attempt)
            self._suspend(server, "the server refuses connections", self._loop.time())
            suspects = server.take_crash_suspects(self._loop.time()) | {suspect_keys}
            self._log_crash(attempt, len(suspects), lost_s)
            return self._record_crash(server, suspects, lost_s)

        # The set keeps the task alive until it is done; the event loop holds only a weak reference.
        task = asyncio.create_task(suspend_if_crashed())
        context.background_tasks.add(task)
        task.add_done_callback(context.background_tasks.discard)
        if may_be_beginning:
            self.crash_checks.append(task)

    def _record_unnoticed_crash(self, attempt: Attempt) -> None:
        """Record that a server has ended while it ran requests that nobody waited for any more.

        Called if the server accepts no connection. The request of the attempt is no suspect, as it
        was not sent.
        """
        now_s = self._loop.time()
        suspects = attempt.server.take_crash_suspects(now_s)
        if suspects:
            self._log_crash(attempt, len(suspects), now_s)
            self._record_crash(attempt.server, suspects, now_s)

    def _log_crash(self, attempt: Attempt, suspect_count: int, lost_s: float) -> None:
        """Write the crash of a server to the decision log.

        Parameters
        ----------
        attempt
            Attempt that has noticed it.
        suspect_count
            Number of requests that are held responsible.
        lost_s
            Time in seconds at which the connection of the attempt ended, or was refused.
        """
        request, server, first_event_s = self._request, attempt.server, attempt.first_event_s
        self._context.decisions.record(
            DecisionEvent.SERVER_CRASHED,
            server=server.row.server_id,
            request_id=request.request_id,
            fingerprint=request.fingerprint,
            shared_parts=[part.part_id for part in request.prompt_parts[:-1]],
            events=attempt.event_count,
            answer_age_ms=(
                int((lost_s - first_event_s) * 1000) if first_event_s is not None else None
            ),
            suspects=suspect_count,
            in_service=self._context.is_in_service(server),
        )

    def _record_crash(
        self, server: KnownServer, suspects: Collection[frozenset[str]], lost_s: float
    ) -> bool:
        """Record that a server has crashed, and return whether its end was unexpected.

        Parameters
        ----------
        server
            The server.
        suspects
            Keys of each request that may have crashed it.
        lost_s
            Time in seconds at which a connection ended.
        """
        context = self._context
        server.has_crashed = True
        if not context.is_in_service(server):
            return False
        added, removed = context.crash_tracker.record_crash(
            server.process_id,
            suspects,
            lost_s,
            self._loop.time(),
            is_in_contact=context.control_age_s() < MAX_CONTROL_AGE_S,
        )
        context.log_quarantines(added, removed, "crashes seen by this gateway")
        return True


def _count_response(attempt: Attempt, verdict: ResponseVerdict) -> None:
    """Count the response of an attempt for the version of its server, in place of earlier counts.

    A verdict that says nothing leaves an earlier one in force.
    """
    if verdict is ResponseVerdict.NONE:
        return
    server, earlier_verdict = attempt.server, attempt.verdict
    server.good_responses += (verdict is ResponseVerdict.GOOD) - (
        earlier_verdict is ResponseVerdict.GOOD
    )
    server.bad_responses += (verdict is ResponseVerdict.BAD) - (
        earlier_verdict is ResponseVerdict.BAD
    )
    attempt.verdict = verdict


def _discard_count(attempt: Attempt) -> None:
    """Take back what was counted of an attempt that says nothing about its server's version."""
    attempt.server.good_responses -= attempt.verdict is ResponseVerdict.GOOD
    attempt.server.bad_responses -= attempt.verdict is ResponseVerdict.BAD
    attempt.verdict = ResponseVerdict.NONE


def _parse_pause_s(retry_after: str | None) -> float:
    """Return the seconds in a ``Retry-After`` header, at most ``MAX_PAUSE_S``.

    The result is 0 without the header, or if it is no positive number. The form with a date is not
    used between servers and gateways.
    """
    try:
        seconds = float(retry_after or 0.0)
    except ValueError:
        return 0.0
    return min(seconds, MAX_PAUSE_S) if seconds > 0 else 0.0


def _parse_rate_per_s(rate: str | None) -> float | None:
    """Return the number a second in a header of a server, or None without a valid one."""
    try:
        rate_per_s = float(rate) if rate is not None else None
    except ValueError:
        return None
    return rate_per_s if rate_per_s is not None and 0 <= rate_per_s < float("inf") else None
