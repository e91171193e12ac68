"""Decisions of the outcome policy on single requests.

An attempt is one dispatch of a request to a backend server, numbered within the request from 1. A
hedge is a second attempt that is sent when the first token is late. A cascade holds the answer of a
first version until it is rated, and replaces a bad one by an answer of a second version. A suspect
is a request that was running when a backend server was lost; it runs again only in a trial that the
control leader grants. A fingerprint identifies repetitions of a request. The last argument of
``handle`` is the time of the event in seconds, that of ``AttemptFinished`` the number of output
tokens.
"""

from policy_fixtures import (
    ANSWER_CLASS,
    DESK_ACCOUNT,
    SMALL_VERSION,
    apply_rows,
    arrive_request,
    dispatches,
    make_policy,
    make_view,
)
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
    """Guards against a refusal with a code that names the wrong cause, or without need."""

    def refusal_code(self, decisions) -> ResultCode:
        """Check that the only decision is a refusal with a reason, and return its code."""
        self.assertThat(decisions, HasLength(1))
        self.assertThat(decisions[0], IsInstance(Refuse))
        assert decisions[0].reason
        return decisions[0].code

    def test_unknown_model_disallowed_model_and_missing_server_have_different_codes(self) -> None:
        other = VersionRow("other", "1", 0.1)
        policy = make_policy(
            make_view(DESK_ACCOUNT, ANSWER_CLASS, SMALL_VERSION, other, engine_count=0)
        )
        assert (
            self.refusal_code(arrive_request(policy, 1, model="none")) == ResultCode.UNKNOWN_MODEL
        )
        assert (
            self.refusal_code(arrive_request(policy, 2, model="other"))
            == ResultCode.MODEL_NOT_ALLOWED
        )
        assert self.refusal_code(arrive_request(policy, 3)) == ResultCode.NO_BACKEND_SERVER

    def test_session_on_a_withdrawn_version_must_restart(self) -> None:
        """A session must neither change its version unnoticed nor run on a withdrawn one."""
        view = make_view(DESK_ACCOUNT, ANSWER_CLASS, SMALL_VERSION)
        policy = make_policy(view)
        apply_rows(view, VersionRow("small", "1", 0.1, state=VersionState.WITHDRAWN))
        policy.handle(ViewChanged(view), 1.0)
        decisions = arrive_request(policy, 1, 1.0, model="small", pinned_version="1")
        assert self.refusal_code(decisions) == ResultCode.SESSION_VERSION_WITHDRAWN

    def test_requests_beyond_the_account_limit_are_refused(self) -> None:
        limited = AccountRow("desk", "digest", ("small",), max_in_flight=1)
        policy = make_policy(make_view(limited, ANSWER_CLASS, SMALL_VERSION))
        self.assertThat(dispatches(arrive_request(policy, 1)), HasLength(1))
        assert self.refusal_code(arrive_request(policy, 2)) == ResultCode.ACCOUNT_LIMIT

    def test_requests_are_dispatched_at_once_while_slots_are_free(self) -> None:
        """Default latency estimates must neither refuse nor queue requests while slots are free.

        Each 6 s a burst of 8 requests comes to 2 engines of 8 slots each; a request takes 1.5 s.
        """
        answer_class = ClassRow("answer", 0.8, 800.0, 5000.0)
        policy = make_policy(
            make_view(DESK_ACCOUNT, answer_class, SMALL_VERSION, engine_count=2, slots=8)
        )
        for burst in range(10):
            request_numbers = range(10 * burst, 10 * burst + 8)
            dispatch_decisions = [
                arrive_request(policy, number, 6.0 * burst, expected_output_tokens=256)[0]
                for number in request_numbers
            ]
            self.assertThat(dispatches(dispatch_decisions), HasLength(8))
            for dispatch in dispatch_decisions:
                finished = AttemptFinished(dispatch.request_id, dispatch.attempt, 60)
                policy.handle(finished, 6.0 * burst + 1.5)

    def test_overload_is_refused_at_once_with_a_retry_time(self) -> None:
        """Requests that cannot be served in time must not wait in a queue first.

        50 requests arrive at once at an engine that runs 2 at a time.
        """
        policy = make_policy(
            make_view(DESK_ACCOUNT, ANSWER_CLASS, SMALL_VERSION, engine_count=1, slots=2)
        )
        decision_lists = [arrive_request(policy, request_number) for request_number in range(50)]
        refusals = [
            decisions[0]
            for decisions in decision_lists
            if decisions and isinstance(decisions[0], Refuse)
        ]
        assert len(refusals) > 40
        assert all(refusal.retry_after_s > 0 for refusal in refusals)
        assert all(refusal.code is ResultCode.DEADLINE_UNREACHABLE for refusal in refusals)

    def test_waiting_requests_end_when_all_servers_are_removed(self) -> None:
        """A request that ends while queued must no longer count towards its account's limit.

        The account "family" may have one request in flight. Its request r50 is queued behind those
        of another account, all servers are removed, and r50's wait ends at its deadline.
        """
        family_account = AccountRow("family", "digest-2", ("small",), max_in_flight=1)
        view = make_view(DESK_ACCOUNT, family_account, ANSWER_CLASS, SMALL_VERSION, engine_count=1)
        policy = make_policy(view)
        arrive_request(policy, 49, account_name="family")
        policy.handle(AttemptFinished("r49", 1, 10), 0.0)
        for request_number in range(30):
            arrive_request(policy, request_number)
        assert arrive_request(policy, 50, account_name="family") == []
        backend_records = list(view.backends.values())
        view.apply_backends((), (), True)
        policy.handle(ViewChanged(view), 0.1)
        ended_decisions = policy.handle(TimerFired(), 5.0)
        assert "r50" in [decision.request_id for decision in ended_decisions]
        view.apply_backends(backend_records, (), True)
        policy.handle(ViewChanged(view), 6.0)
        later_decisions = arrive_request(policy, 51, 6.0, account_name="family")
        assert self.refusal_code_or_none(later_decisions) is not ResultCode.ACCOUNT_LIMIT

    @staticmethod
    def refusal_code_or_none(decisions) -> ResultCode | None:
        """Return the code of the first decision if it is a refusal."""
        return decisions[0].code if isinstance(decisions[0], Refuse) else None


