"""Stand-in model engine: streams a generated answer at a fixed token rate."""

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from baobabstream.emulator.announcer import Announcer
from baobabstream.telemetry.hybrid_clock import HybridClock
from baobabstream.telemetry.timeline import EventKind, TimeLine
from baobabstream.wire.rows import LoadedVersion

__all__ = ["EngineApp", "EngineOptions"]

DEFAULT_TOKENS = 32
WORDS = ("the", "dune", "gate", "bearing", "waiver", "grease", "is", "ready", "and", "checked")


@dataclass(frozen=True, slots=True)
class EngineOptions:
    """Options of a stand-in engine; times in seconds."""

    identity: str
    ip: str
    port: int
    availability_zone: str
    loaded: tuple[LoadedVersion, ...]
    first_token_s: float = 0.02
    token_gap_s: float = 0.005
    slots: int = 8
    timeline_path: Any = None
    incarnation: int = field(default_factory=time.time_ns)


class EngineApp:
    """One stand-in engine.

    Parameters
    ----------
    options
        What the engine announces and how fast it is.
    """

    def __init__(self, options: EngineOptions) -> None:
        self._options = options
        self._in_flight = 0
        self._slots = asyncio.Semaphore(options.slots)
        self._timeline = TimeLine(options.timeline_path, options.identity, "engine", HybridClock())

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/v1/chat/completions", self._chat)
        return app

    def announcement(self) -> dict[str, Any]:
        """Return the body of an announcement."""
        options = self._options
        return {
            "identity": options.identity,
            "incarnation": options.incarnation,
            "kind": "engine",
            "url": f"http://{options.ip}:{options.port}",
            "availability_zone": options.availability_zone,
            "loaded": [{"model": x.model, "version": x.version} for x in options.loaded],
            "slots": options.slots,
            "in_flight": self._in_flight,
        }

    async def run(self, announcer: Announcer, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then leave and finish open requests."""
        runner = web.AppRunner(self.application(), access_log=None, handler_cancellation=True)
        await runner.setup()
        await web.TCPSite(runner, self._options.ip, self._options.port).start()
        announcing = asyncio.create_task(announcer.run(self.announcement))
        await stop.wait()
        announcing.cancel()
        leave = {
            "identity": self._options.identity,
            "incarnation": self._options.incarnation,
        }
        await announcer.send("leave", leave)
        await runner.cleanup()

    async def _chat(self, request: web.Request) -> web.StreamResponse:
        body = await request.json()
        request_id = request.headers.get("X-Request-Id", "").partition(".")[0]
        model = f"{body['model']}@{request.headers.get('X-Model-Version', '')}"
        tokens = body.get("max_tokens") or DEFAULT_TOKENS
        start = int(request.headers.get("X-Resume-Tokens", "0"))
        headers = {
            "Content-Type": "text/event-stream",
            "X-Request-Id": request.headers.get("X-Request-Id", ""),
            "X-Resume-Tokens": str(start),
        }
        response = web.StreamResponse(headers=headers)
        self._in_flight += 1
        try:
            async with self._slots:
                self._timeline.emit(EventKind.ENGINE_REQUEST_STARTED, request_id, detail=model)
                await asyncio.sleep(self._options.first_token_s)
                await response.prepare(request)
                for index in range(start, tokens):
                    await response.write(_chunk(request_id, model, index, tokens))
                    await asyncio.sleep(self._options.token_gap_s)
                await response.write(b"data: [DONE]\n\n")
                self._timeline.emit(EventKind.ENGINE_REQUEST_FINISHED, request_id, detail=model)
        finally:
            self._in_flight -= 1
        return response


def _chunk(request_id: str, model: str, index: int, tokens: int) -> bytes:
    chunk = {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
        "choices": [
            {
                "index": 0,
                "delta": {"content": WORDS[index % len(WORDS)] + " "},
                "finish_reason": "stop" if index == tokens - 1 else None,
            }
        ],
    }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"
