"""Times at which the policy wants to look at a request again."""

from enum import StrEnum
from heapq import heappop, heappush

__all__ = ["TimerKind", "Timers"]


class TimerKind(StrEnum):
    """What is due."""

    DEADLINE = "deadline"
    HEDGE = "hedge"
    RATING = "rating"


class Timers:
    """Heap of due times; entries of ended requests are ignored when they come up."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, str, TimerKind, int]] = []

    def add(self, due_at_s: float, request_id: str, kind: TimerKind, attempt: int = 0) -> None:
        """Ask for a look at a request."""
        heappush(self._heap, (due_at_s, request_id, kind, attempt))

    def next_s(self) -> float | None:
        """Return the earliest due time."""
        return self._heap[0][0] if self._heap else None

    def due(self, now_s: float) -> list[tuple[str, TimerKind, int]]:
        """Remove and return what is due."""
        due_timers = []
        while self._heap and self._heap[0][0] <= now_s:
            _, request_id, kind, attempt = heappop(self._heap)
            due_timers.append((request_id, kind, attempt))
        return due_timers
