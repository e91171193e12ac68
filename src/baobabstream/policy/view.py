"""What a routing policy knows: configuration rows and announced backend servers.

The control leader sends configuration as row entries and the records that backend servers announce.
A row entry holds the key of a row, the revision of its last change and its content (none once it is
deleted). The revision is a number that each change of the configuration raises. A fingerprint is a
digest of a request's account and content, by which its repetitions are recognised; a loss is a
backend server that was lost while it ran the request. Engines are backend servers that run models;
the other backend servers belong to a service, such as a web service, that a route names. A suspect
is a fingerprint with a loss; after ``LOSSES_TO_QUARANTINE`` losses it is quarantined. A rollout
replaces a version of a model by a new one.
"""

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
        Revision of the configuration; it never decreases.
    rows
        Latest entry of each row by its key, deleted rows included.
    accounts, classes, rollouts, routes
        Rows by name.
    accounts_by_key
        Client accounts by the digest of their access key.
    versions
        Versions by model and version.
    suspects
        Fingerprints of requests that were running when a backend server was lost, but not often
        enough for quarantine.
    quarantined
        Fingerprints of requests that must not run, after ``LOSSES_TO_QUARANTINE`` losses.
    backends
        Records of the announced backend servers by identity.
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

    def apply_rows(self, revision: int, row_entries: Iterable[RowEntry]) -> None:
        """Apply changed rows; a call with a lower revision than the present one is ignored.

        Parameters
        ----------
        revision
            Revision of the configuration that includes the entries.
        row_entries
            Changed rows. One that is not newer than the known row of its key is skipped.
        """
        if revision < self.revision:
            return
        for row_entry in row_entries:
            previous = self.rows.get(row_entry.key)
            if previous is not None and previous.revision >= row_entry.revision:
                continue
            self.rows[row_entry.key] = row_entry
            self._remove_from_indexes(previous.row if previous is not None else None)
            self._add_to_indexes(row_entry.row)
        self.revision = revision

    def apply_backends(
        self, changed: Iterable[BackendRecord], removed: Iterable[str], is_complete: bool
    ) -> None:
        """Apply changed and removed backend servers.

        Parameters
        ----------
        changed
            New or changed records.
        removed
            Identities of servers that are no longer announced.
        is_complete
            Whether ``changed`` holds all servers and replaces the present set.
        """
        if is_complete:
            self.backends.clear()
        for record in changed:
            self.backends[record.identity] = record
        for identity in removed:
            self.backends.pop(identity, None)

    def engines_for(self, model: str, version: str) -> list[BackendRecord]:
        """Return the engines that have a model version loaded and are not leaving."""
        return [
            record
            for record in self.backends.values()
            if record.kind is BackendKind.ENGINE
            and not record.leaving
            and any(loaded.model == model and loaded.version == version for loaded in record.loaded)
        ]

    def servers_for(self, service: str) -> list[BackendRecord]:
        """Return the servers of a service without models that are not leaving."""
        return [
            record
            for record in self.backends.values()
            if record.kind is BackendKind.SERVICE
            and record.service == service
            and not record.leaving
        ]

    def _add_to_indexes(self, row: ConfigRow | None) -> None:
        """Add a row to the dictionaries and sets of its type; None, a deleted row, adds nothing.

        A quarantine row, which counts the losses of a fingerprint, adds it to the quarantined
        fingerprints from ``LOSSES_TO_QUARANTINE`` losses on, and to the suspects below.
        """
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
                is_quarantined = row.losses >= LOSSES_TO_QUARANTINE
                (self.quarantined if is_quarantined else self.suspects).add(row.fingerprint)

    def _remove_from_indexes(self, row: ConfigRow | None) -> None:
        """Remove a row from the dictionaries and sets of its type; None removes nothing."""
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
