"""Keeps the largest model of an engine apart from small ones: short work behind long work.

An engine reads and generates for all its requests in common steps. A step takes as long as its
slowest model needs, so one request of the largest model slows every small one beside it.
"""

from collections.abc import Iterable
from math import exp

from xxhash import xxh64_intdigest

__all__ = ["MOST_SHARE", "ModelShares", "largest_model_servers"]

# Time in which the memory of past work falls to a third; longer than a wave of a few seconds.
MEMORY_S = 10.0
# Share of the largest model before any work was seen, and its bounds. Small models need few
# servers, but one that is lost or full must not stop them.
FIRST_SHARE, LEAST_SHARE, MOST_SHARE = 0.6, 0.3, 0.75


class ModelShares:
    """Work of the largest model as a share of all work, from what was sent lately."""

    def __init__(self) -> None:
        self._largest = 0.0
        self._all = 0.0
        self._noted_s = 0.0

    def note(self, work: float, largest: bool, now_s: float) -> None:
        """Count work in any unit that grows with an engine's time for it."""
        kept = exp((self._noted_s - now_s) / MEMORY_S)
        self._noted_s = now_s
        self._largest = self._largest * kept + (work if largest else 0.0)
        self._all = self._all * kept + work

    def largest_share(self) -> float:
        """Return the part of the servers that the largest model should have."""
        if self._all <= 0:
            return FIRST_SHARE
        return min(max(self._largest / self._all, LEAST_SHARE), MOST_SHARE)


def largest_model_servers(server_ids: Iterable[str], share: float) -> frozenset[str]:
    """Return the servers that the largest model should use; every host chooses the same ones.

    Parameters
    ----------
    server_ids
        Servers that may run a request.
    share
        Part of them for the largest model.
    """
    ordered = sorted(server_ids, key=lambda server_id: xxh64_intdigest(server_id.encode()))
    if len(ordered) < 2:
        return frozenset(ordered)
    count = min(max(round(len(ordered) * share), 1), len(ordered) - 1)
    return frozenset(ordered[:count])
