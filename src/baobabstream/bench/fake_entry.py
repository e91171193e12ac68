"""Fake of an entry daemon: carries out the decisions of one policy in virtual time."""

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

from baobabstream.bench.fake_engine import EngineJob
from baobabstream.bench.records import CallerRecord
from baobabstream.bench.workload import Stream
from baobabstream.policy.base import RoutingPolicy
from baobabstream.policy.decisions import (
    AskTrial,
    Cancel,
    Decision,
    Dispatch,
    GiveUp,
    Refuse,
    Release,
    StopVersion,
)
from baobabstream.policy.events import (
    AnswerRated,
    AttemptFailed,
    AttemptFinished,
    FailureKind,
    FirstToken,
    PolicyEvent,
    RequestArrived,
    RequestInfo,
    TimerFired,
    TokensReceived,
    TrialDenied,
    TrialGranted,
)

if TYPE_CHECKING:
    from baobabstream.bench.world import World

__all__ = ["FakeEntry"]

NETWORK_S = 0.002
CONTROL_S = 0.010
RATING_S = 0.15
TRIAL_RETRY_S = 1.0


@dataclass(slots=True)
class _Open:
    request: RequestInfo
    record: CallerRecord
    stream: Stream
    jobs: dict[int, EngineJob] = field(default_factory=dict)
    dispatches: dict[int, Dispatch] = field(default_factory=dict)
    held: bool = False
    trial: bool = False


