"""Detects that the target version of a rollout fails more often than the version it replaces.

A rollout moves a service from its base version to a target version. Each gateway process counts how
many good and bad answers it got from each backend server and reports these counters as evidence; an
answer is bad if it failed or was too slow. The detector runs a sequential test on the sums of the
counters: after each new report it decides again whether the evidence suffices.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import exp, log

from baobabstream.wire.coordination_messages import ServerEvidence

__all__ = ["AnswerCounts", "EvidenceLedger", "RegressionDetector"]

# Natural logarithm of the likelihood ratio at which the target version counts as bad: odds of 5,000
# to 1. The test is repeated during the whole rollout; with much lower odds, one of the repetitions
# would often count a good version as bad by chance.
REGRESSION_LOG_RATIO = log(5000)
# Increase of the share of bad answers (0 to 1) over that of the base version that the test looks
# for. It is well below the increase of a version that must be stopped, and well above the random
# differences between two good versions.
DETECTED_INCREASE = 0.2
# Number of bad answers and number of all answers, good or bad, that are added to the counts of the
# base version. They define its share of bad answers before it has answered, and keep it above 0, at
# which the likelihood ratio is undefined.
PRIOR_BAD_ANSWERS, PRIOR_ANSWERS = 0.5, 15.0
# Upper bound of the bad share that the test looks for; at 1 the logarithm is undefined.
MAX_BAD_SHARE = 0.95
# Least number of measured streams of each version before their paces are compared, and the least
# difference of the mean logarithms that counts: streams that take 1.4 times as long.
MIN_PACES, MIN_LOG_PACE_DIFFERENCE = 5, log(1.4)
# Lower bound of the variance of the logarithms of the pace. Few streams may be equal by chance.
MIN_LOG_PACE_VARIANCE = 0.1
# Natural logarithms of the likelihood ratios that the target is worse than the base version, by its
# answers and by the pace of its streams, from which on a rollout does not proceed: odds of twelve
# and of five to one. A rollout that reaches its end at such a ratio is rolled back, since a bad
# version costs more than a second rollout. The ratio of the answers is the highest of many, one for
# each answer after which the target may have turned bad, so it needs higher odds.
SUSPICIOUS_ANSWER_LOG_RATIO, SUSPICIOUS_PACE_LOG_RATIO = 2.5, 1.6
# Number of servers of the target version that must have given bad answers, so that a single faulty
# server does not roll back its version. If the version has only one server, that one is enough.
MIN_BAD_SERVERS = 2


@dataclass(slots=True)
class AnswerCounts:
    """Numbers of good and bad answers, and the measured paces of streams.

    ``paces`` is the number of measured streams, ``log_pace_sum`` and ``log_pace_squares`` the sums
    of the natural logarithms of their pace and of their squares; see ``ServerEvidence``.
    """

    good: int = 0
    bad: int = 0
    paces: int = 0
    log_pace_sum: float = 0.0
    log_pace_squares: float = 0.0


class EvidenceLedger:
    """Sums the counters of all gateway processes.

    The counters of a process are cumulative since its start, so a repeated report is not counted
    twice. Those of processes that have ended are kept, since their answers still count.
    """

    def __init__(self) -> None:
        # By host and incarnation of a gateway process, then by service, version and server.
        self._counters: dict[tuple[str, int], dict[tuple[str, str, str], ServerEvidence]] = {}

    def record_counters(
        self, host: str, incarnation: int, counters: Iterable[ServerEvidence]
    ) -> None:
        """Replace the counters that a gateway process has reported before.

        Parameters
        ----------
        host
            Host of the gateway.
        incarnation
            Number that distinguishes the successive gateway processes of the host.
        counters
            Good and bad answers of each server since the start of the process. Servers that are
            not listed keep their known counters.
        """
        known_counters = self._counters.setdefault((host, incarnation), {})
        known_counters.update(
            ((counter.service, counter.version, counter.server_id), counter) for counter in counters
        )

    def totals(self, service: str) -> dict[str, dict[str, AnswerCounts]]:
        """Return the answers of a service over all gateways, by version and server identity."""
        totals: dict[str, dict[str, AnswerCounts]] = defaultdict(lambda: defaultdict(AnswerCounts))
        for process_counters in self._counters.values():
            for counter in process_counters.values():
                if counter.service == service:
                    counts = totals[counter.version][counter.server_id]
                    counts.good += counter.good
                    counts.bad += counter.bad
                    counts.paces += counter.paces
                    counts.log_pace_sum += counter.log_pace_sum
                    counts.log_pace_squares += counter.log_pace_squares
        return totals


@dataclass(slots=True)
class RegressionDetector:
    """Cumulative sum (CUSUM) test on the bad answers of the target version.

    Parameters
    ----------
    base, target
        Versions that are compared.
    log_ratio
        Natural logarithm of a likelihood ratio: how much more likely the target's answers are if
        its share of bad answers is that of the base version plus ``DETECTED_INCREASE`` than if
        both shares are equal; or how much more likely the paces of its streams are if they differ
        from those of the base version as measured than if they don't, whichever is higher.
    target_streams, base_streams
        Number of streams of each version whose pace was measured.
    pace_quotient
        Typical time between two events of the target, divided by that of the base version.

    Notes
    -----
    Each bad answer raises the ratio of the answers and each good one lowers it. It never falls
    below zero, so that a version that turns bad late is detected as fast as one that was bad from
    the start.

    References
    ----------
    Page, "Continuous inspection schemes", Biometrika, 1954.
    """

    base: str
    target: str
    log_ratio: float = 0.0
    target_streams: int = 0
    base_streams: int = 0
    pace_quotient: float = 1.0
    # Measured streams of the base version before the first call of ``update``.
    _earlier_base_streams: int | None = None
    # Ratios of the answers alone, and of the paces alone.
    _answer_log_ratio: float = 0.0
    _pace_log_ratio: float = 0.0
    # Answers of the target that ``log_ratio`` includes already.
    _counted: AnswerCounts = field(default_factory=AnswerCounts)

    def update(self, totals: Mapping[str, Mapping[str, AnswerCounts]]) -> bool:
        """Add the answers since the last call, and return whether the target version is bad.

        Parameters
        ----------
        totals
            All answers of the service so far, by version and server identity.

        Returns
        -------
        bool
            Whether ``log_ratio`` has reached ``REGRESSION_LOG_RATIO`` and enough servers of the
            target have given bad answers.
        """
        target_counts = totals.get(self.target, {})
        good = sum(counts.good for counts in target_counts.values())
        bad = sum(counts.bad for counts in target_counts.values())
        base_counts = totals.get(self.base, {})
        base_bad_share = _bad_share(base_counts.values())
        increased_bad_share = min(base_bad_share + DETECTED_INCREASE, MAX_BAD_SHARE)
        # The number of good answers may fall: a gateway counts a streamed answer as bad instead if
        # it turns out to be slow after its start.
        new_good = max(0, good - self._counted.good)
        new_bad = max(0, bad - self._counted.bad)
        self._counted = AnswerCounts(good, bad)
        log_ratio_change = new_bad * log(increased_bad_share / base_bad_share) + new_good * log(
            (1 - increased_bad_share) / (1 - base_bad_share)
        )
        self._answer_log_ratio = max(0.0, self._answer_log_ratio + log_ratio_change)
        base_paces = _log_pace_statistics(base_counts.values())
        target_paces = _log_pace_statistics(target_counts.values())
        self._pace_log_ratio = _pace_log_ratio(base_paces, target_paces)
        if self._earlier_base_streams is None:
            self._earlier_base_streams = base_paces.count
        self.base_streams, self.target_streams = base_paces.count, target_paces.count
        self.pace_quotient = exp(target_paces.mean - base_paces.mean)
        self.log_ratio = max(self._answer_log_ratio, self._pace_log_ratio)
        bad_server_count = sum(counts.bad > 0 for counts in target_counts.values())
        measured_server_count = sum(counts.paces > 0 for counts in target_counts.values())
        min_servers = min(MIN_BAD_SERVERS, len(target_counts))
        return (
            self._answer_log_ratio >= REGRESSION_LOG_RATIO and bad_server_count >= min_servers
        ) or (self._pace_log_ratio >= REGRESSION_LOG_RATIO and measured_server_count >= min_servers)

    def is_suspicious(self, share: float) -> bool:
        """Return whether the target may be worse than the base version, though not surely bad.

        That is also so if far fewer of its streams were measured than should have been: they may be
        so slow that the rollout ends first. ``share`` is the share (0 to 1) of the new sessions
        that the target gets.
        """
        if (
            self._answer_log_ratio >= SUSPICIOUS_ANSWER_LOG_RATIO
            or self._pace_log_ratio >= SUSPICIOUS_PACE_LOG_RATIO
        ):
            return True
        new_base_streams = self.base_streams - (self._earlier_base_streams or 0)
        expected_streams = share * new_base_streams
        return self.target_streams < MIN_PACES and expected_streams >= 3 * MIN_PACES


def _bad_share(counts_by_server: Iterable[AnswerCounts]) -> float:
    """Return the share of bad answers (0 to 1), including the prior.

    The prior is ``PRIOR_ANSWERS`` assumed answers, of them ``PRIOR_BAD_ANSWERS`` bad. The share
    is at most ``1 - DETECTED_INCREASE``, so that the increased share does not exceed 1.

    Parameters
    ----------
    counts_by_server
        Answers of one version, one element for each server.
    """
    all_counts = tuple(counts_by_server)
    bad = sum(counts.bad for counts in all_counts) + PRIOR_BAD_ANSWERS
    return min(
        bad / (sum(counts.good + counts.bad for counts in all_counts) + PRIOR_ANSWERS),
        1 - DETECTED_INCREASE,
    )


@dataclass(frozen=True, slots=True)
class _LogPaces:
    """Number, mean and variance of the logarithms of the paces of one version."""

    count: int
    mean: float
    variance: float


def _pace_log_ratio(base: _LogPaces, target: _LogPaces) -> float:
    """Return the logarithm of the likelihood ratio that the target's streams are slower.

    It compares normal distributions of the logarithms of the paces: with the means as measured, and
    with equal means. The result is 0 if there are too few streams, or the target is not slower by
    ``MIN_LOG_PACE_DIFFERENCE``.

    Parameters
    ----------
    base, target
        Paces of both versions.
    """
    difference = target.mean - base.mean
    if min(base.count, target.count) < MIN_PACES or difference < MIN_LOG_PACE_DIFFERENCE:
        return 0.0
    # One variance for both versions; that of the target's few streams alone may be small by chance.
    variance = (base.count * base.variance + target.count * target.variance) / (
        base.count + target.count
    )
    return difference * difference / (2 * variance * (1 / base.count + 1 / target.count))


def _log_pace_statistics(counts_by_server: Iterable[AnswerCounts]) -> _LogPaces:
    """Return the paces of one version, whose answers have one element for each server."""
    all_counts = tuple(counts_by_server)
    count = sum(counts.paces for counts in all_counts)
    if count == 0:
        return _LogPaces(0, 0.0, MIN_LOG_PACE_VARIANCE)
    mean = sum(counts.log_pace_sum for counts in all_counts) / count
    mean_square = sum(counts.log_pace_squares for counts in all_counts) / count
    return _LogPaces(count, mean, max(mean_square - mean * mean, MIN_LOG_PACE_VARIANCE))
