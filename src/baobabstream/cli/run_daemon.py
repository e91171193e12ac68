"""Runs a daemon until the process receives a signal to stop.

A *daemon* is a server that runs for as long as its process. SIGTERM and SIGINT ask it to stop;
SIGHUP asks it to reload its settings.
"""

import asyncio
import signal
from collections.abc import Callable
from typing import Protocol, TypeVar

from baobabstream.cli.fast_start import consume_pending_reload, finish_fast_start

__all__ = ["Daemon", "run_until_stopped", "stop_event"]


class Daemon(Protocol):
    """Interface of a daemon to the process that runs it."""

    async def start(self) -> None:
        """Open the listening sockets and start serving."""

    async def stop(self) -> None:
        """Complete the requests that are being served, and close the sockets."""


DaemonT = TypeVar("DaemonT", bound=Daemon)


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set; needs a running event loop."""
    event = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, event.set)
    return event


def run_until_stopped(
    build: Callable[[], DaemonT],
    run: Callable[..., None],
    reload: Callable[[DaemonT], None] | None = None,
) -> None:
    """Build a daemon inside the event loop, start it, and stop it on SIGTERM or SIGINT.

    Parameters
    ----------
    build
        Returns the daemon; called inside the event loop.
    run
        Runs a coroutine on a new event loop, such as ``asyncio.run``.
    reload
        Called with the daemon on SIGHUP, and after the start if a SIGHUP came during it; without
        this function SIGHUP has the effect that the process had set before.
    """
    run(_run_daemon(build, reload))


async def _run_daemon(
    build: Callable[[], DaemonT], reload: Callable[[DaemonT], None] | None = None
) -> None:
    """Build and start a daemon, wait for the signal to stop, and stop it."""
    stop_requested = stop_event()
    daemon = build()
    if reload is not None:
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload, daemon)
    await daemon.start()
    finish_fast_start()
    if reload is not None and consume_pending_reload():
        reload(daemon)
    await stop_requested.wait()
    await daemon.stop()
