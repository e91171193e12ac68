"""Load reports of the stand-in engine, which lag behind."""

from collections import deque
from dataclasses import dataclass

__all__ = ["LaggingReports", "LoadReport"]


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load of an engine at one time."""

    in_flight: int = 0
    queued_tokens: int = 0


class LaggingReports:
    """Returns the load as it was some time ago.

    Parameters
    ----------
    lag_s
        Age in seconds of the load that is reported.
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._samples: deque[tuple[float, LoadReport]] = deque()
        self._reported = LoadReport()

    def add(self, report: LoadReport, now_s: float) -> None:
        """Record the present load."""
        self._samples.append((now_s, report))

    def reported(self, now_s: float) -> LoadReport:
        """Return the newest load that is at least the lag old."""
        while self._samples and self._samples[0][0] <= now_s - self._lag_s:
            self._reported = self._samples.popleft()[1]
        return self._reported
