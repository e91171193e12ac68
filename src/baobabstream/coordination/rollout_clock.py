"""Measures the time since the start of each rollout on one coordination host.

A rollout moves a service from its base version to a target version within a fixed time. Its row is
the record of it in the replicated state. The leader, which is the coordination host that advances
the rollouts, commits the seconds since the start to the row, as ``elapsed_s``, from time to time.
"""

from collections.abc import Iterable

from baobabstream.wire.coordination_messages import RolloutRow, RolloutState

__all__ = ["RolloutClock"]


class RolloutClock:
    """Measures the time of rollouts from the moment at which this host learned of them.

    Every host has such a clock, so that a new leader includes the time without a leader, in which
    no elapsed time was committed. The clocks of two hosts differ, but none shows more than the true
    time: a host learns of a rollout after its start, and its monotonic clock stops while the host
    is suspended.
    """

    def __init__(self) -> None:
        # By service and target version: seconds since the start of the rollout, and the time of
        # the event loop at which they were computed.
        self._observed: dict[tuple[str, str], tuple[float, float]] = {}

    def update(self, rollouts: Iterable[RolloutRow], now_s: float) -> None:
        """Start to measure new rollouts, and drop those that have ended.

        For a known rollout the measured time continues, or moves up to that in its row.

        Parameters
        ----------
        rollouts
            All rows of the committed state.
        now_s
            Time of the event loop in seconds.
        """
        self._observed = {
            (row.service, row.target): (self.elapsed_s(row, now_s), now_s)
            for row in rollouts
            if row.state is RolloutState.IN_PROGRESS
        }

    def elapsed_s(self, row: RolloutRow, now_s: float) -> float:
        """Return the seconds since a rollout began, at least those in its committed row.

        For a rollout that is not measured yet, these are the seconds in its row.

        Parameters
        ----------
        row
            The rollout.
        now_s
            Time of the event loop in seconds.
        """
        observed_elapsed_s, observed_at_s = self._observed.get(
            (row.service, row.target), (row.elapsed_s, now_s)
        )
        return max(row.elapsed_s, observed_elapsed_s + now_s - observed_at_s)
