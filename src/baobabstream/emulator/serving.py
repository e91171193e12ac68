"""Serves a stand-in backend server while it announces itself."""

import asyncio
from typing import Any, Protocol

from aiohttp import web

from baobabstream.emulator.announcer import Announcer

__all__ = ["Announced", "serve_announced"]


class Announced(Protocol):
    """A stand-in backend server."""

    def application(self) -> web.Application:
        """Return the aiohttp application."""

    def announcement(self) -> dict[str, Any]:
        """Return the body of an announcement."""


async def serve_announced(
    server: Announced, ip: str, port: int, announcer: Announcer, stop: asyncio.Event
) -> None:
    """Serve until ``stop`` is set, then leave and finish open requests."""
    runner = web.AppRunner(server.application(), access_log=None, handler_cancellation=True)
    await runner.setup()
    await web.TCPSite(runner, ip, port).start()
    announcing = asyncio.create_task(announcer.run(server.announcement))
    await stop.wait()
    announcing.cancel()
    announced = server.announcement()
    leave = {name: announced[name] for name in ("identity", "incarnation")}
    await announcer.send("leave", leave)
    await runner.cleanup()
