"""Sequential test of one stream of good and bad results against a reference rate of bad ones.

The test is a CUSUM (cumulative sum) test: it adds up log-likelihood ratios of a raised rate against
the reference rate, never below zero, and signals a change when the sum reaches a limit. A run is
the time since the sum was last zero. The results are those of one version of a model, such as its
successes and errors; the rise of a test is the amount by which its raised rate exceeds the
reference rate. Times are on the caller's clock, in seconds.
"""

from collections import deque
from dataclasses import dataclass, field
from math import inf, log, sqrt

__all__ = ["RATE_RISES", "ChangeTest", "Counts", "ReferenceRate", "log_likelihood_ratio"]

# Differences to the reference rate that the test looks for, as shares of all results. The smallest
# finds a version that is 10 percentage points worse, the largest one that turns bad at once.
RATE_RISES = (0.1, 0.3, 0.7)
# Bounds of the rates in a likelihood ratio, so that its logarithms stay finite.
MAX_RATE = 0.95
MIN_RATE = 0.005
# Number of results above which a reference's counts are halved, so that a reference follows months
# of service.
MAX_REFERENCE_RESULTS = 20_000.0
# Standard deviations between the mean and the upper bound of a reference rate. This margin keeps
# the false-alarm rate while the reference has few results.
REFERENCE_MARGIN_DEVIATIONS = 1.5
# Time for which results are kept in buckets.
BUCKET_RETENTION_S = 60.0
# Results are dated by the start of their bucket. At 0.5 s the healthy results that came with the
# first bad ones counted as earlier than the fault, which delayed a verdict by 5 s.
BUCKET_S = 0.1
# A sum (of log-likelihood ratios, without unit) rises at most this far above the limit, so that it
# falls soon after a disturbance ends.
MAX_SUM_EXCESS = 2.0


@dataclass(slots=True)
class Counts:
    """Numbers of good and bad results; fractions arise when counts are halved or weighted."""

    good: float = 0.0
    bad: float = 0.0

    @property
    def total(self) -> float:
        """Return the number of all results."""
        return self.good + self.bad

    def add(self, good: float, bad: float) -> None:
        """Add numbers of good and bad results."""
        self.good += good
        self.bad += bad


@dataclass(slots=True)
class ReferenceRate:
    """Long-run rate of bad results, with a weak prior.

    Attributes
    ----------
    prior_bad, prior_total
        Numbers of bad and of all results that the prior counts as.
    counts
        Observed results.
    """

    prior_bad: float
    prior_total: float
    counts: Counts = field(default_factory=Counts)

    def add(self, good: float, bad: float) -> None:
        """Add results of undisturbed service, halving the counts above a limit.

        Service is undisturbed while the test that uses the reference sees no rise.
        """
        self.counts.add(good, bad)
        if self.counts.total > MAX_REFERENCE_RESULTS:
            self.counts = Counts(self.counts.good / 2, self.counts.bad / 2)

    def mean(self) -> float:
        """Return the expected rate of bad results."""
        return (self.prior_bad + self.counts.bad) / (self.prior_total + self.counts.total)

    def upper_bound(self) -> float:
        """Return the mean rate of bad results plus ``REFERENCE_MARGIN_DEVIATIONS`` deviations.

        The deviation is the standard error of a rate that was measured on as many results.
        """
        mean = self.mean()
        total = self.prior_total + self.counts.total
        return mean + REFERENCE_MARGIN_DEVIATIONS * sqrt(mean * (1 - mean) / total)

    def combined(self, other: "ReferenceRate") -> "ReferenceRate":
        """Return a reference that adds another's results, weighted to at most as many as here.

        The weight keeps the other results, however many, from outnumbering those of this reference.
        """
        weight = min(1.0, self.counts.total / other.counts.total) if other.counts.total else 0.0
        good = self.counts.good + weight * other.counts.good
        bad = self.counts.bad + weight * other.counts.bad
        return ReferenceRate(self.prior_bad, self.prior_total, Counts(good, bad))


