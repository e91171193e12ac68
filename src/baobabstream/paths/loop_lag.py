"""Measures how late the event loop of this process runs its callbacks."""

import asyncio

__all__ = ["LoopLag"]

# Time between two measurements.
INTERVAL_S = 0.1
# Weight of the newest measurement in the moving average.
NEWEST_WEIGHT = 0.3


class LoopLag:
    """Moving average of the delay of a timer, which grows as the processor is used up.

    Attributes
    ----------
    lag_s
        Average delay in seconds.
    """

    def __init__(self) -> None:
        self.lag_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self.lag_s += NEWEST_WEIGHT * (loop.time() - due_s - self.lag_s)
