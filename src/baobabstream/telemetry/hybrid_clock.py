"""Hybrid logical clock for the event timeline.

The event timeline is the record of what all processes did, merged from one file per process. Wall
clocks of hosts differ, so events are ordered by hybrid times: the wall time, which is raised to
that of every reading received from another host, and a counter for equal wall times.
"""

import time
from collections.abc import Callable

from msgspec import Struct

__all__ = ["HybridClock", "HybridTime"]


# Readings of other hosts that are further ahead of the local wall clock, in milliseconds, are
# ignored, so that one host with a wrong date does not advance the clocks of all others.
MAX_CLOCK_LEAD_MS = 60_000


class HybridTime(Struct, frozen=True, order=True):
    """Reading of a hybrid clock; readings are ordered by wall time, then by counter.

    Attributes
    ----------
    wall_ms
        Wall time in milliseconds since the Unix epoch.
    counter
        Number that orders readings with the same wall time.
    """

    wall_ms: int
    counter: int


class HybridClock:
    """Clock whose readings respect causality between hosts.

    An event that causes another one on any host has the earlier reading, provided that each
    message contains a reading that its receiver observes.

    Parameters
    ----------
    wall_clock
        Function that returns the wall time in seconds since the Unix epoch.

    References
    ----------
    S. Kulkarni et al., "Logical Physical Clocks and Consistent Snapshots in Globally
    Distributed Databases", 2014.
    """

    def __init__(self, wall_clock: Callable[[], float] = time.time) -> None:
        self._wall_clock = wall_clock
        self._latest = HybridTime(0, 0)

    def now(self) -> HybridTime:
        """Return a reading later than all returned or observed ones."""
        # Seconds to milliseconds.
        wall_ms = int(self._wall_clock() * 1000)
        if wall_ms > self._latest.wall_ms:
            self._latest = HybridTime(wall_ms, 0)
        else:
            self._latest = HybridTime(self._latest.wall_ms, self._latest.counter + 1)
        return self._latest

    def observe(self, received: HybridTime) -> None:
        """Advance past a reading received from another host.

        A reading more than ``MAX_CLOCK_LEAD_MS`` ahead of the local wall clock is ignored.
        """
        # Seconds to milliseconds.
        if received.wall_ms <= int(self._wall_clock() * 1000) + MAX_CLOCK_LEAD_MS:
            self._latest = max(self._latest, received)
