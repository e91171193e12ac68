"""Runs the blocking saves of a storage in one thread and groups queued saves into one call.

A save is one numbered change of the state that a member of the replicated log must find again after
a restart. It is durable, which means safe in a crash, once the storage has stored it. Writing to a
disk takes long, and queued saves in one call share it. The sequence number of a save is its number.
"""

import asyncio
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from baobabstream.consensus.records import Save
from baobabstream.consensus.storage import LogStorage
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import StorageError
from baobabstream.telemetry.logs import get_logger

__all__ = ["StorageWriter"]

# Seconds between two tries while the disk is full. Short compared with the time in which a host is
# expected to work again once the disk has free space.
DISK_FULL_RETRY_S = 0.25

_log = get_logger("consensus")


class StorageWriter:
    """Makes saves durable in order without blocking the event loop.

    Parameters
    ----------
    storage
        Storage to write to.
    on_saved
        Called with the sequence number up to which all saves are durable.
    on_failure
        Called once when the storage fails; nothing is reported as saved after it. A full disk is
        not a failure: the writer waits for free space.
    """

    def __init__(
        self,
        storage: LogStorage,
        on_saved: Callable[[int], None],
        on_failure: Callable[[StorageError], None],
    ) -> None:
        self._storage = storage
        self._on_saved = on_saved
        self._on_failure = on_failure
        self._queue: list[Save] = []
        self._has_queued_saves = asyncio.Event()
        # Saves are numbered from 1; 0 means that none is durable yet.
        self._saved_sequence = 0
        # Sequence number that a call of ``wait_saved`` waits for, and the future that wakes it.
        self._waiters: list[tuple[int, asyncio.Future[None]]] = []
        # One thread, since only one call of the storage may run at a time.
        self._executor = ThreadPoolExecutor(1, thread_name_prefix="log-storage")

    def submit(self, save: Save) -> None:
        """Queue a save; its sequence number must follow that of the save before."""
        self._queue.append(save)
        self._has_queued_saves.set()

    async def wait_saved(self, sequence: int) -> None:
        """Wait until all saves up to a sequence number are durable.

        Never returns if the storage fails before.
        """
        if sequence <= self._saved_sequence:
            return
        waiter: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiters.append((sequence, waiter))
        await waiter

    async def run(self) -> None:
        """Write queued saves until cancelled or the storage fails.

        All saves that are queued when a write begins are written by one call.
        """
        loop = asyncio.get_running_loop()
        while True:
            await self._has_queued_saves.wait()
            self._has_queued_saves.clear()
            saves, self._queue = self._queue, []
            try:
                await self._save_until_stored(loop, saves)
            except StorageError as error:
                self._on_failure(error)
                return
            self._saved_sequence = saves[-1].sequence
            self._on_saved(self._saved_sequence)
            self._resolve_waiters()

    async def _save_until_stored(self, loop: asyncio.AbstractEventLoop, saves: list[Save]) -> None:
        """Save, and retry while the disk is full; nothing is reported as saved meanwhile.

        One warning is logged, not one for each try. Other storage errors are raised.
        """
        was_warning_logged = False
        while True:
            try:
                await loop.run_in_executor(self._executor, self._storage.save, saves)
                return
            except StorageError as error:
                if error.code is not ResultCode.DISK_FULL:
                    raise
                if not was_warning_logged:
                    _log.warning("Disk full; waiting for free space: %s", error)
                was_warning_logged = True
                await asyncio.sleep(DISK_FULL_RETRY_S)

    def close(self) -> None:
        """Wait for the write in progress and end the thread."""
        self._executor.shutdown(wait=True)

    def _resolve_waiters(self) -> None:
        """Wake the calls of ``wait_saved`` whose saves are durable."""
        # Item 0 of each pair is the sequence number.
        durable_waiters = [pair for pair in self._waiters if pair[0] <= self._saved_sequence]
        self._waiters = [pair for pair in self._waiters if pair[0] > self._saved_sequence]
        for _, waiter in durable_waiters:
            # The future of a cancelled call is done already.
            if not waiter.done():
                waiter.set_result(None)
