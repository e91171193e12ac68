"""Counts each batch of evidence once."""

from collections.abc import Iterable

from msgspec import Struct, field

from baobabstream.wire.messages import PollRequest, VersionEvidence

__all__ = ["EvidencePool"]

# An entry has at most this many batches without an acknowledgement.
MAX_OPEN_BATCHES = 64


class _Counted(Struct):
    lowest: int = 0
    later: set[int] = field(default_factory=set)


class EvidencePool:
    """Sequence numbers of the batches that each entry process has sent.

    Notes
    -----
    The pool belongs to one leader, as do the sums built from it. A batch whose acknowledgement
    was lost with the previous leader is counted by the next one, whose sums do not hold it.
    """

    def __init__(self) -> None:
        self._counted: dict[tuple[str, int], _Counted] = {}

    def accept(self, request: PollRequest) -> tuple[VersionEvidence, ...]:
        """Return the evidence of a poll if its batch is new, else nothing."""
        if not request.evidence:
            return ()
        counted = self._counted.setdefault((request.host, request.incarnation), _Counted())
        sequence = request.evidence_sequence
        if sequence <= counted.lowest or sequence in counted.later:
            return ()
        counted.later.add(sequence)
        while counted.lowest + 1 in counted.later:
            counted.lowest += 1
            counted.later.discard(counted.lowest)
        while len(counted.later) > MAX_OPEN_BATCHES:
            counted.lowest = min(counted.later)
            counted.later.discard(counted.lowest)
        return request.evidence

    def forget(self, entries: Iterable[tuple[str, int]]) -> None:
        """Drop entry processes that are gone."""
        for key in entries:
            self._counted.pop(key, None)
