"""Leases of entry processes and the revisions they have applied; soft state of the leader.

The leader is one elected control host. Soft state is not replicated; a new leader builds it again.
An entry process, a process of an entry host, receives the callers' requests. It may act on its
configuration only while it holds a lease, which each of its polls to the leader renews. The
revision is the number of the last change of the configuration. A revision is in force once every
process with a live lease has applied it.

All times are in seconds of the leader's monotonic clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["EntryLease", "EntryLeases"]


@dataclass(slots=True)
class EntryLease:
    """Lease of one process of an entry host.

    ``incarnation`` distinguishes the processes that the host has started. ``applied_revision`` is
    the highest revision that the process has reported. ``expires_s`` is the time at which the lease
    ends. ``draining`` says that the process finishes its requests and accepts no new ones.
    """

    host: str
    incarnation: int
    availability_zone: str
    applied_revision: int
    expires_s: float
    draining: bool = False


class EntryLeases:
    """Records which revision each entry process with a lease has applied.

    Parameters
    ----------
    lease_s
        Duration of a lease in seconds.
    started_s
        Time in seconds at which this host became leader. Leases granted by the previous leader may
        last for one lease duration after it; until then, not all leases are known here.
    """

    def __init__(self, lease_s: float, started_s: float) -> None:
        self.lease_s = lease_s
        self._all_leases_known_from_s = started_s + lease_s
        self._leases: dict[tuple[str, int], EntryLease] = {}

    def renew(self, lease: EntryLease) -> None:
        """Store the lease that a poll renews.

        Polls of one process may overlap and arrive out of order, so neither its applied revision
        nor its expiry time falls. A restarted process has another incarnation.
        """
        key = lease.host, lease.incarnation
        previous_lease = self._leases.get(key)
        if previous_lease is not None:
            lease.applied_revision = max(lease.applied_revision, previous_lease.applied_revision)
            lease.expires_s = max(lease.expires_s, previous_lease.expires_s)
        self._leases[key] = lease

    def live(self, now_s: float) -> Iterable[EntryLease]:
        """Return the leases that have not expired."""
        return [lease for lease in self._leases.values() if lease.expires_s > now_s]

    def drop_expired(self, now_s: float) -> list[EntryLease]:
        """Remove the expired leases and return them."""
        expired_leases = [lease for lease in self._leases.values() if lease.expires_s <= now_s]
        for lease in expired_leases:
            del self._leases[lease.host, lease.incarnation]
        return expired_leases

    def count_live(self, now_s: float) -> int:
        """Return the number of live leases; safe to call from another thread.

        The leases are copied first, so that a change by the other thread cannot disturb the count.
        """
        return sum(lease.expires_s > now_s for lease in tuple(self._leases.values()))

    def in_force(self, revision: int, now_s: float) -> bool:
        """Return whether every entry process with a live lease has applied a revision.

        False as long as leases of the previous leader may last, since they are not known here.
        """
        if now_s < self._all_leases_known_from_s:
            return False
        return all(lease.applied_revision >= revision for lease in self.live(now_s))

    def lagging(self, revision: int, now_s: float) -> list[str]:
        """Return the hosts of the live leases whose process has not applied a revision."""
        return [lease.host for lease in self.live(now_s) if lease.applied_revision < revision]

    def next_check_s(self, revision: int, now_s: float) -> float:
        """Return when a revision can next come into force without a poll, in seconds.

        That is the end of the previous leader's leases or, after it, the next expiry of a lease
        whose process has not applied the revision; the present time if there is none.
        """
        if now_s < self._all_leases_known_from_s:
            return self._all_leases_known_from_s
        expiry_times_s = [
            lease.expires_s for lease in self.live(now_s) if lease.applied_revision < revision
        ]
        return min(expiry_times_s, default=now_s)
