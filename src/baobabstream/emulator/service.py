"""Stand-in plain service: records each run of each call, so that double runs can be counted."""

import asyncio
import os
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

from aiohttp import web

from baobabstream.emulator.announcer import Announcer
from baobabstream.emulator.engine_options import CRASH_MARKER
from baobabstream.emulator.faults import Faults, FaultSwitch
from baobabstream.emulator.serving import serve_announced
from baobabstream.telemetry.clock_headers import install_clock_middleware
from baobabstream.telemetry.hybrid_clock import HybridClock
from baobabstream.telemetry.timeline import EventKind, TimelineWriter

__all__ = ["ServiceApp", "ServiceOptions"]

CRASH_EXIT_CODE = 70


@dataclass(frozen=True, slots=True)
class ServiceOptions:
    """Options of a stand-in plain service; ``work_s`` is the time that a call takes."""

    identity: str
    ip: str
    port: int
    availability_zone: str
    service: str
    work_s: float = 0.01
    slots: int = 64
    timeline_path: Any = None
    incarnation: int = field(default_factory=time.time_ns)
    faults: Faults = Faults()
    seed: int = 1


class ServiceApp:
    """One stand-in plain service; it answers every method on every path.

    Parameters
    ----------
    options
        What the service announces and which faults it shows. ``stall_after_tokens`` leaves the
        call unanswered after it ran, ``cut_after_tokens`` closes its connection after it ran.
    """

    def __init__(self, options: ServiceOptions) -> None:
        self._options = options
        self.faults = FaultSwitch(options.faults, Random(options.seed))
        self.runs: Counter[str] = Counter()
        self._in_flight = 0
        self._clock = HybridClock()
        self._timeline = TimelineWriter(
            options.timeline_path, options.identity, "service", self._clock
        )

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        install_clock_middleware(app, self._clock)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/emulate/v1/runs", self._show_runs)
        self.faults.add_routes(app)
        app.router.add_route("*", "/{tail:.*}", self._call)
        return app

    def announcement(self) -> dict[str, Any]:
        """Return the body of an announcement."""
        options = self._options
        return {
            "identity": options.identity,
            "incarnation": options.incarnation,
            "kind": "service",
            "url": f"http://{options.ip}:{options.port}",
            "availability_zone": options.availability_zone,
            "service": options.service,
            "slots": options.slots,
            "in_flight": self._in_flight,
        }

    async def run(self, announcer: Announcer, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then leave and finish open calls."""
        options = self._options
        await serve_announced(self, options.ip, options.port, announcer, stop)
        self._timeline.close()

    async def _health(self, _: web.Request) -> web.Response:
        return web.json_response({"identity": self._options.identity})

    async def _show_runs(self, _: web.Request) -> web.Response:
        """Return the number of runs by idempotency key, or by request if it has none."""
        return web.json_response(dict(self.runs))

    async def _call(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        faults = self.faults.take()
        if self.faults.happens(faults.error_share):
            return web.json_response({"error": {"message": "emulated fault"}}, status=500)
        if CRASH_MARKER.encode() in body:
            os._exit(CRASH_EXIT_CODE)
        request_id = request.headers.get("X-Request-Id", "")
        key = request.headers.get("Idempotency-Key") or request_id
        self._in_flight += 1
        try:
            await asyncio.sleep(self._options.work_s * faults.slow_factor)
            self.runs[key] += 1
            identity = request_id.partition(".")[0]
            self._timeline.emit(EventKind.ENGINE_REQUEST_FINISHED, identity, detail=key)
            await asyncio.sleep(faults.late_s)
            if faults.stall_after_tokens is not None:
                await asyncio.Event().wait()
        finally:
            self._in_flight -= 1
        if faults.cut_after_tokens is not None and request.transport is not None:
            request.transport.abort()
        document = {
            "service": self._options.service,
            "method": request.method,
            "path": request.path,
            "run": self.runs[key],
            "received_bytes": len(body),
        }
        return web.json_response(document, headers={"X-Request-Id": request_id})
