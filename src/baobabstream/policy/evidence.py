"""Counts of results per version, for this entry's tests and for the control leader.

An entry is a host process that accepts requests and sends them to engines, the backend servers that
run models. The results of a version are successes and errors of its attempts, and good and bad
ratings of its answers by the rating service; their counts are the evidence on the version. Each
entry tests versions on its own results and also sends its counts to the leader of the control
group, which tests versions on the results of all entries. A rollout replaces a version by a new
one; the replaced version is the baseline with which the new one is compared. A view holds the
configuration and the announced backend servers. A version key is the pair of model name and
version.
"""

from baobabstream.policy.version_health import HealthVerdict, VersionHealth
from baobabstream.policy.view import ClusterView
from baobabstream.wire.messages import VersionEvidence
from baobabstream.wire.rows import RolloutState

__all__ = ["EvidenceCounter"]


class EvidenceCounter:
    """Feeds this entry's version tests and collects the counts for the leader.

    Attributes
    ----------
    health
        Sequential tests of versions on this entry's results.

    Notes
    -----
    Failures to reach a server, lost servers and stalls are faults of servers; only errors that
    the engine reported count against a version.
    """

    def __init__(self) -> None:
        self.health = VersionHealth()
        # By model and version: successes, errors, good ratings, bad ratings since the last send.
        self._deltas: dict[tuple[str, str], list[int]] = {}

    def set_baselines(self, view: ClusterView) -> None:
        """Set the replaced version of each rollout in the view as the new version's baseline.

        Rollouts whose new version is still being loaded are left out, since it has no results.
        """
        for rollout in view.rollouts.values():
            if rollout.state is not RolloutState.LOADING:
                self.health.set_baseline(rollout.model, rollout.to_version, rollout.from_version)

    def record_result(self, version_key: tuple[str, str], is_success: bool, now_s: float) -> None:
        """Count a success or an error of a version, at position 0 or 1 of its counts."""
        self._count(version_key, 0 if is_success else 1, now_s)

    def record_rating(self, version_key: tuple[str, str], is_good: bool, now_s: float) -> None:
        """Count a good or a bad rating of a version's answer, at position 2 or 3 of its counts."""
        self._count(version_key, 2 if is_good else 3, now_s)

    def verdicts(self, now_s: float) -> list[HealthVerdict]:
        """Return the versions that this entry's tests have newly found bad."""
        return self.health.verdicts(now_s)

    def take_deltas(self) -> tuple[VersionEvidence, ...]:
        """Return the counts since the last call, one per version with results, and reset them."""
        deltas = tuple(VersionEvidence(*key, *counts) for key, counts in self._deltas.items())
        self._deltas.clear()
        return deltas

    def _count(self, version_key: tuple[str, str], index: int, now_s: float) -> None:
        """Add one result to the counts for the leader and to this entry's tests.

        Parameters
        ----------
        version_key
            Model and version.
        index
            Position in the counts: 0 success, 1 error, 2 good rating, 3 bad rating.
        now_s
            Present time in seconds.
        """
        counts = self._deltas.setdefault(version_key, [0, 0, 0, 0])
        counts[index] += 1
        # The tests get this one result at once: counts that are 0 but for a 1 at its position.
        single_result = [0, 0, 0, 0]
        single_result[index] = 1
        self.health.observe(VersionEvidence(*version_key, *single_result), now_s)
