"""Decisions of the outcome policy on single requests."""

from policy_fixtures import ANSWER, DESK, SMALL, apply, arrive, dispatches, make_policy, make_view
from testtools import TestCase
from testtools.matchers import Equals, HasLength, IsInstance, LessThan, MatchesAll

from baobabstream.errors.codes import CODE_TABLE, ResultCode, RunState
from baobabstream.policy.decisions import AskTrial, Cancel, GiveUp, Refuse, Release
from baobabstream.policy.events import (
    AnswerRated,
    AttemptFailed,
    AttemptFinished,
    FailureKind,
    FirstToken,
    TimerFired,
    TokensReceived,
    TrialDenied,
    TrialGranted,
    ViewChanged,
)
from baobabstream.wire.rows import AccountRow, ClassRow, QuarantineRow, VersionRow, VersionState


class RefusalTest(TestCase):
    """Guards against a refusal with a code that names the wrong cause."""

    def code(self, decisions) -> ResultCode:
        self.assertThat(decisions, HasLength(1))
        self.assertThat(decisions[0], IsInstance(Refuse))
        assert decisions[0].reason
        return decisions[0].code

    def test_unknown_model_model_not_allowed_and_no_server_differ(self) -> None:
        other = VersionRow("other", "1", 0.1)
        policy = make_policy(make_view(DESK, ANSWER, SMALL, other, engines=0))
        assert self.code(arrive(policy, 1, model="none")) == ResultCode.UNKNOWN_MODEL
        assert self.code(arrive(policy, 2, model="other")) == ResultCode.MODEL_NOT_ALLOWED
        assert self.code(arrive(policy, 3)) == ResultCode.NO_BACKEND_SERVER

    def test_session_on_a_withdrawn_version_must_restart(self) -> None:
        """A session must neither move silently nor run on a withdrawn version."""
        view = make_view(DESK, ANSWER, SMALL)
        policy = make_policy(view)
        apply(view, VersionRow("small", "1", 0.1, state=VersionState.WITHDRAWN))
        policy.handle(ViewChanged(view), 1.0)
        decisions = arrive(policy, 1, 1.0, model="small", pinned_version="1")
        assert self.code(decisions) == ResultCode.SESSION_VERSION_WITHDRAWN

    def test_account_limit(self) -> None:
        limited = AccountRow("desk", "digest", ("small",), max_in_flight=1)
        policy = make_policy(make_view(limited, ANSWER, SMALL))
        self.assertThat(dispatches(arrive(policy, 1)), HasLength(1))
        assert self.code(arrive(policy, 2)) == ResultCode.ACCOUNT_LIMIT

    def test_idle_servers_take_all_callers_from_the_start(self) -> None:
        """A default estimate must neither refuse nor queue a request while slots are free."""
        target = ClassRow("answer", 0.8, 800.0, 5000.0)
        policy = make_policy(make_view(DESK, target, SMALL, engines=2, slots=8))
        for burst in range(10):
            numbers = range(10 * burst, 10 * burst + 8)
            made = [arrive(policy, n, 6.0 * burst, expected_output_tokens=256)[0] for n in numbers]
            self.assertThat(dispatches(made), HasLength(8))
            for item in made:
                finished = AttemptFinished(item.request_id, item.attempt, 60)
                policy.handle(finished, 6.0 * burst + 1.5)

    def test_overload_is_refused_at_once_with_a_retry_time(self) -> None:
        """Requests that cannot be served in time must not wait in a queue first."""
        policy = make_policy(make_view(DESK, ANSWER, SMALL, engines=1, slots=2))
        made = [arrive(policy, n) for n in range(50)]
        refused = [items[0] for items in made if items and isinstance(items[0], Refuse)]
        assert len(refused) > 40
        assert all(item.retry_after_s > 0 for item in refused)
        assert all(item.code is ResultCode.DEADLINE_UNREACHABLE for item in refused)

    def test_waiting_requests_end_when_all_servers_go(self) -> None:
        """A request that ends in the queue must give its account's place back."""
        family = AccountRow("family", "digest-2", ("small",), max_in_flight=1)
        view = make_view(DESK, family, ANSWER, SMALL, engines=1)
        policy = make_policy(view)
        arrive(policy, 49, account="family")
        policy.handle(AttemptFinished("r49", 1, 10), 0.0)
        for number in range(30):
            arrive(policy, number)
        assert arrive(policy, 50, account="family") == []
        records = list(view.backends.values())
        view.apply_backends((), (), True)
        policy.handle(ViewChanged(view), 0.1)
        ended = policy.handle(TimerFired(), 5.0)
        assert "r50" in [item.request_id for item in ended]
        view.apply_backends(records, (), True)
        policy.handle(ViewChanged(view), 6.0)
        again = arrive(policy, 51, 6.0, account="family")
        assert self.code_or_dispatch(again) is not ResultCode.ACCOUNT_LIMIT

    @staticmethod
    def code_or_dispatch(decisions) -> ResultCode | None:
        return decisions[0].code if isinstance(decisions[0], Refuse) else None


