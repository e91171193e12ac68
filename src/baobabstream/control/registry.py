"""Registry of announced backend servers; soft state of the control leader."""

from collections import deque
from dataclasses import dataclass

from baobabstream.errors.codes import ResultCode
from baobabstream.wire.rows import BackendRecord

__all__ = ["BackendRegistry", "RegistryDelta"]

# Deltas older than this many changes are answered with the complete registry.
KEPT_CHANGES = 4096


@dataclass(frozen=True, slots=True)
class RegistryDelta:
    """Backend servers that changed since a version of the registry."""

    version: int
    complete: bool
    changed: tuple[BackendRecord, ...]
    gone: tuple[str, ...]


@dataclass(slots=True)
class _Known:
    record: BackendRecord
    expires_s: float


class BackendRegistry:
    """Announced backend servers with expiry and versioned deltas.

    Parameters
    ----------
    epoch
        Identifies this instance of the registry; versions of other epochs mean nothing here.
    expiry_s
        Time in seconds after which a backend server that does not announce is dropped.
    """

    def __init__(self, epoch: int, expiry_s: float) -> None:
        self.epoch = epoch
        self.version = 0
        self._expiry_s = expiry_s
        self._known: dict[str, _Known] = {}
        self._incarnations: dict[str, int] = {}
        self._changes: deque[tuple[int, str]] = deque(maxlen=KEPT_CHANGES)

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
        known = self._known.get(record.identity)
        self._incarnations[record.identity] = record.incarnation
        self._known[record.identity] = _Known(record, now_s + self._expiry_s)
        if known is None or known.record != record:
            self._note(record.identity)
        return ResultCode.OK

    def leave(self, identity: str, incarnation: int) -> ResultCode:
        """Remove a backend server at once; this incarnation cannot come back."""
        if incarnation < self._incarnations.get(identity, 0):
            return ResultCode.INCARNATION_STALE
        self._incarnations[identity] = incarnation + 1
        if self._known.pop(identity, None) is not None:
            self._note(identity)
        return ResultCode.OK

    def expire(self, now_s: float) -> list[str]:
        """Drop backend servers whose announcements have expired and return their names."""
        gone = [name for name, known in self._known.items() if known.expires_s <= now_s]
        for name in gone:
            del self._known[name]
            self._note(name)
        return gone

    def records(self) -> list[BackendRecord]:
        """Return all present backend servers."""
        return [known.record for known in tuple(self._known.values())]

    def delta(self, epoch: int, version: int) -> RegistryDelta:
        """Return what changed since a version that a subscriber has applied."""
        oldest = self._changes[0][0] if self._changes else self.version + 1
        if epoch != self.epoch or version > self.version or version < oldest - 1:
            return RegistryDelta(self.version, True, tuple(self.records()), ())
        names = {name for changed_at, name in self._changes if changed_at > version}
        present = tuple(self._known[name].record for name in names if name in self._known)
        gone = tuple(name for name in names if name not in self._known)
        return RegistryDelta(self.version, False, present, gone)

    def _note(self, identity: str) -> None:
        self.version += 1
        self._changes.append((self.version, identity))