class AttemptTest(TestCase):
    """Guards against lost, duplicated or endlessly repeated attempts."""

    def setUp(self) -> None:
        super().setUp()
        self.policy = make_policy(make_view(DESK_ACCOUNT, ANSWER_CLASS, SMALL_VERSION))
        self.first_dispatch = dispatches(arrive_request(self.policy, 1, fingerprint="f"))[0]

    def fail_attempt(self, kind, attempt=1, delivered_tokens=0, now_s=0.1):
        """Report a failed attempt of request r1 and return the decisions."""
        return self.policy.handle(AttemptFailed("r1", attempt, kind, delivered_tokens), now_s)

    def test_retry_runs_on_another_server(self) -> None:
        retry = dispatches(self.fail_attempt(FailureKind.CONNECT))[0]
        assert self.first_dispatch.backend_server != retry.backend_server

    def test_a_stream_resumes_from_the_delivered_tokens_once(self) -> None:
        self.policy.handle(FirstToken("r1", 1), 0.05)
        self.policy.handle(TokensReceived("r1", 1, 7), 0.06)
        resumed_dispatch = dispatches(self.fail_attempt(FailureKind.STALLED, delivered_tokens=7))[0]
        assert resumed_dispatch.resume_tokens == 7
        second_failure_decisions = self.fail_attempt(
            FailureKind.STALLED, attempt=2, delivered_tokens=9, now_s=0.2
        )
        self.assertThat(second_failure_decisions[0], IsInstance(GiveUp))

    def test_a_dispatched_request_ends_without_a_not_run_code(self) -> None:
        """The answer to a request that was sent must not claim that it did not run."""
        self.assertThat(self.fail_attempt(FailureKind.LOST)[0], IsInstance(AskTrial))
        end_decision = self.policy.handle(TrialDenied("r1", 1.0, quarantined=True), 0.2)[0]
        assert RunState.NO is not CODE_TABLE[end_decision.code].run_state

    def test_a_non_idempotent_request_is_not_run_again(self) -> None:
        arrive_request(self.policy, 2, idempotent=False)
        decisions = self.policy.handle(AttemptFailed("r2", 1, FailureKind.ERROR), 0.1)
        self.assertThat(decisions[0], IsInstance(GiveUp))

    def test_late_events_of_ended_requests_are_ignored(self) -> None:
        """Events may arrive after the request they belong to has ended."""
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

    def test_retry_budget_limits_retries_when_all_attempts_fail(self) -> None:
        """When all servers fail, retries must not multiply the load.

        200 requests, of which every attempt fails, may make at most 239 attempts.
        """
        dispatch_count = 0
        for request_number in range(10, 210):
            decisions = arrive_request(self.policy, request_number, request_number * 0.1)
            while dispatches(decisions):
                dispatch_count += 1
                dispatch = dispatches(decisions)[0]
                failure = AttemptFailed(dispatch.request_id, dispatch.attempt, FailureKind.ERROR)
                decisions = self.policy.handle(failure, request_number * 0.1)
        self.assertThat(dispatch_count, LessThan(240))


