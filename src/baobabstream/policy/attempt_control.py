"""Attempts of admitted requests: dispatch, retry, resume, hedge, cascade and trial.

An entry is a host process that accepts requests and sends them to backend servers. An attempt is
one dispatch of a request to a backend server. A hedge is a second attempt that is sent when the
first token is late; the attempt that delivers a token first goes on, the other is cancelled. A
cascade holds the answer of its first version until the rating service has rated it good or bad,
and replaces a bad one by an answer of its second version. The plan of a request is the version, or
the cascade, that was chosen for it. A suspect is a request that was running when a server was lost;
it runs again only in a trial, alone on a server that the control leader grants. Its fingerprint is
a digest of account and content by which a repetition of the request is recognised. Long work is a
request that is expected to occupy a server several times longer than most. Resuming a stream means
to continue it on another server after the tokens that the caller already has.

A version key is the pair of model name and version. ``event.attempt`` and ``number`` are numbers of
attempts within their request, from 1. ``active_request`` is None in a handler if the request of the
event has ended. ``now_s`` is the present time on the policy's clock, in seconds. A view holds the
configuration and the known servers; its revision is a number that each change of the configuration
raises. An engine is a backend server that runs models. The window is the number of attempts that
this entry may have in flight on a server. A token gap is the time between two tokens of a stream;
prefill is the time in which a server reads the prompt, and overhead the rest of the time to first
token.
"""

from random import Random

from baobabstream.errors.codes import ResultCode
from baobabstream.policy.active_request import ActiveRequest, Attempt, Stage
from baobabstream.policy.backend_choice import BackendChooser, CapacityRule, ServerChoice
from baobabstream.policy.budgets import AttemptBudget
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
from baobabstream.policy.server_index import ServerIndex
from baobabstream.policy.server_state import ServerStates
from baobabstream.policy.switches import PolicySwitches
from baobabstream.policy.timers import TimerKind, Timers
from baobabstream.policy.view import ClusterView
from baobabstream.policy.work_size import WorkSizes

__all__ = ["AttemptControl"]

# Attempts of one request, at most.
MAX_ATTEMPTS = 4
# Retries that are allowed per finished attempt, which limits retries when all servers fail.
RETRY_FRACTION = 0.1
# Hedges and moves that are allowed per request. Together they must stay under 5% of the requests;
# the rest is a margin for bursts.
HEDGE_FRACTION = 0.04
# Time after which the caller of a failed request is told to try again, if the server named none.
FAILED_RETRY_AFTER_S = 1.0
# A running stream is moved to another server when its time between tokens is this many times the
# mean of all servers and the move is expected to save at least this time.
MIN_MOVE_SLOWDOWN = 2.5
MIN_MOVE_SAVING_S = 0.3
# A hedge is sent after a high quantile of the version's times to first token, but not before this
# multiple of the time expected on the chosen server. With the quantile alone, ordinary waits use up
# the budget before a server becomes slow.
MIN_HEDGE_DELAY_FACTOR = 2.0
# A held answer is released without a rating after this time, so that a failure of the rating
# service does not delay answers further.
RATING_TIMEOUT_S = 1.0
# Servers that are offered to the control leader for one trial, at most.
MAX_TRIAL_CANDIDATES = 8
# Failures after which the request is known not to have run.
NOT_RUN_FAILURES = (FailureKind.CONNECT, FailureKind.REFUSED)


