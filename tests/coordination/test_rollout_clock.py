"""Tests the time of a rollout over changes of leader."""

from msgspec.structs import replace

from baobabstream.coordination.rollout_clock import RolloutClock
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState

ROLLOUT = RolloutRow("engine", "v1", "v2", RolloutState.IN_PROGRESS, duration_s=12.0)


def test_time_without_a_leader_is_included() -> None:
    """Guards against a rollout that misses its deadline because the leader changed."""
    clock = RolloutClock()
    clock.update([ROLLOUT], 100.0)
    assert clock.elapsed_s(ROLLOUT, 103.0) == 3.0


def test_committed_steps_do_not_set_the_time_back() -> None:
    """Guards against a new leader that commits less time than other hosts have measured."""
    clock = RolloutClock()
    clock.update([ROLLOUT], 100.0)
    stepped = replace(ROLLOUT, elapsed_s=1.0, share=0.1)
    clock.update([stepped], 104.0)
    assert clock.elapsed_s(stepped, 105.0) == 5.0


def test_host_that_joins_late_starts_at_the_committed_time() -> None:
    """Guards against a host that was down and measures a rollout from zero."""
    clock = RolloutClock()
    committed = replace(ROLLOUT, elapsed_s=7.0)
    clock.update([committed], 50.0)
    assert clock.elapsed_s(committed, 52.0) == 9.0


def test_second_rollout_of_a_service_starts_at_zero() -> None:
    """Guards against a rollout that ends at once because the time of a previous one is used."""
    clock = RolloutClock()
    clock.update([ROLLOUT], 0.0)
    clock.update([replace(ROLLOUT, state=RolloutState.ROLLED_BACK)], 12.0)
    second = replace(ROLLOUT, target="v3")
    clock.update([second], 20.0)
    assert clock.elapsed_s(second, 21.0) == 1.0
