"""Decides when blocks of tokens are joined because the entry's core is busy."""

import asyncio
import time

__all__ = ["LoadMeter"]

INTERVAL_S = 0.25
# A core that is busier than this delays new requests behind the relay of tokens.
BUSY_SHARE = 0.85
# Joining itself lowers the share, so it ends only well below the start.
QUIET_SHARE = 0.5
# Two to three tokens at the 26 ms between tokens that callers are promised.
JOIN_GAP_S = 0.06


class LoadMeter:
    """Measures how much of its core the event loop's thread uses.

    Attributes
    ----------
    block_gap_s
        Least time between two blocks of one stream, 0 while the core is not busy.
    """

    def __init__(self) -> None:
        self.block_gap_s = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._wall_s = 0.0
        self._cpu_s = 0.0

    def start(self) -> None:
        """Start to measure."""
        loop = asyncio.get_running_loop()
        self._wall_s, self._cpu_s = loop.time(), time.thread_time()
        self._timer = loop.call_later(INTERVAL_S, self._measure)

    def stop(self) -> None:
        """Stop measuring."""
        if self._timer is not None:
            self._timer.cancel()

    def update(self, busy_share: float) -> None:
        """Take the share of the core that was used in the last interval."""
        if busy_share > BUSY_SHARE:
            self.block_gap_s = JOIN_GAP_S
        elif busy_share < QUIET_SHARE:
            self.block_gap_s = 0.0

    def _measure(self) -> None:
        loop = asyncio.get_running_loop()
        wall_s, cpu_s = loop.time(), time.thread_time()
        self.update((cpu_s - self._cpu_s) / max(wall_s - self._wall_s, INTERVAL_S / 2))
        self._wall_s, self._cpu_s = wall_s, cpu_s
        self._timer = loop.call_later(INTERVAL_S, self._measure)
