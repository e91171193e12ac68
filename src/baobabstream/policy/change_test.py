"""Sequential test of one stream of good and bad results against a reference rate."""

from collections import deque
from dataclasses import dataclass, field
from math import inf, log, sqrt

__all__ = ["RISES", "ChangeTest", "Counts", "ReferenceRate", "log_ratio"]

# Differences to the reference rate that the test looks for. The smallest finds a version that is
# 10 points worse, the largest one that turns bad at once.
RISES = (0.1, 0.3, 0.7)
MAX_RATE = 0.95
MIN_RATE = 0.005
# Reference counts above this are halved, so that a reference follows months of service.
REFERENCE_LIMIT = 20_000.0
# The margin keeps the false-alarm rate while the reference has few results.
REFERENCE_DEVIATIONS = 1.5
KEEP_S = 60.0
# Results are dated by the start of their bucket. At 0.5 s the healthy results that came with the
# first bad ones counted as earlier than the fault, and a verdict waited 5 s longer.
BUCKET_S = 0.1
# A sum is held this close above the limit, so that it falls soon after a disturbance ends.
EXCESS = 2.0


@dataclass(slots=True)
class Counts:
    """Good and bad results; the unit is one result."""

    good: float = 0.0
    bad: float = 0.0

    @property
    def total(self) -> float:
        """Return the number of results."""
        return self.good + self.bad

    def add(self, good: float, bad: float) -> None:
        """Count more results."""
        self.good += good
        self.bad += bad


@dataclass(slots=True)
class ReferenceRate:
    """Long-run rate of bad results, with a weak prior.

    Attributes
    ----------
    prior_bad, prior_total
        Results that the prior is worth.
    """

    prior_bad: float
    prior_total: float
    counts: Counts = field(default_factory=Counts)

    def add(self, good: float, bad: float) -> None:
        """Count results of undisturbed service."""
        self.counts.add(good, bad)
        if self.counts.total > REFERENCE_LIMIT:
            self.counts = Counts(self.counts.good / 2, self.counts.bad / 2)

    def mean(self) -> float:
        """Return the expected rate of bad results."""
        return (self.prior_bad + self.counts.bad) / (self.prior_total + self.counts.total)

    def upper(self) -> float:
        """Return an upper bound of the rate of bad results."""
        mean = self.mean()
        weight = self.prior_total + self.counts.total
        return mean + REFERENCE_DEVIATIONS * sqrt(mean * (1 - mean) / weight)

    def joined(self, other: "ReferenceRate") -> "ReferenceRate":
        """Return a reference with the other's results too, at most as many as this one has."""
        weight = min(1.0, self.counts.total / other.counts.total) if other.counts.total else 0.0
        good = self.counts.good + weight * other.counts.good
        bad = self.counts.bad + weight * other.counts.bad
        return ReferenceRate(self.prior_bad, self.prior_total, Counts(good, bad))


class ChangeTest:
    """Cumulative-sum tests for several rises of the rate of bad results.

    Notes
    -----
    Each test sums log-likelihood ratios and restarts at zero, so a change is found at any time of
    a version's life. The probability that one run from zero reaches the limit by chance is at most
    ``exp(-limit)``.

    References
    ----------
    E. S. Page, "Continuous Inspection Schemes", Biometrika 41, 1954.
    """

    def __init__(self, limit: float) -> None:
        self._limit = limit
        self._sums = [0.0] * len(RISES)
        self._starts = [inf] * len(RISES)
        self._buckets: deque[tuple[float, Counts]] = deque()
        self.pending = Counts()
        self.crossed_s = inf

    @property
    def rise(self) -> float:
        """Return the rise whose test has the largest sum."""
        return RISES[self._largest]

    @property
    def onset_s(self) -> float:
        """Return when the run with the largest sum started, which is close to the change."""
        return self._starts[self._largest]

    @property
    def _largest(self) -> int:
        return max(range(len(RISES)), key=lambda index: (self._sums[index], index))

    def observe(self, good: float, bad: float, reference_rate: float, now_s: float) -> Counts:
        """Count results and return those that no run of the test needs any more."""
        self._remember(good, bad, now_s)
        self.pending.add(good, bad)
        for index, rise in enumerate(RISES):
            if self._sums[index] <= 0.0:
                self._starts[index] = now_s
            total = self._sums[index] + log_ratio(good, bad, reference_rate, rise)
            self._sums[index] = min(max(0.0, total), self._limit + EXCESS)
        if max(self._sums) <= 0.0:
            return self.reset()
        if max(self._sums) < self._limit:
            self.crossed_s = inf
        elif self.crossed_s == inf:
            self.crossed_s = now_s
        return Counts()

    def reset(self) -> Counts:
        """Start again from zero and return the results of the ended run."""
        ended = self.pending
        self.pending = Counts()
        self.crossed_s = inf
        self._sums = [0.0] * len(RISES)
        return ended

    def since(self, start_s: float) -> Counts:
        """Return the results from a time on, as far back as they are kept."""
        recent = Counts()
        for at_s, counts in reversed(self._buckets):
            if at_s < start_s:
                break
            recent.add(counts.good, counts.bad)
        return recent

    def buckets_since(self, start_s: float) -> list[tuple[float, Counts]]:
        """Return the recent results by time."""
        return [item for item in self._buckets if item[0] >= start_s]

    def _remember(self, good: float, bad: float, now_s: float) -> None:
        if not self._buckets or now_s - self._buckets[-1][0] >= BUCKET_S:
            self._buckets.append((now_s, Counts()))
            while self._buckets[0][0] < now_s - KEEP_S:
                self._buckets.popleft()
        self._buckets[-1][1].add(good, bad)


def log_ratio(good: float, bad: float, reference_rate: float, rise: float) -> float:
    """Return the log-likelihood ratio of results for a raised rate against the reference."""
    base = min(max(reference_rate, MIN_RATE), MAX_RATE - 0.01)
    raised = min(base + rise, MAX_RATE)
    return bad * log(raised / base) + good * log((1 - raised) / (1 - base))
