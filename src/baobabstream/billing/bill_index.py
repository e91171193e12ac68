"""Compact map from the hash of a bill's key to the offset of its record."""

from array import array
from collections.abc import Iterator

__all__ = ["BillIndex"]

MIN_SLOTS = 1024
# A denser table makes searches long; at this load a bill takes 24 to 48 bytes.
MAX_LOAD = 2 / 3


class BillIndex:
    """Hash table with linear probing in two arrays of 64-bit numbers.

    Notes
    -----
    Hashes may collide, so a caller compares the key in the record with the one it looks for.
    """

    def __init__(self) -> None:
        self._count = 0
        self._hashes = array("Q", bytes(8 * MIN_SLOTS))
        # Offsets start after the file header, so 0 marks a free slot.
        self._offsets = array("Q", bytes(8 * MIN_SLOTS))

    def __len__(self) -> int:
        return self._count

    @property
    def size_bytes(self) -> int:
        """Memory of the table in bytes."""
        return 16 * len(self._offsets)

    def offsets(self, key_hash: int) -> Iterator[int]:
        """Return the offsets stored under a hash."""
        mask = len(self._offsets) - 1
        slot = key_hash & mask
        while self._offsets[slot]:
            if self._hashes[slot] == key_hash:
                yield self._offsets[slot]
            slot = (slot + 1) & mask

    def add(self, key_hash: int, offset: int) -> None:
        """Store the offset of a new bill."""
        if self._count + 1 > MAX_LOAD * len(self._offsets):
            self._grow()
        self._insert(key_hash, offset)
        self._count += 1

    def replace(self, key_hash: int, old_offset: int, new_offset: int) -> None:
        """Point a bill to another record."""
        mask = len(self._offsets) - 1
        slot = key_hash & mask
        while self._hashes[slot] != key_hash or self._offsets[slot] != old_offset:
            slot = (slot + 1) & mask
        self._offsets[slot] = new_offset

    def _insert(self, key_hash: int, offset: int) -> None:
        mask = len(self._offsets) - 1
        slot = key_hash & mask
        while self._offsets[slot]:
            slot = (slot + 1) & mask
        self._hashes[slot] = key_hash
        self._offsets[slot] = offset

    def _grow(self) -> None:
        hashes, offsets = self._hashes, self._offsets
        self._hashes = array("Q", bytes(16 * len(offsets)))
        self._offsets = array("Q", bytes(16 * len(offsets)))
        for key_hash, offset in zip(hashes, offsets, strict=True):
            if offset:
                self._insert(key_hash, offset)
