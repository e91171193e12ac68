"""Routing policy that admits, routes and retries requests to meet the targets of their classes.

It queues or refuses requests by their deadlines, chooses versions and servers, and handles
failures, hedges, cascades and trials. Some terms: an entry is a host process that accepts requests
and sends them to engines, the backend servers that run models; the policy decides for one entry. An
attempt is one dispatch of a request to a server. The entry's window on a server is the number of
its attempts that it may have there at once. An account's share is its weight in the queue. Long
work is a request that occupies an engine much longer than most. A work class is a name for targets
of quality, latency and cost. A plan is one version, or a cascade: the answer of a first version is
held until the rating service has rated it good or bad, and a bad one is replaced by an answer of a
second version. A hedge is a second attempt that is sent when the first token is late.

A fingerprint is a digest of a request's account and content, by which its repetitions are
recognised. A suspect is a request, known by its fingerprint, that was running when a backend server
was lost; it runs again only in a trial, alone on a server that the control leader grants. After
another loss the fingerprint is quarantined, and the request is refused. A view holds the
configuration and the known servers. ``event.attempt`` is the number of an attempt within its
request, from 1. ``now_s`` is the present time on the policy's clock, in seconds. A version key is
the pair of model name and version. The baseline of a version is the one that it replaces.
"""

from random import Random

from cachetools import LRUCache

from baobabstream.errors.codes import ResultCode
from baobabstream.policy.active_request import ActiveRequest, Stage
from baobabstream.policy.admission import Admission
from baobabstream.policy.attempt_control import AttemptControl
from baobabstream.policy.backend_choice import CapacityRule, ServerChoice
from baobabstream.policy.base import RoutingPolicy
from baobabstream.policy.decisions import AskTrial, Decision, GiveUp, Refuse, StopVersion
from baobabstream.policy.eligibility import Eligibility, NoEligibleVersion
from baobabstream.policy.events import (
    AnswerRated,
    AttemptFailed,
    AttemptFinished,
    CallerDisconnected,
    FirstToken,
    PolicyEvent,
    RequestArrived,
    RequestInfo,
    TimerFired,
    TokensReceived,
    TrialDenied,
    TrialGranted,
    ViewChanged,
)
from baobabstream.policy.evidence import EvidenceCounter
from baobabstream.policy.plan_choice import Plan
from baobabstream.policy.server_index import ServerIndex
from baobabstream.policy.switches import PolicySwitches
from baobabstream.policy.timers import TimerKind
from baobabstream.policy.view import ClusterView
from baobabstream.wire.messages import VersionEvidence
from baobabstream.wire.rows import AccountRow, ClassRow, VersionRow

__all__ = ["OutcomePolicy"]

# Time after which a caller is told to try again when its account is at its limit, or when the trial
# of a suspect cannot run.
ACCOUNT_RETRY_AFTER_S = 1.0
# Finished requests whose work class is remembered for a later rating.
MAX_FINISHED_REQUESTS = 20_000
# Shortest time between two checks of the versions' test results.
HEALTH_CHECK_INTERVAL_S = 0.2
# A request may wait in the queue for this fraction of the time that its latency targets leave
# beyond the expected latency.
MAX_WAIT_SLACK_FRACTION = 0.8
# A request within its account's share that has waited this fraction of its longest wait is
# dispatched beyond the window; the rest covers a short wait at the engine.
WITHIN_SHARE_SLACK_FRACTION = 0.6


