"""Hybrid logical clock for the event timeline."""

import time
from collections.abc import Callable

from msgspec import Struct

__all__ = ["HybridClock", "HybridTime"]


# A host whose wall clock is further ahead than this does not move the clocks of others.
MAX_AHEAD_MS = 60_000


class HybridTime(Struct, frozen=True, order=True):
    """A reading: wall time in milliseconds and a counter that orders equal times."""

    wall_ms: int
    counter: int


class HybridClock:
    """Clock whose readings respect causality between hosts.

    Parameters
    ----------
    wall_clock
        Function that returns the wall time in seconds.

    References
    ----------
    S. Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in Globally
    Distributed Databases", 2014.
    """

    def __init__(self, wall_clock: Callable[[], float] = time.time) -> None:
        self._wall_clock = wall_clock
        self._last = HybridTime(0, 0)

    def now(self) -> HybridTime:
        """Return a reading later than all earlier ones."""
        wall_ms = int(self._wall_clock() * 1000)
        if wall_ms > self._last.wall_ms:
            self._last = HybridTime(wall_ms, 0)
        else:
            self._last = HybridTime(self._last.wall_ms, self._last.counter + 1)
        return self._last

    def observe(self, other: HybridTime) -> None:
        """Advance past a reading received from another host, unless it is far ahead."""
        if other.wall_ms <= int(self._wall_clock() * 1000) + MAX_AHEAD_MS:
            self._last = max(self._last, other)
