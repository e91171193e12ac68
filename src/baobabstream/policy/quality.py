"""Estimates of the probability that an answer of a version is rated good.

The rating service rates answers good or bad. A class of work has a target for the share of good
answers, from 0 to 1. A version key is the pair of model name and version. Estimates are posteriors
of a Beta distribution: a prior mean that counts as a number of ratings, and the ratings themselves.
"""

from dataclasses import dataclass, field
from math import sqrt

from baobabstream.wire.rows import VersionRow

__all__ = ["QualityEstimate", "QualityEstimates"]

# The configured prior quality counts as this many ratings.
PRIOR_WEIGHT = 100.0
# Number of ratings at which the counts of a version, or of a version in a class, are halved.
MAX_RATING_COUNT = 4000.0
# Number of ratings at which the delivered answers of a class are halved; they are compared with
# the class's target.
MAX_DELIVERED_COUNT = 1000.0
# Largest number of ratings that the version's overall quality counts as in one class.
CLASS_PRIOR_WEIGHT = 50.0


@dataclass(frozen=True, slots=True)
class QualityEstimate:
    """Posterior mean and standard deviation of the share of good answers, from 0 to 1."""

    mean: float
    deviation: float


@dataclass(slots=True)
class _RatingCounts:
    """Numbers of good and bad ratings, halved at a limit so that old ratings lose weight."""

    good: float = 0.0
    bad: float = 0.0

    def add(self, is_good: bool) -> None:
        """Add one rating, after halving the counts if they have reached the limit."""
        if self.good + self.bad >= MAX_RATING_COUNT:
            self.good /= 2
            self.bad /= 2
        self.good += is_good
        self.bad += not is_good

    def posterior(self, prior_mean: float, prior_weight: float) -> QualityEstimate:
        """Return the Beta posterior for a prior that counts as ``prior_weight`` ratings.

        A Beta distribution of mean m over n ratings has the variance m (1 - m) / (n + 1).
        """
        total = prior_weight + self.good + self.bad
        mean = (prior_weight * prior_mean + self.good) / total
        return QualityEstimate(mean, sqrt(mean * (1 - mean) / (total + 1)))


@dataclass(slots=True)
class QualityEstimates:
    """Beta posteriors per version, and per class of work with the version's as prior.

    Attributes
    ----------
    _version_counts
        Ratings by model and version.
    _class_counts
        Ratings by class of work, model and version.
    _delivered_counts
        By class of work, the good and all rated answers that callers got.

    Notes
    -----
    Versions without ratings have the configured prior quality. Old ratings are halved at a limit,
    so that the estimate follows a version that changes slowly.
    """

    _version_counts: dict[tuple[str, str], _RatingCounts] = field(default_factory=dict)
    _class_counts: dict[tuple[str, str, str], _RatingCounts] = field(default_factory=dict)
    _delivered_counts: dict[str, tuple[float, float]] = field(default_factory=dict)

    def record_rating(self, work_class: str, version_key: tuple[str, str], is_good: bool) -> None:
        """Add one rating to the version and to the version in its class."""
        self._version_counts.setdefault(version_key, _RatingCounts()).add(is_good)
        self._class_counts.setdefault((work_class, *version_key), _RatingCounts()).add(is_good)

    def estimate(self, work_class: str, row: VersionRow) -> QualityEstimate:
        """Return the posterior of a version's share of good answers in a class of work.

        Without ratings the configured prior quality is used, kept between 0.01 and 0.99 so that its
        deviation is not 0.
        """
        version_key = (row.model, row.version)
        version_counts = self._version_counts.get(version_key)
        if version_counts is None:
            mean = min(max(row.prior_quality, 0.01), 0.99)
            return QualityEstimate(mean, sqrt(mean * (1 - mean) / (PRIOR_WEIGHT + 1)))
        overall = version_counts.posterior(row.prior_quality, PRIOR_WEIGHT)
        class_counts = self._class_counts.get((work_class, *version_key))
        if class_counts is None:
            return overall
        prior_weight = min(
            CLASS_PRIOR_WEIGHT, PRIOR_WEIGHT + version_counts.good + version_counts.bad
        )
        return class_counts.posterior(overall.mean, prior_weight)

    def record_delivered(self, work_class: str, is_good: bool) -> None:
        """Count a rated answer that a caller got."""
        good_count, total = self._delivered_counts.get(work_class, (0.0, 0.0))
        if total >= MAX_DELIVERED_COUNT:
            good_count, total = good_count / 2, total / 2
        self._delivered_counts[work_class] = (good_count + is_good, total + 1)

    def surplus_deviations(self, work_class: str, target: float) -> float:
        """Return by how many standard deviations a class's good answers exceed the target share.

        The result is negative if delivered answers miss the target. The variance per answer counts
        as at least 0.01 and the answers as at least 1, so that the deviation is not 0.
        """
        good_count, total = self._delivered_counts.get(work_class, (0.0, 0.0))
        deviation = sqrt(max(1.0, total) * max(target * (1 - target), 0.01))
        return (good_count - target * total) / deviation

    def rating_count(self, work_class: str, version_key: tuple[str, str]) -> float:
        """Return the number of ratings of a version in a class, as left by the halvings."""
        counts = self._class_counts.get((work_class, *version_key))
        return counts.good + counts.bad if counts is not None else 0.0
