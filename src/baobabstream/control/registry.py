"""Registry of announced backend servers; soft state of the control leader."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from itertools import takewhile

from msgspec.structs import replace

from baobabstream.errors.codes import ResultCode
from baobabstream.wire.rows import BackendRecord, LoadReport

__all__ = ["BackendRegistry", "RegistryDelta"]

# Removals kept for deltas; a subscriber that is further behind gets the complete registry.
KEPT_REMOVALS = 4096
KEPT_INCARNATIONS = 16_384
# With about 25 bytes for each report, load costs a subscriber at most 5 of its 13 KB/s.
MAX_LOAD_REPORTS_PER_S = 200.0
TOKENS_PER_LOAD_CLASS = 256


@dataclass(frozen=True, slots=True)
class RegistryDelta:
    """Backend servers that changed since a version of the registry."""

    version: int
    complete: bool
    changed: tuple[BackendRecord, ...]
    gone: tuple[str, ...]
    loads: tuple[LoadReport, ...] = ()


@dataclass(slots=True)
class _Known:
    record: BackendRecord
    expires_s: float
    changed_at: int
    reported_load: tuple[int, int]


class BackendRegistry:
    """Announced backend servers with expiry and versioned deltas.

    Parameters
    ----------
    epoch
        Identifies this instance of the registry; versions of other epochs mean nothing here.
    expiry_s
        Time in seconds after which a backend server that does not announce is dropped.
    started_s
        Time at which this instance began to learn backend servers.
    departed
        For each backend server that left, the lowest incarnation that has not left.

    Attributes
    ----------
    version
        Rises with each change, reports of load included.
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
        self._warm_s = started_s + expiry_s
        self._known: dict[str, _Known] = {}
        self._incarnations: dict[str, int] = dict(departed or {})
        # Names by the version of their last change, in rising order.
        self._changes: dict[str, int] = {}
        self._removals: dict[str, int] = {}
        self._pruned_version = 0
        self._waiting_loads: dict[str, None] = {}
        self._load_budget = MAX_LOAD_REPORTS_PER_S
        self._budget_s = started_s
        self._deltas: dict[int, RegistryDelta] = {}

    def warm(self, now_s: float) -> bool:
        """Return whether every present backend server has had time to announce itself here."""
        return now_s >= self._warm_s

    def announce(self, record: BackendRecord, now_s: float) -> ResultCode:
        """Add or refresh a backend server.

        Returns
        -------
        ResultCode
            ``OK``, or ``INCARNATION_STALE`` if a newer incarnation has announced or this one
            has left.
        """
        if record.incarnation < self._incarnations.get(record.identity, 0):
            return ResultCode.INCARNATION_STALE
        self._remember_incarnation(record.identity, record.incarnation)
        known = self._known.get(record.identity)
        expires_s = now_s + self._expiry_s
        if known is None or _without_load(known.record) != _without_load(record):
            self._removals.pop(record.identity, None)
            version = self._note(record.identity, urgent=True)
            self._known[record.identity] = _Known(record, expires_s, version, _load_class(record))
            self._waiting_loads.pop(record.identity, None)
        else:
            known.record, known.expires_s = record, expires_s
            if known.reported_load != _load_class(record):
                self._waiting_loads[record.identity] = None
        self._report_loads(now_s)
        return ResultCode.OK

    def leave(self, identity: str, incarnation: int) -> ResultCode:
        """Remove a backend server at once; this incarnation cannot come back."""
        lowest = self._incarnations.get(identity, 0)
        if incarnation + 1 == lowest and identity not in self._known:
            return ResultCode.OK
        if incarnation < lowest:
            return ResultCode.INCARNATION_STALE
        self._remember_incarnation(identity, incarnation + 1)
        # Noted even if unknown here: entries may know it from an earlier leader.
        self._remove(identity)
        return ResultCode.OK

    def expire(self, now_s: float) -> list[str]:
        """Drop backend servers whose announcements have expired and return their names."""
        gone = [name for name, known in self._known.items() if known.expires_s <= now_s]
        for name in gone:
            self._remove(name)
        return gone

    def records(self) -> list[BackendRecord]:
        """Return all present backend servers."""
        return [known.record for known in tuple(self._known.values())]

    def record(self, identity: str) -> BackendRecord | None:
        """Return a present backend server, or None."""
        known = self._known.get(identity)
        return known.record if known is not None else None

    def delta(self, epoch: int, version: int) -> RegistryDelta:
        """Return what changed since a version that a subscriber has applied."""
        if epoch != self.epoch or not self._pruned_version <= version <= self.version:
            return RegistryDelta(self.version, True, tuple(self.records()), ())
        if version not in self._deltas:
            self._deltas[version] = self._make_delta(version)
        return self._deltas[version]

    def _make_delta(self, version: int) -> RegistryDelta:
        known = [self._known[name] for name in _since(self._changes, version)]
        changed = tuple(item.record for item in known if item.changed_at > version)
        loads = tuple(_report(item.record) for item in known if item.changed_at <= version)
        gone = tuple(_since(self._removals, version))
        return RegistryDelta(self.version, False, changed, gone, loads)

    def _report_loads(self, now_s: float) -> None:
        earned = (now_s - self._budget_s) * MAX_LOAD_REPORTS_PER_S
        self._load_budget = min(self._load_budget + earned, MAX_LOAD_REPORTS_PER_S)
        self._budget_s = now_s
        while self._waiting_loads and self._load_budget >= 1:
            name = next(iter(self._waiting_loads))
            del self._waiting_loads[name]
            known = self._known[name]
            load = _load_class(known.record)
            if known.reported_load != load:
                known.reported_load = load
                self._load_budget -= 1
                self._note(name, urgent=False)

    def _remove(self, identity: str) -> None:
        self._known.pop(identity, None)
        self._waiting_loads.pop(identity, None)
        version = self._note(identity, urgent=True)
        del self._changes[identity]
        self._removals.pop(identity, None)
        self._removals[identity] = version
        if len(self._removals) > KEPT_REMOVALS:
            oldest = next(iter(self._removals))
            self._pruned_version = self._removals.pop(oldest)

    def _note(self, identity: str, urgent: bool) -> int:
        self.version += 1
        if urgent:
            self.urgent_version = self.version
        self._changes.pop(identity, None)
        self._changes[identity] = self.version
        self._deltas.clear()
        return self.version

    def _remember_incarnation(self, identity: str, incarnation: int) -> None:
        self._incarnations.pop(identity, None)
        self._incarnations[identity] = incarnation
        if len(self._incarnations) > KEPT_INCARNATIONS:
            del self._incarnations[next(iter(self._incarnations))]


def _since(versions: dict[str, int], version: int) -> Iterator[str]:
    newest_first = ((name, versions[name]) for name in reversed(versions))
    return (name for name, _ in takewhile(lambda item: item[1] > version, newest_first))


def _without_load(record: BackendRecord) -> BackendRecord:
    return replace(record, in_flight=0, queued_tokens=0)


def _load_class(record: BackendRecord) -> tuple[int, int]:
    queued = record.queued_tokens // TOKENS_PER_LOAD_CLASS
    return record.in_flight.bit_length(), queued.bit_length()


def _report(record: BackendRecord) -> LoadReport:
    return LoadReport(record.identity, record.in_flight, record.queued_tokens)
