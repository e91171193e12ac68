"""Calls to the control leader that are repeated until it answers."""

import asyncio
from typing import Any

from msgspec import Struct

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.membership.control_session import ControlSession

__all__ = ["BackgroundCalls", "call_leader_within"]

CALL_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.1
BACKGROUND_LIMIT_S = 60.0


async def call_leader_within(control: ControlSession, message: Struct, limit_s: float) -> Any:
    """Send a repeatable message until the leader answers.

    Raises
    ------
    PeerError
        If no answer came within ``limit_s`` seconds.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    while True:
        left_s = end_s - loop.time()
        if left_s <= 0:
            raise PeerError(ResultCode.NO_LEADER)
        try:
            return await control.call_leader(message, min(CALL_TIMEOUT_S, left_s))
        except PeerError:
            if loop.time() + RETRY_DELAY_S >= end_s:
                raise
            await asyncio.sleep(RETRY_DELAY_S)


class BackgroundCalls:
    """Tasks that outlive the request that started them; a planned stop waits for them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, work: Any) -> asyncio.Task[Any]:
        """Run a coroutine to its end."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait(self, task: asyncio.Task[Any], timeout_s: float | None = None) -> Any:
        """Wait for a task, which goes on if the waiting is cancelled or takes too long."""
        await asyncio.wait({task}, timeout=timeout_s)
        return task.result() if task.done() else None

    async def drain(self) -> None:
        """Wait until all have ended."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))
