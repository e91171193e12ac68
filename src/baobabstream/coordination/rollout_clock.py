"""The time that has passed since a rollout began, as one host of the group has seen it."""

from collections.abc import Iterable

from baobabstream.wire.coordination_messages import RolloutRow, RolloutState

__all__ = ["RolloutClock"]


class RolloutClock:
    """Counts the time of rollouts from the moment at which this host learned of them.

    Every host keeps one, so that a new leader counts the time in which there was no leader. The
    times of two hosts differ, but none runs ahead: a host learns of a rollout after it began, and
    its steady clock stops while the host is suspended.
    """

    def __init__(self) -> None:
        self._noted: dict[tuple[str, str], tuple[float, float]] = {}

    def note(self, rollouts: Iterable[RolloutRow], now_s: float) -> None:
        """Take the rollouts as they are committed now.

        Parameters
        ----------
        rollouts
            All rows of the committed state.
        now_s
            Time of the event loop.
        """
        self._noted = {
            (row.service, row.target): (self.elapsed_s(row, now_s), now_s)
            for row in rollouts
            if row.state is RolloutState.IN_PROGRESS
        }

    def elapsed_s(self, row: RolloutRow, now_s: float) -> float:
        """Return the time since a rollout began; at least what the group has stored."""
        noted_s, since_s = self._noted.get((row.service, row.target), (row.elapsed_s, now_s))
        return max(row.elapsed_s, noted_s + now_s - since_s)
