"""The time of a rollout over changes of leader."""

from msgspec.structs import replace

from baobabstream.coordination.rollout_clock import RolloutClock
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState

ROLLOUT = RolloutRow("engine", "v1", "v2", RolloutState.IN_PROGRESS, duration_s=12.0)


def test_time_without_a_leader_counts() -> None:
    """Guards against a rollout that misses its deadline because leaders changed on the way."""
    clock = RolloutClock()
    clock.note([ROLLOUT], 100.0)
    assert clock.elapsed_s(ROLLOUT, 103.0) == 3.0


def test_later_steps_do_not_set_the_time_back() -> None:
    """Guards against the time that a new leader stores being less than what others have seen."""
    clock = RolloutClock()
    clock.note([ROLLOUT], 100.0)
    stepped = replace(ROLLOUT, elapsed_s=1.0, share=0.1)
    clock.note([stepped], 104.0)
    assert clock.elapsed_s(stepped, 105.0) == 5.0


def test_stored_time_counts_on_a_host_that_comes_late() -> None:
    """Guards against a host that was away and begins the rollout anew."""
    clock = RolloutClock()
    late = replace(ROLLOUT, elapsed_s=7.0)
    clock.note([late], 50.0)
    assert clock.elapsed_s(late, 52.0) == 9.0


def test_second_rollout_of_a_service_begins_at_zero() -> None:
    """Guards against a rollout that ends at once since another one ran before it."""
    clock = RolloutClock()
    clock.note([ROLLOUT], 0.0)
    clock.note([replace(ROLLOUT, state=RolloutState.ROLLED_BACK)], 12.0)
    second = replace(ROLLOUT, target="v3")
    clock.note([second], 20.0)
    assert clock.elapsed_s(second, 21.0) == 1.0
