"""Bounds the memory that the buffered responses of one gateway take together."""

__all__ = ["ResponseMemory"]

# Limit for the bodies of all responses that are being buffered. The smallest hosts give the process
# 128 MB, of which it takes about half without any.
MAX_RESPONSE_MEMORY_BYTES = 32 * 1024 * 1024


class ResponseMemory:
    """Number of bytes that are left for buffered responses.

    Parameters
    ----------
    max_bytes
        Bytes that all responses may take together.
    """

    def __init__(self, max_bytes: int = MAX_RESPONSE_MEMORY_BYTES) -> None:
        self._free_bytes = max_bytes

    def try_acquire(self, byte_count: int) -> bool:
        """Take some bytes, and return whether so many were left."""
        if byte_count > self._free_bytes:
            return False
        self._free_bytes -= byte_count
        return True

    def release(self, byte_count: int) -> None:
        """Give back bytes that were taken."""
        self._free_bytes += byte_count
