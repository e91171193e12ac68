"""Announcements of backend servers that reached one coordination host, as a feed of changes.

Each announcement and each change gets the next position of the feed. A gateway remembers the last
position that it has received and asks for everything after it.
"""

import asyncio
from dataclasses import dataclass

from baobabstream.routing.announcements import AnnouncementTable
from baobabstream.wire.coordination_messages import ServerRow

__all__ = ["AnnouncementDelta", "AnnouncementFeed"]


@dataclass(frozen=True, slots=True)
class AnnouncementDelta:
    """Differences since an earlier position of the feed.

    Parameters
    ----------
    position
        Present position of the feed.
    rows
        Servers whose announcement has changed.
    refreshed
        Identities of servers that have announced themselves again without a change.
    """

    position: int
    rows: tuple[ServerRow, ...]
    refreshed: tuple[str, ...]


class AnnouncementFeed:
    """Announcement table with a position for each change.

    Parameters
    ----------
    epoch
        Identifies this instance; positions of other instances have no meaning in it.

    Attributes
    ----------
    position
        Position of the last announcement or change.
    table
        Newest announcement of each server.
    rows_changed
        Set at the next change of a row, then replaced by a new event.
    """

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.position = 0
        self.table = AnnouncementTable()
        # By server: positions of the last change, and of the last announcement.
        self._changed_positions: dict[str, int] = {}
        self._announced_positions: dict[str, int] = {}
        self.rows_changed = asyncio.Event()

    def announce(self, row: ServerRow) -> bool:
        """Add an announcement.

        Returns
        -------
        bool
            Whether a row has changed in more than its sequence number.
        """
        changed_rows = self.table.merge(row)
        self.position += 1
        self._announced_positions[row.server_id] = self.position
        return self._record_changes(changed_rows)

    def withdraw(self, server_id: str, born_ms: int | None) -> bool:
        """Mark a server as gone.

        Parameters
        ----------
        server_id
            Identity of the server.
        born_ms
            Start time of the server's incarnation that has left, in milliseconds, or None for the
            known one.

        Returns
        -------
        bool
            Whether the server was present.
        """
        return self._record_changes(self.table.withdraw(server_id, born_ms))

    def delta(self, epoch: int, position: int) -> AnnouncementDelta:
        """Return what came after a position; everything if it is of another instance."""
        since = position if epoch == self.epoch else 0
        changed_rows = tuple(
            row for row in self.table if self._changed_positions.get(row.server_id, 0) > since
        )
        changed_ids = {row.server_id for row in changed_rows}
        refreshed_ids = tuple(
            server_id
            for server_id, announced_position in self._announced_positions.items()
            if announced_position > since and server_id not in changed_ids
        )
        return AnnouncementDelta(self.position, changed_rows, refreshed_ids)

    def has_changes(self, epoch: int, position: int) -> bool:
        """Return whether a row has changed since a position, or the position is not usable."""
        if epoch != self.epoch:
            return True
        return any(
            changed_position > position for changed_position in self._changed_positions.values()
        )

    def _record_changes(self, changed_rows: tuple[ServerRow, ...]) -> bool:
        """Assign a position to changed rows and wake those who wait; returns whether any changed.

        The positions of servers that the table has dropped are removed.
        """
        if not changed_rows:
            return False
        self.position += 1
        self._changed_positions.update((row.server_id, self.position) for row in changed_rows)
        known_ids = {row.server_id for row in self.table}
        for server_id in set(self._changed_positions) - known_ids:
            self._changed_positions.pop(server_id)
            self._announced_positions.pop(server_id, None)
        self.rows_changed.set()
        self.rows_changed = asyncio.Event()
        return True
