"""Tests the choices of server, model and version, and the retry budget."""

from random import Random

import pytest

from baobabstream.routing.document import RouteKind
from baobabstream.routing.model_cascade import acceptance_threshold, escalation_model, initial_model
from baobabstream.routing.pinned_sessions import PinnedSessions
from baobabstream.routing.retry_budget import RetryBudget
from baobabstream.routing.server_choice import ServerLoad, choose_server
from baobabstream.routing.session_versions import SessionVersions
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState
from routing.routing_fixtures import make_route

CASCADE = make_route(
    kind=RouteKind.STREAM, is_resumable=True, max_attempts=3, model_names=("s", "m", "l")
)


def make_load(server_id="a", **changes) -> ServerLoad:
    """Return the load of a server with average values, and with some fields replaced."""
    fields = {
        "in_flight": 2,
        "queued_prompt_s": 0.1,
        "prompt_s": 0.1,
        "slowdown": 1.0,
        "failure_rate": 0.0,
        "is_same_zone": True,
    }
    return ServerLoad(server_id, **(fields | changes))


@pytest.mark.parametrize(
    "worse_fields",
    [
        {"in_flight": 5},
        {"slowdown": 3.0},
        {"failure_rate": 0.4},
        {"is_same_zone": False},
        {"prompt_s": 0.3},
        {"queued_prompt_s": 1.0},
    ],
)
def test_server_with_the_lower_expected_cost_is_chosen(worse_fields):
    """Guards against choosing a server that is busier, slower, failing or without the prompt."""
    assert (
        choose_server([make_load("a", **worse_fields), make_load("b")], Random(1)).server_id == "b"
    )


def test_ties_are_broken_at_random():
    """Guards against all gateways choosing the same of two equal servers."""
    random = Random(1)
    chosen_ids = {
        choose_server([make_load("a"), make_load("b")], random).server_id for _ in range(20)
    }
    assert chosen_ids == {"a", "b"}


def test_low_confidence_escalates_to_the_largest_model():
    """Guards against poor answers of a small model, and against running the largest for all."""
    assert initial_model(CASCADE, "*") == "s"
    assert escalation_model(CASCADE, "s", 20.0, expected_time_fraction=0.1) == "l"
    assert escalation_model(CASCADE, "s", 90.0, expected_time_fraction=0.1) is None
    assert escalation_model(CASCADE, "l", 0.0, expected_time_fraction=0.1) is None


def test_medium_confidence_is_accepted_when_escalation_would_be_late():
    """Guards against discarding a usable answer under peak load for one that comes too late."""
    assert escalation_model(CASCADE, "s", 40.0, expected_time_fraction=2.0) is None
    assert escalation_model(CASCADE, "s", 5.0, expected_time_fraction=2.0) == "l"


def test_acceptance_threshold_falls_gradually_with_load():
    """Guards against a threshold that switches all requests at once when the load changes."""
    thresholds = [acceptance_threshold(twentieths / 20) for twentieths in range(21)]
    assert thresholds == sorted(thresholds, reverse=True)
    assert max(a - b for a, b in zip(thresholds, thresholds[1:], strict=False)) < 0.1


def test_non_repeatable_request_gets_the_largest_model():
    """Guards against a second run of a stream that may not be repeated."""
    non_repeatable = make_route(kind=RouteKind.STREAM, is_resumable=False, model_names=("s", "l"))
    assert initial_model(non_repeatable, "*") == "l"
    assert initial_model(CASCADE, "named") == "named"


def test_retries_of_all_hosts_stay_under_the_common_limit():
    """Guards against retries of many hosts that add up to more than the service may get."""
    hosts, now_s = 4, 10.0
    budgets = [RetryBudget(0.5, 8.0, 10.0) for _ in range(hosts)]
    for budget in budgets:
        for _ in range(10):
            budget.record_request(now_s)
    granted = sum(budget.try_acquire(now_s, hosts) for budget in budgets for _ in range(50))
    assert 0 < granted <= 0.5 * 40 + 8


def test_retry_budget_recovers_after_the_window():
    """Guards against a budget that a burst of retries exhausts for good."""
    budget = RetryBudget(0.5, 8.0, 10.0)
    while budget.try_acquire(0.0, 1):
        pass
    assert not budget.try_acquire(9.0, 1)
    assert budget.try_acquire(11.0, 1)


def make_rollout(**changes) -> RolloutRow:
    """Return a rollout from ``v1`` to ``v2`` in progress, with some fields replaced."""
    fields = {
        "service": "engine",
        "base": "v1",
        "target": "v2",
        "state": RolloutState.IN_PROGRESS,
        "share": 0.1,
    }
    return RolloutRow(**(fields | changes))


def test_all_hosts_keep_active_sessions_on_the_base_version():
    """Guards against a session that changes its version because its requests change host."""
    first_host, second_host = SessionVersions(5.0), SessionVersions(5.0)
    for n in range(300):
        first_host.record_request("engine", f"s{n}", 100.0)
    for host in (first_host, second_host):
        host.update_rollout(make_rollout(share=0.0), 101.0)
    second_host.pinned_sessions.merge(
        first_host.pinned_sessions.differing_sets(second_host.pinned_sessions.digests())
    )
    assert first_host.pinned_sessions.digests() == second_host.pinned_sessions.digests()
    for host in (first_host, second_host):
        assert not any(host.uses_target(make_rollout(share=1.0), f"s{n}") for n in range(300))
        assert all(
            host.uses_target(make_rollout(share=1.0, settled=True), f"s{n}") for n in range(9)
        )


def test_session_that_begins_just_before_the_share_rises_is_pinned():
    """Guards against moving sessions that began after the last exchange with a share of 0."""
    versions = SessionVersions(5.0)
    versions.update_rollout(make_rollout(share=0.0), 101.0)
    versions.record_request("engine", "late", 101.5)
    versions.update_rollout(make_rollout(share=1.0), 101.6)
    assert not versions.uses_target(make_rollout(share=1.0), "late")
    versions.record_request("engine", "new", 101.7)
    versions.update_rollout(make_rollout(share=1.0), 101.8)
    assert versions.uses_target(make_rollout(share=1.0), "new")


def test_expired_session_is_not_pinned():
    """Guards against pinning sessions that have ended."""
    versions = SessionVersions(5.0)
    versions.record_request("engine", "old", 90.0)
    versions.update_rollout(make_rollout(share=0.0), 101.0)
    assert versions.uses_target(make_rollout(share=1.0), "old")


def test_share_of_new_sessions_is_bounded_and_rises():
    """Guards against moving more sessions to a new version than the rollout's share."""
    versions = SessionVersions(5.0)

    def sessions_on_target(share: float) -> set[int]:
        """Return the numbers of the sessions that run on the target at a share."""
        return {n for n in range(2000) if versions.uses_target(make_rollout(share=share), f"s{n}")}

    at_low_share, at_high_share = sessions_on_target(0.1), sessions_on_target(0.35)
    assert 140 < len(at_low_share) < 260
    assert at_low_share < at_high_share


def test_pinned_sessions_of_ended_rollouts_are_dropped():
    """Guards against memory use that grows with each rollout."""
    sessions = PinnedSessions()
    sessions.add("engine/v2", [1, 2, 3])
    sessions.retain([])
    assert sessions.digests() == {}
