"""Decides when the blocks of tokens of a stream are joined because the entry's core is busy.

A block is a group of server-sent events that is relayed in one write. The entry's core is the CPU
core on which the thread of its event loop runs; one thread relays all streams.
"""

import asyncio
import time

__all__ = ["LoadMeter"]

# Time between two measurements of the CPU share, the CPU time of the thread per wall time (0 to 1).
MEASUREMENT_INTERVAL_S = 0.25
# CPU share above which blocks are joined: on a busier core, relaying tokens delays new requests.
JOIN_START_CPU_SHARE = 0.85
# CPU share below which joining ends; it is well below the start, since joining lowers the share.
JOIN_STOP_CPU_SHARE = 0.5
# Least time between two blocks while they are joined. It joins two to three tokens at the 26 ms
# between tokens that callers are promised.
JOINED_BLOCK_GAP_S = 0.06


class LoadMeter:
    """Measures the share of its core that the event loop's thread uses.

    Attributes
    ----------
    block_gap_s
        Least time in seconds between two blocks of one stream, 0 while the core is not busy.
    """

    def __init__(self) -> None:
        self.block_gap_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._last_wall_s = 0.0
        self._last_cpu_s = 0.0

    def start(self) -> None:
        """Start to measure at regular intervals."""
        loop = asyncio.get_running_loop()
        self._last_wall_s, self._last_cpu_s = loop.time(), time.thread_time()
        self._timer = loop.call_later(MEASUREMENT_INTERVAL_S, self._measure)

    def stop(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()

    def update(self, cpu_share: float) -> None:
        """Set ``block_gap_s`` from the share (0 to 1) of the core used in the last interval.

        Between the two limits it keeps its value, so that joining does not start and end in turn.
        """
        if cpu_share > JOIN_START_CPU_SHARE:
            self.block_gap_s = JOINED_BLOCK_GAP_S
        elif cpu_share < JOIN_STOP_CPU_SHARE:
            self.block_gap_s = 0.0

    def _measure(self) -> None:
        """Compute the CPU share since the last measurement and schedule the next one.

        The wall time counts as at least half an interval, so that a loop clock that has hardly
        advanced does not give a share far above 1 or a division by 0.
        """
        loop = asyncio.get_running_loop()
        wall_s, cpu_s = loop.time(), time.thread_time()
        self.update(
            (cpu_s - self._last_cpu_s) / max(wall_s - self._last_wall_s, MEASUREMENT_INTERVAL_S / 2)
        )
        self._last_wall_s, self._last_cpu_s = wall_s, cpu_s
        self._timer = loop.call_later(MEASUREMENT_INTERVAL_S, self._measure)