class AttemptControl:
    """Controls the attempts of admitted requests until each request ends.

    Parameters
    ----------
    index, eligibility
        Known servers, and the versions that requests may run on.
    availability_zone
        Zone of this entry.
    random
        Source of all random choices.
    switches
        Mechanisms that are on.

    Attributes
    ----------
    server_states, latency, quality, work_sizes
        Estimates for servers, for versions (latency and quality), and of prompt and answer lengths.
    plans, backends
        Choice of versions and of servers.
    timers
        Timers of all active requests.
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
        # Configuration revision whose class targets are applied; -1 before the first view.
        self._targets_revision = -1
        self.server_states = ServerStates(random)
        self.work_sizes = WorkSizes()
        self.latency = LatencyEstimates()
        self.quality = QualityEstimates()
        self.plans = PlanChoice(self.quality, self.latency, self.server_states, random, switches)
        self.timers = Timers()
        self.backends = BackendChooser(
            index, self.server_states, self.work_sizes, availability_zone, random, switches
        )
        self._measurements = Measurements(self.server_states, self.latency, self.work_sizes)
        # Token buckets: an attempt costs one token. Up to 20 unused retries are saved, and 10 are
        # allowed before the first success; up to 10 hedges or moves are saved, and one is allowed
        # at the start.
        self._retry_budget = AttemptBudget(RETRY_FRACTION, max_tokens=20.0, tokens=10.0)
        self._hedge_budget = AttemptBudget(HEDGE_FRACTION, max_tokens=10.0)

    def update_targets(self, view: ClusterView) -> None:
        """Apply the targets of all work classes when the configuration has changed.

        Discards the computed mixes of plans, which depend on the classes' quality, latency and cost
        targets and on the versions, and sets the shortest first-token target, from which the
        windows are adapted; it is 1 s while no class is configured. A view is the configuration and
        the known servers; if only servers or their load reports changed, its revision is the same
        and nothing is done.
        """
        if view.revision == self._targets_revision:
            return
        self._targets_revision = view.revision
        self.plans.clear()
        first_token_targets_s = [row.first_token_ms / 1000 for row in view.classes.values()]
        self._measurements.min_first_token_target_s = min(first_token_targets_s, default=1.0)

    def expected_first_token_s(self, request: RequestInfo, version_key: tuple[str, str]) -> float:
        """Return the expected time to first token, in seconds, without a wait for capacity.

        It adds the prefill of the whole prompt to the mean overhead of all servers; ``version_key``
        is not used.
        """
        return self.server_states.mean_first_token_overhead_s + self.work_sizes.prefill_s(request)

    def expected_total_s(self, request: RequestInfo, version_key: tuple[str, str]) -> float:
        """Return the expected time to the complete answer, in seconds, without a wait.

        It comes from the latencies measured on the version.
        """
        return self.latency.total_s(version_key, request.expected_output_tokens)

    def dispatch_first(
        self, active_request: ActiveRequest, now_s: float, server_choice: ServerChoice | None = None
    ) -> list[Decision]:
        """Dispatch the first attempt to a chosen server, or else to any server of the version.

        ``server_choice`` is None if no server with capacity was found; the load of the servers is
        then ignored. Ends the request if the version has no server at all.
        """
        version_key = active_request.plan.version_key
        if server_choice is None:
            server_choice = self.backends.choose(
                active_request.request, version_key, now_s, (), CapacityRule.ANY
            )
        if server_choice is None:
            return [
                self._end_after_failure(
                    active_request, ResultCode.NO_BACKEND_SERVER, "the last server is gone"
                )
            ]
        self._hedge_budget.earn()
        reason = plan_reason(active_request) + choice_reason(server_choice)
        return [self._dispatch(active_request, server_choice, version_key, now_s, reason)]

    def dispatch_trial(
        self, active_request: ActiveRequest, identity: str, now_s: float
    ) -> list[Decision]:
        """Dispatch a suspect to the server that the control leader granted."""
        # No times and no cached share were estimated (0), and there was one server to choose from.
        server_choice = ServerChoice(identity, 0.0, 0.0, 0.0, 1)
        reason = f"trial of a suspect on {identity}, granted by the control leader"
        return [
            self._dispatch(
                active_request, server_choice, active_request.plan.version_key, now_s, reason
            )
        ]

    def trial_candidates(self, active_request: ActiveRequest) -> tuple[str, ...]:
        """Return the identities of untried servers for a trial of a suspect.

        Servers with the fewest attempts of this entry come first: a crash there interrupts the
        least other work.
        """
        identities = [
            identity
            for identity in self._index.engine_identities(active_request.plan.version_key)
            if identity not in active_request.tried_servers
        ]
        identities.sort(key=lambda identity: self.server_states[identity].in_flight)
        return tuple(identities[:MAX_TRIAL_CANDIDATES])

    def handle_first_token(
        self, active_request: ActiveRequest | None, event: FirstToken, now_s: float
    ) -> list[Decision]:
        """Record the time to first token and cancel the other attempts of the request."""
        attempt = active_request.attempts.get(event.attempt) if active_request is not None else None
        if active_request is None or attempt is None:
            return []
        self._measurements.first_token_received(active_request, attempt, now_s)
        return self._cancel_others(active_request, kept_number=attempt.number)

    def handle_tokens(
        self, active_request: ActiveRequest | None, event: TokensReceived, now_s: float
    ) -> list[Decision]:
        """Count received tokens, which end the wait for the first token if it was not reported.

        A stream that is much slower than those on other servers is moved to another server. This is
        checked whenever the time between its tokens was measured.
        """
        attempt = active_request.attempts.get(event.attempt) if active_request is not None else None
        if active_request is None or attempt is None:
            return []
        decisions: list[Decision] = []
        if attempt.first_token_at_s is None:
            first_token_event = FirstToken(event.request_id, event.attempt)
            decisions = self.handle_first_token(active_request, first_token_event, now_s)
        tokens_before = attempt.tokens_at_measurement
        self._measurements.tokens_received(attempt, event.tokens, now_s)
        if not attempt.rated_before_release:
            active_request.delivered_tokens += event.tokens
        if attempt.tokens_at_measurement != tokens_before and self._switches.hedges:
            decisions += self._move_slow_stream(active_request, attempt, now_s)
        return decisions

    def handle_finished(
        self, active_request: ActiveRequest, attempt: Attempt, event: AttemptFinished, now_s: float
    ) -> list[Decision]:
        """End an attempt with a complete answer; hold the answer if it must be rated first.

        A held answer gets a timer that releases it if no rating comes in time. Other attempts of
        the request are cancelled.
        """
        self._retry_budget.earn()
        # All tokens were counted before (0 new ones); the call measures the last tokens' gaps.
        self._measurements.tokens_received(attempt, 0, now_s, is_last=True)
        self.server_states.remember_prefixes(
            attempt.backend_server, active_request.request.prefix_digests
        )
        decisions = self._cancel_others(active_request, kept_number=attempt.number)
        del active_request.attempts[attempt.number]
        self._measurements.attempt_ended(attempt)
        if attempt.rated_before_release:
            active_request.stage = Stage.RATING
            active_request.held_attempt_number = attempt.number
            self.timers.add(
                now_s + RATING_TIMEOUT_S, active_request.request.request_id, TimerKind.RATING
            )
        return decisions

    def handle_rating(
        self, active_request: ActiveRequest, is_good: bool, now_s: float
    ) -> list[Decision]:
        """Release a held answer that was rated good, or run the second step of the cascade.

        A bad answer is released too if no server can run the second version.
        """
        request = active_request.request
        release = Release(request.request_id, active_request.held_attempt_number, "rated good")
        if is_good or active_request.plan.second_version is None:
            return [release]
        version_key = (
            active_request.plan.second_version.model,
            active_request.plan.second_version.version,
        )
        server_choice = None
        if self._eligibility.may_run(request, version_key):
            server_choice = self.backends.choose(request, version_key, now_s, (), CapacityRule.ANY)
        if server_choice is None:
            reason = f"rated bad, but {version_key[0]}@{version_key[1]} has no server"
            return [Release(request.request_id, active_request.held_attempt_number, reason)]
        active_request.was_escalated = True
        reason = (
            f"first answer rated bad, second step of the cascade; {choice_reason(server_choice)}"
        )
        return [self._dispatch(active_request, server_choice, version_key, now_s, reason)]

    def release_unrated(self, active_request: ActiveRequest) -> list[Decision]:
        """Release a held answer whose rating did not come in time."""
        reason = f"no rating within {RATING_TIMEOUT_S:.1f} s"
        return [
            Release(active_request.request.request_id, active_request.held_attempt_number, reason)
        ]

    @staticmethod
    def is_version_fault(event: AttemptFailed) -> bool:
        """Return whether a failure counts against the version rather than the server.

        Only errors that the engine reported do; other failures are faults of the server or of the
        connection to it.
        """
        return event.kind is FailureKind.ERROR

    @staticmethod
    def makes_suspect(active_request: ActiveRequest, event: AttemptFailed) -> bool:
        """Return whether a failure makes the request a suspect: its server was lost while it ran.

        A request without a fingerprint cannot become one.
        """
        return event.kind is FailureKind.LOST and bool(active_request.request.fingerprint)

    def handle_failure(
        self, active_request: ActiveRequest, event: AttemptFailed, is_suspect: bool, now_s: float
    ) -> list[Decision]:
        """Retry or resume on another server, or give up.

        Nothing is dispatched while another attempt of the request runs, or if ``is_suspect``: a
        suspect needs a trial first. The server's failure time is recorded, which makes it less
        preferred for a while, unless the engine itself reported the error.
        """
        attempt = active_request.attempts.pop(event.attempt)
        self._measurements.attempt_ended(attempt)
        server_state = self.server_states.get(attempt.backend_server)
        if server_state is not None and event.kind is not FailureKind.ERROR:
            server_state.failed_at_s = now_s
        active_request.delivered_tokens = max(
            active_request.delivered_tokens, event.delivered_tokens
        )
        if active_request.attempts:
            return []
        retry_refusal = self._retry_refusal(active_request, event, now_s)
        if retry_refusal:
            return [
                self._end_after_failure(
                    active_request, ResultCode.BACKEND_FAILED, retry_refusal, event.retry_after_s
                )
            ]
        if is_suspect:
            return []
        version_key = self._version_after_failure(active_request, attempt, now_s)
        if version_key is None:
            reason = f"{event.kind} on {attempt.backend_server}, the version may no longer run"
            return [
                self._end_after_failure(
                    active_request, ResultCode.BACKEND_FAILED, reason, event.retry_after_s
                )
            ]
        server_choice = self.backends.choose(
            active_request.request,
            version_key,
            now_s,
            active_request.tried_servers,
            CapacityRule.ANY,
        )
        if server_choice is None:
            reason = f"{event.kind} on {attempt.backend_server}, no other server has the version"
            return [
                self._end_after_failure(
                    active_request, ResultCode.BACKEND_FAILED, reason, event.retry_after_s
                )
            ]
        action = "resume" if active_request.delivered_tokens else "retry"
        reason = (
            f"{action} after {event.kind} on {attempt.backend_server}; "
            f"{choice_reason(server_choice)}"
        )
        return [self._dispatch(active_request, server_choice, version_key, now_s, reason)]

    def _version_after_failure(
        self, active_request: ActiveRequest, attempt: Attempt, now_s: float
    ) -> tuple[str, str] | None:
        """Return the version key for another attempt: the same, or another if it may no longer run.

        Choosing another version replaces the request's plan. Returns None if there is none. An
        answer of which tokens were delivered cannot continue on another version.
        """
        request = active_request.request
        if self._eligibility.may_run(request, attempt.version_key):
            return attempt.version_key
        version_rows = self._eligibility.find_versions(request)
        if active_request.delivered_tokens or isinstance(version_rows, NoEligibleVersion):
            return None
        active_request.plan = self.plans.choose(
            active_request.class_targets, version_rows, request.expected_output_tokens, now_s
        )
        return active_request.plan.version_key

    def _retry_refusal(
        self, active_request: ActiveRequest, event: AttemptFailed, now_s: float
    ) -> str:
        """Return why a failed request must not run again, or an empty text if it may.

        A stream that is resumed is marked so, and a permitted attempt spends a token of the retry
        budget. The class's total time is checked only while the caller has no tokens.
        """
        if not active_request.request.idempotent and event.kind not in NOT_RUN_FAILURES:
            return f"{event.kind}; a non-idempotent request runs at most once"
        if active_request.next_attempt_number > MAX_ATTEMPTS:
            return f"{event.kind}; {MAX_ATTEMPTS} attempts were made"
        if active_request.delivered_tokens:
            if active_request.was_resumed:
                return f"{event.kind}; the stream has been resumed once already"
            active_request.was_resumed = True
        elif now_s - active_request.arrived_at_s > active_request.class_targets.total_ms / 1000:
            return f"{event.kind}; the class's total time has passed"
        if not self._retry_budget.try_spend():
            return f"{event.kind}; the retry budget ({RETRY_FRACTION:.0%} of successes) is spent"
        return ""

    def dispatch_hedge(
        self, active_request: ActiveRequest, attempt_number: int, now_s: float
    ) -> list[Decision]:
        """Send a hedge of an attempt that has no first token yet, if the hedge budget allows it.

        Called when the hedge timer of attempt ``attempt_number`` is due. The late first token is
        recorded against its server even if no other server or no budget is left.
        """
        attempt = active_request.attempts.get(attempt_number)
        if attempt is None or attempt.first_token_at_s is not None or active_request.was_hedged:
            return []
        if not self._eligibility.may_run(active_request.request, attempt.version_key):
            return []
        self._measurements.first_token_overdue(attempt, now_s)
        server_choice = self.backends.choose(
            active_request.request, attempt.version_key, now_s, active_request.tried_servers
        )
        if server_choice is None or not self._hedge_budget.try_spend():
            return []
        active_request.was_hedged = True
        reason = (
            f"hedge: no first token from {attempt.backend_server} after "
            f"{now_s - attempt.sent_at_s:.3f} s; {choice_reason(server_choice)}"
        )
        return [
            self._dispatch(
                active_request, server_choice, attempt.version_key, now_s, reason, is_hedge=True
            )
        ]

    def _move_slow_stream(
        self, active_request: ActiveRequest, attempt: Attempt, now_s: float
    ) -> list[Decision]:
        """Resume a slow stream on another server if that saves enough time.

        The other server's time between tokens must be at most half of the present one (the factor
        2). Spends a token of the hedge budget; without one the stream stays. A first answer of a
        cascade stays too, since the caller has none of its tokens.
        """
        request = active_request.request
        server_state = self.server_states.get(attempt.backend_server)
        if active_request.is_suspect or active_request.was_resumed or not request.idempotent:
            return []
        if attempt.rated_before_release or server_state is None:
            return []
        if not self._eligibility.may_run(request, attempt.version_key):
            return []
        remaining_tokens = request.expected_output_tokens - active_request.delivered_tokens
        saving_s = remaining_tokens * (
            server_state.token_gap_s - self.server_states.mean_token_gap_s
        )
        if (
            server_state.token_gap_s < MIN_MOVE_SLOWDOWN * self.server_states.mean_token_gap_s
            or saving_s < MIN_MOVE_SAVING_S
        ):
            return []
        server_choice = self.backends.choose(
            request, attempt.version_key, now_s, active_request.tried_servers
        )
        if (
            server_choice is None
            or self.server_states[server_choice.identity].token_gap_s * 2 > server_state.token_gap_s
        ):
            return []
        if not self._hedge_budget.try_spend():
            return []
        active_request.was_resumed = True
        decisions = self._cancel_others(active_request, kept_number=0)
        reason = (
            f"stream on {attempt.backend_server} runs at "
            f"{server_state.token_gap_s * 1000:.0f} ms per token, "
            f"peers at {self.server_states.mean_token_gap_s * 1000:.0f} ms; "
            f"{choice_reason(server_choice)}"
        )
        return [
            *decisions,
            self._dispatch(active_request, server_choice, attempt.version_key, now_s, reason),
        ]

    def cancel_all(self, active_request: ActiveRequest) -> list[Decision]:
        """Cancel all attempts of a request."""
        return self._cancel_others(active_request, kept_number=0)

    def refuse_or_give_up(
        self,
        active_request: ActiveRequest,
        code: ResultCode,
        retry_after_s: float | None,
        reason: str,
    ) -> Refuse | GiveUp:
        """End a request, with ``code`` only if it was never dispatched.

        A dispatched request ends with BACKEND_FAILED, since the other codes state that it did not
        run. ``retry_after_s`` is the time after which the caller may try again, in seconds, or
        None; ``reason`` is a text for the operator.
        """
        request_id = active_request.request.request_id
        if active_request.was_dispatched:
            return GiveUp(request_id, ResultCode.BACKEND_FAILED, retry_after_s, reason)
        return Refuse(request_id, code, retry_after_s, reason)

    def _end_after_failure(
        self,
        active_request: ActiveRequest,
        code: ResultCode,
        reason: str,
        retry_after_s: float | None = None,
    ) -> Decision:
        """End a request, with the default retry time if no other is given.

        ``retry_after_s`` is the time, in seconds, that the failed server asked for, or None.
        """
        return self.refuse_or_give_up(
            active_request, code, retry_after_s or FAILED_RETRY_AFTER_S, reason
        )

    def _cancel_others(self, active_request: ActiveRequest, kept_number: int) -> list[Decision]:
        """Cancel all attempts of a request but the one numbered ``kept_number``; 0 keeps none."""
        cancelled_numbers = [
            attempt_number
            for attempt_number in active_request.attempts
            if attempt_number != kept_number
        ]
        for attempt_number in cancelled_numbers:
            self._measurements.attempt_ended(active_request.attempts.pop(attempt_number))
        return [
            Cancel(active_request.request.request_id, attempt_number)
            for attempt_number in cancelled_numbers
        ]

    def _dispatch(
        self,
        active_request: ActiveRequest,
        server_choice: ServerChoice,
        version_key: tuple[str, str],
        now_s: float,
        reason: str,
        is_hedge: bool = False,
    ) -> Dispatch:
        """Record a new attempt, set its hedge timer and return the dispatch.

        Short work gets a priority that is 1 above that of long work of the same class, so that
        engines run it first.

        Parameters
        ----------
        active_request
            Request to which the attempt belongs.
        server_choice
            Server of the attempt, with the times expected there.
        version_key
            Model and version on which it runs.
        now_s
            Present time in seconds.
        reason
            Why this was decided, for the operator.
        is_hedge
            Whether this is a hedge of an attempt that is still running.
        """
        request = active_request.request
        attempt_number = active_request.next_attempt_number
        rated_before_release = (
            active_request.plan.second_version is not None and not active_request.was_escalated
        )
        attempt = Attempt(
            attempt_number,
            server_choice.identity,
            version_key,
            now_s,
            active_request.is_long,
            server_choice.first_token_s,
            is_hedge,
            rated_before_release,
        )
        active_request.next_attempt_number += 1
        active_request.attempts[attempt_number] = attempt
        active_request.tried_servers.add(server_choice.identity)
        active_request.stage = Stage.RUNNING
        active_request.was_dispatched = True
        self._measurements.attempt_started(active_request, attempt)
        if not is_hedge and self._may_hedge(active_request):
            self._schedule_hedge(active_request, attempt, server_choice, now_s)
        return Dispatch(
            request.request_id,
            attempt_number,
            server_choice.identity,
            version_key[0],
            version_key[1],
            active_request.class_targets.priority + (0 if active_request.is_long else 1),
            active_request.delivered_tokens,
            is_hedge,
            rated_before_release,
            reason,
        )

    def _may_hedge(self, active_request: ActiveRequest) -> bool:
        """Return whether a request's new attempt may be hedged later.

        Long work is not hedged, and neither are requests that may not run twice, suspects,
        resumed streams and requests that were hedged already.
        """
        is_hedgeable = (
            not active_request.delivered_tokens
            and not active_request.was_hedged
            and not active_request.is_suspect
        )
        return (
            self._switches.hedges
            and active_request.request.idempotent
            and not active_request.is_long
            and is_hedgeable
        )

    def _schedule_hedge(
        self,
        active_request: ActiveRequest,
        attempt: Attempt,
        server_choice: ServerChoice,
        now_s: float,
    ) -> None:
        """Set the timer at which a hedge is considered, if enough latencies were measured.

        The timer is due at a high quantile of the version's times to first token, or later, see
        ``MIN_HEDGE_DELAY_FACTOR``.
        """
        hedge_delay_s = self.latency.hedge_delay_s(attempt.version_key, now_s)
        if hedge_delay_s is None:
            return
        due_at_s = now_s + max(hedge_delay_s, MIN_HEDGE_DELAY_FACTOR * server_choice.first_token_s)
        self.timers.add(
            due_at_s, active_request.request.request_id, TimerKind.HEDGE, attempt.number
        )