class AttemptTest(TestCase):
    """Guards against lost, doubled or endlessly repeated attempts."""

    def setUp(self) -> None:
        super().setUp()
        self.policy = make_policy(make_view(DESK, ANSWER, SMALL))
        self.first = dispatches(arrive(self.policy, 1, fingerprint="f"))[0]

    def fail(self, kind, attempt=1, delivered=0, now_s=0.1):
        return self.policy.handle(AttemptFailed("r1", attempt, kind, delivered), now_s)

    def test_retry_runs_on_another_server(self) -> None:
        again = dispatches(self.fail(FailureKind.CONNECT))[0]
        assert self.first.backend_server != again.backend_server

    def test_a_stream_resumes_from_the_delivered_tokens_once(self) -> None:
        self.policy.handle(FirstToken("r1", 1), 0.05)
        self.policy.handle(TokensReceived("r1", 1, 7), 0.06)
        again = dispatches(self.fail(FailureKind.STALLED, delivered=7))[0]
        assert again.resume_tokens == 7
        ended = self.fail(FailureKind.STALLED, attempt=2, delivered=9, now_s=0.2)
        self.assertThat(ended[0], IsInstance(GiveUp))

    def test_an_ended_request_is_not_said_to_be_not_run(self) -> None:
        """The answer to a request that was sent must not claim that it did not run."""
        self.assertThat(self.fail(FailureKind.LOST)[0], IsInstance(AskTrial))
        ended = self.policy.handle(TrialDenied("r1", 1.0, quarantined=True), 0.2)[0]
        assert RunState.NO is not CODE_TABLE[ended.code].run_state

    def test_a_non_idempotent_request_is_not_run_again(self) -> None:
        arrive(self.policy, 2, idempotent=False)
        ended = self.policy.handle(AttemptFailed("r2", 1, FailureKind.ERROR), 0.1)
        self.assertThat(ended[0], IsInstance(GiveUp))

    def test_late_events_of_ended_requests_are_ignored(self) -> None:
        """Events may cross with the end of a request."""
        self.policy.handle(AttemptFinished("r1", 1, 10), 1.0)
        for event in (
            FirstToken("r1", 1),
            TokensReceived("r1", 1, 3),
            AttemptFinished("r1", 1, 10),
            AttemptFailed("r1", 1, FailureKind.LOST),
            AnswerRated("unknown", "small", "1", True),
            TrialGranted("r1", "engine-0"),
            TimerFired(),
        ):
            assert self.policy.handle(event, 2.0) == []

    def test_retry_budget_ends_a_storm(self) -> None:
        """When all servers fail, retries must not multiply the load."""
        made = 0
        for number in range(10, 210):
            decisions = arrive(self.policy, number, number * 0.1)
            while dispatches(decisions):
                made += 1
                sent = dispatches(decisions)[0]
                failed = AttemptFailed(sent.request_id, sent.attempt, FailureKind.ERROR)
                decisions = self.policy.handle(failed, number * 0.1)
        self.assertThat(made, LessThan(240))


class SuspectTest(TestCase):
    """Guards against a request that crashes server after server."""

    def test_a_lost_request_runs_again_only_under_a_trial(self) -> None:
        policy = make_policy(make_view(DESK, ANSWER, SMALL))
        sent = dispatches(arrive(policy, 1, fingerprint="f"))[0]
        asked = policy.handle(AttemptFailed("r1", 1, FailureKind.LOST), 0.1)
        self.assertThat(asked, HasLength(1))
        assert sent.backend_server not in asked[0].candidates
        granted = policy.handle(TrialGranted("r1", asked[0].candidates[0]), 0.2)
        assert asked[0].candidates[0] == dispatches(granted)[0].backend_server
        policy.handle(TimerFired(), 60.0)
        self.assertThat(arrive(policy, 2, 61.0, fingerprint="f")[0], IsInstance(AskTrial))

    def test_quarantined_fingerprints_are_refused(self) -> None:
        view = make_view(DESK, ANSWER, SMALL, QuarantineRow("f", 2))
        decisions = arrive(make_policy(view), 1, fingerprint="f")
        assert decisions[0].code == ResultCode.QUARANTINED


class HedgeTest(TestCase):
    """Guards against hedges that run on, repeat the server, or exceed their budget."""

    def test_the_loser_is_cancelled_and_hedges_stay_in_budget(self) -> None:
        policy = make_policy(make_view(DESK, ANSWER, SMALL, engines=4))
        hedges = 0
        for number in range(1000):
            now_s = number * 0.5
            sent = dispatches(arrive(policy, number, now_s))[0]
            late = number > 100
            if late:
                made = dispatches(policy.handle(TimerFired(), now_s + 0.3))
                if made:
                    hedges += 1
                    assert sent.backend_server != made[0].backend_server
                    cancelled = policy.handle(FirstToken(sent.request_id, 2), now_s + 0.31)
                    assert [Cancel(sent.request_id, 1)] == cancelled
                    policy.handle(AttemptFinished(sent.request_id, 2, 10), now_s + 0.4)
                    continue
            policy.handle(FirstToken(sent.request_id, 1), now_s + 0.05)
            policy.handle(AttemptFinished(sent.request_id, 1, 10), now_s + 0.4)
        self.assertThat(hedges, MatchesAll(LessThan(51)))
        assert hedges > 0


