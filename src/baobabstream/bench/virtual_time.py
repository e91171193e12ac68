"""Event queue in virtual time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

__all__ = ["VirtualTime"]


class VirtualTime:
    """Runs callbacks in the order of their times; ``now_s`` is the virtual clock."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._order = count()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heappush(self._heap, (max(time_s, self.now_s), next(self._order), action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.at(self.now_s + delay_s, action)

    def run_until(self, end_s: float) -> None:
        """Run all actions up to a time."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, action = heappop(self._heap)
            action()
        self.now_s = end_s
