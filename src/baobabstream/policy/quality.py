"""Estimates of the probability that an answer of a version is rated good."""

from dataclasses import dataclass, field
from math import sqrt

from baobabstream.wire.rows import VersionRow

__all__ = ["Quality", "QualityEstimates"]

# The configured prior quality counts as this many ratings.
PRIOR_WEIGHT = 100.0
MEMORY = 4000.0
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

    def add(self, good: bool) -> None:
        if self.good + self.bad >= MEMORY:
            self.good /= 2
            self.bad /= 2
        self.good += good
        self.bad += not good

    def posterior(self, prior_mean: float, prior_weight: float) -> Quality:
        total = prior_weight + self.good + self.bad
        mean = (prior_weight * prior_mean + self.good) / total
        return Quality(mean, sqrt(mean * (1 - mean) / (total + 1)))


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
