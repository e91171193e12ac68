"""Backend servers by version and availability zone, kept up to date from views."""

from baobabstream.wire.rows import BackendKind, BackendRecord

__all__ = ["ServerIndex"]


class ServerIndex:
    """Engines by model version; only changed records cost work.

    Attributes
    ----------
    changes
        Rises when a version gains or loses a server.

    Notes
    -----
    A scan of 1,000 backend servers per decision takes longer than the 100 microseconds that a
    decision may take.
    """

    def __init__(self) -> None:
        self.records: dict[str, BackendRecord] = {}
        self.changes = 0
        self._by_version: dict[tuple[str, str], list[str]] = {}

    def update(self, backends: dict[str, BackendRecord]) -> tuple[list[BackendRecord], set[str]]:
        """Take the announced servers; return the changed records and the identities gone."""
        changed = [
            record
            for record in backends.values()
            if record.kind is BackendKind.ENGINE and self.records.get(record.identity) is not record
        ]
        gone = self.records.keys() - backends.keys()
        for identity in gone:
            self._drop(self.records.pop(identity))
        for record in changed:
            known = self.records.get(record.identity)
            self.records[record.identity] = record
            if known is not None and _same_place(known, record):
                continue
            if known is not None:
                self._drop(known)
            self._add(record)
        return changed, gone

    def engines(self, key: tuple[str, str]) -> list[str]:
        """Return the engines that have a version loaded and are not leaving."""
        return self._by_version.get(key, [])

    def _add(self, record: BackendRecord) -> None:
        self.changes += 1
        if record.leaving:
            return
        for item in record.loaded:
            engines = self._by_version.setdefault((item.model, item.version), [])
            if record.identity not in engines:
                engines.append(record.identity)

    def _drop(self, record: BackendRecord) -> None:
        self.changes += 1
        for item in record.loaded:
            engines = self._by_version.get((item.model, item.version), [])
            if record.identity in engines:
                engines.remove(record.identity)


def _same_place(known: BackendRecord, record: BackendRecord) -> bool:
    return known.loaded == record.loaded and known.leaving == record.leaving
