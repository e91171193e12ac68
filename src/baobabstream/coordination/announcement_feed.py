"""Announcements that reached one coordination host, with positions for those who follow them."""

import asyncio
from dataclasses import dataclass

from baobabstream.routing.announcements import AnnouncementTable
from baobabstream.wire.coordination_messages import ServerRow

__all__ = ["AnnouncementDelta", "AnnouncementFeed"]


@dataclass(frozen=True, slots=True)
class AnnouncementDelta:
    """Rows that changed, and servers that only announced again, since a position."""

    position: int
    rows: tuple[ServerRow, ...]
    refreshed: tuple[str, ...]


class AnnouncementFeed:
    """Announcement table whose changes can be followed.

    Parameters
    ----------
    epoch
        Identifies this instance; positions of other instances mean nothing here.
    """

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.position = 0
        self.table = AnnouncementTable()
        self._changed_at: dict[str, int] = {}
        self._seen_at: dict[str, int] = {}
        self.changed = asyncio.Event()

    def announce(self, row: ServerRow) -> bool:
        """Take an announcement; returns whether anything but its sequence number changed."""
        changes = self.table.merge(row)
        self.position += 1
        self._seen_at[row.server_id] = self.position
        return self._note(changes)

    def withdraw(self, server_id: str, born_ms: int | None) -> bool:
        """Note that a server has left; returns whether it was present."""
        return self._note(self.table.withdraw(server_id, born_ms))

    def delta(self, epoch: int, position: int) -> AnnouncementDelta:
        """Return what came after a position of an instance of the feed."""
        since = position if epoch == self.epoch else 0
        rows = tuple(row for row in self.table if self._changed_at.get(row.server_id, 0) > since)
        changed = {row.server_id for row in rows}
        refreshed = tuple(
            server_id
            for server_id, seen_at in self._seen_at.items()
            if seen_at > since and server_id not in changed
        )
        return AnnouncementDelta(self.position, rows, refreshed)

    def has_news(self, epoch: int, position: int) -> bool:
        """Return whether a row has changed since a position."""
        if epoch != self.epoch:
            return True
        return any(changed_at > position for changed_at in self._changed_at.values())

    def _note(self, changes: tuple[ServerRow, ...]) -> bool:
        if not changes:
            return False
        self.position += 1
        self._changed_at.update((row.server_id, self.position) for row in changes)
        known = {row.server_id for row in self.table}
        for server_id in set(self._changed_at) - known:
            self._changed_at.pop(server_id)
            self._seen_at.pop(server_id, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return True
