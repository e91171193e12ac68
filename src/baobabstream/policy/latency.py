"""Recent latencies per version: mean and a high quantile of the time to first token."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = ["FirstTokenTimes", "LatencyEstimates"]

MAX_MS = 600_000
ROTATE_S = 10.0
REFRESH_S = 1.0
MIN_SAMPLES = 10
HEDGE_PERCENTILE = 95.0
GAIN = 0.05


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_MS, 2)


@dataclass(slots=True)
class FirstTokenTimes:
    """High quantile of the times to first token in the last 10 to 20 seconds."""

    _current: HdrHistogram = field(default_factory=_histogram)
    _previous: HdrHistogram = field(default_factory=_histogram)
    _rotated_s: float = -1e9
    _computed_s: float = -1e9
    _quantile_s: float | None = None

    def add(self, first_token_s: float, now_s: float) -> None:
        """Take one time to first token."""
        if now_s - self._rotated_s > ROTATE_S:
            self._previous, self._current = self._current, _histogram()
            self._rotated_s = now_s
        self._current.record_value(min(MAX_MS, max(1, int(first_token_s * 1000))))

    def quantile_s(self, now_s: float) -> float | None:
        """Return the quantile after which a request is hedged; None without enough data."""
        if now_s - self._computed_s >= REFRESH_S:
            self._computed_s = now_s
            parts = [self._current, self._previous]
            largest = max(parts, key=lambda part: part.get_total_count())
            if largest.get_total_count() >= MIN_SAMPLES:
                self._quantile_s = largest.get_value_at_percentile(HEDGE_PERCENTILE) / 1000
        return self._quantile_s


@dataclass(slots=True)
class _VersionTimes:
    first_s: float
    gap_s: float
    first_tokens: FirstTokenTimes = field(default_factory=FirstTokenTimes)


class LatencyEstimates:
    """Time to first token and between tokens of each version."""

    def __init__(self) -> None:
        self._times: dict[tuple[str, str], _VersionTimes] = {}

    def first_token(self, key: tuple[str, str], first_s: float, now_s: float) -> None:
        """Take the time to first token of a short request."""
        times = self._of(key)
        times.first_s += GAIN * (first_s - times.first_s)
        times.first_tokens.add(first_s, now_s)

    def gap(self, key: tuple[str, str], gap_s: float) -> None:
        """Take a time between tokens."""
        times = self._of(key)
        times.gap_s += GAIN * (gap_s - times.gap_s)

    def total_s(self, key: tuple[str, str], output_tokens: float) -> float:
        """Return the expected total time of an answer."""
        times = self._of(key)
        return times.first_s + output_tokens * times.gap_s

    def first_s(self, key: tuple[str, str]) -> float:
        """Return the expected time to first token."""
        return self._of(key).first_s

    def hedge_after_s(self, key: tuple[str, str], now_s: float) -> float | None:
        """Return the time without first token after which a hedge is due."""
        return self._of(key).first_tokens.quantile_s(now_s)

    def _of(self, key: tuple[str, str]) -> _VersionTimes:
        times = self._times.get(key)
        if times is None:
            times = _VersionTimes(0.2, 0.02)
            self._times[key] = times
        return times
