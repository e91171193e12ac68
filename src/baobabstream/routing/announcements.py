"""Table of backend servers, merged from announcements that may be late or repeated.

Every backend server sends announcements (heartbeats) with its address and state. An announcement
is a ``ServerRow``: ``born_ms`` is the time in milliseconds at which the server process started, and
``sequence`` orders the announcements of one process. ``server_id`` is the identity of the server,
which it keeps when its process is restarted.

The state of a server is ``READY`` if it takes new requests, ``DRAINING`` if it only finishes those
it has, and ``GONE`` if it has left. A departed server is one in the state ``GONE``.
"""

from collections.abc import Iterator

from msgspec.structs import replace

from baobabstream.wire.coordination_messages import ServerRow, ServerState

__all__ = ["AnnouncementTable"]

# Rows, of departed and present servers together, above which the rows of departed servers are
# evicted, the oldest first. Until then departed servers are remembered, so that a late announcement
# does not restore one.
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
        # Newest announcement of each server by its identity, the one stored last at the end.
        self._rows: dict[str, ServerRow] = {}
        # Identity of the server that is present at each address.
        self._server_ids_by_address: dict[str, str] = {}

    def __iter__(self) -> Iterator[ServerRow]:
        """Iterate over the newest rows of all servers, departed ones included."""
        return iter(self._rows.values())

    def get(self, server_id: str) -> ServerRow | None:
        """Return the newest row of a server, or None if the server is unknown."""
        return self._rows.get(server_id)

    def merge(self, row: ServerRow) -> tuple[ServerRow, ...]:
        """Add an announcement to the table unless a newer one is known.

        An announcement ``READY`` of a process that is known to be draining is stored as
        ``DRAINING``, since a process that has begun to drain does not become ready again. Another
        server that was present at the same address is marked as gone.

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
            # The announcement differs from the known one in nothing but its sequence number.
            if replace(known_row, sequence=row.sequence) == row:
                self._rows[row.server_id] = row
                return ()
        withdrawn_rows = self._withdraw_previous_at_address(row)
        if withdrawn_rows is None:
            return ()
        self._store(row)
        return (*withdrawn_rows, row)

    def mark_draining(self, server_id: str, born_ms: int) -> tuple[ServerRow, ...]:
        """Mark a ready server as draining and return its changed row, or nothing if it is not.

        Parameters
        ----------
        server_id
            Identity of the server.
        born_ms
            Start time in milliseconds of the process that is leaving; another process is ignored.
        """
        known_row = self._rows.get(server_id)
        if (
            known_row is None
            or known_row.born_ms != born_ms
            or known_row.state is not ServerState.READY
        ):
            return ()
        draining_row = replace(known_row, state=ServerState.DRAINING)
        self._store(draining_row)
        return (draining_row,)

    def withdraw(self, server_id: str, born_ms: int | None = None) -> tuple[ServerRow, ...]:
        """Mark a server as gone and return its changed row, or nothing if it was not present.

        The departure of an unknown process is stored, too: other hosts may know the process, and
        its announcements may still arrive.

        Parameters
        ----------
        server_id
            Identity of the server.
        born_ms
            Start time of the process that has left, in milliseconds; None for the known process.
            The departure of a process that started before the known one is ignored, since the
            known one has replaced it.
        """
        known_row = self._rows.get(server_id)
        if known_row is None:
            if born_ms is None:
                return ()
            known_row = ServerRow(server_id, born_ms, 0, "", "", "", "", 0, ServerState.READY)
        departed_ms = known_row.born_ms if born_ms is None else born_ms
        if departed_ms < known_row.born_ms:
            return ()
        if known_row.state is ServerState.GONE and departed_ms == known_row.born_ms:
            return ()
        gone_row = replace(known_row, born_ms=departed_ms, state=ServerState.GONE)
        self._store(gone_row)
        return (gone_row,)

    def _withdraw_previous_at_address(self, row: ServerRow) -> tuple[ServerRow, ...] | None:
        """Withdraw another server that was known at the address of ``row``.

        Only one process can listen at an address, so the one that started later is the present one.
        Returns the rows that changed, or None if the other server started later than the one of
        ``row``, which is then out of date.
        """
        # No server has the empty identity, so an unknown address gives no row.
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
        """Store a row as the newest of its server and update the index by address."""
        # Removing the old row first moves the server to the end of the dictionary, so that the
        # dictionary is ordered by the time of the last change.
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
    """Return whether a row of a server is newer than the known row of the same server.

    A row of a later process is newer. Within one process a departure is final: it replaces any
    other row, and no row replaces it. Otherwise the higher sequence number is newer.
    """
    if row.born_ms != known_row.born_ms:
        return row.born_ms > known_row.born_ms
    if known_row.state is ServerState.GONE:
        return False
    return row.sequence > known_row.sequence or row.state is ServerState.GONE
