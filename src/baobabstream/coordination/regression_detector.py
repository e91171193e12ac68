"""Detects that the target version of a rollout fails more often than the version it replaces.

A rollout moves a service from its base version to a target version. Each gateway process reports
how many good and bad answers it got from each backend server; the detector runs a sequential test
on the sums of these counters.
"""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import log

from baobabstream.wire.coordination_messages import ServerEvidence

__all__ = ["AnswerCounts", "EvidenceLedger", "RegressionDetector"]

# Log-likelihood ratio at which the target version counts as bad: odds of 5,000 to 1. The test
# is repeated for every answer of a rollout, so each of them could cross a lower bound by chance.
REGRESSION_LOG_RATIO = log(5000)
# Increase of the share of bad answers that the test looks for. It is well below the increase of a
# version that must be stopped, and well above the noise.
DETECTED_INCREASE = 0.2
# Bad answers and all answers that are added to the counts of the base version, so that its share
# of bad answers is defined before it has answered.
PRIOR_BAD_ANSWERS, PRIOR_ANSWERS = 0.5, 15.0
# Upper bound of the bad share that the test looks for; at 1 the logarithm is undefined.
MAX_BAD_SHARE = 0.95
# Servers of the target version that must have given bad answers, so that a single faulty server
# does not roll back its version.
MIN_BAD_SERVERS = 2


@dataclass(slots=True)
class AnswerCounts:
    """Numbers of good and bad answers."""

    good: int = 0
    bad: int = 0


class EvidenceLedger:
    """Sums the counters of all gateway processes.

    The counters of a process are cumulative since its start, so a repeated report is not counted
    twice.
    """

    def __init__(self) -> None:
        # By host and incarnation of a gateway process, then by service, version and server.
        self._rows: dict[tuple[str, int], dict[tuple[str, str, str], ServerEvidence]] = {}

    def record_counters(self, host: str, incarnation: int, rows: Iterable[ServerEvidence]) -> None:
        """Replace the counters that a gateway process has reported before.

        Parameters
        ----------
        host, incarnation
            Host of the gateway, and what distinguishes its processes.
        rows
            Counters since the start of the process. Servers that are not listed keep theirs.
        """
        known_rows = self._rows.setdefault((host, incarnation), {})
        known_rows.update(((row.service, row.version, row.server_id), row) for row in rows)

    def totals(self, service: str) -> dict[str, dict[str, AnswerCounts]]:
        """Return the answers of a service over all gateways, by version and server."""
        totals: dict[str, dict[str, AnswerCounts]] = defaultdict(lambda: defaultdict(AnswerCounts))
        for rows in self._rows.values():
            for row in rows.values():
                if row.service == service:
                    counts = totals[row.version][row.server_id]
                    counts.good += row.good
                    counts.bad += row.bad
        return totals


@dataclass(slots=True)
class RegressionDetector:
    """Cumulative sum (CUSUM) test on the bad answers of the target version.

    Parameters
    ----------
    base, target
        Versions that are compared.
    log_ratio
        Evidence against the target: log-likelihood ratio of an increased share of bad answers to
        the share of the base version.

    Notes
    -----
    ``log_ratio`` never falls below zero, so that a version that turns bad late is detected as fast
    as one that was bad from the start.

    References
    ----------
    Page, "Continuous inspection schemes", Biometrika, 1954.
    """

    base: str
    target: str
    log_ratio: float = 0.0
    # Answers of the target that ``log_ratio`` includes already.
    _counted: AnswerCounts = field(default_factory=AnswerCounts)

    def update(self, totals: Mapping[str, Mapping[str, AnswerCounts]]) -> bool:
        """Add the answers since the last call, and return whether the target version is bad.

        Parameters
        ----------
        totals
            All answers of the service so far, by version and server.
        """
        servers = totals.get(self.target, {})
        good = sum(counts.good for counts in servers.values())
        bad = sum(counts.bad for counts in servers.values())
        base_bad_share = _bad_share(totals.get(self.base, {}).values())
        increased_bad_share = min(base_bad_share + DETECTED_INCREASE, MAX_BAD_SHARE)
        new_good = max(0, good - self._counted.good)
        new_bad = max(0, bad - self._counted.bad)
        self._counted = AnswerCounts(good, bad)
        change = new_bad * log(increased_bad_share / base_bad_share) + new_good * log(
            (1 - increased_bad_share) / (1 - base_bad_share)
        )
        self.log_ratio = max(0.0, self.log_ratio + change)
        bad_servers = sum(counts.bad > 0 for counts in servers.values())
        return self.log_ratio >= REGRESSION_LOG_RATIO and bad_servers >= min(
            MIN_BAD_SERVERS, len(servers)
        )


def _bad_share(counts_by_server: Iterable[AnswerCounts]) -> float:
    """Return the share of bad answers, including the prior.

    It is at most ``1 - DETECTED_INCREASE``, so that the increased share does not exceed 1.
    """
    all_counts = tuple(counts_by_server)
    bad = sum(counts.bad for counts in all_counts) + PRIOR_BAD_ANSWERS
    return min(
        bad / (sum(counts.good + counts.bad for counts in all_counts) + PRIOR_ANSWERS),
        1 - DETECTED_INCREASE,
    )