class ChangeTest:
    """CUSUM tests for several rises of the rate of bad results, run side by side.

    Parameters
    ----------
    limit
        Log-likelihood ratio at which a test signals a change.

    Attributes
    ----------
    pending
        Results since all sums were last zero.
    crossed_at_s
        Time since which a sum has been at the limit without interruption; infinite if none is.

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
        # Per rise: the sum, and the time at which its present run began.
        self._sums = [0.0] * len(RATE_RISES)
        self._run_starts_s = [inf] * len(RATE_RISES)
        # Recent results by the start of their bucket in seconds, oldest first.
        self._buckets: deque[tuple[float, Counts]] = deque()
        self.pending = Counts()
        self.crossed_at_s = inf

    @property
    def rise(self) -> float:
        """Return the rise whose test has the largest sum."""
        return RATE_RISES[self._largest_sum_index]

    @property
    def onset_s(self) -> float:
        """Return the time when the run with the largest sum started, an estimate of the change."""
        return self._run_starts_s[self._largest_sum_index]

    @property
    def _largest_sum_index(self) -> int:
        """Return the index of the largest sum; of equal sums, that of the largest rise."""
        return max(range(len(RATE_RISES)), key=lambda index: (self._sums[index], index))

    def observe(self, good: float, bad: float, reference_rate: float, now_s: float) -> Counts:
        """Add results to all tests.

        Parameters
        ----------
        good, bad
            Numbers of new good and bad results.
        reference_rate
            Rate of bad results that is expected without a change.
        now_s
            Present time in seconds.

        Returns
        -------
        Counts
            If all sums are zero now, the results since they last were; otherwise empty counts.
        """
        self._add_to_buckets(good, bad, now_s)
        self.pending.add(good, bad)
        for index, rise in enumerate(RATE_RISES):
            if self._sums[index] <= 0.0:
                self._run_starts_s[index] = now_s
            new_sum = self._sums[index] + log_likelihood_ratio(good, bad, reference_rate, rise)
            self._sums[index] = min(max(0.0, new_sum), self._limit + MAX_SUM_EXCESS)
        if max(self._sums) <= 0.0:
            return self.reset()
        if max(self._sums) < self._limit:
            self.crossed_at_s = inf
        elif self.crossed_at_s == inf:
            self.crossed_at_s = now_s
        return Counts()

    def reset(self) -> Counts:
        """Set all sums to zero and return the results since they last were."""
        ended_results = self.pending
        self.pending = Counts()
        self.crossed_at_s = inf
        self._sums = [0.0] * len(RATE_RISES)
        return ended_results

    def results_since(self, start_s: float) -> Counts:
        """Return the number of results from a time on, as far back as they are kept."""
        recent = Counts()
        for bucket_start_s, counts in reversed(self._buckets):
            if bucket_start_s < start_s:
                break
            recent.add(counts.good, counts.bad)
        return recent

    def buckets_since(self, start_s: float) -> list[tuple[float, Counts]]:
        """Return the buckets that start at a time or later, each as its start and its counts."""
        return [bucket for bucket in self._buckets if bucket[0] >= start_s]

    def _add_to_buckets(self, good: float, bad: float, now_s: float) -> None:
        """Add results to the latest bucket; start a new one and drop old ones when it is full."""
        if not self._buckets or now_s - self._buckets[-1][0] >= BUCKET_S:
            self._buckets.append((now_s, Counts()))
            while self._buckets[0][0] < now_s - BUCKET_RETENTION_S:
                self._buckets.popleft()
        self._buckets[-1][1].add(good, bad)


def log_likelihood_ratio(good: float, bad: float, reference_rate: float, rise: float) -> float:
    """Return the log-likelihood ratio of results for a raised rate against the reference.

    Parameters
    ----------
    good, bad
        Numbers of good and bad results.
    reference_rate
        Expected rate of bad results.
    rise
        Amount by which the raised rate exceeds the reference rate.
    """
    # The margin of 0.01 keeps the raised rate above the base rate.
    base_rate = min(max(reference_rate, MIN_RATE), MAX_RATE - 0.01)
    raised_rate = min(base_rate + rise, MAX_RATE)
    return bad * log(raised_rate / base_rate) + good * log((1 - raised_rate) / (1 - base_rate))
