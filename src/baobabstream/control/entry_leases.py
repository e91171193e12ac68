"""Leases of entry hosts and the revisions they have applied; soft state of the leader."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["EntryLease", "EntryLeases"]


@dataclass(slots=True)
class EntryLease:
    """Lease of one process of an entry host."""

    host: str
    incarnation: int
    availability_zone: str
    applied_revision: int
    expires_s: float
    draining: bool = False


class EntryLeases:
    """Tracks which entries may act on which revision.

    Parameters
    ----------
    lease_s
        Duration of a lease in seconds.
    started_s
        Time at which this leader began. Leases granted by an earlier leader may run until one
        lease after it.
    """

    def __init__(self, lease_s: float, started_s: float) -> None:
        self.lease_s = lease_s
        self._all_known_s = started_s + lease_s
        self._leases: dict[tuple[str, int], EntryLease] = {}

    def renew(self, lease: EntryLease) -> None:
        """Record a poll.

        Polls of one process may overlap and arrive out of order, so neither the applied revision
        nor the expiry of a process falls. A restarted process has another incarnation.
        """
        key = lease.host, lease.incarnation
        known = self._leases.get(key)
        if known is not None:
            lease.applied_revision = max(lease.applied_revision, known.applied_revision)
            lease.expires_s = max(lease.expires_s, known.expires_s)
        self._leases[key] = lease

    def live(self, now_s: float) -> Iterable[EntryLease]:
        """Return the leases that have not expired."""
        return [lease for lease in self._leases.values() if lease.expires_s > now_s]

    def drop_expired(self, now_s: float) -> list[EntryLease]:
        """Drop the leases that have expired and return them."""
        expired = [lease for lease in self._leases.values() if lease.expires_s <= now_s]
        for lease in expired:
            del self._leases[lease.host, lease.incarnation]
        return expired

    def count_live(self, now_s: float) -> int:
        """Return the number of live leases; safe to call from another thread."""
        return sum(lease.expires_s > now_s for lease in tuple(self._leases.values()))

    def in_force(self, revision: int, now_s: float) -> bool:
        """Return whether every entry with a live lease has applied a revision."""
        if now_s < self._all_known_s:
            return False
        return all(lease.applied_revision >= revision for lease in self.live(now_s))

    def lagging(self, revision: int, now_s: float) -> list[str]:
        """Return the hosts with a live lease that have not applied a revision."""
        return [lease.host for lease in self.live(now_s) if lease.applied_revision < revision]

    def next_check_s(self, revision: int, now_s: float) -> float:
        """Return the earliest time at which a revision may come in force without a poll."""
        if now_s < self._all_known_s:
            return self._all_known_s
        behind = [x.expires_s for x in self.live(now_s) if x.applied_revision < revision]
        return min(behind, default=now_s)
