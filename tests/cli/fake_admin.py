"""Fake control hosts with prepared responses.

Control hosts serve the administration API, ``/admin/v1/``, to operator commands. The fake ones run
in a thread of their own, because a command runs an event loop in the thread of the test.
"""

import asyncio
import threading
from collections.abc import Callable
from contextlib import contextmanager
from typing import Any

from aiohttp import web

# Returns HTTP status and JSON document for method, path below ``/admin/v1/`` and JSON body of a
# request; None to drop the connection.
Responder = Callable[[str, str, Any], tuple[int, Any] | None]


def refusal(status: int, code: int, message: str = "no") -> tuple[int, Any]:
    """Return status and document of an error response with a numbered result code."""
    return status, {"error": {"code": code, "message": message}}


@contextmanager
def admin_hosts(respond: Responder, count: int = 1):
    """Run ``count`` fake control hosts that respond with ``respond``, and yield their base URLs."""
    started = threading.Event()
    urls: list[str] = []
    loop = asyncio.new_event_loop()

    async def handle(request: web.Request) -> web.Response:
        body = await request.json() if request.can_read_body else None
        status_and_document = respond(
            request.method, request.path_qs.removeprefix("/admin/v1/"), body
        )
        if status_and_document is None:
            request.transport.abort()
            # Not sent, since the connection is closed.
            return web.Response()
        return web.json_response(status_and_document[1], status=status_and_document[0])

    async def start_hosts() -> None:
        for _ in range(count):
            app = web.Application()
            app.router.add_route("*", "/{tail:.*}", handle)
            runner = web.AppRunner(app, access_log=None)
            await runner.setup()
            # Port 0 selects a free port.
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            urls.append(f"http://127.0.0.1:{runner.addresses[0][1]}")
        started.set()

    def run_loop() -> None:
        asyncio.set_event_loop(loop)
        loop.create_task(start_hosts())
        loop.run_forever()

    thread = threading.Thread(target=run_loop)
    thread.start()
    started.wait()
    try:
        yield urls
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()
