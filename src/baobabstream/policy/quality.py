"""Estimates of the probability that an answer of a version is rated good."""

from dataclasses import dataclass, field
from math import sqrt

from baobabstream.wire.rows import VersionRow

__all__ = ["Quality", "QualityEstimates"]

# The configured prior quality counts as this many ratings.
PRIOR_WEIGHT = 100.0
MEMORY = 4000.0
# The fast estimate covers about this many ratings; it replaces the long one when it lies this
# many standard deviations below, so that work moves away before a version's test has crossed.
FAST_MEMORY = 12.0
FAST_DEVIATIONS = 3.0
# Without new ratings the fast estimate ends after this time, so that the version gets work again.
FAST_VALID_S = 5.0
# Good answers of a class are compared with its target over about this many ratings.
CLASS_MEMORY = 1000.0
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
    rated_s: float = 0.0

    def add(self, good: bool, now_s: float) -> None:
        if self.good + self.bad >= MEMORY:
            self.good /= 2
            self.bad /= 2
        self.good += good
        self.bad += not good
        keep = 1 - 1 / FAST_MEMORY if now_s - self.rated_s < FAST_VALID_S else 0.0
        self.rated_s = now_s
        self.fast_good = self.fast_good * keep + good
        self.fast_total = self.fast_total * keep + 1

    def posterior(self, prior_mean: float, prior_weight: float, now_s: float) -> Quality:
        total = prior_weight + self.good + self.bad
        mean = (prior_weight * prior_mean + self.good) / total
        deviation = sqrt(mean * (1 - mean) / (total + 1))
        if self.fast_total > 0.3 * FAST_MEMORY and now_s - self.rated_s < FAST_VALID_S:
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
    _delivered: dict[str, tuple[float, float]] = field(default_factory=dict)

    def rate(self, work_class: str, key: tuple[str, str], good: bool, now_s: float) -> None:
        """Take one rating."""
        self._versions.setdefault(key, _Beta()).add(good, now_s)
        self._classes.setdefault((work_class, *key), _Beta()).add(good, now_s)

    def estimate(self, work_class: str, row: VersionRow, now_s: float) -> Quality:
        """Return the posterior of a version in a class."""
        key = (row.model, row.version)
        version = self._versions.get(key)
        if version is None:
            mean = min(max(row.prior_quality, 0.01), 0.99)
            return Quality(mean, sqrt(mean * (1 - mean) / (PRIOR_WEIGHT + 1)))
        overall = version.posterior(row.prior_quality, PRIOR_WEIGHT, now_s)
        in_class = self._classes.get((work_class, *key))
        if in_class is None:
            return overall
        weight = min(CLASS_PRIOR_WEIGHT, PRIOR_WEIGHT + version.good + version.bad)
        return in_class.posterior(overall.mean, weight, now_s)

    def delivered(self, work_class: str, good: bool) -> None:
        """Count a rated answer that a caller got."""
        good_count, total = self._delivered.get(work_class, (0.0, 0.0))
        if total >= CLASS_MEMORY:
            good_count, total = good_count / 2, total / 2
        self._delivered[work_class] = (good_count + good, total + 1)

    def surplus_deviations(self, work_class: str, target: float) -> float:
        """Return by how many standard deviations a class's good answers exceed the target."""
        good_count, total = self._delivered.get(work_class, (0.0, 0.0))
        spread = sqrt(max(1.0, total) * max(target * (1 - target), 0.01))
        return (good_count - target * total) / spread

    def ratings(self, work_class: str, key: tuple[str, str]) -> float:
        """Return the number of remembered ratings of a version in a class."""
        beta = self._classes.get((work_class, *key))
        return beta.good + beta.bad if beta is not None else 0.0
