"""Engines by model version, kept up to date from the announcements of backend servers.

An engine is a backend server that runs models; its announced record lists the versions that it
has loaded and says whether it is leaving the cluster; one that is leaving gets no new attempts. A
version key is the pair of model name and version.
"""

from baobabstream.wire.rows import BackendKind, BackendRecord

__all__ = ["ServerIndex"]


class ServerIndex:
    """Identities of the engines of each model version, updated from changed records only.

    Attributes
    ----------
    records
        Latest record of each engine by identity.
    change_count
        Increases whenever an engine is added, removed, or changes its versions or starts leaving.

    Notes
    -----
    Scanning 1,000 backend servers for each decision takes longer than the 100 microseconds that a
    decision may take.
    """

    def __init__(self) -> None:
        self.records: dict[str, BackendRecord] = {}
        self.change_count = 0
        self._identities_by_version: dict[tuple[str, str], list[str]] = {}

    def update(self, backends: dict[str, BackendRecord]) -> tuple[list[BackendRecord], set[str]]:
        """Update the index from all announced servers.

        Parameters
        ----------
        backends
            Records of all announced backend servers by identity. An unchanged record must be the
            same object as before.

        Returns
        -------
        changed : list of BackendRecord
            Records of engines that are new or have changed.
        removed : set of str
            Identities of engines that are no longer announced.
        """
        changed = [
            record
            for record in backends.values()
            if record.kind is BackendKind.ENGINE and self.records.get(record.identity) is not record
        ]
        removed = self.records.keys() - backends.keys()
        for identity in removed:
            self._remove(self.records.pop(identity))
        for record in changed:
            previous = self.records.get(record.identity)
            self.records[record.identity] = record
            if previous is not None and _serves_same_versions(previous, record):
                continue
            if previous is not None:
                self._remove(previous)
            self._add(record)
        return changed, removed

    def engine_identities(self, version_key: tuple[str, str]) -> list[str]:
        """Return the engines that have a model and version loaded and are not leaving."""
        return self._identities_by_version.get(version_key, [])

    def _add(self, record: BackendRecord) -> None:
        """Add an engine to the lists of its loaded versions, unless it is leaving."""
        self.change_count += 1
        if record.leaving:
            return
        for loaded in record.loaded:
            identities = self._identities_by_version.setdefault((loaded.model, loaded.version), [])
            if record.identity not in identities:
                identities.append(record.identity)

    def _remove(self, record: BackendRecord) -> None:
        """Remove an engine from the lists of its loaded versions."""
        self.change_count += 1
        for loaded in record.loaded:
            identities = self._identities_by_version.get((loaded.model, loaded.version), [])
            if record.identity in identities:
                identities.remove(record.identity)


def _serves_same_versions(previous: BackendRecord, record: BackendRecord) -> bool:
    """Return whether two records of an engine agree in loaded versions and in leaving."""
    return previous.loaded == record.loaded and previous.leaving == record.leaving
