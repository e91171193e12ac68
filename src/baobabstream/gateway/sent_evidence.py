"""Selects the evidence that a coordination host does not have yet.

Evidence is the counts of good and bad responses of each server, by which the versions of a rollout
are compared. The counts are totals, so only those that have changed need to be sent.
"""

from collections.abc import Iterable

from baobabstream.wire.coordination_messages import ServerEvidence

__all__ = ["SentEvidence"]


class SentEvidence:
    """Evidence that one process of a coordination host has confirmed."""

    def __init__(self) -> None:
        # By service, version and server.
        self._confirmed: dict[tuple[str, str, str], ServerEvidence] = {}

    def unsent(self, evidence: Iterable[ServerEvidence]) -> tuple[ServerEvidence, ...]:
        """Return the evidence that differs from what the host has confirmed."""
        return tuple(counts for counts in evidence if self._confirmed.get(_key(counts)) != counts)

    def record_sent(self, evidence: Iterable[ServerEvidence]) -> None:
        """Record evidence of an exchange that the host has replied to."""
        self._confirmed.update((_key(counts), counts) for counts in evidence)


def _key(counts: ServerEvidence) -> tuple[str, str, str]:
    """Return the service, version and server that some evidence is about."""
    return (counts.service, counts.version, counts.server_id)