class OutcomePolicy(RoutingPolicy):
    """Meets each class's quality, latency and cost targets on the allowed versions.

    Parameters
    ----------
    random
        Source of all random choices.
    availability_zone
        Zone of this entry.
    switches
        Mechanisms that are on; by default all.

    Notes
    -----
    All state belongs to one entry. ``drain_evidence`` returns the counts for the control leader.
    """

    def __init__(
        self,
        random: Random,
        availability_zone: str = "",
        switches: PolicySwitches | None = None,
    ) -> None:
        self._switches = switches or PolicySwitches()
        self._index = ServerIndex()
        self._eligibility = Eligibility(self._index, random)
        self._admission = Admission(random, self._switches.fair_shares)
        self._attempts = AttemptControl(
            self._index, self._eligibility, availability_zone, random, self._switches
        )
        self._evidence = EvidenceCounter()
        # Requests that are queued, in a trial, running or being rated, by request identity, and
        # their number by account.
        self._active_requests: dict[str, ActiveRequest] = {}
        self._in_flight_by_account: dict[str, int] = {}
        # Work class by request identity.
        self._finished_work_classes: LRUCache[str, str] = LRUCache(MAX_FINISHED_REQUESTS)
        # Fingerprints of suspects that this entry found, until the view has them quarantined.
        self._own_suspects: set[str] = set()
        self._health_checked_at_s = 0.0

    @property
    def _view(self) -> ClusterView:
        """Present configuration and backend servers."""
        return self._eligibility.view

    def drain_evidence(self) -> tuple[VersionEvidence, ...]:
        """Return and reset the counts of results per version since the last call."""
        return self._evidence.take_deltas()

    def next_timer_s(self) -> float | None:
        """Return the time, on the clock of ``handle``, at which ``TimerFired`` is due, or None."""
        return self._attempts.timers.next_s()

    def handle(self, event: PolicyEvent, now_s: float) -> list[Decision]:
        """Process an event and return the decisions that follow, in the order of execution.

        Requests that the decisions refuse or give up are no longer active afterwards.
        """
        decisions = self._dispatch_event(event, now_s)
        for decision in decisions:
            if isinstance(decision, Refuse | GiveUp):
                ended_request = self._active_requests.get(decision.request_id)
                if ended_request is not None:
                    self._unregister(ended_request)
        return decisions

    def _dispatch_event(self, event: PolicyEvent, now_s: float) -> list[Decision]:
        """Call the event's handler and dispatch waiting requests.

        Waiting requests are not dispatched after arrivals, first tokens and tokens, the most
        frequent events.
        """
        match event:
            case RequestArrived():
                return self._handle_arrival(event.request, now_s)
            case TokensReceived():
                return self._attempts.handle_tokens(
                    self._active_requests.get(event.request_id), event, now_s
                )
            case FirstToken():
                return self._attempts.handle_first_token(
                    self._active_requests.get(event.request_id), event, now_s
                )
            case AttemptFinished():
                decisions = self._handle_attempt_finished(event, now_s)
            case AttemptFailed():
                decisions = self._handle_attempt_failed(event, now_s)
            case AnswerRated():
                decisions = self._handle_rating(event, now_s)
            case TimerFired():
                decisions = self._handle_timers(now_s)
            case ViewChanged():
                self._set_view(event.view, now_s)
                decisions = []
            case CallerDisconnected():
                decisions = self._handle_disconnect(event.request_id)
            case TrialGranted():
                decisions = self._handle_trial_granted(event, now_s)
            case TrialDenied():
                decisions = self._handle_trial_denied(event)
        return decisions + self._dispatch_waiting(now_s)

    def _set_view(self, view: ClusterView, now_s: float) -> None:
        """Apply a new configuration and new backend servers.

        A version whose stop at this entry is lifted, by a change of its row, starts without earlier
        results. Fingerprints that are quarantined now need not be known as suspects.
        """
        changed_records, removed_identities = self._index.update(view.backends)
        self._attempts.server_states.apply_records(changed_records, removed_identities)
        for version_key in self._eligibility.set_view(view):
            self._evidence.health.forget(*version_key)
        self._evidence.set_baselines(view)
        self._attempts.update_targets(view)
        self._own_suspects -= view.quarantined

    def _handle_arrival(self, request: RequestInfo, now_s: float) -> list[Decision]:
        """Refuse a new request, start or queue it, or ask for its trial if it is a suspect."""
        refusal = self._refusal_before_routing(request)
        if refusal is not None:
            return [refusal]
        version_rows = self._eligibility.find_versions(request)
        if isinstance(version_rows, NoEligibleVersion):
            return [
                Refuse(
                    request.request_id,
                    version_rows.code,
                    version_rows.retry_after_s,
                    version_rows.reason,
                )
            ]
        class_targets = self._view.classes.get(request.work_class)
        if class_targets is None:
            return [Refuse(request.request_id, ResultCode.UNKNOWN_CLASS, None, request.work_class)]
        self._attempts.work_sizes.observe(request, now_s)
        plan = self._attempts.plans.choose(
            class_targets, version_rows, request.expected_output_tokens, now_s
        )
        active_request = self._new_active_request(request, class_targets, plan, now_s)
        if self._is_suspect(request):
            return self._request_trial(active_request, now_s)
        return self._admit(active_request, version_rows, now_s)

    def _refusal_before_routing(self, request: RequestInfo) -> Refuse | None:
        """Return a refusal if the fingerprint is quarantined or the account is at its limit.

        The limit is the number of requests that the account may have active at this entry. Returns
        None if neither holds.
        """
        if request.fingerprint and request.fingerprint in self._view.quarantined:
            return Refuse(
                request.request_id,
                ResultCode.QUARANTINED,
                None,
                "two backend servers were lost while they ran this request",
            )
        account = self._view.accounts.get(request.client_account)
        in_flight_count = self._in_flight_by_account.get(request.client_account, 0)
        if account is not None and in_flight_count >= account.max_in_flight:
            return Refuse(
                request.request_id,
                ResultCode.ACCOUNT_LIMIT,
                ACCOUNT_RETRY_AFTER_S,
                f"account {account.name} has {in_flight_count} requests in flight at this entry",
            )
        return None

    def _new_active_request(
        self, request: RequestInfo, class_targets: ClassRow, plan: Plan, now_s: float
    ) -> ActiveRequest:
        """Create the state of a request, with its dispatch deadline.

        The deadline leaves the expected latency and a margin of both latency targets, of the time
        to the first token and of the total time. Targets are configured in milliseconds.
        """
        first_token_target_s = class_targets.first_token_ms / 1000
        expected_first_token_s = self._attempts.expected_first_token_s(request, plan.version_key)
        slack_s = max(0.0, first_token_target_s - expected_first_token_s) * MAX_WAIT_SLACK_FRACTION
        expected_total_s = self._attempts.expected_total_s(request, plan.version_key)
        slack_s = min(
            slack_s,
            max(0.0, class_targets.total_ms / 1000 - expected_total_s) * MAX_WAIT_SLACK_FRACTION,
        )
        is_long = self._attempts.work_sizes.is_long(request)
        return ActiveRequest(request, class_targets, plan, now_s, now_s + slack_s, is_long)

    def _admit(
        self, active_request: ActiveRequest, version_rows: list[VersionRow], now_s: float
    ) -> list[Decision]:
        """Dispatch a request at once, queue it, or refuse it.

        A request is dispatched at once if its queue is empty and a server has capacity. A queued
        request gets a timer for the end of its wait. Without the admission mechanism every request
        is dispatched at once. ``version_rows`` are the versions on which it may run.
        """
        queue = self._admission.queue(active_request.is_long)
        self._admission.count_arrival(active_request.is_long, now_s)
        account_share = self._account_share(active_request)
        if not self._switches.admission:
            self._register(active_request)
            return self._attempts.dispatch_first(active_request, now_s)
        server_choice = (
            None
            if len(queue)
            else self._choose_server_with_capacity(active_request, version_rows, now_s)
        )
        if server_choice is not None:
            self._register(active_request)
            self._admission.record_refusal_decision(active_request.is_long, is_refused=False)
            queue.charge_immediate_dispatch(active_request, account_share)
            return self._attempts.dispatch_first(active_request, now_s, server_choice)
        window = self._attempts.backends.window(active_request.plan.version_key)
        is_reachable = self._admission.meets_deadline(active_request, account_share, window, now_s)
        self._admission.record_refusal_decision(active_request.is_long, is_refused=not is_reachable)
        if not is_reachable:
            return [self._refuse_unreachable_deadline(active_request, account_share, now_s)]
        self._register(active_request)
        queue.push(active_request, account_share)
        active_request.is_within_share = queue.is_below_share(active_request.request.client_account)
        slack_fraction = WITHIN_SHARE_SLACK_FRACTION if active_request.is_within_share else 1.0
        due_at_s = now_s + slack_fraction * (active_request.dispatch_deadline_s - now_s)
        self._attempts.timers.add(due_at_s, active_request.request.request_id, TimerKind.DEADLINE)
        return []

    def _choose_server_with_capacity(
        self, active_request: ActiveRequest, version_rows: list[VersionRow], now_s: float
    ) -> ServerChoice | None:
        """Choose a server with capacity for the request's plan, or for an alternative plan.

        Sets the plan of the request to the alternative that was taken. Returns None without
        capacity.
        """
        backends = self._attempts.backends
        capacity_rule = self._capacity_rule(active_request, now_s)
        server_choice = backends.choose(
            active_request.request, active_request.plan.version_key, now_s, (), capacity_rule
        )
        if server_choice is not None or len(version_rows) == 1:
            return server_choice
        for plan in self._attempts.plans.alternatives(active_request.class_targets, version_rows):
            server_choice = backends.choose(
                active_request.request, plan.version_key, now_s, (), capacity_rule
            )
            if server_choice is not None:
                active_request.plan = plan
                return server_choice
        return None

    def _refuse_unreachable_deadline(
        self, active_request: ActiveRequest, account_share: float, now_s: float
    ) -> Refuse:
        """Return a refusal that states the predicted wait, with a time for a retry.

        The retry time is scheduled by ``Admission.retry_after_s``, so that refused requests do not
        all return at once.
        """
        account_name = active_request.request.client_account
        window = self._attempts.backends.window(active_request.plan.version_key)
        wait_s = self._admission.predicted_wait_s(
            account_name, account_share, active_request.is_long, window
        )
        kind = "long" if active_request.is_long else "short"
        return Refuse(
            active_request.request.request_id,
            ResultCode.DEADLINE_UNREACHABLE,
            self._admission.retry_after_s(active_request.is_long, window, now_s),
            f"predicted wait {wait_s:.2f} s for {kind} work of {account_name}, "
            f"target leaves {active_request.dispatch_deadline_s - now_s:.2f} s",
        )

    def _dispatch_waiting(self, now_s: float) -> list[Decision]:
        """Dispatch waiting requests in the order of service while servers have capacity.

        A request whose version was stopped while it waited is routed again.
        """
        decisions: list[Decision] = []
        for is_long in (False, True):
            queue = self._admission.queue(is_long)
            while len(queue):
                next_request = next(
                    (
                        waiting_request
                        for waiting_request in queue.heads_in_service_order()
                        if self._has_capacity(waiting_request, now_s)
                    ),
                    None,
                )
                if next_request is None:
                    break
                queue.pop(next_request)
                if self._may_run(next_request):
                    server_choice = self._attempts.backends.choose(
                        next_request.request,
                        next_request.plan.version_key,
                        now_s,
                        (),
                        self._capacity_rule(next_request, now_s),
                    )
                    decisions += self._attempts.dispatch_first(next_request, now_s, server_choice)
                else:
                    decisions += self._route_again(next_request, now_s)
        return decisions

    def _has_capacity(self, active_request: ActiveRequest, now_s: float) -> bool:
        """Return whether a waiting request can leave the queue.

        That is so if a server has capacity for it, or if its version was stopped and it must be
        routed again.
        """
        return not self._may_run(active_request) or self._attempts.backends.has_capacity(
            active_request.plan.version_key,
            active_request.request,
            now_s,
            self._capacity_rule(active_request, now_s),
        )

    def _capacity_rule(self, active_request: ActiveRequest, now_s: float) -> CapacityRule:
        """Return which servers count as having capacity for a request.

        While long work is arriving, a slot that is free now is soon taken by long work of other
        entries. Requests then keep to the windows unless no other entry uses the servers: otherwise
        the short requests of the benchmark workload gate-histories (checks) miss their targets
        beside its long ones (histories). The same holds while demand is not steady, that is rising
        or above capacity.
        """
        has_long_work = active_request.is_long or self._admission.has_recent_arrivals(True, now_s)
        if has_long_work or not self._admission.demand_is_steady(active_request.is_long):
            return CapacityRule.FREE_SLOT_IF_IDLE
        return CapacityRule.FREE_SLOT

    def _may_run(self, active_request: ActiveRequest) -> bool:
        """Return whether the version of a request's plan may still run it."""
        return self._eligibility.may_run(active_request.request, active_request.plan.version_key)

    def _route_again(self, active_request: ActiveRequest, now_s: float) -> list[Decision]:
        """Route a request again whose version was stopped while it waited."""
        self._unregister(active_request)
        return self._handle_arrival(active_request.request, now_s)

    def _handle_attempt_finished(self, event: AttemptFinished, now_s: float) -> list[Decision]:
        """Record a complete answer; end the request unless the answer is held for its rating.

        A complete answer of an attempt that is no longer known ends the request and cancels the
        others.
        """
        active_request = self._active_requests.get(event.request_id)
        attempt = active_request.attempts.get(event.attempt) if active_request is not None else None
        if active_request is None:
            return []
        if attempt is None:
            return self._handle_disconnect(event.request_id)
        self._evidence.record_result(attempt.version_key, True, now_s)
        self._admission.record_service_time(active_request.is_long, now_s - attempt.sent_at_s)
        self._finished_work_classes[event.request_id] = active_request.request.work_class
        decisions = self._attempts.handle_finished(active_request, attempt, event, now_s)
        if active_request.stage is not Stage.RATING:
            self._unregister(active_request)
        return decisions + self._stop_unhealthy_versions(now_s)

    def _handle_attempt_failed(self, event: AttemptFailed, now_s: float) -> list[Decision]:
        """Record a failed attempt; retry, ask for a trial of a suspect, or end the request."""
        active_request = self._active_requests.get(event.request_id)
        if active_request is None or event.attempt not in active_request.attempts:
            return []
        if self._attempts.is_version_fault(event):
            self._evidence.record_result(
                active_request.attempts[event.attempt].version_key, False, now_s
            )
        is_suspect = self._attempts.makes_suspect(active_request, event) or self._is_suspect(
            active_request.request
        )
        decisions = self._attempts.handle_failure(active_request, event, is_suspect, now_s)
        if is_suspect and not any(isinstance(decision, GiveUp) for decision in decisions):
            self._own_suspects.add(active_request.request.fingerprint)
            if not active_request.attempts:
                decisions += self._request_trial(active_request, now_s)
        if any(isinstance(decision, GiveUp) for decision in decisions):
            self._unregister(active_request)
        return decisions + self._stop_unhealthy_versions(now_s)

    def _handle_rating(self, event: AnswerRated, now_s: float) -> list[Decision]:
        """Record a rating; release the held answer or run the second step of the cascade.

        A bad first answer of a cascade is not counted as delivered, since it is replaced. Ratings
        of requests that are no longer remembered have no effect on the estimates.
        """
        version_key = (event.model, event.version)
        active_request = self._active_requests.get(event.request_id)
        work_class_name = self._finished_work_classes.get(event.request_id, "")
        if work_class_name:
            self._attempts.quality.record_rating(work_class_name, version_key, event.good)
            self._evidence.record_rating(version_key, event.good, now_s)
            if event.good or active_request is None or active_request.plan.second_version is None:
                self._attempts.quality.record_delivered(work_class_name, event.good)
        decisions: list[Decision] = []
        if active_request is not None and active_request.stage is Stage.RATING:
            decisions = self._attempts.handle_rating(active_request, event.good, now_s)
            if active_request.stage is not Stage.RUNNING:
                self._unregister(active_request)
        return decisions + self._stop_unhealthy_versions(now_s)

    def _stop_unhealthy_versions(self, now_s: float) -> list[Decision]:
        """Stop versions whose results, as measured at this entry, have become worse.

        The computed mixes of plans are discarded, since they may use a stopped version. Does
        nothing within ``HEALTH_CHECK_INTERVAL_S`` of the last check.
        """
        if (
            not self._switches.version_health
            or now_s - self._health_checked_at_s < HEALTH_CHECK_INTERVAL_S
        ):
            return []
        self._health_checked_at_s = now_s
        verdicts = self._evidence.verdicts(now_s)
        for verdict in verdicts:
            self._eligibility.stop((verdict.model, verdict.version))
            self._attempts.plans.clear()
        return [StopVersion(verdict.model, verdict.version, verdict.reason) for verdict in verdicts]

    def _handle_timers(self, now_s: float) -> list[Decision]:
        """Process all timers that are due.

        Those of ended requests have no effect, and neither have those whose request has left the
        stage that they were set for.
        """
        decisions: list[Decision] = []
        for request_id, kind, attempt_number in self._attempts.timers.due(now_s):
            active_request = self._active_requests.get(request_id)
            if active_request is None:
                continue
            if kind is TimerKind.DEADLINE and active_request.stage is Stage.QUEUED:
                decisions += self._handle_dispatch_deadline(active_request, now_s)
            elif kind is TimerKind.HEDGE:
                decisions += self._attempts.dispatch_hedge(active_request, attempt_number, now_s)
            elif kind is TimerKind.RATING and active_request.stage is Stage.RATING:
                decisions += self._attempts.release_unrated(active_request)
                self._unregister(active_request)
        return decisions + self._stop_unhealthy_versions(now_s)

    def _handle_dispatch_deadline(
        self, active_request: ActiveRequest, now_s: float
    ) -> list[Decision]:
        """End the wait of a queued request.

        A request within its account's share is dispatched even beyond the window; others are
        refused.
        """
        self._admission.queue(active_request.is_long).remove(active_request)
        if not self._may_run(active_request):
            return self._route_again(active_request, now_s)
        if active_request.is_within_share:
            return self._attempts.dispatch_first(active_request, now_s)
        self._unregister(active_request)
        return [
            self._refuse_unreachable_deadline(
                active_request, self._account_share(active_request), now_s
            )
        ]

    def _handle_disconnect(self, request_id: str) -> list[Decision]:
        """Cancel all attempts of a request and end it, whether it was queued or dispatched."""
        active_request = self._active_requests.get(request_id)
        if active_request is None:
            return []
        self._admission.queue(active_request.is_long).remove(active_request)
        decisions = self._attempts.cancel_all(active_request)
        self._unregister(active_request)
        return decisions

    def _is_suspect(self, request: RequestInfo) -> bool:
        """Return whether the request's fingerprint is that of a suspect.

        The view holds the suspects of all entries, ``_own_suspects`` those that this entry found
        and that the view may not have yet. A request without a fingerprint is none.
        """
        is_known_suspect = (
            request.fingerprint in self._view.suspects or request.fingerprint in self._own_suspects
        )
        return bool(request.fingerprint) and is_known_suspect

    def _request_trial(self, active_request: ActiveRequest, now_s: float) -> list[Decision]:
        """Ask for a trial of a suspect, or end it if no server is left for one."""
        self._register(active_request)
        active_request.stage = Stage.TRIAL
        active_request.is_suspect = True
        candidates = self._attempts.trial_candidates(active_request)
        if candidates:
            return [AskTrial(active_request.request.request_id, candidates)]
        self._unregister(active_request)
        return [
            self._attempts.refuse_or_give_up(
                active_request,
                ResultCode.NO_BACKEND_SERVER,
                ACCOUNT_RETRY_AFTER_S,
                "no backend server is free for the trial of a suspect",
            )
        ]

    def _handle_trial_granted(self, event: TrialGranted, now_s: float) -> list[Decision]:
        """Dispatch a suspect to the granted server, unless its version was stopped."""
        active_request = self._active_requests.get(event.request_id)
        if active_request is None or active_request.stage is not Stage.TRIAL:
            return []
        if not self._may_run(active_request):
            self._unregister(active_request)
            reason = "the version was stopped while the request waited for its trial"
            return [
                self._attempts.refuse_or_give_up(
                    active_request, ResultCode.NO_BACKEND_SERVER, ACCOUNT_RETRY_AFTER_S, reason
                )
            ]
        return self._attempts.dispatch_trial(active_request, event.backend_server, now_s)

    def _handle_trial_denied(self, event: TrialDenied) -> list[Decision]:
        """End a suspect that was denied a trial, as quarantined or until a later retry."""
        active_request = self._active_requests.get(event.request_id)
        if active_request is None or active_request.stage is not Stage.TRIAL:
            return []
        self._unregister(active_request)
        if event.quarantined:
            reason = "two backend servers were lost while they ran this request"
            return [
                self._attempts.refuse_or_give_up(
                    active_request, ResultCode.QUARANTINED, None, reason
                )
            ]
        reason = "a backend server was lost while it ran this request; no trial is free now"
        return [
            self._attempts.refuse_or_give_up(
                active_request, ResultCode.OVERLOADED, event.retry_after_s, reason
            )
        ]

    def _account_share(self, active_request: ActiveRequest) -> float:
        """Return the share of the request's account; 1 if the account is unknown."""
        account: AccountRow | None = self._view.accounts.get(active_request.request.client_account)
        return account.share if account is not None else 1.0

    def _register(self, active_request: ActiveRequest) -> None:
        """Add a request to the active ones and count it for its account, unless it is there."""
        request = active_request.request
        if request.request_id not in self._active_requests:
            self._active_requests[request.request_id] = active_request
            account_name = request.client_account
            self._in_flight_by_account[account_name] = (
                self._in_flight_by_account.get(account_name, 0) + 1
            )

    def _unregister(self, active_request: ActiveRequest) -> None:
        """Remove a request from the active ones, if it is there."""
        request = active_request.request
        if self._active_requests.pop(request.request_id, None) is not None:
            self._in_flight_by_account[request.client_account] -= 1
