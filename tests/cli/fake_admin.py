"""Control hosts with prepared answers, served from a thread for commands that own their loop."""

import asyncio
import threading
from collections.abc import Callable
from contextlib import contextmanager
from typing import Any

from aiohttp import web

Answer = Callable[[str, str, Any], tuple[int, Any] | None]


def refusal(status: int, code: int, message: str = "no") -> tuple[int, Any]:
    """Return the answer that refuses a call."""
    return status, {"error": {"code": code, "message": message}}


@contextmanager
def admin_hosts(answer: Answer, count: int = 1):
    """Serve ``answer(method, path, body)`` on several addresses; None drops the connection."""
    started = threading.Event()
    urls: list[str] = []
    loop = asyncio.new_event_loop()

    async def handle(request: web.Request) -> web.Response:
        body = await request.json() if request.can_read_body else None
        result = answer(request.method, request.path_qs.removeprefix("/admin/v1/"), body)
        if result is None:
            request.transport.abort()
            return web.Response()
        return web.json_response(result[1], status=result[0])

    async def start() -> None:
        for _ in range(count):
            app = web.Application()
            app.router.add_route("*", "/{tail:.*}", handle)
            runner = web.AppRunner(app, access_log=None)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            urls.append(f"http://127.0.0.1:{runner.addresses[0][1]}")
        started.set()

    def run() -> None:
        asyncio.set_event_loop(loop)
        loop.create_task(start())
        loop.run_forever()

    thread = threading.Thread(target=run)
    thread.start()
    started.wait()
    try:
        yield urls
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()
