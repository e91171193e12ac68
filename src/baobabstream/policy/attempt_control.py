"""Attempts of admitted requests: dispatch, retry, resume, hedge, cascade and trial."""

from random import Random

from baobabstream.errors.codes import ResultCode
from baobabstream.policy.backend_choice import BackendChooser, CapacityRule, ServerChoice
from baobabstream.policy.budgets import Budget
from baobabstream.policy.decisions import Cancel, Decision, Dispatch, GiveUp, Refuse, Release
from baobabstream.policy.eligibility import Eligibility, NoEligibleVersion
from baobabstream.policy.events import (
    AttemptFailed,
    AttemptFinished,
    FailureKind,
    FirstToken,
    RequestInfo,
    TokensReceived,
)
from baobabstream.policy.latency import LatencyEstimates
from baobabstream.policy.measurements import Measurements
from baobabstream.policy.plan_choice import PlanChoice
from baobabstream.policy.quality import QualityEstimates
from baobabstream.policy.reasons import choice_reason, plan_reason
from baobabstream.policy.running import Attempt, Running, Stage
from baobabstream.policy.server_index import ServerIndex
from baobabstream.policy.server_state import ServerStates
from baobabstream.policy.switches import PolicySwitches
from baobabstream.policy.timers import TimerKind, Timers
from baobabstream.policy.view import ClusterView
from baobabstream.policy.work_size import WorkSizes

__all__ = ["AttemptControl"]

MAX_ATTEMPTS = 4
RETRY_FRACTION = 0.1
# Hedges and moves together stay under 5% of requests; the rest is a margin for bursts.
HEDGE_FRACTION = 0.04
FAILED_RETRY_S = 1.0
# A running stream is moved when its rate is this many times below that of the peers and the move
# saves at least this time.
MOVE_SLOWDOWN = 2.5
MOVE_SAVES_S = 0.3
# A hedge also waits for this multiple of the time expected on the chosen server. With the quantile
# alone ordinary waits use up the budget before a server is slowed.
HEDGE_FACTOR = 2.0
# A held answer is released without a rating after this time, so that the rating service cannot
# hold back answers.
RATING_TIMEOUT_S = 1.0
TRIAL_CANDIDATES = 8
NOT_RUN = (FailureKind.CONNECT, FailureKind.REFUSED)


