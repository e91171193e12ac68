"""Recent latencies per version: means, and a high quantile of the time to first token.

A version key is the pair of model name and version. A token gap is the time between two tokens of a
stream. An attempt is one dispatch of a request to a backend server. A hedge is a second attempt of
a request, sent when the first token of the first attempt is late. A short request is one that is
not expected to occupy a server several times longer than most.
"""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

__all__ = ["FirstTokenTimes", "LatencyEstimates"]

# Largest time to first token that the histograms hold; longer ones count as this.
MAX_FIRST_TOKEN_MS = 600_000
# Time that one histogram covers, and the shortest time between two reads of the quantile.
HISTOGRAM_SPAN_S = 10.0
QUANTILE_REFRESH_S = 1.0
# Times needed in a histogram before its quantile is used.
MIN_SAMPLES = 10
# Percentile of the times to first token after which a hedge is sent.
HEDGE_PERCENTILE = 95.0
# Weight of a new time in the moving averages.
AVERAGE_GAIN = 0.05


def _new_histogram() -> HdrHistogram:
    """Return a histogram from 1 ms to the largest time, with two significant digits."""
    return HdrHistogram(1, MAX_FIRST_TOKEN_MS, 2)


@dataclass(slots=True)
class FirstTokenTimes:
    """High quantile of the times to first token in the last 10 to 20 seconds.

    Times go into the current histogram, which replaces the previous one after
    ``HISTOGRAM_SPAN_S``. The quantile is read from the one with more times, and cached.

    Attributes
    ----------
    _current, _previous
        Histograms of times to first token, in milliseconds.
    _rotated_at_s, _computed_at_s
        Times at which the current histogram was started and the quantile was last read; -1e9
        stands for long ago, so that both are due at the first call.
    _cached_quantile_s
        The quantile as last read, or None before enough times.
    """

    _current: HdrHistogram = field(default_factory=_new_histogram)
    _previous: HdrHistogram = field(default_factory=_new_histogram)
    _rotated_at_s: float = -1e9
    _computed_at_s: float = -1e9
    _cached_quantile_s: float | None = None

    def add(self, first_token_s: float, now_s: float) -> None:
        """Add one time to first token, in seconds; the histogram stores whole milliseconds."""
        if now_s - self._rotated_at_s > HISTOGRAM_SPAN_S:
            self._previous, self._current = self._current, _new_histogram()
            self._rotated_at_s = now_s
        self._current.record_value(min(MAX_FIRST_TOKEN_MS, max(1, int(first_token_s * 1000))))

    def quantile_s(self, now_s: float) -> float | None:
        """Return the quantile after which a request is hedged, or None before enough times."""
        if now_s - self._computed_at_s >= QUANTILE_REFRESH_S:
            self._computed_at_s = now_s
            histograms = [self._current, self._previous]
            fullest = max(histograms, key=lambda histogram: histogram.get_total_count())
            if fullest.get_total_count() >= MIN_SAMPLES:
                self._cached_quantile_s = fullest.get_value_at_percentile(HEDGE_PERCENTILE) / 1000
        return self._cached_quantile_s


@dataclass(slots=True)
class _VersionTimes:
    """Moving averages of one version, in seconds, and its recent times to first token."""

    first_token_s: float
    token_gap_s: float
    first_token_times: FirstTokenTimes = field(default_factory=FirstTokenTimes)


class LatencyEstimates:
    """Estimated time to first token and between tokens, per pair of model and version."""

    def __init__(self) -> None:
        self._times: dict[tuple[str, str], _VersionTimes] = {}

    def record_first_token(
        self, version_key: tuple[str, str], first_token_s: float, now_s: float
    ) -> None:
        """Add the measured time to first token of a short request, in seconds.

        Long requests would raise the quantile after which short ones are hedged.
        """
        times = self._times_of(version_key)
        times.first_token_s += AVERAGE_GAIN * (first_token_s - times.first_token_s)
        times.first_token_times.add(first_token_s, now_s)

    def record_token_gap(self, version_key: tuple[str, str], token_gap_s: float) -> None:
        """Add a measured time between tokens, in seconds."""
        times = self._times_of(version_key)
        times.token_gap_s += AVERAGE_GAIN * (token_gap_s - times.token_gap_s)

    def total_s(self, version_key: tuple[str, str], output_tokens: float) -> float:
        """Return the expected time, in seconds, from sending a request to the end of its answer.

        ``output_tokens`` is the expected length of the answer.
        """
        times = self._times_of(version_key)
        return times.first_token_s + output_tokens * times.token_gap_s

    def first_token_s(self, version_key: tuple[str, str]) -> float:
        """Return the expected time to first token, in seconds."""
        return self._times_of(version_key).first_token_s

    def hedge_delay_s(self, version_key: tuple[str, str], now_s: float) -> float | None:
        """Return the time without first token after which a hedge is sent, or None if unknown.

        The time is in seconds from the dispatch.
        """
        return self._times_of(version_key).first_token_times.quantile_s(now_s)

    def _times_of(self, version_key: tuple[str, str]) -> _VersionTimes:
        """Return a version's times; a new version starts at 0.2 s and 0.02 s per token."""
        times = self._times.get(version_key)
        if times is None:
            times = _VersionTimes(0.2, 0.02)
            self._times[version_key] = times
        return times
