"""Counts of results per version, for this entry's tests and for the control leader."""

from baobabstream.policy.version_health import HealthVerdict, VersionHealth
from baobabstream.policy.view import ClusterView
from baobabstream.wire.messages import VersionEvidence
from baobabstream.wire.rows import RolloutState

__all__ = ["EvidenceCounter"]


class EvidenceCounter:
    """Feeds the entry's own version tests and collects the deltas for the leader.

    Notes
    -----
    Failures to reach a server, lost servers and stalls are faults of servers; only errors that
    the engine reported count against a version.
    """

    def __init__(self) -> None:
        self.health = VersionHealth()
        self._deltas: dict[tuple[str, str], list[int]] = {}

    def set_baselines(self, view: ClusterView) -> None:
        """Name the replaced version of each rollout in the view."""
        for rollout in view.rollouts.values():
            if rollout.state is not RolloutState.LOADING:
                self.health.set_baseline(rollout.model, rollout.to_version, rollout.from_version)

    def result(self, key: tuple[str, str], good: bool, now_s: float) -> None:
        """Count a success or an error."""
        self._count(key, 0 if good else 1, now_s)

    def rating(self, key: tuple[str, str], good: bool, now_s: float) -> None:
        """Count a rating."""
        self._count(key, 2 if good else 3, now_s)

    def verdicts(self, now_s: float) -> list[HealthVerdict]:
        """Return versions that this entry's evidence speaks against."""
        return self.health.verdicts(now_s)

    def take(self) -> tuple[VersionEvidence, ...]:
        """Return the counts since the last call."""
        taken = tuple(VersionEvidence(*key, *counts) for key, counts in self._deltas.items())
        self._deltas.clear()
        return taken

    def _count(self, key: tuple[str, str], index: int, now_s: float) -> None:
        counts = self._deltas.setdefault(key, [0, 0, 0, 0])
        counts[index] += 1
        single = [0, 0, 0, 0]
        single[index] = 1
        self.health.observe(VersionEvidence(*key, *single), now_s)