class AttemptControl:
    """Carries admitted requests to their end.

    Parameters
    ----------
    index, eligibility
        Known servers and the versions in service.
    availability_zone
        Zone of this entry.
    random
        Source of all random choices.
    switches
        Mechanisms that are on.
    """

    def __init__(
        self,
        index: ServerIndex,
        eligibility: Eligibility,
        availability_zone: str,
        random: Random,
        switches: PolicySwitches,
    ) -> None:
        self._eligibility = eligibility
        self._switches = switches
        self._index = index
        self._revision = -1
        self.states = ServerStates(random)
        self.sizes = WorkSizes()
        self.latency = LatencyEstimates()
        self.quality = QualityEstimates()
        self.plans = PlanChoice(self.quality, self.latency, self.states, random, switches)
        self.timers = Timers()
        self.backends = BackendChooser(
            index, self.states, self.sizes, availability_zone, random, switches
        )
        self._measure = Measurements(self.states, self.latency, self.sizes)
        self._retries = Budget(RETRY_FRACTION, cap=20.0, tokens=10.0)
        self._hedges = Budget(HEDGE_FRACTION, cap=10.0)

    def set_classes(self, view: ClusterView) -> None:
        """Take the targets of a new view; load reports alone change none."""
        if view.revision == self._revision:
            return
        self._revision = view.revision
        self.plans.clear()
        targets = [row.first_token_ms / 1000 for row in view.classes.values()]
        self._measure.min_first_token_target_s = min(targets, default=1.0)

    def expected_first_s(self, request: RequestInfo, key: tuple[str, str]) -> float:
        """Return the expected time to first token without waiting."""
        return self.states.mean_first_token_overhead_s + self.sizes.prefill_s(request)

    def expected_total_s(self, request: RequestInfo, key: tuple[str, str]) -> float:
        """Return the expected total time without waiting."""
        return self.latency.total_s(key, request.expected_output_tokens)

    def start(
        self, running: Running, now_s: float, choice: ServerChoice | None = None
    ) -> list[Decision]:
        """Dispatch the first attempt, to a server that was chosen or to any."""
        key = running.plan.key
        if choice is None:
            choice = self.backends.choose(running.request, key, now_s, (), CapacityRule.ANY)
        if choice is None:
            return [self._end(running, ResultCode.NO_BACKEND_SERVER, "the last server is gone")]
        self._hedges.earn()
        reason = plan_reason(running) + choice_reason(choice)
        return [self._dispatch(running, choice, key, now_s, reason)]

    def start_trial(self, running: Running, identity: str, now_s: float) -> list[Decision]:
        """Dispatch a suspect to the server that the leader granted."""
        choice = ServerChoice(identity, 0.0, 0.0, 0.0, 1)
        reason = f"trial of a suspect on {identity}, granted by the control leader"
        return [self._dispatch(running, choice, running.plan.key, now_s, reason)]

    def trial_candidates(self, running: Running) -> tuple[str, ...]:
        """Return servers for a trial, those with the fewest own attempts first."""
        engine_identities = [
            item
            for item in self._index.engine_identities(running.plan.key)
            if item not in running.tried
        ]
        engine_identities.sort(key=lambda item: self.states[item].in_flight)
        return tuple(engine_identities[:TRIAL_CANDIDATES])

    def first_token(
        self, running: Running | None, event: FirstToken, now_s: float
    ) -> list[Decision]:
        """Take a first token; the other attempts of the request are cancelled."""
        attempt = running.attempts.get(event.attempt) if running is not None else None
        if running is None or attempt is None:
            return []
        self._measure.first_token_received(running, attempt, now_s)
        return self._cancel(running, keep=attempt.number)

    def tokens(
        self, running: Running | None, event: TokensReceived, now_s: float
    ) -> list[Decision]:
        """Take delivered tokens; a stream far below its peers' rate is moved."""
        attempt = running.attempts.get(event.attempt) if running is not None else None
        if running is None or attempt is None:
            return []
        decisions: list[Decision] = []
        if attempt.first_token_s is None:
            first = FirstToken(event.request_id, event.attempt)
            decisions = self.first_token(running, first, now_s)
        measured = attempt.measured_tokens
        self._measure.tokens_received(attempt, event.tokens, now_s)
        if not attempt.rate_first:
            running.delivered_tokens += event.tokens
        if attempt.measured_tokens != measured and self._switches.hedges:
            decisions += self._move_slow(running, attempt, now_s)
        return decisions

    def finished(
        self, running: Running, attempt: Attempt, event: AttemptFinished, now_s: float
    ) -> list[Decision]:
        """End an attempt that delivered its answer; hold it when it must be rated first."""
        self._retries.earn()
        self._measure.tokens_received(attempt, 0, now_s, last=True)
        self.states.remember_prefixes(attempt.backend_server, running.request.prefix_digests)
        decisions = self._cancel(running, keep=attempt.number)
        del running.attempts[attempt.number]
        self._measure.attempt_ended(attempt)
        if attempt.rate_first:
            running.stage = Stage.RATING
            running.held_attempt = attempt.number
            self.timers.add(now_s + RATING_TIMEOUT_S, running.request.request_id, TimerKind.RATING)
        return decisions

    def rated(self, running: Running, good: bool, now_s: float) -> list[Decision]:
        """Release a held answer that was rated good, or send the request to a better version."""
        request = running.request
        release = Release(request.request_id, running.held_attempt, "rated good")
        if good or running.plan.then is None:
            return [release]
        key = (running.plan.then.model, running.plan.then.version)
        choice = None
        if self._eligibility.may_run(request, key):
            choice = self.backends.choose(request, key, now_s, (), CapacityRule.ANY)
        if choice is None:
            reason = f"rated bad, but {key[0]}@{key[1]} has no server"
            return [Release(request.request_id, running.held_attempt, reason)]
        running.escalated = True
        reason = f"first answer rated bad, second step of the cascade; {choice_reason(choice)}"
        return [self._dispatch(running, choice, key, now_s, reason)]

    def release_unrated(self, running: Running) -> list[Decision]:
        """Release a held answer whose rating did not come."""
        reason = f"no rating within {RATING_TIMEOUT_S:.1f} s"
        return [Release(running.request.request_id, running.held_attempt, reason)]

    @staticmethod
    def is_version_fault(event: AttemptFailed) -> bool:
        """Return whether a failure speaks against the version rather than the server."""
        return event.kind is FailureKind.ERROR

    @staticmethod
    def makes_suspect(running: Running, event: AttemptFailed) -> bool:
        """Return whether the request may have crashed its server."""
        return event.kind is FailureKind.LOST and bool(running.request.fingerprint)

    def failed(
        self, running: Running, event: AttemptFailed, suspect: bool, now_s: float
    ) -> list[Decision]:
        """Retry or resume elsewhere, or give up at once.

        Notes
        -----
        A suspect is not dispatched here: it needs a trial first.
        """
        attempt = running.attempts.pop(event.attempt)
        self._measure.attempt_ended(attempt)
        state = self.states.get(attempt.backend_server)
        if state is not None and event.kind is not FailureKind.ERROR:
            state.failed_at_s = now_s
        running.delivered_tokens = max(running.delivered_tokens, event.delivered_tokens)
        if running.attempts:
            return []
        refusal = self._why_not_again(running, event, now_s)
        if refusal:
            return [self._end(running, ResultCode.BACKEND_FAILED, refusal, event.retry_after_s)]
        if suspect:
            return []
        key = self._key_after_failure(running, attempt, now_s)
        if key is None:
            reason = f"{event.kind} on {attempt.backend_server}, the version may no longer run"
            return [self._end(running, ResultCode.BACKEND_FAILED, reason, event.retry_after_s)]
        choice = self.backends.choose(running.request, key, now_s, running.tried, CapacityRule.ANY)
        if choice is None:
            reason = f"{event.kind} on {attempt.backend_server}, no other server has the version"
            return [self._end(running, ResultCode.BACKEND_FAILED, reason, event.retry_after_s)]
        what = "resume" if running.delivered_tokens else "retry"
        reason = f"{what} after {event.kind} on {attempt.backend_server}; {choice_reason(choice)}"
        return [self._dispatch(running, choice, key, now_s, reason)]

    def _key_after_failure(
        self, running: Running, attempt: Attempt, now_s: float
    ) -> tuple[str, str] | None:
        """Return the version for another attempt: the same, or another if it may no longer run.

        A begun answer cannot go on with another version.
        """
        request = running.request
        if self._eligibility.may_run(request, attempt.key):
            return attempt.key
        rows = self._eligibility.find_versions(request)
        if running.delivered_tokens or isinstance(rows, NoEligibleVersion):
            return None
        running.plan = self.plans.choose(
            running.target, rows, request.expected_output_tokens, now_s
        )
        return running.plan.key

    def _why_not_again(self, running: Running, event: AttemptFailed, now_s: float) -> str:
        if not running.request.idempotent and event.kind not in NOT_RUN:
            return f"{event.kind}; a non-idempotent request runs at most once"
        if running.next_attempt > MAX_ATTEMPTS:
            return f"{event.kind}; {MAX_ATTEMPTS} attempts were made"
        if running.delivered_tokens:
            if running.resumed:
                return f"{event.kind}; the stream has been resumed once already"
            running.resumed = True
        elif now_s - running.arrived_s > running.target.total_ms / 1000:
            return f"{event.kind}; the class's total time has passed"
        if not self._retries.take():
            return f"{event.kind}; the retry budget ({RETRY_FRACTION:.0%} of successes) is spent"
        return ""

    def hedge(self, running: Running, number: int, now_s: float) -> list[Decision]:
        """Send a second attempt when the first has no token after a high quantile."""
        attempt = running.attempts.get(number)
        if attempt is None or attempt.first_token_s is not None or running.hedged:
            return []
        if not self._eligibility.may_run(running.request, attempt.key):
            return []
        self._measure.first_token_overdue(attempt, now_s)
        choice = self.backends.choose(running.request, attempt.key, now_s, running.tried)
        if choice is None or not self._hedges.take():
            return []
        running.hedged = True
        reason = (
            f"hedge: no first token from {attempt.backend_server} after "
            f"{now_s - attempt.sent_s:.3f} s; {choice_reason(choice)}"
        )
        return [self._dispatch(running, choice, attempt.key, now_s, reason, hedge=True)]

    def _move_slow(self, running: Running, attempt: Attempt, now_s: float) -> list[Decision]:
        request = running.request
        state = self.states.get(attempt.backend_server)
        if running.trial or running.resumed or not request.idempotent:
            return []
        if attempt.rate_first or state is None:
            return []
        if not self._eligibility.may_run(request, attempt.key):
            return []
        remaining = request.expected_output_tokens - running.delivered_tokens
        saves_s = remaining * (state.token_gap_s - self.states.mean_token_gap_s)
        if (
            state.token_gap_s < MOVE_SLOWDOWN * self.states.mean_token_gap_s
            or saves_s < MOVE_SAVES_S
        ):
            return []
        choice = self.backends.choose(request, attempt.key, now_s, running.tried)
        if choice is None or self.states[choice.identity].token_gap_s * 2 > state.token_gap_s:
            return []
        if not self._hedges.take():
            return []
        running.resumed = True
        decisions = self._cancel(running, keep=0)
        reason = (
            f"stream on {attempt.backend_server} runs at "
            f"{state.token_gap_s * 1000:.0f} ms per token, "
            f"peers at {self.states.mean_token_gap_s * 1000:.0f} ms; {choice_reason(choice)}"
        )
        return [*decisions, self._dispatch(running, choice, attempt.key, now_s, reason)]

    def cancel_all(self, running: Running) -> list[Decision]:
        """Cancel every attempt of a request."""
        return self._cancel(running, keep=0)

    def end(
        self, running: Running, code: ResultCode, retry_after_s: float | None, reason: str
    ) -> Refuse | GiveUp:
        """End a request; one that was sent is not answered with a code that says "not run"."""
        request_id = running.request.request_id
        if running.sent:
            return GiveUp(request_id, ResultCode.BACKEND_FAILED, retry_after_s, reason)
        return Refuse(request_id, code, retry_after_s, reason)

    def _end(
        self,
        running: Running,
        code: ResultCode,
        reason: str,
        retry_after_s: float | None = None,
    ) -> Decision:
        return self.end(running, code, retry_after_s or FAILED_RETRY_S, reason)

    def _cancel(self, running: Running, keep: int) -> list[Decision]:
        losers = [number for number in running.attempts if number != keep]
        for number in losers:
            self._measure.attempt_ended(running.attempts.pop(number))
        return [Cancel(running.request.request_id, number) for number in losers]

    def _dispatch(
        self,
        running: Running,
        choice: ServerChoice,
        key: tuple[str, str],
        now_s: float,
        reason: str,
        hedge: bool = False,
    ) -> Dispatch:
        request = running.request
        number = running.next_attempt
        rate_first = running.plan.then is not None and not running.escalated
        attempt = Attempt(
            number,
            choice.identity,
            key,
            now_s,
            running.long,
            choice.first_token_s,
            hedge,
            rate_first,
        )
        running.next_attempt += 1
        running.attempts[number] = attempt
        running.tried.add(choice.identity)
        running.stage = Stage.RUNNING
        running.sent = True
        self._measure.attempt_started(running, attempt)
        if not hedge and self._may_hedge(running):
            self._plan_hedge(running, attempt, choice, now_s)
        return Dispatch(
            request.request_id,
            number,
            choice.identity,
            key[0],
            key[1],
            running.target.priority + (0 if running.long else 1),
            running.delivered_tokens,
            hedge,
            rate_first,
            reason,
        )

    def _may_hedge(self, running: Running) -> bool:
        fresh = not running.delivered_tokens and not running.hedged and not running.trial
        return self._switches.hedges and running.request.idempotent and not running.long and fresh

    def _plan_hedge(
        self, running: Running, attempt: Attempt, choice: ServerChoice, now_s: float
    ) -> None:
        after_s = self.latency.hedge_delay_s(attempt.key, now_s)
        if after_s is None:
            return
        due_s = now_s + max(after_s, HEDGE_FACTOR * choice.first_token_s)
        self.timers.add(due_s, running.request.request_id, TimerKind.HEDGE, attempt.number)
