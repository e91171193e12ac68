"""Backend servers as they announce themselves, merged from late and repeated announcements."""

from collections.abc import Iterator

from msgspec.structs import replace

from baobabstream.wire.coordination_messages import ServerRow, ServerState

__all__ = ["AnnouncementTable"]

# Departed servers that are remembered, so that a late announcement does not bring one back.
MAX_DEPARTED_SERVERS = 4096


class AnnouncementTable:
    """The newest announcement of each backend server.

    Notes
    -----
    A later start of an identity, or of another server at the same address, replaces the earlier
    one. Within one start a higher sequence number replaces a lower one, and a server that drains
    or has left does not become ready again.
    """

    def __init__(self) -> None:
        self._rows: dict[str, ServerRow] = {}
        self._holders: dict[str, str] = {}

    def __iter__(self) -> Iterator[ServerRow]:
        return iter(self._rows.values())

    def get(self, server_id: str) -> ServerRow | None:
        """Return the newest row of a server, or None."""
        return self._rows.get(server_id)

    def merge(self, row: ServerRow) -> tuple[ServerRow, ...]:
        """Take an announcement.

        Returns
        -------
        tuple of ServerRow
            The rows that changed in more than their sequence number. Empty if the announcement
            is a repeat, or older than what is known.
        """
        known = self._rows.get(row.server_id)
        if known is not None and not _supersedes(row, known):
            return ()
        if known is not None and known.born_ms == row.born_ms:
            if known.state is ServerState.DRAINING and row.state is ServerState.READY:
                row = replace(row, state=ServerState.DRAINING)
            if replace(known, sequence=row.sequence) == row:
                self._rows[row.server_id] = row
                return ()
        displaced = self._displace(row)
        if displaced is None:
            return ()
        self._store(row)
        return (*displaced, row)

    def withdraw(self, server_id: str, born_ms: int | None = None) -> tuple[ServerRow, ...]:
        """Note that a server has left; returns its changed row, if it was present.

        Parameters
        ----------
        server_id
            Identity of the server.
        born_ms
            Start that has left, or None for the start that is known.
        """
        known = self._rows.get(server_id)
        if known is None or known.state is ServerState.GONE:
            return ()
        if born_ms is not None and born_ms < known.born_ms:
            return ()
        gone = replace(known, state=ServerState.GONE)
        self._store(gone)
        return (gone,)

    def _displace(self, row: ServerRow) -> tuple[ServerRow, ...] | None:
        """Withdraw the server that held the address before; None if that one is newer."""
        holder = self._rows.get(self._holders.get(row.address, ""))
        if row.state is ServerState.GONE or holder is None or holder.server_id == row.server_id:
            return ()
        if holder.state is ServerState.GONE or holder.address != row.address:
            return ()
        if holder.born_ms > row.born_ms:
            return None
        return self.withdraw(holder.server_id)

    def _store(self, row: ServerRow) -> None:
        self._rows.pop(row.server_id, None)
        self._rows[row.server_id] = row
        if row.state is not ServerState.GONE:
            self._holders[row.address] = row.server_id
        elif self._holders.get(row.address) == row.server_id:
            del self._holders[row.address]
        self._forget_departed()

    def _forget_departed(self) -> None:
        excess = len(self._rows) - MAX_DEPARTED_SERVERS
        if excess > 0:
            departed = [row.server_id for row in self if row.state is ServerState.GONE]
            for server_id in departed[:excess]:
                del self._rows[server_id]


def _supersedes(row: ServerRow, known: ServerRow) -> bool:
    if row.born_ms != known.born_ms:
        return row.born_ms > known.born_ms
    if known.state is ServerState.GONE:
        return False
    return row.sequence > known.sequence or row.state is ServerState.GONE
