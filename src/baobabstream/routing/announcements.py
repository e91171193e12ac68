"""Table of backend servers, merged from announcements that may be late or repeated.

Every backend server sends announcements (heartbeats) with its address and state. An announcement
is a ``ServerRow``: ``born_ms`` is the time in milliseconds at which the server process started, and
``sequence`` orders the announcements of one process.
"""

from collections.abc import Iterator

from msgspec.structs import replace

from baobabstream.wire.coordination_messages import ServerRow, ServerState

__all__ = ["AnnouncementTable"]

# Departed servers are remembered so that a late announcement does not restore one. The oldest are
# evicted while the table holds more rows than this.
MAX_DEPARTED_SERVERS = 4096


class AnnouncementTable:
    """The newest announcement of each backend server.

    Notes
    -----
    A later start of an identity, or of another server at the same address, replaces the earlier
    one. Within one start a higher sequence number replaces a lower one, and a server that is
    draining or has left does not become ready again.
    """

    def __init__(self) -> None:
        self._rows: dict[str, ServerRow] = {}
        self._server_ids_by_address: dict[str, str] = {}

    def __iter__(self) -> Iterator[ServerRow]:
        return iter(self._rows.values())

    def get(self, server_id: str) -> ServerRow | None:
        """Return the newest row of a server, or None if the server is unknown."""
        return self._rows.get(server_id)

    def merge(self, row: ServerRow) -> tuple[ServerRow, ...]:
        """Add an announcement to the table unless a newer one is known.

        Returns
        -------
        tuple of ServerRow
            The rows that changed in more than their sequence number. Empty if the announcement
            is a repeat, or older than the known one.
        """
        known_row = self._rows.get(row.server_id)
        if known_row is not None and not _supersedes(row, known_row):
            return ()
        if known_row is not None and known_row.born_ms == row.born_ms:
            if known_row.state is ServerState.DRAINING and row.state is ServerState.READY:
                row = replace(row, state=ServerState.DRAINING)
            if replace(known_row, sequence=row.sequence) == row:
                self._rows[row.server_id] = row
                return ()
        withdrawn_rows = self._withdraw_previous_at_address(row)
        if withdrawn_rows is None:
            return ()
        self._store(row)
        return (*withdrawn_rows, row)

    def withdraw(self, server_id: str, born_ms: int | None = None) -> tuple[ServerRow, ...]:
        """Mark a server as gone and return its changed row, or nothing if it was not present.

        Parameters
        ----------
        server_id
            Identity of the server.
        born_ms
            Start time of the process that has left, in milliseconds; None for the known process.
            A departure of an earlier process is ignored.
        """
        known_row = self._rows.get(server_id)
        if known_row is None or known_row.state is ServerState.GONE:
            return ()
        if born_ms is not None and born_ms < known_row.born_ms:
            return ()
        gone_row = replace(known_row, state=ServerState.GONE)
        self._store(gone_row)
        return (gone_row,)

    def _withdraw_previous_at_address(self, row: ServerRow) -> tuple[ServerRow, ...] | None:
        """Withdraw another server that was known at the address of ``row``.

        Returns the rows that changed, or None if the other server started later than the one of
        ``row``, which is then out of date.
        """
        previous_row = self._rows.get(self._server_ids_by_address.get(row.address, ""))
        if (
            row.state is ServerState.GONE
            or previous_row is None
            or previous_row.server_id == row.server_id
        ):
            return ()
        if previous_row.state is ServerState.GONE or previous_row.address != row.address:
            return ()
        if previous_row.born_ms > row.born_ms:
            return None
        return self.withdraw(previous_row.server_id)

    def _store(self, row: ServerRow) -> None:
        """Store a row as the newest of the table and update the index by address."""
        self._rows.pop(row.server_id, None)
        self._rows[row.server_id] = row
        if row.state is not ServerState.GONE:
            self._server_ids_by_address[row.address] = row.server_id
        elif self._server_ids_by_address.get(row.address) == row.server_id:
            del self._server_ids_by_address[row.address]
        self._evict_departed()

    def _evict_departed(self) -> None:
        """Remove the rows of the servers that departed first if the table is over its limit."""
        excess_rows = len(self._rows) - MAX_DEPARTED_SERVERS
        if excess_rows > 0:
            departed_ids = [row.server_id for row in self if row.state is ServerState.GONE]
            for server_id in departed_ids[:excess_rows]:
                del self._rows[server_id]


def _supersedes(row: ServerRow, known_row: ServerRow) -> bool:
    """Return whether a row of a server is newer than the known row of the same server."""
    if row.born_ms != known_row.born_ms:
        return row.born_ms > known_row.born_ms
    if known_row.state is ServerState.GONE:
        return False
    return row.sequence > known_row.sequence or row.state is ServerState.GONE
