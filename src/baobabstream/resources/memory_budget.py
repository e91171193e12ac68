"""Bounds the memory that many holders, such as requests or buffered answers, take together.

A faulty client or server may send bytes without end. The largest holders therefore give way when no
memory is left, so that a few of them do not stop all the small ones.
"""

from collections.abc import Callable

__all__ = ["MemoryBudget", "MemoryHolder"]


class MemoryBudget:
    """Memory that holders share.

    Parameters
    ----------
    max_bytes
        Bytes that all holders may take together.
    reserved_bytes
        Part of these bytes that only small holders may use.
    max_small_bytes
        Largest number of bytes of a small holder.
    """

    def __init__(self, max_bytes: int, reserved_bytes: int = 0, max_small_bytes: int = 0) -> None:
        self._max_bytes = self._free_bytes = max_bytes
        self._reserved_bytes = reserved_bytes
        self._max_small_bytes = max_small_bytes
        self._holders: set[MemoryHolder] = set()

    @property
    def held_bytes(self) -> int:
        """Bytes that all holders have taken."""
        return self._max_bytes - self._free_bytes

    @property
    def max_holder_bytes(self) -> int:
        """Bytes that one holder could take if there were no others."""
        return max(self._max_bytes - self._reserved_bytes, self._max_small_bytes)

    def open(self, on_evicted: Callable[[], None]) -> "MemoryHolder":
        """Return a new holder of this memory, which its owner closes.

        ``on_evicted`` is called if the holder must give way to smaller ones.
        """
        return MemoryHolder(self, on_evicted)

    def _try_acquire(self, holder: "MemoryHolder", byte_count: int) -> bool:
        """Take memory for a holder, at the cost of larger ones; return whether there was enough.

        The holder that would be the largest one gets none.
        """
        wanted_bytes = holder.held_bytes + byte_count
        reserved_bytes = self._reserved_from(wanted_bytes)
        while byte_count > self._free_bytes - reserved_bytes:
            largest = max(
                (other for other in self._holders if other.is_evictable),
                key=lambda other: other.held_bytes,
                default=None,
            )
            if largest is None or largest.held_bytes <= wanted_bytes:
                return False
            largest.evict()
        self._free_bytes -= byte_count
        self._holders.add(holder)
        return True

    def _reserved_from(self, wanted_bytes: int) -> int:
        """Return the number of bytes that a holder of a size may not use."""
        return 0 if wanted_bytes <= self._max_small_bytes else self._reserved_bytes

    def _release(self, holder: "MemoryHolder", byte_count: int) -> None:
        """Take memory of a holder back."""
        self._free_bytes += byte_count
        if not holder.held_bytes:
            self._holders.discard(holder)


class MemoryHolder:
    """Memory of one holder.

    Attributes
    ----------
    held_bytes
        Number of bytes that it has taken.
    is_evictable
        Whether it may have to give way to smaller holders.
    """

    def __init__(self, budget: MemoryBudget, on_evicted: Callable[[], None]) -> None:
        self.held_bytes = 0
        self.is_evictable = True
        self._budget = budget
        self._on_evicted = on_evicted
        self._is_closed = False

    def try_acquire(self, byte_count: int) -> bool:
        """Take some bytes, and return whether so many were left for this holder.

        A negative number gives bytes back.
        """
        if byte_count <= 0:
            self.release(-byte_count)
            return not self._is_closed
        if self._is_closed or not self._budget._try_acquire(self, byte_count):
            return False
        self.held_bytes += byte_count
        return True

    @property
    def max_bytes(self) -> int:
        """Bytes that it could take if nobody else held any."""
        return self._budget.max_holder_bytes

    def release(self, byte_count: int) -> None:
        """Give back bytes that were taken, at most as many as are still held."""
        byte_count = min(byte_count, self.held_bytes)
        self.held_bytes -= byte_count
        self._budget._release(self, byte_count)

    def close(self) -> None:
        """Give back all bytes, and take no more."""
        self._is_closed = True
        self.release(self.held_bytes)

    def evict(self) -> None:
        """Give way to smaller holders."""
        self.close()
        self._on_evicted()
