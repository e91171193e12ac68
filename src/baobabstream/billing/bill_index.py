"""Compact hash table from the key of a bill to the file offset of its record.

A bill records the tokens and the cost of one request; its key is the client account and the
identity of the request. A slot is one place of the table, which is free or holds the hash and the
offset of one bill. Linear probing means that a bill goes to the first free slot from the one that
its hash selects, and is searched from there up to the next free slot.
"""

from array import array
from collections.abc import Iterator

__all__ = ["BillIndex"]

# Number of slots of a new table. It must be a power of two, since a bit mask reduces the hash of a
# key to the number of the first slot to try.
INITIAL_SLOT_COUNT = 1024
# Fraction of used slots above which the table doubles. A higher one lengthens searches; this one
# costs 24 to 48 bytes of memory per bill.
MAX_LOAD_FACTOR = 2 / 3


class BillIndex:
    """Hash table with linear probing in two arrays of 64-bit integers.

    Notes
    -----
    The table stores the 64-bit hash of a key but not the key itself. Two keys may have the same
    hash, so a caller must compare the key in the record with the one that it looks for.
    """

    def __init__(self) -> None:
        self._bill_count = 0
        # "Q" is the type of unsigned 64-bit integers, of 8 bytes each; all are 0 at first.
        self._hashes = array("Q", bytes(8 * INITIAL_SLOT_COUNT))
        # A record never has the offset 0, where the file header is, so 0 marks a free slot.
        self._offsets = array("Q", bytes(8 * INITIAL_SLOT_COUNT))

    def __len__(self) -> int:
        """Return the number of bills in the table."""
        return self._bill_count

    @property
    def size_bytes(self) -> int:
        """Memory size of the table in bytes: two integers of 8 bytes per slot."""
        return 16 * len(self._offsets)

    def find_offsets(self, key_hash: int) -> Iterator[int]:
        """Yield the offsets of all records in the table whose key has this 64-bit hash."""
        mask = len(self._offsets) - 1
        slot = key_hash & mask
        while self._offsets[slot]:
            if self._hashes[slot] == key_hash:
                yield self._offsets[slot]
            slot = (slot + 1) & mask

    def add(self, key_hash: int, offset: int) -> None:
        """Add a bill whose key has the hash ``key_hash`` and is not in the table.

        ``offset`` is that of its record.
        """
        if self._bill_count + 1 > MAX_LOAD_FACTOR * len(self._offsets):
            self._grow()
        self._insert(key_hash, offset)
        self._bill_count += 1

    def replace(self, key_hash: int, old_offset: int, new_offset: int) -> None:
        """Replace the record offset of a bill that is in the table."""
        mask = len(self._offsets) - 1
        slot = key_hash & mask
        while self._hashes[slot] != key_hash or self._offsets[slot] != old_offset:
            slot = (slot + 1) & mask
        self._offsets[slot] = new_offset

    def _insert(self, key_hash: int, offset: int) -> None:
        """Write hash and offset into the first free slot from the one that the hash selects."""
        mask = len(self._offsets) - 1
        slot = key_hash & mask
        while self._offsets[slot]:
            slot = (slot + 1) & mask
        self._hashes[slot] = key_hash
        self._offsets[slot] = offset

    def _grow(self) -> None:
        """Double the number of slots and insert hash and offset of each bill anew."""
        hashes, offsets = self._hashes, self._offsets
        # Twice as many integers of 8 bytes.
        self._hashes = array("Q", bytes(16 * len(offsets)))
        self._offsets = array("Q", bytes(16 * len(offsets)))
        for key_hash, offset in zip(hashes, offsets, strict=True):
            if offset:
                self._insert(key_hash, offset)
