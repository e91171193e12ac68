"""Leases of entry hosts and the revisions they have applied; soft state of the leader."""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["EntryLease", "EntryLeases"]


@dataclass(slots=True)
class EntryLease:
    """Lease of one entry host."""

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
        self._leases: dict[str, EntryLease] = {}

    def renew(self, lease: EntryLease) -> None:
        """Record a poll. A lower applied revision means that the entry has restarted."""
        self._leases[f"{lease.host}#{lease.incarnation}"] = lease

    def live(self, now_s: float) -> Iterable[EntryLease]:
        """Return the leases that have not expired; drops the others."""
        self._leases = {
            name: lease for name, lease in self._leases.items() if lease.expires_s > now_s
        }
        return self._leases.values()

    def count_live(self, now_s: float) -> int:
        """Return the number of live leases; safe to call from another thread."""
        return sum(lease.expires_s > now_s for lease in tuple(self._leases.values()))

    def in_force(self, revision: int, now_s: float) -> bool:
        """Return whether every entry with a live lease has applied a revision."""
        if now_s < self._all_known_s:
            return False
        return all(lease.applied_revision >= revision for lease in self.live(now_s))
