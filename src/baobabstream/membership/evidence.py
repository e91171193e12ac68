"""Collects results per version and sends each of them to the leader once."""

import asyncio
from dataclasses import dataclass

from baobabstream.wire.messages import VersionEvidence

__all__ = ["EvidenceBatch", "EvidenceCollector"]

# Bad results of a version since the last batch that are sent at once. At most 20 bad answers may
# come from a version that turned bad, so evidence must not wait for the end of a poll.
URGENT_BAD_RESULTS = 3
# Bounds the memory while no leader can be reached; later results stay in the open counts.
MAX_UNACKNOWLEDGED = 32


@dataclass(slots=True)
class _Counts:
    successes: int = 0
    errors: int = 0
    rated_good: int = 0
    rated_bad: int = 0

    @property
    def bad(self) -> int:
        return self.errors + self.rated_bad


@dataclass(frozen=True, slots=True)
class EvidenceBatch:
    """Evidence under a sequence number; 0 means that there is none."""

    sequence: int = 0
    evidence: tuple[VersionEvidence, ...] = ()


class EvidenceCollector:
    """Counts of results since the last batch, and batches without an acknowledgement.

    Attributes
    ----------
    urgent
        Set when enough bad results of one version have come that they should be sent at once.
    """

    def __init__(self) -> None:
        self.urgent = asyncio.Event()
        self._counts: dict[tuple[str, str], _Counts] = {}
        self._sequence = 0
        self._unacknowledged: dict[int, EvidenceBatch] = {}
        self._in_flight: set[int] = set()

    def add(self, evidence: VersionEvidence) -> None:
        """Add the counts of one version."""
        counts = self._of(evidence.model, evidence.version)
        counts.successes += evidence.successes
        counts.errors += evidence.errors
        counts.rated_good += evidence.rated_good
        counts.rated_bad += evidence.rated_bad
        if evidence.errors or evidence.rated_bad:
            self._check_urgent(counts)

    def record_success(self, model: str, version: str) -> None:
        """Count an answer that a version gave."""
        self._of(model, version).successes += 1

    def record_error(self, model: str, version: str) -> None:
        """Count a failure of a version."""
        counts = self._of(model, version)
        counts.errors += 1
        self._check_urgent(counts)

    def record_rating(self, model: str, version: str, good: bool) -> None:
        """Count a rated answer."""
        counts = self._of(model, version)
        if good:
            counts.rated_good += 1
            return
        counts.rated_bad += 1
        self._check_urgent(counts)

    def take(self) -> EvidenceBatch:
        """Return the batch for the next poll: one that failed earlier, else a new one."""
        self.urgent.clear()
        failed = (n for n in self._unacknowledged if n not in self._in_flight)
        sequence = next(failed, 0) or self._new_batch()
        if not sequence:
            return EvidenceBatch()
        self._in_flight.add(sequence)
        return self._unacknowledged[sequence]

    def acknowledge(self, sequence: int) -> None:
        """Forget a batch that the leader has counted."""
        self._unacknowledged.pop(sequence, None)
        self._in_flight.discard(sequence)

    def failed(self, sequence: int) -> None:
        """Send a batch again with a later poll; its sequence number stays."""
        self._in_flight.discard(sequence)

    def _of(self, model: str, version: str) -> _Counts:
        return self._counts.setdefault((model, version), _Counts())

    def _check_urgent(self, counts: _Counts) -> None:
        if counts.bad >= URGENT_BAD_RESULTS:
            self.urgent.set()

    def _new_batch(self) -> int:
        if not self._counts or len(self._unacknowledged) >= MAX_UNACKNOWLEDGED:
            return 0
        self._sequence += 1
        evidence = tuple(
            VersionEvidence(model, version, x.successes, x.errors, x.rated_good, x.rated_bad)
            for (model, version), x in self._counts.items()
        )
        self._counts.clear()
        self._unacknowledged[self._sequence] = EvidenceBatch(self._sequence, evidence)
        return self._sequence
