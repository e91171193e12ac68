"""Collects the results of each model version for the leader, which counts each of them once.

Results are successes, errors and ratings of answers. They are sent in numbered batches; a batch
without an acknowledgement is sent again under the same number, by which the leader recognises it.
"""

import asyncio
from dataclasses import dataclass

from baobabstream.wire.messages import VersionEvidence

__all__ = ["EvidenceBatch", "EvidenceCollector"]

# Number of bad results of a version since the last batch from which on they are sent at once. A
# version that turns bad may give at most 20 bad answers, so evidence must not wait for the end of
# a poll.
URGENT_BAD_RESULTS = 3
# Limits the memory while no leader can be reached; later results are added to the next batch.
MAX_UNACKNOWLEDGED_BATCHES = 32


@dataclass(slots=True)
class _ResultCounts:
    """Results of one version since the last batch."""

    successes: int = 0
    errors: int = 0
    rated_good: int = 0
    rated_bad: int = 0

    @property
    def bad_results(self) -> int:
        """Number of errors and of answers that were rated bad."""
        return self.errors + self.rated_bad


@dataclass(frozen=True, slots=True)
class EvidenceBatch:
    """Evidence with its sequence number; the number 0 means that there is no evidence."""

    sequence: int = 0
    evidence: tuple[VersionEvidence, ...] = ()


class EvidenceCollector:
    """Counts results since the last batch, and keeps batches until they are acknowledged.

    Attributes
    ----------
    urgent
        Set when one version has so many bad results that they should be sent at once.
    """

    def __init__(self) -> None:
        self.urgent = asyncio.Event()
        # By model and version.
        self._counts: dict[tuple[str, str], _ResultCounts] = {}
        self._last_sequence = 0
        self._unacknowledged: dict[int, EvidenceBatch] = {}
        # Sequence numbers of unacknowledged batches that a poll is sending now.
        self._in_flight: set[int] = set()

    def add(self, evidence: VersionEvidence) -> None:
        """Add results of one version that were counted elsewhere."""
        counts = self._counts_for(evidence.model, evidence.version)
        counts.successes += evidence.successes
        counts.errors += evidence.errors
        counts.rated_good += evidence.rated_good
        counts.rated_bad += evidence.rated_bad
        if evidence.errors or evidence.rated_bad:
            self._check_urgent(counts)

    def record_success(self, model: str, version: str) -> None:
        """Count a successful answer of a version."""
        self._counts_for(model, version).successes += 1

    def record_error(self, model: str, version: str) -> None:
        """Count a failed request of a version."""
        counts = self._counts_for(model, version)
        counts.errors += 1
        self._check_urgent(counts)

    def record_rating(self, model: str, version: str, good: bool) -> None:
        """Count an answer that was rated good or bad."""
        counts = self._counts_for(model, version)
        if good:
            counts.rated_good += 1
            return
        counts.rated_bad += 1
        self._check_urgent(counts)

    def next_batch(self) -> EvidenceBatch:
        """Return the batch to send now: one whose sending failed, or else a new one.

        It counts as in flight until it is acknowledged or has failed.
        """
        self.urgent.clear()
        failed_sequences = (
            pending for pending in self._unacknowledged if pending not in self._in_flight
        )
        sequence = next(failed_sequences, 0) or self._new_batch()
        if not sequence:
            return EvidenceBatch()
        self._in_flight.add(sequence)
        return self._unacknowledged[sequence]

    def acknowledge(self, sequence: int) -> None:
        """Drop a batch that the leader has counted."""
        self._unacknowledged.pop(sequence, None)
        self._in_flight.discard(sequence)

    def mark_failed(self, sequence: int) -> None:
        """Make a batch available for sending again, under the same sequence number."""
        self._in_flight.discard(sequence)

    def _counts_for(self, model: str, version: str) -> _ResultCounts:
        """Return the counts of a version since the last batch."""
        return self._counts.setdefault((model, version), _ResultCounts())

    def _check_urgent(self, counts: _ResultCounts) -> None:
        """Set ``urgent`` if a version has reached the number of bad results."""
        if counts.bad_results >= URGENT_BAD_RESULTS:
            self.urgent.set()

    def _new_batch(self) -> int:
        """Move the counts into a new batch and return its sequence number.

        Returns 0 if there are no results or too many unacknowledged batches.
        """
        if not self._counts or len(self._unacknowledged) >= MAX_UNACKNOWLEDGED_BATCHES:
            return 0
        self._last_sequence += 1
        evidence = tuple(
            VersionEvidence(
                model,
                version,
                counts.successes,
                counts.errors,
                counts.rated_good,
                counts.rated_bad,
            )
            for (model, version), counts in self._counts.items()
        )
        self._counts.clear()
        self._unacknowledged[self._last_sequence] = EvidenceBatch(self._last_sequence, evidence)
        return self._last_sequence
