"""Estimates of the probability that an answer of a version is rated good."""

from dataclasses import dataclass, field
from math import sqrt

from baobabstream.wire.rows import VersionRow

__all__ = ["Quality", "QualityEstimates"]

# The configured prior quality counts as this many ratings.
PRIOR_WEIGHT = 10.0
MEMORY = 4000.0
# The fast estimate covers about this many ratings; it replaces the long one when it lies this
# many standard deviations below, so that work moves away before a version's test has crossed.
FAST_MEMORY = 12.0
FAST_DEVIATIONS = 3.0
# Ratings of the version in other classes count at most this much in a class.
CLASS_PRIOR_WEIGHT = 50.0


@dataclass(frozen=True, slots=True)
class Quality:
    """Posterior mean and standard deviation of the share of good answers."""

    mean: float
    deviation: float


@dataclass(slots=True)
class _Beta:
    good: float = 0.0
    bad: float = 0.0
    fast_good: float = 0.0
    fast_total: float = 0.0

    def add(self, good: bool) -> None:
        if self.good + self.bad >= MEMORY:
            self.good /= 2
            self.bad /= 2
        self.good += good
        self.bad += not good
        keep = 1 - 1 / FAST_MEMORY
        self.fast_good = self.fast_good * keep + good
        self.fast_total = self.fast_total * keep + 1

    def posterior(self, prior_mean: float, prior_weight: float) -> Quality:
        total = prior_weight + self.good + self.bad
        mean = (prior_weight * prior_mean + self.good) / total
        deviation = sqrt(mean * (1 - mean) / (total + 1))
        if self.fast_total > 0.3 * FAST_MEMORY:
            fast = (self.fast_good + mean) / (self.fast_total + 1)
            limit = FAST_DEVIATIONS * sqrt(mean * (1 - mean) / (self.fast_total + 1))
            if fast < mean - limit:
                return Quality(fast, deviation)
        return Quality(mean, deviation)


@dataclass(slots=True)
class QualityEstimates:
    """Beta posteriors per version, and per class of work with the version's as prior.

    Notes
    -----
    Versions without ratings have the configured prior quality. Old ratings are halved at a limit,
    so that the estimate follows a version that changes slowly.
    """

    _versions: dict[tuple[str, str], _Beta] = field(default_factory=dict)
    _classes: dict[tuple[str, str, str], _Beta] = field(default_factory=dict)

    def rate(self, work_class: str, key: tuple[str, str], good: bool) -> None:
        """Take one rating."""
        self._versions.setdefault(key, _Beta()).add(good)
        self._classes.setdefault((work_class, *key), _Beta()).add(good)

    def estimate(self, work_class: str, row: VersionRow) -> Quality:
        """Return the posterior of a version in a class."""
        key = (row.model, row.version)
        version = self._versions.get(key)
        if version is None:
            mean = min(max(row.prior_quality, 0.01), 0.99)
            return Quality(mean, sqrt(mean * (1 - mean) / (PRIOR_WEIGHT + 1)))
        overall = version.posterior(row.prior_quality, PRIOR_WEIGHT)
        in_class = self._classes.get((work_class, *key))
        if in_class is None:
            return overall
        weight = min(CLASS_PRIOR_WEIGHT, PRIOR_WEIGHT + version.good + version.bad)
        return in_class.posterior(overall.mean, weight)

    def ratings(self, work_class: str, key: tuple[str, str]) -> float:
        """Return the number of remembered ratings of a version in a class."""
        beta = self._classes.get((work_class, *key))
        return beta.good + beta.bad if beta is not None else 0.0
