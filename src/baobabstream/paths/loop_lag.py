"""Measures how late the event loop of this process runs its callbacks."""

import asyncio
from collections import deque
from statistics import median

__all__ = ["LoopLag"]

# Time between two measurements, and the number of them that count.
INTERVAL_S = 0.1
MEASUREMENT_COUNT = 5


class LoopLag:
    """Median of the last delays of a timer, which grows as the processor is used up.

    Unlike a mean, it does not rise when the process was held up once for a longer time.

    Attributes
    ----------
    lag_s
        Median delay in seconds.
    """

    def __init__(self) -> None:
        self.lag_s = 0.0
        self._delays_s = deque([0.0] * MEASUREMENT_COUNT, maxlen=MEASUREMENT_COUNT)

    async def run(self) -> None:
        """Measure until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self.record_delay(loop.time() - due_s)

    def record_delay(self, delay_s: float) -> None:
        """Take a measured delay in seconds into account."""
        self._delays_s.append(delay_s)
        self.lag_s = median(self._delays_s)
