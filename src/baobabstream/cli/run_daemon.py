"""Runs a daemon until it is told to stop."""

import asyncio
import signal
from collections.abc import Callable
from typing import Protocol

__all__ = ["Daemon", "run_until_stopped", "stop_event"]


class Daemon(Protocol):
    """What a daemon offers to its process."""

    async def start(self) -> None:
        """Open the listeners."""

    async def stop(self) -> None:
        """Stop gracefully."""


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, event.set)
    return event


def run_until_stopped(build: Callable[[], Daemon], run: Callable[..., None]) -> None:
    """Build a daemon inside the event loop, start it, and stop it on SIGTERM or SIGINT.

    Parameters
    ----------
    build
        Returns the daemon; called inside the event loop.
    run
        Runs a coroutine on a new event loop, such as ``asyncio.run``.
    """
    run(_run(build))


async def _run(build) -> None:
    event = stop_event()
    daemon: Daemon = build()
    await daemon.start()
    await event.wait()
    await daemon.stop()