class SuspectTest(TestCase):
    """Guards against a request that crashes one server after another."""

    def test_a_lost_request_runs_again_only_in_a_trial(self) -> None:
        policy = make_policy(make_view(DESK_ACCOUNT, ANSWER_CLASS, SMALL_VERSION))
        first_dispatch = dispatches(arrive_request(policy, 1, fingerprint="f"))[0]
        trial_requests = policy.handle(AttemptFailed("r1", 1, FailureKind.LOST), 0.1)
        self.assertThat(trial_requests, HasLength(1))
        assert first_dispatch.backend_server not in trial_requests[0].candidates
        trial_decisions = policy.handle(TrialGranted("r1", trial_requests[0].candidates[0]), 0.2)
        assert trial_requests[0].candidates[0] == dispatches(trial_decisions)[0].backend_server
        policy.handle(TimerFired(), 60.0)
        self.assertThat(arrive_request(policy, 2, 61.0, fingerprint="f")[0], IsInstance(AskTrial))

    def test_quarantined_fingerprints_are_refused(self) -> None:
        """Two losses quarantine a fingerprint."""
        view = make_view(DESK_ACCOUNT, ANSWER_CLASS, SMALL_VERSION, QuarantineRow("f", 2))
        decisions = arrive_request(make_policy(view), 1, fingerprint="f")
        assert decisions[0].code == ResultCode.QUARANTINED


class HedgeTest(TestCase):
    """Guards against hedges that are not cancelled, repeat the server, or exceed their budget.

    The first 101 requests have timely first tokens, from which the policy learns when a hedge is
    due. Hedges may be 5% of the requests at most.
    """

    def test_the_slower_attempt_is_cancelled_and_hedges_stay_in_budget(self) -> None:
        policy = make_policy(make_view(DESK_ACCOUNT, ANSWER_CLASS, SMALL_VERSION, engine_count=4))
        hedge_count = 0
        for request_number in range(1000):
            now_s = request_number * 0.5
            first_dispatch = dispatches(arrive_request(policy, request_number, now_s))[0]
            first_token_is_late = request_number > 100
            if first_token_is_late:
                hedge_dispatches = dispatches(policy.handle(TimerFired(), now_s + 0.3))
                if hedge_dispatches:
                    hedge_count += 1
                    assert first_dispatch.backend_server != hedge_dispatches[0].backend_server
                    decisions = policy.handle(
                        FirstToken(first_dispatch.request_id, 2), now_s + 0.31
                    )
                    assert [Cancel(first_dispatch.request_id, 1)] == decisions
                    policy.handle(AttemptFinished(first_dispatch.request_id, 2, 10), now_s + 0.4)
                    continue
            policy.handle(FirstToken(first_dispatch.request_id, 1), now_s + 0.05)
            policy.handle(AttemptFinished(first_dispatch.request_id, 1, 10), now_s + 0.4)
        self.assertThat(hedge_count, MatchesAll(LessThan(51)))
        assert hedge_count > 0


class CascadeTest(TestCase):
    """Guards against an answer that is never released, or released though rated bad.

    The ratings in ``setUp`` make a cascade from the small to the large version the cheapest plan:
    of the small version's answers 6 in 7 are rated good, the class asks for 93%. The held answer is
    then the first one that must be rated before it is released.
    """

    def setUp(self) -> None:
        super().setUp()
        config_rows = (
            DESK_ACCOUNT,
            ClassRow("answer", 0.93, 9000.0, 30000.0),
            VersionRow("small", "1", 0.1, 0.85),
            VersionRow("large", "1", 2.0, 0.95),
        )
        view = make_view(*config_rows, loaded_versions=(("small", "1"), ("large", "1")))
        self.policy = make_policy(view)
        for request_number in range(100, 400):
            now_s = request_number * 1.0
            first_dispatch = dispatches(arrive_request(self.policy, request_number, now_s))[0]
            self.policy.handle(AttemptFinished(first_dispatch.request_id, 1, 10), now_s + 0.5)
            is_good = request_number % 7 != 0 or first_dispatch.model == "large"
            rating = AnswerRated(
                first_dispatch.request_id, first_dispatch.model, first_dispatch.version, is_good
            )
            for second_dispatch in dispatches(self.policy.handle(rating, now_s + 0.6)):
                self.policy.handle(AttemptFinished(second_dispatch.request_id, 2, 10), now_s + 0.7)
        self.held_dispatch = next(
            dispatch
            for request_number in range(1000, 1100)
            for dispatch in dispatches(
                arrive_request(self.policy, request_number, 500.0 + request_number)
            )
            if dispatch.rated_before_release
        )
        self.held_at_s = 500.0 + int(self.held_dispatch.request_id[1:])
        self.policy.handle(
            AttemptFinished(self.held_dispatch.request_id, 1, 10), self.held_at_s + 0.5
        )

    def rate_held_answer(self, is_good: bool):
        """Report the rating of the held first answer and return the decisions."""
        event = AnswerRated(
            self.held_dispatch.request_id,
            self.held_dispatch.model,
            self.held_dispatch.version,
            is_good,
        )
        return self.policy.handle(event, self.held_at_s + 0.7)

    def test_good_answers_are_released(self) -> None:
        self.assertThat(self.rate_held_answer(True)[0], IsInstance(Release))

    def test_a_bad_answer_is_replaced_by_the_second_version(self) -> None:
        second_dispatch = dispatches(self.rate_held_answer(False))[0]
        self.assertThat(
            (second_dispatch.model, second_dispatch.rated_before_release), Equals(("large", False))
        )

    def test_a_held_answer_is_released_when_no_rating_comes(self) -> None:
        decisions = self.policy.handle(TimerFired(), self.held_at_s + 5.0)
        releases = [decision for decision in decisions if isinstance(decision, Release)]
        assert self.held_dispatch.request_id in [decision.request_id for decision in releases]


