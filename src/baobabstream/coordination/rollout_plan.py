"""The steps of a rollout over its time."""

from dataclasses import dataclass

from baobabstream.wire.coordination_messages import RolloutRow

__all__ = ["CANARY_SHARE", "RolloutStep", "planned_step"]

# Share of new sessions on the target version in the first half of a rollout. Two thirds of the
# smallest exposure limit in use (0.15), so that a bad version stays under it even if it is found
# only when the share rises.
CANARY_SHARE = 0.1
# Time with a share of 0 in which the hosts learn the sessions that are alive and keep the base
# version: two exchanges.
HOLD_S = 1.2
# Share of the duration after which sessions of the base version may move.
SETTLE_AT = 0.52
# Half of the sessions on each version keeps the servers of both in use.
RISING_SHARE = 0.5
FULL_AT = 0.74
# Share of the duration from which the rollout ends as soon as the base version is idle, and at
# which it ends in any case, since its deadline is near.
COMPLETE_IDLE_AT = 0.8
COMPLETE_AT = 0.92


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """Share of the target version, whether sessions move, and whether the rollout may end."""

    share: float
    settled: bool
    complete: bool


def planned_step(row: RolloutRow, elapsed_s: float, base_idle: bool) -> RolloutStep:
    """Return the step of a healthy rollout at a time after its start.

    Parameters
    ----------
    row
        The rollout.
    elapsed_s
        Time in seconds since its start.
    base_idle
        Whether no request runs on the base version.
    """
    if elapsed_s < HOLD_S:
        return RolloutStep(0.0, settled=False, complete=False)
    progress = elapsed_s / row.duration_s if row.duration_s > 0 else 1.0
    if progress < SETTLE_AT:
        return RolloutStep(CANARY_SHARE, settled=False, complete=False)
    if progress < FULL_AT:
        return RolloutStep(RISING_SHARE, settled=True, complete=False)
    ends = progress >= COMPLETE_AT or (base_idle and progress >= COMPLETE_IDLE_AT)
    return RolloutStep(1.0, settled=True, complete=ends)
