"""Routing policy that is responsible for the outcome of each request."""

from random import Random

from cachetools import LRUCache

from baobabstream.errors.codes import ResultCode
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
    CallerGone,
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
from baobabstream.policy.running import Running, Stage
from baobabstream.policy.server_index import ServerIndex
from baobabstream.policy.switches import PolicySwitches
from baobabstream.policy.timers import TimerKind
from baobabstream.policy.view import ClusterView
from baobabstream.wire.messages import VersionEvidence
from baobabstream.wire.rows import AccountRow, ClassRow, VersionRow

__all__ = ["OutcomePolicy"]

ACCOUNT_RETRY_S = 1.0
RATED_REQUESTS = 20_000
VERDICT_INTERVAL_S = 0.2
# A request leaves the queue at the latest when this part of its first-token target is left.
DISPATCH_MARGIN = 0.8
# A request within its account's share that has waited this part of its slack is dispatched beyond
# the window; the rest of the slack covers a short wait at the engine.
OVERDUE_PART = 0.6


class OutcomePolicy(RoutingPolicy):
    """Meets each class's quality, latency and cost targets on the allowed versions.

    Parameters
    ----------
    random
        Source of all random choices.
    availability_zone
        Zone of this entry.
    switches
        Mechanisms that are on; all of them in service.

    Notes
    -----
    All state belongs to one entry. ``take_evidence`` gives the counts for the control leader.
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
        self._requests: dict[str, Running] = {}
        self._account_load: dict[str, int] = {}
        self._finished: LRUCache[str, str] = LRUCache(RATED_REQUESTS)
        self._suspects: set[str] = set()
        self._verdicts_s = 0.0

    @property
    def _view(self) -> ClusterView:
        return self._eligibility.view

    def take_evidence(self) -> tuple[VersionEvidence, ...]:
        """Return the counts of results per version since the last call."""
        return self._evidence.take_deltas()

    def next_timer_s(self) -> float | None:
        """Return the time at which ``TimerFired`` is wanted, or None."""
        return self._attempts.timers.next_s()

    def handle(self, event: PolicyEvent, now_s: float) -> list[Decision]:
        """Take an event and return the decisions that follow."""
        decisions = self._decide(event, now_s)
        for decision in decisions:
            if isinstance(decision, Refuse | GiveUp):
                ended = self._requests.get(decision.request_id)
                if ended is not None:
                    self._forget(ended)
        return decisions

    def _decide(self, event: PolicyEvent, now_s: float) -> list[Decision]:
        match event:
            case RequestArrived():
                return self._arrive(event.request, now_s)
            case TokensReceived():
                return self._attempts.tokens(self._requests.get(event.request_id), event, now_s)
            case FirstToken():
                return self._attempts.first_token(
                    self._requests.get(event.request_id), event, now_s
                )
            case AttemptFinished():
                decisions = self._attempt_finished(event, now_s)
            case AttemptFailed():
                decisions = self._attempt_failed(event, now_s)
            case AnswerRated():
                decisions = self._rated(event, now_s)
            case TimerFired():
                decisions = self._timers(now_s)
            case ViewChanged():
                self._set_view(event.view, now_s)
                decisions = []
            case CallerGone():
                decisions = self._caller_gone(event.request_id)
            case TrialGranted():
                decisions = self._trial_granted(event, now_s)
            case TrialDenied():
                decisions = self._trial_denied(event)
        return decisions + self._pump(now_s)

    def _set_view(self, view: ClusterView, now_s: float) -> None:
        changed, gone = self._index.update(view.backends)
        self._attempts.states.apply_records(changed, gone)
        for key in self._eligibility.set_view(view):
            self._evidence.health.forget(*key)
        self._evidence.set_baselines(view)
        self._attempts.set_classes(view)
        self._suspects -= view.quarantined

    def _arrive(self, request: RequestInfo, now_s: float) -> list[Decision]:
        refusal = self._check(request)
        if refusal is not None:
            return [refusal]
        rows = self._eligibility.find_versions(request)
        if isinstance(rows, NoEligibleVersion):
            return [Refuse(request.request_id, rows.code, rows.retry_after_s, rows.reason)]
        target = self._view.classes.get(request.work_class)
        if target is None:
            return [Refuse(request.request_id, ResultCode.UNKNOWN_CLASS, None, request.work_class)]
        self._attempts.sizes.observe(request, now_s)
        plan = self._attempts.plans.choose(target, rows, request.expected_output_tokens, now_s)
        running = self._running(request, target, plan, now_s)
        if self._is_suspect(request):
            return self._ask_trial(running, now_s)
        return self._admit(running, rows, now_s)

    def _check(self, request: RequestInfo) -> Refuse | None:
        if request.fingerprint and request.fingerprint in self._view.quarantined:
            return Refuse(
                request.request_id,
                ResultCode.QUARANTINED,
                None,
                "two backend servers were lost while they ran this request",
            )
        account = self._view.accounts.get(request.client_account)
        load = self._account_load.get(request.client_account, 0)
        if account is not None and load >= account.max_in_flight:
            return Refuse(
                request.request_id,
                ResultCode.ACCOUNT_LIMIT,
                ACCOUNT_RETRY_S,
                f"account {account.name} has {load} requests in flight at this entry",
            )
        return None

    def _running(self, request: RequestInfo, target: ClassRow, plan: Plan, now_s: float) -> Running:
        latest_s = target.first_token_ms / 1000
        expected_s = self._attempts.expected_first_s(request, plan.key)
        slack_s = max(0.0, latest_s - expected_s) * DISPATCH_MARGIN
        total_s = self._attempts.expected_total_s(request, plan.key)
        slack_s = min(slack_s, max(0.0, target.total_ms / 1000 - total_s) * DISPATCH_MARGIN)
        is_long = self._attempts.sizes.is_long(request)
        return Running(request, target, plan, now_s, now_s + slack_s, is_long)

    def _admit(self, running: Running, rows: list[VersionRow], now_s: float) -> list[Decision]:
        """Dispatch a request at once, queue it, or refuse it."""
        queue = self._admission.queue(running.long)
        self._admission.arrived(running.long, now_s)
        share = self._share(running)
        if not self._switches.admission:
            self._keep(running)
            return self._attempts.start(running, now_s)
        choice = None if len(queue) else self._plan_with_room(running, rows, now_s)
        if choice is not None:
            self._keep(running)
            self._admission.decided(running.long, refused=False)
            queue.charge(running, share)
            return self._attempts.start(running, now_s, choice)
        window = self._attempts.backends.window(running.plan.key)
        fits = self._admission.fits(running, share, window, now_s)
        self._admission.decided(running.long, refused=not fits)
        if not fits:
            return [self._refuse_late(running, share, now_s)]
        self._keep(running)
        queue.push(running, share)
        running.within_share = queue.below_share(running.request.client_account)
        part = OVERDUE_PART if running.within_share else 1.0
        due_s = now_s + part * (running.deadline_s - now_s)
        self._attempts.timers.add(due_s, running.request.request_id, TimerKind.DEADLINE)
        return []

    def _plan_with_room(
        self, running: Running, rows: list[VersionRow], now_s: float
    ) -> ServerChoice | None:
        """Choose a server for the chosen plan, or for another that meets the targets."""
        backends = self._attempts.backends
        room = self._room(running, now_s)
        choice = backends.choose(running.request, running.plan.key, now_s, (), room)
        if choice is not None or len(rows) == 1:
            return choice
        for plan in self._attempts.plans.alternatives(running.target, rows):
            choice = backends.choose(running.request, plan.key, now_s, (), room)
            if choice is not None:
                running.plan = plan
                return choice
        return None

    def _refuse_late(self, running: Running, share: float, now_s: float) -> Refuse:
        account = running.request.client_account
        window = self._attempts.backends.window(running.plan.key)
        wait_s = self._admission.wait_s(account, share, running.long, window)
        kind = "long" if running.long else "short"
        return Refuse(
            running.request.request_id,
            ResultCode.DEADLINE_UNREACHABLE,
            self._admission.retry_after_s(running.long, window, now_s),
            f"predicted wait {wait_s:.2f} s for {kind} work of {account}, "
            f"target leaves {running.deadline_s - now_s:.2f} s",
        )

    def _pump(self, now_s: float) -> list[Decision]:
        """Dispatch waiting requests while there is room."""
        decisions: list[Decision] = []
        for long in (False, True):
            queue = self._admission.queue(long)
            while len(queue):
                ready = next((r for r in queue.next_first() if self._has_room(r, now_s)), None)
                if ready is None:
                    break
                queue.pop(ready)
                if self._runnable(ready):
                    choice = self._attempts.backends.choose(
                        ready.request, ready.plan.key, now_s, (), self._room(ready, now_s)
                    )
                    decisions += self._attempts.start(ready, now_s, choice)
                else:
                    decisions += self._replan(ready, now_s)
        return decisions

    def _has_room(self, running: Running, now_s: float) -> bool:
        return not self._runnable(running) or self._attempts.backends.has_capacity(
            running.plan.key, running.request, now_s, self._room(running, now_s)
        )

    def _room(self, running: Running, now_s: float) -> CapacityRule:
        """Return the room that a request may use.

        Beside long work a slot that is free now is soon taken by the long work of other entries,
        so short work keeps to the windows: with it, checks beside gate histories missed their aim.
        """
        beside_long = running.long or self._admission.recent(True, now_s)
        if beside_long or not self._admission.steady(running.long):
            return CapacityRule.FREE_SLOT_IF_IDLE
        return CapacityRule.FREE_SLOT

    def _runnable(self, running: Running) -> bool:
        return self._eligibility.may_run(running.request, running.plan.key)

    def _replan(self, running: Running, now_s: float) -> list[Decision]:
        """Choose again for a request whose version was stopped while it waited."""
        self._forget(running)
        return self._arrive(running.request, now_s)

    def _attempt_finished(self, event: AttemptFinished, now_s: float) -> list[Decision]:
        running = self._requests.get(event.request_id)
        attempt = running.attempts.get(event.attempt) if running is not None else None
        if running is None:
            return []
        if attempt is None:
            return self._caller_gone(event.request_id)
        self._evidence.record_result(attempt.key, True, now_s)
        self._admission.finished(running.long, now_s - attempt.sent_s)
        self._finished[event.request_id] = running.request.work_class
        decisions = self._attempts.finished(running, attempt, event, now_s)
        if running.stage is not Stage.RATING:
            self._forget(running)
        return decisions + self._stops(now_s)

    def _attempt_failed(self, event: AttemptFailed, now_s: float) -> list[Decision]:
        running = self._requests.get(event.request_id)
        if running is None or event.attempt not in running.attempts:
            return []
        if self._attempts.is_version_fault(event):
            self._evidence.record_result(running.attempts[event.attempt].key, False, now_s)
        suspect = self._attempts.makes_suspect(running, event) or self._is_suspect(running.request)
        decisions = self._attempts.failed(running, event, suspect, now_s)
        if suspect and not any(isinstance(item, GiveUp) for item in decisions):
            self._suspects.add(running.request.fingerprint)
            if not running.attempts:
                decisions += self._ask_trial(running, now_s)
        if any(isinstance(item, GiveUp) for item in decisions):
            self._forget(running)
        return decisions + self._stops(now_s)

    def _rated(self, event: AnswerRated, now_s: float) -> list[Decision]:
        key = (event.model, event.version)
        running = self._requests.get(event.request_id)
        work_class = self._finished.get(event.request_id, "")
        if work_class:
            self._attempts.quality.record_rating(work_class, key, event.good)
            self._evidence.record_rating(key, event.good, now_s)
            if event.good or running is None or running.plan.then is None:
                self._attempts.quality.record_delivered(work_class, event.good)
        decisions: list[Decision] = []
        if running is not None and running.stage is Stage.RATING:
            decisions = self._attempts.rated(running, event.good, now_s)
            if running.stage is not Stage.RUNNING:
                self._forget(running)
        return decisions + self._stops(now_s)

    def _stops(self, now_s: float) -> list[Decision]:
        """Stop the versions that this entry's own evidence speaks against."""
        if not self._switches.version_health or now_s - self._verdicts_s < VERDICT_INTERVAL_S:
            return []
        self._verdicts_s = now_s
        found = self._evidence.verdicts(now_s)
        for verdict in found:
            self._eligibility.stop((verdict.model, verdict.version))
            self._attempts.plans.clear()
        return [StopVersion(item.model, item.version, item.reason) for item in found]

    def _timers(self, now_s: float) -> list[Decision]:
        decisions: list[Decision] = []
        for request_id, kind, number in self._attempts.timers.due(now_s):
            running = self._requests.get(request_id)
            if running is None:
                continue
            if kind is TimerKind.DEADLINE and running.stage is Stage.QUEUED:
                decisions += self._overdue(running, now_s)
            elif kind is TimerKind.HEDGE:
                decisions += self._attempts.hedge(running, number, now_s)
            elif kind is TimerKind.RATING and running.stage is Stage.RATING:
                decisions += self._attempts.release_unrated(running)
                self._forget(running)
        return decisions + self._stops(now_s)

    def _overdue(self, running: Running, now_s: float) -> list[Decision]:
        """Dispatch a request within its account's share beyond the window; refuse others."""
        self._admission.queue(running.long).remove(running)
        if not self._runnable(running):
            return self._replan(running, now_s)
        if running.within_share:
            return self._attempts.start(running, now_s)
        self._forget(running)
        return [self._refuse_late(running, self._share(running), now_s)]

    def _caller_gone(self, request_id: str) -> list[Decision]:
        running = self._requests.get(request_id)
        if running is None:
            return []
        self._admission.queue(running.long).remove(running)
        decisions = self._attempts.cancel_all(running)
        self._forget(running)
        return decisions

    def _is_suspect(self, request: RequestInfo) -> bool:
        known = request.fingerprint in self._view.suspects or request.fingerprint in self._suspects
        return bool(request.fingerprint) and known

    def _ask_trial(self, running: Running, now_s: float) -> list[Decision]:
        self._keep(running)
        running.stage = Stage.TRIAL
        running.trial = True
        candidates = self._attempts.trial_candidates(running)
        if candidates:
            return [AskTrial(running.request.request_id, candidates)]
        self._forget(running)
        return [
            self._attempts.end(
                running,
                ResultCode.NO_BACKEND_SERVER,
                ACCOUNT_RETRY_S,
                "no backend server is free for the trial of a suspect",
            )
        ]

    def _trial_granted(self, event: TrialGranted, now_s: float) -> list[Decision]:
        running = self._requests.get(event.request_id)
        if running is None or running.stage is not Stage.TRIAL:
            return []
        if not self._runnable(running):
            self._forget(running)
            reason = "the version was stopped while the request waited for its trial"
            return [
                self._attempts.end(running, ResultCode.NO_BACKEND_SERVER, ACCOUNT_RETRY_S, reason)
            ]
        return self._attempts.start_trial(running, event.backend_server, now_s)

    def _trial_denied(self, event: TrialDenied) -> list[Decision]:
        running = self._requests.get(event.request_id)
        if running is None or running.stage is not Stage.TRIAL:
            return []
        self._forget(running)
        if event.quarantined:
            reason = "two backend servers were lost while they ran this request"
            return [self._attempts.end(running, ResultCode.QUARANTINED, None, reason)]
        reason = "a backend server was lost while it ran this request; no trial is free now"
        return [self._attempts.end(running, ResultCode.OVERLOADED, event.retry_after_s, reason)]

    def _share(self, running: Running) -> float:
        account: AccountRow | None = self._view.accounts.get(running.request.client_account)
        return account.share if account is not None else 1.0

    def _keep(self, running: Running) -> None:
        request = running.request
        if request.request_id not in self._requests:
            self._requests[request.request_id] = running
            account = request.client_account
            self._account_load[account] = self._account_load.get(account, 0) + 1

    def _forget(self, running: Running) -> None:
        request = running.request
        if self._requests.pop(request.request_id, None) is not None:
            self._account_load[request.client_account] -= 1
