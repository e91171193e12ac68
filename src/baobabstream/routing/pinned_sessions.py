"""Sessions that keep the base version of a rollout, as sets that hosts merge."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from functools import reduce
from operator import xor

__all__ = ["PinnedSessions"]

# Sessions of one rollout that are held; enough for some seconds of the busiest deployment.
MAX_HELD = 100_000


class PinnedSessions:
    """Grow-only sets of the stable hashes of sessions, by rollout.

    Notes
    -----
    Equal digests mean equal sets, but for a chance of one in 2**64. Hosts exchange digests and
    send their set only while the digests differ, so every host ends with the union.
    """

    def __init__(self) -> None:
        self._sets: dict[str, set[int]] = defaultdict(set)
        self._digests: dict[str, int] = {}

    def holds(self, rollout: str, hashed: int) -> bool:
        """Return whether a session is held."""
        return hashed in self._sets.get(rollout, ())

    def add(self, rollout: str, hashes: Iterable[int]) -> None:
        """Add sessions to a rollout's set."""
        known = self._sets[rollout]
        added = set(hashes) - known
        if added and len(known) < MAX_HELD:
            known |= added
            self._digests[rollout] = reduce(xor, added, self._digests.get(rollout, 0))

    def digests(self) -> dict[str, int]:
        """Return the digest of each set."""
        return dict(self._digests)

    def merge(self, held: Mapping[str, Iterable[int]]) -> None:
        """Take the sets of another host."""
        for rollout, hashes in held.items():
            self.add(rollout, hashes)

    def differing_sets(self, digests: Mapping[str, int]) -> dict[str, tuple[int, ...]]:
        """Return the sets whose digests differ at another host."""
        return {
            rollout: tuple(self._sets[rollout])
            for rollout, digest in self._digests.items()
            if digests.get(rollout, 0) != digest
        }

    def retain(self, rollouts: Iterable[str]) -> None:
        """Drop the sets of rollouts that have ended."""
        for rollout in set(self._sets) - set(rollouts):
            del self._sets[rollout]
            self._digests.pop(rollout, None)
