"""What a routing policy knows: configuration rows and announced backend servers."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from baobabstream.wire.rows import (
    LOSSES_TO_QUARANTINE,
    AccountRow,
    BackendKind,
    BackendRecord,
    ClassRow,
    ConfigRow,
    QuarantineRow,
    RolloutRow,
    RouteRow,
    RowEntry,
    VersionRow,
)

__all__ = ["ClusterView"]


@dataclass(slots=True)
class ClusterView:
    """Configuration at a revision, and the announced backend servers.

    Attributes
    ----------
    revision
        Revision of the configuration; it only rises.
    """

    revision: int = 0
    rows: dict[str, RowEntry] = field(default_factory=dict)
    accounts: dict[str, AccountRow] = field(default_factory=dict)
    accounts_by_key: dict[str, AccountRow] = field(default_factory=dict)
    classes: dict[str, ClassRow] = field(default_factory=dict)
    versions: dict[tuple[str, str], VersionRow] = field(default_factory=dict)
    rollouts: dict[str, RolloutRow] = field(default_factory=dict)
    routes: dict[str, RouteRow] = field(default_factory=dict)
    suspects: set[str] = field(default_factory=set)
    quarantined: set[str] = field(default_factory=set)
    backends: dict[str, BackendRecord] = field(default_factory=dict)

    def apply_rows(self, revision: int, entries: Iterable[RowEntry]) -> None:
        """Apply changed rows; a lower revision than the present one is ignored."""
        if revision < self.revision:
            return
        for entry in entries:
            known = self.rows.get(entry.key)
            if known is not None and known.revision >= entry.revision:
                continue
            self.rows[entry.key] = entry
            self._forget(known.row if known is not None else None)
            self._index(entry.row)
        self.revision = revision

    def apply_backends(
        self, changed: Iterable[BackendRecord], gone: Iterable[str], complete: bool
    ) -> None:
        """Apply changed and removed backend servers; ``complete`` replaces the whole set."""
        if complete:
            self.backends.clear()
        for record in changed:
            self.backends[record.identity] = record
        for identity in gone:
            self.backends.pop(identity, None)

    def engines_for(self, model: str, version: str) -> list[BackendRecord]:
        """Return the engines that have a model version loaded and are not leaving."""
        return [
            record
            for record in self.backends.values()
            if record.kind is BackendKind.ENGINE
            and not record.leaving
            and any(item.model == model and item.version == version for item in record.loaded)
        ]

    def servers_for(self, service: str) -> list[BackendRecord]:
        """Return the servers of a plain service that are not leaving."""
        return [
            record
            for record in self.backends.values()
            if record.kind is BackendKind.SERVICE
            and record.service == service
            and not record.leaving
        ]

    def _index(self, row: ConfigRow | None) -> None:
        match row:
            case AccountRow():
                self.accounts[row.name] = row
                self.accounts_by_key[row.key_digest] = row
            case ClassRow():
                self.classes[row.name] = row
            case VersionRow():
                self.versions[row.model, row.version] = row
            case RolloutRow():
                self.rollouts[row.name] = row
            case RouteRow():
                self.routes[row.name] = row
            case QuarantineRow():
                quarantined = row.losses >= LOSSES_TO_QUARANTINE
                (self.quarantined if quarantined else self.suspects).add(row.fingerprint)

    def _forget(self, row: ConfigRow | None) -> None:
        match row:
            case AccountRow():
                self.accounts.pop(row.name, None)
                self.accounts_by_key.pop(row.key_digest, None)
            case ClassRow():
                self.classes.pop(row.name, None)
            case VersionRow():
                self.versions.pop((row.model, row.version), None)
            case RolloutRow():
                self.rollouts.pop(row.name, None)
            case RouteRow():
                self.routes.pop(row.name, None)
            case QuarantineRow():
                self.suspects.discard(row.fingerprint)
                self.quarantined.discard(row.fingerprint)
