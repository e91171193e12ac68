"""Compares the answers of a new version with those of the version it replaces."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import log

from baobabstream.wire.coordination_messages import ServerEvidence

__all__ = ["AnswerCounts", "EvidenceLedger", "RolloutJudge"]

# Log-likelihood ratio at which a version is bad: odds of 5,000 to 1 against chance, since the test
# looks at every answer of a rollout and may cross by chance at any of them.
BAD_LOG_RATIO = log(5000)
# Rise of the share of bad answers that the test is built to find; a fifth of all answers is well
# under what a version that must be stopped shows, and well over what noise gives.
FOUND_RISE = 0.2
# Prior of the reference rate, before the base version has answered.
PRIOR_BAD, PRIOR_ANSWERS = 0.5, 15.0
MAX_RATE = 0.95
# One faulty server must not condemn its version.
MIN_BAD_SERVERS = 2


@dataclass(slots=True)
class AnswerCounts:
    """Good and bad answers."""

    good: int = 0
    bad: int = 0


class EvidenceLedger:
    """Sums the cumulative counters of all gateway processes."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, int], dict[tuple[str, str, str], ServerEvidence]] = {}

    def report(self, host: str, incarnation: int, rows: Iterable[ServerEvidence]) -> None:
        """Take the counters of one gateway process; they replace what it reported before."""
        known = self._rows.setdefault((host, incarnation), {})
        known.update(((row.service, row.version, row.server_id), row) for row in rows)

    def totals(self, service: str) -> dict[str, dict[str, AnswerCounts]]:
        """Return the counts of a service by version and server."""
        totals: dict[str, dict[str, AnswerCounts]] = defaultdict(lambda: defaultdict(AnswerCounts))
        for rows in self._rows.values():
            for row in rows.values():
                if row.service == service:
                    counts = totals[row.version][row.server_id]
                    counts.good += row.good
                    counts.bad += row.bad
        return totals


@dataclass(slots=True)
class RolloutJudge:
    """Cumulative sum test on the bad answers of one target version.

    Parameters
    ----------
    base, target
        Versions that are compared.

    Notes
    -----
    The test restarts at zero whenever the evidence favours the version, so that a version that
    turns bad late is found as fast as one that was bad from the start.

    References
    ----------
    Page, "Continuous inspection schemes", Biometrika, 1954.
    """

    base: str
    target: str
    log_ratio: float = 0.0
    _seen: AnswerCounts = field(default_factory=AnswerCounts)

    def judge(self, totals: Mapping[str, Mapping[str, AnswerCounts]]) -> bool:
        """Return whether the target version is bad, given all counts so far."""
        servers = totals.get(self.target, {})
        good = sum(item.good for item in servers.values())
        bad = sum(item.bad for item in servers.values())
        reference = _bad_share(totals.get(self.base, {}).values())
        raised = min(reference + FOUND_RISE, MAX_RATE)
        new_good = max(0, good - self._seen.good)
        new_bad = max(0, bad - self._seen.bad)
        self._seen = AnswerCounts(good, bad)
        change = new_bad * log(raised / reference) + new_good * log((1 - raised) / (1 - reference))
        self.log_ratio = max(0.0, self.log_ratio + change)
        bad_servers = sum(item.bad > 0 for item in servers.values())
        return self.log_ratio >= BAD_LOG_RATIO and bad_servers >= min(MIN_BAD_SERVERS, len(servers))


def _bad_share(counts: Iterable[AnswerCounts]) -> float:
    items = tuple(counts)
    bad = sum(item.bad for item in items) + PRIOR_BAD
    return min(bad / (sum(item.good + item.bad for item in items) + PRIOR_ANSWERS), 1 - FOUND_RISE)
