"""Registry of announced backend servers; soft state of the control leader.

Soft state is not replicated; a new leader builds it again. A backend server announces itself at
regular intervals with its load: the number of its requests in flight and of queued tokens. Its
incarnation rises with each restart, and its identity is its name, which stays the same.

Entry hosts, which receive the callers' requests, subscribe to the registry by polling. The registry
has a version that rises with each change, so that a subscriber receives only what changed after the
version it has. Changes of load alone are frequent and not urgent, so they are reported at a limited
rate, as load reports.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import takewhile

from msgspec.structs import replace

from baobabstream.errors.codes import ResultCode
from baobabstream.wire.rows import BackendRecord, LoadReport

__all__ = ["BackendRegistry", "RegistryDelta"]

# Number of removals kept for deltas. A subscriber that is further behind receives the complete
# registry.
MAX_REMOVALS = 4096
# Number of backend servers whose lowest allowed incarnation is kept.
MAX_INCARNATIONS = 16_384
# Limit of the load reports of all servers together. At about 25 bytes each, they use at most 5 of
# the 13 KB/s that a subscriber may receive.
MAX_LOAD_REPORTS_PER_S = 200.0
# Number of queued tokens that count as one when the load class is computed, see ``_load_class``.
TOKENS_PER_LOAD_CLASS = 256


@dataclass(frozen=True, slots=True)
class RegistryDelta:
    """Changes of the registry since a version.

    Attributes
    ----------
    version
        Version of the registry that the changes lead to.
    complete
        Whether ``changed`` lists all registered servers, so that others do not exist.
    changed
        Servers that were added or changed in more than their load.
    gone
        Identities of the removed servers; empty if ``complete`` is True.
    loads
        New loads of servers that are otherwise unchanged.
    """

    version: int
    complete: bool
    changed: tuple[BackendRecord, ...]
    gone: tuple[str, ...]
    loads: tuple[LoadReport, ...] = ()


@dataclass(slots=True)
class _RegisteredServer:
    """Registered backend server.

    ``expires_s`` is the time in seconds at which it is removed unless it announces itself again.
    ``record_version`` is the version of the registry at the last change other than of load.
    ``reported_load`` is the load class that subscribers were last given, see ``_load_class``.
    """

    record: BackendRecord
    expires_s: float
    record_version: int
    reported_load: tuple[int, int]


class BackendRegistry:
    """Announced backend servers with expiry and versioned deltas.

    Parameters
    ----------
    epoch
        Identifies this instance of the registry. Versions of another epoch are not comparable.
    expiry_s
        Time in seconds after which a backend server that does not announce itself is removed.
    started_s
        Time in seconds at which this instance began to receive announcements.
    departed
        For each backend server that left, the lowest incarnation that has not left. None means
        that no departures are known.

    Attributes
    ----------
    version
        Rises with each change, load reports included.
    urgent_version
        Version of the last change other than of load.
    """

    def __init__(
        self,
        epoch: int,
        expiry_s: float,
        started_s: float = 0.0,
        departed: Mapping[str, int] | None = None,
    ) -> None:
        self.epoch = epoch
        self.version = 0
        self.urgent_version = 0
        self._expiry_s = expiry_s
        self._warm_from_s = started_s + expiry_s
        self._servers: dict[str, _RegisteredServer] = {}
        # For each identity the lowest incarnation that may announce itself.
        self._incarnations: dict[str, int] = dict(departed or {})
        # For each identity the version of its last change, or of its removal, in rising order.
        self._change_versions: dict[str, int] = {}
        self._removal_versions: dict[str, int] = {}
        # Version of the last removal that is no longer in ``_removal_versions``.
        self._pruned_version = 0
        # Servers whose load class has changed since it was last reported, oldest change first. The
        # values are None: the dictionary serves as a set that keeps its order.
        self._pending_load_reports: dict[str, None] = {}
        # Number of load reports that may be made now.
        self._load_report_budget = MAX_LOAD_REPORTS_PER_S
        self._budget_updated_s = started_s
        # Deltas to the present version by the version that they start from.
        self._cached_deltas: dict[int, RegistryDelta] = {}

    def is_warm(self, now_s: float) -> bool:
        """Return whether every running backend server has had time to announce itself here.

        That is the case once the expiry time of an announcement has passed since the start.
        """
        return now_s >= self._warm_from_s

    def announce(self, record: BackendRecord, now_s: float) -> ResultCode:
        """Add or refresh a backend server.

        A server that is new or changed in more than its load raises ``urgent_version``. A change of
        its load alone is reported to subscribers as far as the limit for load reports allows.

        Returns
        -------
        ResultCode
            ``OK``, or ``INCARNATION_STALE`` if a newer incarnation has announced or this one
            has left.
        """
        # 0 stands for a server of which no incarnation is known.
        if record.incarnation < self._incarnations.get(record.identity, 0):
            return ResultCode.INCARNATION_STALE
        self._remember_incarnation(record.identity, record.incarnation)
        server = self._servers.get(record.identity)
        expires_s = now_s + self._expiry_s
        if server is None or _without_load(server.record) != _without_load(record):
            self._removal_versions.pop(record.identity, None)
            version = self._advance_version(record.identity, is_urgent=True)
            self._servers[record.identity] = _RegisteredServer(
                record, expires_s, version, _load_class(record)
            )
            self._pending_load_reports.pop(record.identity, None)
        else:
            server.record, server.expires_s = record, expires_s
            if server.reported_load != _load_class(record):
                self._pending_load_reports[record.identity] = None
        self._publish_loads(now_s)
        return ResultCode.OK

    def leave(self, identity: str, incarnation: int) -> ResultCode:
        """Remove a backend server at once; this incarnation cannot come back.

        Returns
        -------
        ResultCode
            ``OK``, also if this incarnation has left already, or ``INCARNATION_STALE`` if a newer
            one has announced or left.
        """
        # An incarnation that left raised the lowest allowed one to its own number plus one.
        lowest_allowed_incarnation = self._incarnations.get(identity, 0)
        if incarnation + 1 == lowest_allowed_incarnation and identity not in self._servers:
            return ResultCode.OK
        if incarnation < lowest_allowed_incarnation:
            return ResultCode.INCARNATION_STALE
        self._remember_incarnation(identity, incarnation + 1)
        # Recorded even if the server is not registered here, since entry hosts may have it from an
        # earlier leader.
        self._remove(identity)
        return ResultCode.OK

    def expire(self, now_s: float) -> list[str]:
        """Remove the backend servers that have not announced themselves in time.

        Returns their identities.
        """
        expired_identities = [
            identity for identity, server in self._servers.items() if server.expires_s <= now_s
        ]
        for identity in expired_identities:
            self._remove(identity)
        return expired_identities

    def records(self) -> list[BackendRecord]:
        """Return all registered backend servers."""
        return [server.record for server in tuple(self._servers.values())]

    def record(self, identity: str) -> BackendRecord | None:
        """Return the record of a backend server, or None if it is not registered."""
        server = self._servers.get(identity)
        return server.record if server is not None else None

    def delta(self, epoch: int, version: int) -> RegistryDelta:
        """Return the changes since a version that a subscriber has applied.

        The complete registry is returned if the epoch differs or removals after that version are no
        longer known.
        """
        if epoch != self.epoch or not self._pruned_version <= version <= self.version:
            # ``complete`` is True, so no removed servers need to be named.
            return RegistryDelta(self.version, True, tuple(self.records()), ())
        if version not in self._cached_deltas:
            self._cached_deltas[version] = self._build_delta(version)
        return self._cached_deltas[version]

    def _build_delta(self, version: int) -> RegistryDelta:
        """Build the changes since a version of this epoch; they do not list all servers.

        Servers that have changed only in their load since that version appear with the load alone.
        """
        changed_servers = [
            self._servers[identity] for identity in _changed_since(self._change_versions, version)
        ]
        changed = tuple(
            server.record for server in changed_servers if server.record_version > version
        )
        loads = tuple(
            _load_report(server.record)
            for server in changed_servers
            if server.record_version <= version
        )
        gone = tuple(_changed_since(self._removal_versions, version))
        # ``complete`` is False.
        return RegistryDelta(self.version, False, changed, gone, loads)

    def _publish_loads(self, now_s: float) -> None:
        """Make pending load changes visible, as far as the budget for load reports allows.

        The budget is a token bucket: it gains ``MAX_LOAD_REPORTS_PER_S`` in each second, holds no
        more than that number, and each report takes 1 from it.
        """
        budget_gain = (now_s - self._budget_updated_s) * MAX_LOAD_REPORTS_PER_S
        self._load_report_budget = min(
            self._load_report_budget + budget_gain, MAX_LOAD_REPORTS_PER_S
        )
        self._budget_updated_s = now_s
        while self._pending_load_reports and self._load_report_budget >= 1:
            identity = next(iter(self._pending_load_reports))
            del self._pending_load_reports[identity]
            server = self._servers[identity]
            load_class = _load_class(server.record)
            if server.reported_load != load_class:
                server.reported_load = load_class
                self._load_report_budget -= 1
                self._advance_version(identity, is_urgent=False)

    def _remove(self, identity: str) -> None:
        """Remove a backend server and record its removal for the subscribers.

        The oldest removal above ``MAX_REMOVALS`` is forgotten. Subscribers with an earlier version
        then receive the complete registry.
        """
        self._servers.pop(identity, None)
        self._pending_load_reports.pop(identity, None)
        version = self._advance_version(identity, is_urgent=True)
        del self._change_versions[identity]
        self._removal_versions.pop(identity, None)
        self._removal_versions[identity] = version
        if len(self._removal_versions) > MAX_REMOVALS:
            oldest_identity = next(iter(self._removal_versions))
            self._pruned_version = self._removal_versions.pop(oldest_identity)

    def _advance_version(self, identity: str, is_urgent: bool) -> int:
        """Raise the version for a change of a server and return it.

        ``is_urgent`` is False for a change of the load alone.
        """
        self.version += 1
        if is_urgent:
            self.urgent_version = self.version
        self._change_versions.pop(identity, None)
        self._change_versions[identity] = self.version
        self._cached_deltas.clear()
        return self.version

    def _remember_incarnation(self, identity: str, incarnation: int) -> None:
        """Store the lowest incarnation of a server that may announce itself.

        Above ``MAX_INCARNATIONS`` servers, the one stored the longest time ago is forgotten.
        """
        self._incarnations.pop(identity, None)
        self._incarnations[identity] = incarnation
        if len(self._incarnations) > MAX_INCARNATIONS:
            del self._incarnations[next(iter(self._incarnations))]


def _changed_since(versions_by_identity: dict[str, int], version: int) -> Iterator[str]:
    """Return the identities whose version is later than the given one, latest first.

    ``versions_by_identity`` must be ordered by version, so that the search ends at the first
    identity that is not later.
    """
    # Pairs of an identity and its version.
    newest_first = (
        (identity, versions_by_identity[identity]) for identity in reversed(versions_by_identity)
    )
    return (identity for identity, _ in takewhile(lambda pair: pair[1] > version, newest_first))


def _without_load(record: BackendRecord) -> BackendRecord:
    """Return a record with its load set to 0, to compare what else has changed."""
    return replace(record, in_flight=0, queued_tokens=0)


def _load_class(record: BackendRecord) -> tuple[int, int]:
    """Return the load class of a server: its requests in flight and its queued tokens, rounded.

    Each number is replaced by its count of binary digits, so that the class changes where the
    number reaches a power of two. Queued tokens are first divided by ``TOKENS_PER_LOAD_CLASS``.
    Only a change of the class is reported, so that small changes of load cause no traffic.
    """
    queued_token_units = record.queued_tokens // TOKENS_PER_LOAD_CLASS
    return record.in_flight.bit_length(), queued_token_units.bit_length()


def _load_report(record: BackendRecord) -> LoadReport:
    """Return the exact load of a backend server."""
    return LoadReport(record.identity, record.in_flight, record.queued_tokens)
