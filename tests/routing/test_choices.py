"""Tests the choices of server, model and version, and the budget of second sends."""

from random import Random

import pytest

from baobabstream.routing.document import RouteKind
from baobabstream.routing.model_cascade import first_model, larger_model, needed_probability
from baobabstream.routing.pinned_sessions import PinnedSessions
from baobabstream.routing.retry_budget import SecondSendBudget
from baobabstream.routing.server_choice import ServerLoad, choose_server
from baobabstream.routing.session_versions import SessionVersions
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState
from routing.routing_fixtures import make_route

CASCADE = make_route(
    kind=RouteKind.STREAM, resumable=True, max_attempts=3, model_names=("s", "m", "l")
)


def load(server_id="a", **changes) -> ServerLoad:
    fields = {
        "in_flight": 2,
        "pending_s": 0.1,
        "own_s": 0.1,
        "slowness": 1.0,
        "failure_share": 0.0,
        "same_zone": True,
    }
    return ServerLoad(server_id, **(fields | changes))


@pytest.mark.parametrize(
    "worse",
    [
        {"in_flight": 5},
        {"slowness": 3.0},
        {"failure_share": 0.4},
        {"same_zone": False},
        {"own_s": 0.3},
        {"pending_s": 1.0},
    ],
)
def test_the_better_server_is_chosen(worse):
    """Guards against work for a server that is busier, slower, failing or without the prompt."""
    assert choose_server([load("a", **worse), load("b")], Random(1)).server_id == "b"


def test_equal_servers_share_the_work():
    """Guards against all gateways taking the same of two equal servers."""
    random = Random(1)
    chosen = {choose_server([load("a"), load("b")], random).server_id for _ in range(20)}
    assert chosen == {"a", "b"}


def test_low_confidence_goes_to_the_largest_model():
    """Guards against poor answers of a small model, and against the cost of the largest for all."""
    assert first_model(CASCADE, "*") == "s"
    assert larger_model(CASCADE, "s", 20.0, strain=0.1) == "l"
    assert larger_model(CASCADE, "s", 90.0, strain=0.1) is None
    assert larger_model(CASCADE, "l", 0.0, strain=0.1) is None


def test_a_middling_answer_is_kept_when_the_next_would_be_late():
    """Guards against giving up a usable answer at the crest for one that comes too late."""
    assert larger_model(CASCADE, "s", 40.0, strain=2.0) is None
    assert larger_model(CASCADE, "s", 5.0, strain=2.0) == "l"


def test_the_largest_model_yields_bit_by_bit():
    """Guards against a threshold that flips all requests at once and back at a crest."""
    steps = [needed_probability(strain / 20) for strain in range(21)]
    assert steps == sorted(steps, reverse=True)
    assert max(a - b for a, b in zip(steps, steps[1:], strict=False)) < 0.1


def test_a_request_that_may_run_once_gets_the_largest_model():
    """Guards against a second run of a stream that may not be repeated."""
    once = make_route(kind=RouteKind.STREAM, resumable=False, model_names=("s", "l"))
    assert first_model(once, "*") == "l"
    assert first_model(CASCADE, "named") == "named"


def test_second_sends_stay_under_the_shared_limit():
    """Guards against retries of many hosts that add up to more than the service may get."""
    hosts, now_s = 4, 10.0
    budgets = [SecondSendBudget(0.5, 8.0, 10.0) for _ in range(hosts)]
    for budget in budgets:
        for _ in range(10):
            budget.note_request(now_s)
    granted = sum(budget.take(now_s, hosts) for budget in budgets for _ in range(50))
    assert 0 < granted <= 0.5 * 40 + 8


def test_second_sends_come_back_after_the_window():
    """Guards against a budget that a burst uses up for good."""
    budget = SecondSendBudget(0.5, 8.0, 10.0)
    while budget.take(0.0, 1):
        pass
    assert not budget.take(9.0, 1)
    assert budget.take(11.0, 1)


def rollout(**changes) -> RolloutRow:
    fields = {
        "service": "engine",
        "base": "v1",
        "target": "v2",
        "state": RolloutState.IN_PROGRESS,
        "share": 0.1,
    }
    return RolloutRow(**(fields | changes))


def test_hosts_keep_living_sessions_on_the_base_version():
    """Guards against a conversation that changes its version because its requests change host."""
    first, second = SessionVersions(5.0), SessionVersions(5.0)
    for n in range(300):
        first.note("engine", f"s{n}", 100.0)
    for host in (first, second):
        host.follow(rollout(share=0.0), 101.0)
    second.held.merge(first.held.differing_sets(second.held.digests()))
    assert first.held.digests() == second.held.digests()
    for host in (first, second):
        assert not any(host.on_target(rollout(share=1.0), f"s{n}") for n in range(300))
        assert all(host.on_target(rollout(share=1.0, settled=True), f"s{n}") for n in range(9))


def test_session_seen_just_before_the_share_rises_is_held():
    """Guards against the sessions that began between the last exchange and the first share."""
    versions = SessionVersions(5.0)
    versions.follow(rollout(share=0.0), 101.0)
    versions.note("engine", "late", 101.5)
    versions.follow(rollout(share=1.0), 101.6)
    assert not versions.on_target(rollout(share=1.0), "late")
    versions.note("engine", "new", 101.7)
    versions.follow(rollout(share=1.0), 101.8)
    assert versions.on_target(rollout(share=1.0), "new")


def test_sessions_of_long_ago_are_not_held():
    """Guards against holding sessions without end."""
    versions = SessionVersions(5.0)
    versions.note("engine", "old", 90.0)
    versions.follow(rollout(share=0.0), 101.0)
    assert versions.on_target(rollout(share=1.0), "old")


def test_share_of_new_sessions_is_bounded_and_rises():
    """Guards against more exposure to a new version than the rollout asks for."""
    versions = SessionVersions(5.0)

    def on_target(share: float) -> set[int]:
        return {n for n in range(2000) if versions.on_target(rollout(share=share), f"s{n}")}

    few, many = on_target(0.1), on_target(0.35)
    assert 140 < len(few) < 260
    assert few < many


def test_held_sessions_of_ended_rollouts_are_dropped():
    """Guards against memory that each rollout adds to."""
    held = PinnedSessions()
    held.add("engine/v2", [1, 2, 3])
    held.retain([])
    assert held.digests() == {}