class WithdrawnVersionTest(TestCase):
    """Guards against attempts on a version that was withdrawn while a request ran on it."""

    def withdraw_running_version(self, request_fields):
        """Return the policy and first dispatch of a request; then withdraw its version."""
        loaded_versions = (("small", "1"), ("large", "1"))
        large_version = VersionRow("large", "1", 2.0, 0.95)
        view = make_view(
            DESK_ACCOUNT,
            ANSWER_CLASS,
            SMALL_VERSION,
            large_version,
            loaded_versions=loaded_versions,
        )
        policy = make_policy(view)
        first_dispatch = dispatches(arrive_request(policy, 1, **request_fields))[0]
        self.assertThat(first_dispatch.model, Equals("small"))
        apply_rows(view, VersionRow("small", "1", 0.1, 0.95, VersionState.WITHDRAWN))
        policy.handle(ViewChanged(view), 0.1)
        return policy, first_dispatch

    def test_a_retry_runs_on_another_version(self) -> None:
        policy, first_dispatch = self.withdraw_running_version({})
        failure = AttemptFailed("r1", first_dispatch.attempt, FailureKind.CONNECT)
        retry = dispatches(policy.handle(failure, 0.2))[0]
        self.assertThat((retry.model, retry.attempt), Equals(("large", 2)))

    def test_a_stream_is_not_resumed_on_a_withdrawn_version(self) -> None:
        policy, first_dispatch = self.withdraw_running_version({})
        policy.handle(FirstToken("r1", first_dispatch.attempt), 0.1)
        policy.handle(TokensReceived("r1", first_dispatch.attempt, 5), 0.2)
        failure = AttemptFailed("r1", first_dispatch.attempt, FailureKind.STALLED, 5)
        self.assertThat(policy.handle(failure, 0.3)[0], IsInstance(GiveUp))

    def test_a_request_pinned_to_a_withdrawn_version_ends(self) -> None:
        policy, first_dispatch = self.withdraw_running_version(
            {"model": "small", "pinned_version": "1"}
        )
        failure = AttemptFailed("r1", first_dispatch.attempt, FailureKind.CONNECT)
        self.assertThat(policy.handle(failure, 0.2)[0], IsInstance(GiveUp))

    def test_no_hedge_runs_on_a_withdrawn_version(self) -> None:
        """A request with a late first token is hedged only if its version is still active."""
        for state, expected_hedges in ((VersionState.ACTIVE, 1), (VersionState.WITHDRAWN, 0)):
            view = make_view(DESK_ACCOUNT, ANSWER_CLASS, SMALL_VERSION)
            policy = make_policy(view)
            for request_number in range(120):
                arrive_request(policy, request_number, request_number * 0.5)
                policy.handle(FirstToken(f"r{request_number}", 1), request_number * 0.5 + 0.05)
                policy.handle(
                    AttemptFinished(f"r{request_number}", 1, 10), request_number * 0.5 + 0.4
                )
            arrive_request(policy, 120, 60.0)
            apply_rows(view, VersionRow("small", "1", 0.1, 0.95, state))
            policy.handle(ViewChanged(view), 60.1)
            hedge_dispatches = dispatches(policy.handle(TimerFired(), 60.4))
            self.assertThat(hedge_dispatches, HasLength(expected_hedges))
