"""Collects the results of each model version for the leader, which counts each of them once.

Results are successes, errors (failed requests) and ratings of answers as good or bad; errors and
bad ratings are bad results. The counts of these results are the evidence by which a model version
is judged. The leader is one of the control hosts.

Evidence is sent with the polls of this entry to the leader, in batches with sequence numbers from
1. A batch whose poll got no reply is sent again under the same number, by which the leader
recognises it. The reply to a poll acknowledges its batch.
"""

import asyncio
from dataclasses import dataclass

from baobabstream.wire.messages import VersionEvidence

__all__ = ["EvidenceBatch", "EvidenceCollector"]

# Number of bad results of a version since the last batch from which on they are sent at once. A
# version that turns bad may give at most 20 bad answers before it is stopped, so evidence must not
# wait until the poll in progress ends.
URGENT_BAD_RESULTS = 3
# Number of batches that are kept until they are acknowledged; it limits the memory while no leader
# can be reached. At this limit no batch is made, and further results wait for the next one.
MAX_UNACKNOWLEDGED_BATCHES = 32


@dataclass(slots=True)
class _ResultCounts:
    """Results of one model version since the last batch.

    ``successes`` and ``errors`` count requests, ``rated_good`` and ``rated_bad`` count ratings.
    """

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
        Set when one version has so many bad results since the last batch that they should be sent
        at once; cleared when a batch is taken for sending.
    """

    def __init__(self) -> None:
        self.urgent = asyncio.Event()
        # By model and version: results since the last batch.
        self._counts: dict[tuple[str, str], _ResultCounts] = {}
        # Sequence number of the last batch, or 0 before the first.
        self._last_sequence = 0
        # By sequence number, the oldest first: batches that were made and not acknowledged.
        self._unacknowledged: dict[int, EvidenceBatch] = {}
        # Sequence numbers of unacknowledged batches that a poll is sending now.
        self._in_flight: set[int] = set()

    def add(self, evidence: VersionEvidence) -> None:
        """Add results of one version that the caller has counted, and check if they are urgent.

        Only new errors or bad ratings can make them urgent.
        """
        counts = self._counts_for(evidence.model, evidence.version)
        counts.successes += evidence.successes
        counts.errors += evidence.errors
        counts.rated_good += evidence.rated_good
        counts.rated_bad += evidence.rated_bad
        if evidence.errors or evidence.rated_bad:
            self._check_urgent(counts)

    def record_success(self, model: str, version: str) -> None:
        """Count a successful request of a version."""
        self._counts_for(model, version).successes += 1

    def record_error(self, model: str, version: str) -> None:
        """Count a failed request of a version, and check whether its results are urgent."""
        counts = self._counts_for(model, version)
        counts.errors += 1
        self._check_urgent(counts)

    def record_rating(self, model: str, version: str, is_good: bool) -> None:
        """Count an answer of a version that was rated good or bad."""
        counts = self._counts_for(model, version)
        if is_good:
            counts.rated_good += 1
            return
        counts.rated_bad += 1
        self._check_urgent(counts)

    def next_batch(self) -> EvidenceBatch:
        """Return the batch to send now: the oldest whose sending failed, or else a new one.

        It counts as in flight until it is acknowledged or has failed. Without evidence, the batch
        has the sequence number 0 and is empty.
        """
        self.urgent.clear()
        failed_sequences = (
            unacknowledged_sequence
            for unacknowledged_sequence in self._unacknowledged
            if unacknowledged_sequence not in self._in_flight
        )
        # The number 0 means that no batch has failed, or that none can be made.
        sequence = next(failed_sequences, 0) or self._new_batch()
        if not sequence:
            return EvidenceBatch()
        self._in_flight.add(sequence)
        return self._unacknowledged[sequence]

    def acknowledge(self, sequence: int) -> None:
        """Drop a batch that the leader has counted, given by its sequence number.

        The number 0 of a poll without evidence changes nothing.
        """
        self._unacknowledged.pop(sequence, None)
        self._in_flight.discard(sequence)

    def mark_failed(self, sequence: int) -> None:
        """Make a batch available for sending again, under the same sequence number.

        The number 0 of a poll without evidence changes nothing.
        """
        self._in_flight.discard(sequence)

    def _counts_for(self, model: str, version: str) -> _ResultCounts:
        """Return the counts of a version since the last batch, which start at 0."""
        return self._counts.setdefault((model, version), _ResultCounts())

    def _check_urgent(self, counts: _ResultCounts) -> None:
        """Set ``urgent`` if a version has at least ``URGENT_BAD_RESULTS`` since the last batch."""
        if counts.bad_results >= URGENT_BAD_RESULTS:
            self.urgent.set()

    def _new_batch(self) -> int:
        """Move the counts into a new batch and return its sequence number.

        Returns 0 if there are no results, or if as many batches as allowed are unacknowledged.
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
