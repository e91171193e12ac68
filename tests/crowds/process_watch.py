"""Watches the memory and the descriptors of a process.

The bytes in the receive buffers of its sockets count as its memory.
"""

import asyncio
import os
from contextlib import suppress
from pathlib import Path

from memory_figures import peak_memory_bytes

__all__ = ["ProcessWatch"]

SAMPLE_INTERVAL_S = 0.05
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SOCKET_PREFIX = "socket:["


class ProcessWatch:
    """Samples a process until the block ends.

    Parameters
    ----------
    process_id
        The process.

    Attributes
    ----------
    peak_bytes
        Largest sum of resident memory and unread bytes that was seen, and at least the largest
        resident memory that the kernel has recorded.
    peak_descriptors
        Largest number of open descriptors that was seen.
    """

    def __init__(self, process_id: int) -> None:
        self._folder = Path(f"/proc/{process_id}")
        self._process_id = process_id
        self.peak_bytes = 0
        self.peak_unread_bytes = 0
        self.peak_descriptors = 0

    async def __aenter__(self) -> "ProcessWatch":
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *_) -> None:
        self._task.cancel()
        with suppress(OSError):
            self._sample()
            self.peak_bytes = max(self.peak_bytes, peak_memory_bytes(self._process_id))

    async def _run(self) -> None:
        """Sample until cancelled, or until the process has ended."""
        with suppress(OSError):
            while True:
                self._sample()
                await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _sample(self) -> None:
        """Take one sample of memory and descriptors."""
        links = []
        for entry in os.listdir(self._folder / "fd"):
            with suppress(FileNotFoundError):
                links.append(os.readlink(self._folder / "fd" / entry))
        sockets = {
            link[len(SOCKET_PREFIX) : -1] for link in links if link.startswith(SOCKET_PREFIX)
        }
        resident_bytes = int((self._folder / "statm").read_text().split()[1]) * PAGE_BYTES
        unread_bytes = self._unread_bytes(sockets)
        self.peak_descriptors = max(self.peak_descriptors, len(links))
        self.peak_unread_bytes = max(self.peak_unread_bytes, unread_bytes)
        self.peak_bytes = max(self.peak_bytes, resident_bytes + unread_bytes)

    def _unread_bytes(self, sockets: set[str]) -> int:
        """Return the number of bytes that have arrived at sockets, given by inode, but not read.

        The receive queue of a listening socket counts connections in place of bytes.
        """
        lines = (self._folder / "net" / "tcp").read_text().splitlines()[1:]
        fields = (line.split() for line in lines)
        listening = "0A"
        return sum(
            int(row[4].partition(":")[2], 16)
            for row in fields
            if row[9] in sockets and row[3] != listening
        )