class CascadeTest(TestCase):
    """Guards against an answer that is held for ever, or released though rated bad."""

    def setUp(self) -> None:
        super().setUp()
        rows = (
            DESK,
            ClassRow("answer", 0.93, 9000.0, 30000.0),
            VersionRow("small", "1", 0.1, 0.85),
            VersionRow("large", "1", 2.0, 0.95),
        )
        view = make_view(*rows, loaded=(("small", "1"), ("large", "1")))
        self.policy = make_policy(view)
        for number in range(100, 400):
            now_s = number * 1.0
            sent = dispatches(arrive(self.policy, number, now_s))[0]
            self.policy.handle(AttemptFinished(sent.request_id, 1, 10), now_s + 0.5)
            good = number % 7 != 0 or sent.model == "large"
            rated = AnswerRated(sent.request_id, sent.model, sent.version, good)
            for second in dispatches(self.policy.handle(rated, now_s + 0.6)):
                self.policy.handle(AttemptFinished(second.request_id, 2, 10), now_s + 0.7)
        self.sent = next(
            item
            for number in range(1000, 1100)
            for item in dispatches(arrive(self.policy, number, 500.0 + number))
            if item.rated_before_release
        )
        self.now_s = 500.0 + int(self.sent.request_id[1:])
        self.policy.handle(AttemptFinished(self.sent.request_id, 1, 10), self.now_s + 0.5)

    def rate(self, good: bool):
        event = AnswerRated(self.sent.request_id, self.sent.model, self.sent.version, good)
        return self.policy.handle(event, self.now_s + 0.7)

    def test_good_answers_are_released(self) -> None:
        self.assertThat(self.rate(True)[0], IsInstance(Release))

    def test_bad_answers_go_to_the_better_version(self) -> None:
        again = dispatches(self.rate(False))[0]
        self.assertThat((again.model, again.rated_before_release), Equals(("large", False)))

    def test_a_silent_rating_service_holds_nothing_back(self) -> None:
        made = self.policy.handle(TimerFired(), self.now_s + 5.0)
        releases = [item for item in made if isinstance(item, Release)]
        assert self.sent.request_id in [item.request_id for item in releases]


class WithdrawnVersionTest(TestCase):
    """Guards against attempts on a version that was withdrawn while a request ran on it."""

    def withdrawn(self, fields):
        """Return policy and first attempt of a request whose version is withdrawn meanwhile."""
        loaded = (("small", "1"), ("large", "1"))
        large = VersionRow("large", "1", 2.0, 0.95)
        view = make_view(DESK, ANSWER, SMALL, large, loaded=loaded)
        policy = make_policy(view)
        first = dispatches(arrive(policy, 1, **fields))[0]
        self.assertThat(first.model, Equals("small"))
        apply(view, VersionRow("small", "1", 0.1, 0.95, VersionState.WITHDRAWN))
        policy.handle(ViewChanged(view), 0.1)
        return policy, first

    def test_a_retry_runs_on_another_version(self) -> None:
        policy, first = self.withdrawn({})
        failed = AttemptFailed("r1", first.attempt, FailureKind.CONNECT)
        second = dispatches(policy.handle(failed, 0.2))[0]
        self.assertThat((second.model, second.attempt), Equals(("large", 2)))

    def test_a_begun_answer_is_not_resumed_on_it(self) -> None:
        policy, first = self.withdrawn({})
        policy.handle(FirstToken("r1", first.attempt), 0.1)
        policy.handle(TokensReceived("r1", first.attempt, 5), 0.2)
        failed = AttemptFailed("r1", first.attempt, FailureKind.STALLED, 5)
        self.assertThat(policy.handle(failed, 0.3)[0], IsInstance(GiveUp))

    def test_a_pinned_request_ends(self) -> None:
        policy, first = self.withdrawn({"model": "small", "pinned_version": "1"})
        failed = AttemptFailed("r1", first.attempt, FailureKind.CONNECT)
        self.assertThat(policy.handle(failed, 0.2)[0], IsInstance(GiveUp))

    def test_no_hedge_runs_on_it(self) -> None:
        for state, hedges in ((VersionState.ACTIVE, 1), (VersionState.WITHDRAWN, 0)):
            view = make_view(DESK, ANSWER, SMALL)
            policy = make_policy(view)
            for number in range(120):
                arrive(policy, number, number * 0.5)
                policy.handle(FirstToken(f"r{number}", 1), number * 0.5 + 0.05)
                policy.handle(AttemptFinished(f"r{number}", 1, 10), number * 0.5 + 0.4)
            arrive(policy, 120, 60.0)
            apply(view, VersionRow("small", "1", 0.1, 0.95, state))
            policy.handle(ViewChanged(view), 60.1)
            made = dispatches(policy.handle(TimerFired(), 60.4))
            self.assertThat(made, HasLength(hedges))
