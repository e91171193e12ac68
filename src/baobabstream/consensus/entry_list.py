"""Log entries in memory, after a base position."""

from itertools import islice

from baobabstream.wire.consensus_messages import LogEntry

__all__ = ["EntryList"]

MAX_BATCH_ENTRIES = 512
# Keeps an append well under the frame limit of 16 MB.
MAX_BATCH_BYTES = 1024 * 1024


class EntryList:
    """Contiguous entries with positions.

    Parameters
    ----------
    base_index, base_term
        Position before the first entry.
    entries
        The entries.
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
        """Return the term at an index, or None if it is not held."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entries(self, first: int, last: int) -> tuple[LogEntry, ...]:
        """Return the entries from ``first`` to ``last``, both included."""
        offset = self.base_index + 1
        return tuple(self._entries[max(0, first - offset) : max(0, last - offset + 1)])

    def batch(self, first: int) -> tuple[LogEntry, ...]:
        """Return entries from ``first`` on, bounded in number and bytes."""
        chosen: list[LogEntry] = []
        size_bytes = 0
        start = first - self.base_index - 1
        for entry in islice(self._entries, start, start + MAX_BATCH_ENTRIES):
            size_bytes += len(entry.payload)
            if chosen and size_bytes > MAX_BATCH_BYTES:
                break
            chosen.append(entry)
        return tuple(chosen)

    def replace_suffix(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries, replacing those from the first new index on."""
        del self._entries[entries[0].index - self.base_index - 1 :]
        self._entries.extend(entries)

    def discard_through(self, index: int) -> None:
        """Move the base up to an index that is held."""
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
