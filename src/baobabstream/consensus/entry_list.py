"""Log entries in memory.

An entry is one record of the replicated log. Its index is its place in the log, counted from 1, and
its term is the number of the period of leadership in which it was written. Its payload is its
encoded content. A batch is the entries that a leader sends to a peer, another member, in one
message, an append. The base is the position (index and term) just before the first entry; entries
up to the base were dropped, since a snapshot, the encoded state that they led to, covers them.
"""

from itertools import islice

from baobabstream.wire.consensus_messages import LogEntry

__all__ = ["EntryList"]

# Largest number of entries in one append.
MAX_BATCH_ENTRIES = 512
# Largest total payload in one append, unless its only entry is larger; well below the limit of
# 16 MB for a message between hosts.
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
        """Return the entries from index ``first`` to index ``last``, both included.

        Indexes outside the list have no entries; they are left out.
        """
        first_kept_index = self.base_index + 1
        # At least 0: Python counts a negative position from the end of the list.
        return tuple(
            self._entries[max(0, first - first_kept_index) : max(0, last - first_kept_index + 1)]
        )

    def batch(self, first: int) -> tuple[LogEntry, ...]:
        """Return entries from index ``first`` on for one append, bounded in number and bytes.

        The first entry is returned whatever its size, so that replication always goes on.
        """
        batch_entries: list[LogEntry] = []
        payload_bytes = 0
        # Position in the list: the entry after the base is at 0.
        start = first - self.base_index - 1
        for entry in islice(self._entries, start, start + MAX_BATCH_ENTRIES):
            payload_bytes += len(entry.payload)
            if batch_entries and payload_bytes > MAX_BATCH_BYTES:
                break
            batch_entries.append(entry)
        return tuple(batch_entries)

    def replace_suffix(self, entries: tuple[LogEntry, ...]) -> None:
        """Replace the entries from the first index of ``entries`` on by ``entries``.

        ``entries`` must not be empty, and its first index at most one after the last entry here.
        """
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
        """Drop all entries and set the base to this index and its term.

        Used for a snapshot that this log does not contain.
        """
        self._entries = []
        self.base_index = index
        self.base_term = term

    def __iter__(self):
        """Iterate over the entries in the order of their indexes."""
        return iter(self._entries)