class FakeEntry:
    """One entry host of the bench."""

    def __init__(self, world: "World", name: str, policy: RoutingPolicy, random: Random) -> None:
        self._world = world
        self._name = name
        self.policy = policy
        self._random = random
        self._open: dict[str, _Open] = {}
        self._armed_s = float("inf")

    def arrive(self, request: RequestInfo, record: CallerRecord, stream: Stream) -> None:
        """Take a caller's request."""
        self._open[request.request_id] = _Open(request, record, stream)
        self.feed(RequestArrived(request))

    def feed(self, event: PolicyEvent) -> None:
        """Tell the policy of an event and carry out its decisions."""
        for decision in self.policy.handle(event, self._world.time.now_s):
            self._carry_out(decision)
        due_s = self.policy.next_timer_s()
        if due_s is not None and due_s < self._armed_s:
            self._armed_s = due_s
            self._world.time.at(due_s, self._fire)

    def _fire(self) -> None:
        self._armed_s = float("inf")
        self.feed(TimerFired())

    def _carry_out(self, decision: Decision) -> None:
        if isinstance(decision, StopVersion):
            self._world.local_stop(decision)
            return
        opened = self._open.get(decision.request_id)
        if opened is None:
            return
        match decision:
            case Dispatch():
                self._dispatch(opened, decision)
            case Cancel():
                job = opened.jobs.pop(decision.attempt, None)
                if job is not None:
                    self._world.cancel(job, opened.dispatches[decision.attempt].backend_server)
            case Refuse() | GiveUp():
                self._refused(opened, decision)
            case Release():
                self._answered(opened, opened.dispatches[decision.attempt])
            case AskTrial():
                self._world.time.after(CONTROL_S, lambda: self._trial(opened, decision))

    def _dispatch(self, opened: _Open, dispatch: Dispatch) -> None:
        request, record = opened.request, opened.record
        record.attempts += 1
        record.hedges += dispatch.is_hedge
        record.moves += dispatch.resume_tokens > 0
        job = EngineJob(
            self,
            request.request_id,
            dispatch.attempt,
            float(request.prompt_tokens + dispatch.resume_tokens),
            record.output_tokens,
            dispatch.priority,
            request.prefix_digests,
            opened.stream.crashes,
            done_tokens=dispatch.resume_tokens,
        )
        opened.jobs[dispatch.attempt] = job
        opened.dispatches[dispatch.attempt] = dispatch
        opened.held = dispatch.rated_before_release
        row = self._world.leader.view.versions[dispatch.model, dispatch.version]
        record.cost += row.cost_per_1k_tokens * record.output_tokens / 1000
        record.cost -= row.cost_per_1k_tokens * dispatch.resume_tokens / 1000
        if dispatch.is_hedge:
            record.cost -= row.cost_per_1k_tokens * record.output_tokens / 1000
        engine = self._world.engines[dispatch.backend_server]
        self._world.time.after(NETWORK_S, lambda: None if job.cancelled else engine.submit(job))

    def on_tokens(self, job: EngineJob, tokens: int) -> None:
        """Tokens of a job have come."""
        opened = self._open.get(job.request_id)
        if opened is None or job.attempt not in opened.jobs:
            return
        if job.done_tokens - tokens <= opened.dispatches[job.attempt].resume_tokens:
            self.feed(FirstToken(job.request_id, job.attempt))
        if not opened.held:
            if opened.record.first_s is None:
                opened.record.first_s = self._world.time.now_s
            opened.record.tokens += tokens
        self.feed(TokensReceived(job.request_id, job.attempt, tokens))

    def on_finished(self, job: EngineJob) -> None:
        """A job has delivered its answer."""
        opened = self._open.get(job.request_id)
        if opened is None or job.attempt not in opened.jobs:
            return
        del opened.jobs[job.attempt]
        dispatch = opened.dispatches[job.attempt]
        if opened.trial:
            self._world.leader.end_trial(opened.request.fingerprint)
        good = self._world.draw_good(dispatch, self._random)
        opened.record.good = good
        rated = AnswerRated(job.request_id, dispatch.model, dispatch.version, good)
        if good != self._world.draw_rating(good, self._random):
            rated = AnswerRated(job.request_id, dispatch.model, dispatch.version, not good)
        self._world.time.after(RATING_S, lambda: self.feed(rated))
        if not opened.held:
            self._answered(opened, dispatch)
        self.feed(AttemptFinished(job.request_id, job.attempt, job.output_tokens))

    def on_failed(self, job: EngineJob, kind: FailureKind) -> None:
        """A job was lost."""
        opened = self._open.get(job.request_id)
        if opened is None or job.attempt not in opened.jobs:
            return
        del opened.jobs[job.attempt]
        failed = AttemptFailed(job.request_id, job.attempt, kind, opened.record.tokens)
        if kind is FailureKind.LOST and opened.request.fingerprint:
            self._world.leader.report_loss([opened.request.fingerprint])
        self._world.time.after(CONTROL_S, lambda: self.feed(failed))

    def _trial(self, opened: _Open, decision: AskTrial) -> None:
        request = opened.request
        if request.fingerprint in self._world.leader.view.quarantined:
            self.feed(TrialDenied(request.request_id, TRIAL_RETRY_S, quarantined=True))
            return
        server = self._world.leader.ask_trial(request.fingerprint, decision.candidates)
        if server:
            opened.trial = True
            self.feed(TrialGranted(request.request_id, server))
        else:
            self.feed(TrialDenied(request.request_id, TRIAL_RETRY_S))

    def _answered(self, opened: _Open, dispatch: Dispatch) -> None:
        record = opened.record
        now_s = self._world.time.now_s
        if record.first_s is None:
            record.first_s = now_s
        record.end_s = now_s
        record.finished = True
        record.model, record.version = dispatch.model, dispatch.version
        self._open.pop(opened.request.request_id, None)

    def _refused(self, opened: _Open, decision: Refuse | GiveUp) -> None:
        record = opened.record
        record.end_s = self._world.time.now_s
        record.refused = isinstance(decision, Refuse)
        record.code = decision.code
        record.retry_after_s = decision.retry_after_s
        self._open.pop(opened.request.request_id, None)
        if decision.retry_after_s is not None and record.returns < opened.stream.retries:
            self._world.come_back(opened.request, record, opened.stream)
