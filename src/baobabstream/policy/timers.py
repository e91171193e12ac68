"""Timers of the requests that a policy is responsible for.

An attempt is one dispatch of a request to a backend server, numbered within the request from 1. All
times are on the policy's clock, in seconds. A hedge is a second attempt, sent when the first token
of the first one is late.
"""

from enum import StrEnum
from heapq import heappop, heappush

__all__ = ["TimerKind", "Timers"]


class TimerKind(StrEnum):
    """What to do when a timer is due.

    DEADLINE ends the wait of a queued request, HEDGE sends a second attempt if there is no first
    token yet, and RATING releases to the caller an answer that was held for its rating, which has
    not come.
    """

    DEADLINE = "deadline"
    HEDGE = "hedge"
    RATING = "rating"


class Timers:
    """Heap of timers. Timers of ended requests stay in it; the caller ignores them."""

    def __init__(self) -> None:
        # Due time, request identity, kind and attempt number of each timer.
        self._heap: list[tuple[float, str, TimerKind, int]] = []

    def add(self, due_at_s: float, request_id: str, kind: TimerKind, attempt: int = 0) -> None:
        """Set a timer of a request.

        Parameters
        ----------
        due_at_s
            Time at which the timer is due.
        request_id
            Identity of the request.
        kind
            What to do when the timer is due.
        attempt
            Number of the attempt that a hedge timer belongs to; 0 for other kinds.
        """
        heappush(self._heap, (due_at_s, request_id, kind, attempt))

    def next_s(self) -> float | None:
        """Return the earliest due time, or None without timers."""
        return self._heap[0][0] if self._heap else None

    def due(self, now_s: float) -> list[tuple[str, TimerKind, int]]:
        """Remove the timers due by now and return request id, kind and attempt number of each."""
        due_timers = []
        while self._heap and self._heap[0][0] <= now_s:
            _, request_id, kind, attempt = heappop(self._heap)
            due_timers.append((request_id, kind, attempt))
        return due_timers
