"""Sessions that are pinned to the base version of a rollout, as sets that hosts merge.

During a rollout a service moves from a base version to a target version. Sessions that were active
when the rollout began are pinned: their requests stay on the base version.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from functools import reduce
from operator import xor

__all__ = ["PinnedSessions"]

# Size of a rollout's set from which no more sessions are added; enough for some seconds of the
# busiest deployment.
MAX_PINNED_SESSIONS = 100_000


class PinnedSessions:
    """Grow-only sets of the stable hashes of sessions, by rollout.

    Rollouts are named by the key that `rollout_key` returns, and sessions by their `stable_hash`.

    Notes
    -----
    The digest of a set is the XOR of its hashes. Equal digests mean equal sets, but for a chance
    of one in 2**64. Hosts exchange digests and send their set only while the digests differ, so
    every host ends with the union.
    """

    def __init__(self) -> None:
        self._session_hashes: dict[str, set[int]] = defaultdict(set)
        self._digests: dict[str, int] = {}

    def is_pinned(self, rollout: str, session_hash: int) -> bool:
        """Return whether a session is pinned to the base version of a rollout."""
        return session_hash in self._session_hashes.get(rollout, ())

    def add(self, rollout: str, session_hashes: Iterable[int]) -> None:
        """Pin sessions for a rollout, unless its set has reached its maximum size."""
        pinned_hashes = self._session_hashes[rollout]
        new_hashes = set(session_hashes) - pinned_hashes
        if new_hashes and len(pinned_hashes) < MAX_PINNED_SESSIONS:
            pinned_hashes |= new_hashes
            self._digests[rollout] = reduce(xor, new_hashes, self._digests.get(rollout, 0))

    def digests(self) -> dict[str, int]:
        """Return the digest of the set of each rollout."""
        return dict(self._digests)

    def merge(self, remote_sets: Mapping[str, Iterable[int]]) -> None:
        """Add the session hashes of another host, given by rollout."""
        for rollout, session_hashes in remote_sets.items():
            self.add(rollout, session_hashes)

    def differing_sets(self, remote_digests: Mapping[str, int]) -> dict[str, tuple[int, ...]]:
        """Return the sets, by rollout, whose digests differ from those of another host."""
        return {
            rollout: tuple(self._session_hashes[rollout])
            for rollout, digest in self._digests.items()
            if remote_digests.get(rollout, 0) != digest
        }

    def retain(self, active_rollouts: Iterable[str]) -> None:
        """Drop the sets of all rollouts but the given ones."""
        for rollout in set(self._session_hashes) - set(active_rollouts):
            del self._session_hashes[rollout]
            self._digests.pop(rollout, None)
