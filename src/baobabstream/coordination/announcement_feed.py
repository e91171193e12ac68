"""Announcements of backend servers that reached one coordination host, as a feed of changes.

A backend server announces its address and state periodically. The newest announcement of a server
is its row; ``server_id`` identifies the server. Each start of a server process is a new
incarnation, distinguished by its start time ``born_ms``; the announcements of one incarnation are
numbered by ``sequence``. A row changes if an announcement differs in more than its sequence number,
or if the server leaves.

Each announcement and each change gets the next position of the feed, a number that counts from 1. A
gateway remembers the last position that it has received and asks for everything after it. The epoch
identifies the instance of the feed that gave out a position.
"""

import asyncio
from dataclasses import dataclass

from baobabstream.routing.announcements import AnnouncementTable
from baobabstream.wire.coordination_messages import ServerRow, ServerState

__all__ = ["AnnouncementDelta", "AnnouncementFeed"]

# A ready server that has not announced itself here for this time may have left, or announces itself
# to another host. Servers announce themselves every second or two.
MAX_SILENCE_S = 5.0


@dataclass(frozen=True, slots=True)
class AnnouncementDelta:
    """Differences since an earlier position of the feed.

    Parameters
    ----------
    position
        Present position of the feed, from which the gateway asks next time.
    rows
        Newest announcement of each server whose row has changed.
    refreshed
        Identities of servers that have announced themselves again without a change, so that the
        gateway does not consider them lost.
    """

    position: int
    rows: tuple[ServerRow, ...]
    refreshed: tuple[str, ...]


class AnnouncementFeed:
    """Announcement table with a position for each change.

    Parameters
    ----------
    epoch
        Random number that identifies this instance. A restarted daemon counts positions from 0
        again, so positions of other instances have no meaning in this one.

    Attributes
    ----------
    epoch
        As the parameter.
    position
        Position of the last announcement or change, 0 before the first.
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
        # By server: time of the last announcement here, in seconds of the event loop's clock.
        self._announced_s: dict[str, float] = {}
        self.rows_changed = asyncio.Event()

    def announce(self, row: ServerRow) -> bool:
        """Add an announcement; it gets a position even if it changes no row.

        By that position the gateways receive repeated announcements, too, as ``refreshed``.

        Returns
        -------
        bool
            Whether a row has changed in more than its sequence number. That may be the row of
            another server, which had the same address before.
        """
        # Rows that differ in more than their sequence number; empty for a repeat or an older one.
        changed_rows = self.table.merge(row)
        known_row = self.table.get(row.server_id)
        # New gateways have not been sent the row of a server that was silent.
        if not changed_rows and known_row is not None and self._is_silent(known_row):
            changed_rows = (known_row,)
        self._announced_s[row.server_id] = asyncio.get_running_loop().time()
        self.position += 1
        self._announced_positions[row.server_id] = self.position
        return self._record_changes(changed_rows)

    def mark_draining(self, server_id: str, born_ms: int) -> bool:
        """Mark a server as draining because one of its answers said that it leaves.

        Parameters
        ----------
        server_id
            Identity of the server.
        born_ms
            Start time in milliseconds of the incarnation that leaves.

        Returns
        -------
        bool
            Whether the server was ready and is now draining.
        """
        return self._record_changes(self.table.mark_draining(server_id, born_ms))

    def withdraw(self, server_id: str, born_ms: int | None) -> bool:
        """Mark a server as gone.

        Parameters
        ----------
        server_id
            Identity of the server.
        born_ms
            Start time in milliseconds of the incarnation that has left, or None for the known
            one. The departure of an earlier incarnation than the known one is ignored.

        Returns
        -------
        bool
            Whether the server was present and is now gone.
        """
        # The table returns the changed row, or nothing if the server was not present.
        return self._record_changes(self.table.withdraw(server_id, born_ms))

    def delta(self, epoch: int, position: int) -> AnnouncementDelta:
        """Return what came after a position of the feed.

        Parameters
        ----------
        epoch
            Epoch of the instance that gave out the position. If it is another instance, all rows
            are returned but those of ready servers that have been silent.
        position
            Last position that the gateway has received from that instance.
        """
        # All positions of rows are above 0.
        since_position = position if epoch == self.epoch else 0
        changed_rows = tuple(
            row
            for row in self.table
            if self._changed_positions.get(row.server_id, 0) > since_position
            and (since_position > 0 or not self._is_silent(row))
        )
        changed_ids = {row.server_id for row in changed_rows}
        refreshed_ids = tuple(
            server_id
            for server_id, announced_position in self._announced_positions.items()
            if announced_position > since_position and server_id not in changed_ids
        )
        return AnnouncementDelta(self.position, changed_rows, refreshed_ids)

    def has_changes(self, epoch: int, position: int) -> bool:
        """Return whether a row has changed since a position, or it is of another instance.

        Repeated announcements do not count: they need not reach a gateway at once. The parameters
        are those of ``delta``.
        """
        if epoch != self.epoch:
            return True
        return any(
            changed_position > position for changed_position in self._changed_positions.values()
        )

    def _is_silent(self, row: ServerRow) -> bool:
        """Return whether a ready server has not announced itself here for ``MAX_SILENCE_S``."""
        announced_s = self._announced_s.get(row.server_id, float("-inf"))
        silence_s = asyncio.get_running_loop().time() - announced_s
        return row.state is ServerState.READY and silence_s > MAX_SILENCE_S

    def _record_changes(self, changed_rows: tuple[ServerRow, ...]) -> bool:
        """Assign the next position to changed rows and wake the tasks that wait for a change.

        The positions of servers that the table has dropped are removed.

        Returns
        -------
        bool
            Whether there are changed rows.
        """
        if not changed_rows:
            return False
        self.position += 1
        self._changed_positions.update((row.server_id, self.position) for row in changed_rows)
        known_ids = {row.server_id for row in self.table}
        for server_id in set(self._changed_positions) - known_ids:
            self._changed_positions.pop(server_id)
            self._announced_positions.pop(server_id, None)
            self._announced_s.pop(server_id, None)
        self.rows_changed.set()
        self.rows_changed = asyncio.Event()
        return True
