"""Calls to the control leader that are retried until it answers.

The control hosts store configuration, claims and losses; one of them is the elected leader. Until a
new leader is elected, calls fail.
"""

import asyncio
from typing import Any

from msgspec import Struct

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.membership.control_session import ControlSession

__all__ = ["BackgroundTasks", "call_leader_within"]

# Limit on each single call, after which it is repeated.
CALL_TIMEOUT_S = 2.0
# Delay between a failed call and its repetition.
RETRY_DELAY_S = 0.1
# Limit on calls that no caller's request waits for, retries included.
BACKGROUND_TIMEOUT_S = 60.0


async def call_leader_within(control: ControlSession, message: Struct, timeout_s: float) -> Any:
    """Send a message until the leader answers, and return the reply.

    The leader may receive the message several times, which must have the same effect as once.

    Raises
    ------
    PeerError
        If no answer came within ``timeout_s`` seconds. The message may have taken effect
        nevertheless, since only its reply may have been lost.
    """
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    while True:
        remaining_s = deadline_s - loop.time()
        if remaining_s <= 0:
            raise PeerError(ResultCode.NO_LEADER)
        try:
            return await control.call_leader(message, min(CALL_TIMEOUT_S, remaining_s))
        except PeerError:
            if loop.time() + RETRY_DELAY_S >= deadline_s:
                raise
            await asyncio.sleep(RETRY_DELAY_S)


class BackgroundTasks:
    """Tasks that outlive the request that started them; a planned stop waits for them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, coroutine: Any) -> asyncio.Task[Any]:
        """Run a coroutine as a task of this set and return the task."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def wait(self, task: asyncio.Task[Any], timeout_s: float | None = None) -> Any:
        """Wait for a task and return its result, or None after ``timeout_s`` seconds.

        Without ``timeout_s`` there is no limit. The task goes on if the waiting is cancelled or
        takes too long; None after the limit therefore says nothing about its outcome. An exception
        of the task is raised here.
        """
        await asyncio.wait({task}, timeout=timeout_s)
        return task.result() if task.done() else None

    async def drain(self) -> None:
        """Wait until all tasks have ended, those included that are started meanwhile."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))
