"""Drops evidence that an entry process has sent before.

Evidence is a batch of counts of successes, errors and ratings per model version. An entry process
(a process that receives the callers' requests) sends it to the leader with its polls, and gives
each batch a sequence number. A poll may be sent again, or overtake another. The incarnation number
tells the successive processes of an entry host apart.
"""

from collections.abc import Iterable

from msgspec import Struct, field

from baobabstream.wire.messages import PollRequest, VersionEvidence

__all__ = ["EvidenceDeduplicator"]

# Upper bound of the batches of an entry process that wait for an acknowledgement at once.
MAX_UNACKNOWLEDGED_BATCHES = 64


class _CountedBatches(Struct):
    """Sequence numbers of the counted batches of one entry process.

    All numbers up to ``counted_through`` are counted or given up; ``counted_later`` holds the
    counted numbers above it. ``lowest`` and ``later`` are their names in the encoded form.
    """

    counted_through: int = field(default=0, name="lowest")
    counted_later: set[int] = field(default_factory=set, name="later")


class EvidenceDeduplicator:
    """Accepts each batch of evidence of an entry process once, by its sequence number.

    Notes
    -----
    A new leader starts without sequence numbers and without counts of results. If the
    acknowledgement of a batch was lost with the previous leader, the new leader accepts the batch
    again. This counts nothing twice, since its own counts do not include the batch.
    """

    def __init__(self) -> None:
        self._batches_by_process: dict[tuple[str, int], _CountedBatches] = {}

    def accept(self, request: PollRequest) -> tuple[VersionEvidence, ...]:
        """Return the evidence of a poll if its batch is new, else an empty tuple.

        ``request.evidence_sequence`` is the sequence number of the batch. A poll without evidence
        carries no batch.
        """
        if not request.evidence:
            return ()
        batches = self._batches_by_process.setdefault(
            (request.host, request.incarnation), _CountedBatches()
        )
        sequence = request.evidence_sequence
        if sequence <= batches.counted_through or sequence in batches.counted_later:
            return ()
        batches.counted_later.add(sequence)
        # Moves the numbers that follow without a gap into ``counted_through``.
        while batches.counted_through + 1 in batches.counted_later:
            batches.counted_through += 1
            batches.counted_later.discard(batches.counted_through)
        # Gives up the lowest missing batches, so that the set stays small.
        while len(batches.counted_later) > MAX_UNACKNOWLEDGED_BATCHES:
            batches.counted_through = min(batches.counted_later)
            batches.counted_later.discard(batches.counted_through)
        return request.evidence

    def forget(self, processes: Iterable[tuple[str, int]]) -> None:
        """Remove the sequence numbers of ended processes, given as (host, incarnation)."""
        for process in processes:
            self._batches_by_process.pop(process, None)
