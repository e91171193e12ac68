"""What a gateway learns from the answers and failures of backend servers."""

import asyncio

from baobabstream.errors.codes import RunState
from baobabstream.gateway.attempt import MISDIRECTED, Attempt, AttemptFailed
from baobabstream.gateway.gateway_context import RunContext
from baobabstream.gateway.routed_request import RoutedRequest
from baobabstream.gateway.server_directory import KnownServer
from baobabstream.routing.document import RouteKind
from baobabstream.telemetry.decision_log import DecisionEvent
from baobabstream.telemetry.statistics import StatisticName

__all__ = ["AnswerNotes"]

# An answer that takes this many times the expected time counts against its server's version; noise
# of a server alone makes answers two to three times as slow.
BAD_SLOWNESS = 4.0
# The same for the time between events, which varies less. A tenth of all streams of healthy servers
# are this slow; the versions of a service are compared by their shares.
BAD_PACE = 2.0


class AnswerNotes:
    """Notes the attempts of one request at the servers and in the log.

    Parameters
    ----------
    request
        The request.
    context
        What runs share.
    """

    def __init__(self, request: RoutedRequest, context: RunContext) -> None:
        self._request = request
        self._context = context
        self._loop = asyncio.get_running_loop()
        self.pace_ratio: float | None = None

    def answered(self, attempt: Attempt) -> None:
        """Note the first part of an answer, or the whole one of a plain service."""
        now_s = self._loop.time()
        server, request, context = attempt.server, self._request, self._context
        kind = attempt.model or request.route.name
        ratio = context.times.ratio(kind, attempt.unread_tokens, now_s - attempt.sent_s)
        server.note_answer(failed=False, slowness=ratio, now_s=now_s)
        plain = request.route.kind is not RouteKind.STREAM
        if plain and ratio > BAD_SLOWNESS:
            server.bad += 1
        else:
            server.good += 1
        context.crashes.answered(request.fingerprint)
        cached_prompt = request.cached_prompt(attempt.model)
        if cached_prompt is not None:
            server.note_prompt(cached_prompt)

    def paced(self, attempt: Attempt) -> None:
        """Count a stream whose events came several times slower than elsewhere at this load.

        The first event says less: at a crest it waits behind others at any server.
        """
        pace_s = attempt.event_pace_s()
        if not attempt.model:
            return
        learn = not self._context.on_trial(attempt.server)
        ratio = self._context.paces.ratio(attempt.model, attempt.load, pace_s, learn)
        self.pace_ratio = ratio
        if ratio > BAD_PACE:
            attempt.server.bad += 1
            attempt.server.good -= 1

    def failed(self, attempt: Attempt, failure: AttemptFailed, sends: int) -> None:
        """Note a send without an answer that may be passed on as a success.

        Parameters
        ----------
        attempt
            The send.
        failure
            Why it failed.
        sends
            Sends of the request so far.
        """
        now_s = self._loop.time()
        server = attempt.server
        if failure.run_state is not RunState.NO:
            server.note_answer(failed=True, slowness=None, now_s=now_s)
        if failure.run_state is RunState.YES:
            server.bad += 1
        if failure.unreachable:
            self._hold(server, failure.reason, now_s)
        if failure.head is not None and failure.head.status == MISDIRECTED:
            self._hold(server, "another server has its address", now_s)
        if failure.reset:
            self._check_crash(server)
        self._log_failure(attempt, failure, sends, now_s)

    def _hold(self, server: KnownServer, reason: str, now_s: float) -> None:
        hold_s = server.hold(now_s)
        self._context.decisions.record(
            DecisionEvent.SERVER_SUSPECTED,
            server=server.row.server_id,
            reason=reason,
            hold_ms=int(hold_s * 1000),
        )

    def _log_failure(
        self, attempt: Attempt, failure: AttemptFailed, sends: int, now_s: float
    ) -> None:
        server, decisions = attempt.server, self._context.decisions
        decisions.statistics.add(StatisticName.FAILED_ATTEMPTS, failure.run_state)
        decisions.record(
            DecisionEvent.ATTEMPT_FAILED,
            request_id=self._request.request_id,
            server=server.row.server_id,
            model=attempt.model,
            attempt=sends,
            run_state=failure.run_state,
            reason=failure.reason,
            status=failure.head.status if failure.head else 0,
            elapsed_ms=int((now_s - self._request.arrived_s) * 1000),
            in_flight=server.in_flight,
            announced_age_ms=int((now_s - server.heard_s) * 1000),
        )

    def _check_crash(self, server: KnownServer) -> None:
        """Find out in the background whether a server whose connection ended is gone."""
        context, request = self._context, self._request

        async def check() -> None:
            if await context.crashes.check(
                request.fingerprint,
                f"{server.row.server_id}.{server.row.born_ms}",
                server.row.address,
                context.names.request_id.lower(),
            ):
                self._hold(server, "the server refuses connections", self._loop.time())

        task = asyncio.create_task(check())
        context.background.add(task)
        task.add_done_callback(context.background.discard)
