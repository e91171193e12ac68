"""Lets the process give the memory of large buffers back to the system."""

import ctypes

from baobabstream.telemetry.logs import get_logger

__all__ = ["return_large_buffers"]

_log = get_logger("process")

# Parameter of glibc's mallopt: size in bytes from which on a block is mapped by itself, so that it
# is returned when it is freed.
M_MMAP_THRESHOLD = -3
LARGE_BUFFER_BYTES = 128 * 1024


def return_large_buffers() -> None:
    """Map each large buffer by itself, so that freeing it returns its memory.

    By default glibc raises the size from which it does so to that of the largest block freed so
    far. Buffers for the bytes of many servers then leave holes of different sizes, and the process
    keeps growing.
    """
    libc = ctypes.CDLL(None)
    if not hasattr(libc, "mallopt"):
        _log.info("The C library has no mallopt; freed memory may stay with the process.")
        return
    libc.mallopt(M_MMAP_THRESHOLD, LARGE_BUFFER_BYTES)
