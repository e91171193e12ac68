"""Log entries in memory.

The base is the position (index and term) just before the first entry; entries up to the base were
dropped, since a snapshot covers them.
"""

from itertools import islice

from baobabstream.wire.consensus_messages import LogEntry

__all__ = ["EntryList"]

# Largest number of entries in one append.
MAX_BATCH_ENTRIES = 512
# Largest total payload in one append, unless its only entry is larger; well below the limit of
# 16 MB for a frame.
MAX_BATCH_BYTES = 1024 * 1024


class EntryList:
    """Entries with consecutive indexes.

    Parameters
    ----------
    base_index, base_term
        Index and term of the entry just before the first one.
    entries
        Entries with consecutive indexes from ``base_index + 1`` on.
    """

    def __init__(self, base_index: int, base_term: int, entries: tuple[LogEntry, ...]) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries = list(entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the base."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the base."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term at the base or an entry, or None if the index is outside the list."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entries(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from index ``first`` to index ``last``, both included."""
        offset = self.base_index + 1
        return tuple(self._entries[max(0, first - offset) : max(0, last - offset + 1)])

    def batch(self, first: int) -> tuple[LogEntry, ...]:
        """Return entries from index ``first`` on for one append, bounded in number and bytes."""
        batch_entries: list[LogEntry] = []
        size_bytes = 0
        start = first - self.base_index - 1
        for entry in islice(self._entries, start, start + MAX_BATCH_ENTRIES):
            size_bytes += len(entry.payload)
            if batch_entries and size_bytes > MAX_BATCH_BYTES:
                break
            batch_entries.append(entry)
        return tuple(batch_entries)

    def replace_suffix(self, entries: tuple[LogEntry, ...]) -> None:
        """Replace the entries from the first index of ``entries`` on by ``entries``."""
        del self._entries[entries[0].index - self.base_index - 1 :]
        self._entries.extend(entries)

    def discard_through(self, index: int) -> None:
        """Drop the entries up to ``index``, which becomes the base and must be in the list."""
        term = self.term_at(index)
        assert term is not None
        del self._entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Drop all entries and set the base."""
        self._entries = []
        self.base_index = index
        self.base_term = term

    def __iter__(self):
        return iter(self._entries)
