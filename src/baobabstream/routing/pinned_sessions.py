"""Sessions that are pinned to the base version of a rollout, as sets that hosts merge.

A session is a series of requests that a caller marks as belonging together. During a rollout a
service moves from a base version to a target version. Sessions that were active when the rollout
began are pinned: their requests stay on the base version.

Different requests of a session reach different entry hosts, so all hosts must know which sessions
are pinned. They exchange the sets by way of the coordination hosts.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from functools import reduce
from operator import xor

__all__ = ["PinnedSessions"]

# Number of sessions in a rollout's set from which no more are added, to bound the memory. It is
# enough for the sessions of several seconds of the busiest deployment's requests.
MAX_PINNED_SESSIONS = 100_000


class PinnedSessions:
    """Grow-only sets of the stable hashes of sessions, by rollout.

    Rollouts are named by the key that `session_versions.rollout_key` returns, which holds service
    and target version. Sessions are named by their 64-bit `stable_hash`.

    Notes
    -----
    The digest of a set is the XOR of its hashes; that of an empty set is 0. Different sets have
    equal digests only with a probability of one in 2**64. Hosts exchange digests and send their
    set only while the digests differ. Since sets only grow, every host ends with the union.
    """

    def __init__(self) -> None:
        # Both by rollout key.
        self._session_hashes: dict[str, set[int]] = defaultdict(set)
        self._digests: dict[str, int] = {}

    def is_pinned(self, rollout_key: str, session_hash: int) -> bool:
        """Return whether a session is pinned to the base version of a rollout."""
        return session_hash in self._session_hashes.get(rollout_key, ())

    def add(self, rollout_key: str, session_hashes: Iterable[int]) -> None:
        """Pin sessions for a rollout, unless its set has reached its maximum size.

        The sessions of one call are added together, so the set may exceed the maximum by them.
        """
        pinned_hashes = self._session_hashes[rollout_key]
        new_hashes = set(session_hashes) - pinned_hashes
        if new_hashes and len(pinned_hashes) < MAX_PINNED_SESSIONS:
            pinned_hashes |= new_hashes
            self._digests[rollout_key] = reduce(xor, new_hashes, self._digests.get(rollout_key, 0))

    def digests(self) -> dict[str, int]:
        """Return the digest of the set of each rollout, by rollout key."""
        return dict(self._digests)

    def merge(self, remote_sets: Mapping[str, Iterable[int]]) -> None:
        """Add the session hashes of another host, given by rollout key."""
        for rollout_key, session_hashes in remote_sets.items():
            self.add(rollout_key, session_hashes)

    def differing_sets(self, remote_digests: Mapping[str, int]) -> dict[str, tuple[int, ...]]:
        """Return the sets of this host whose digests differ from those of another host.

        These are what the other host needs to build the union. Parameter and result are by rollout
        key. A rollout that the other host does not know has the digest 0 there, that of an empty
        set.
        """
        return {
            rollout_key: tuple(self._session_hashes[rollout_key])
            for rollout_key, digest in self._digests.items()
            if remote_digests.get(rollout_key, 0) != digest
        }

    def retain(self, active_rollout_keys: Iterable[str]) -> None:
        """Drop the sets of all rollouts but the given ones, since they are not needed any more."""
        for rollout_key in set(self._session_hashes) - set(active_rollout_keys):
            del self._session_hashes[rollout_key]
            self._digests.pop(rollout_key, None)
