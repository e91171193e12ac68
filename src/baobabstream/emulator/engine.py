"""Stand-in model engine: announcements, health, orders and chat requests."""

import asyncio
import os
from collections.abc import Callable
from random import Random
from typing import Any, NoReturn

from aiohttp import web

from baobabstream.emulator.announcer import Announcer
from baobabstream.emulator.batching import BatchSpeed, ContinuousBatch
from baobabstream.emulator.chat import ChatStreams
from baobabstream.emulator.engine_options import EngineOptions
from baobabstream.emulator.faults import FaultSwitch
from baobabstream.emulator.kv_store import KvStore
from baobabstream.emulator.load_reports import LaggingReports, LoadReport
from baobabstream.emulator.orders import OrderDesk
from baobabstream.emulator.prefix_cache import CacheFeed, PrefixCache
from baobabstream.emulator.serving import serve_announced
from baobabstream.telemetry.clock_headers import install_clock_middleware
from baobabstream.telemetry.hybrid_clock import HybridClock
from baobabstream.telemetry.timeline import TimelineWriter

__all__ = ["EngineApp", "EngineOptions"]

CRASH_EXIT_CODE = 70
REPORT_SAMPLE_S = 0.1


def _exit_process() -> NoReturn:
    os._exit(CRASH_EXIT_CODE)


class EngineApp:
    """One stand-in engine.

    Parameters
    ----------
    options
        What the engine announces, how fast it is and which faults it shows.
    crash
        Called for a prompt with the crash marker; ends the process.
    """

    def __init__(self, options: EngineOptions, crash: Callable[[], object] = _exit_process) -> None:
        random = Random(options.seed)
        self._options = options
        self.faults = FaultSwitch(options.faults, random)
        self.orders = OrderDesk(options.loaded, options.load_s, options.honours_fencing)
        speed = BatchSpeed(
            options.slots, options.token_gap_s, options.tokens_per_s, options.prefill_tokens_per_s
        )
        self.batch = ContinuousBatch(speed, lambda: self.faults.faults.slow_factor)
        self._cache_feed = CacheFeed(options.cache_event_delay_s, options.cache_event_loss, random)
        self._reports = LaggingReports(options.report_lag_s)
        self._kv_store = KvStore()
        self._clock = HybridClock()
        self._timeline = TimelineWriter(
            options.timeline_path, options.identity, "engine", self._clock
        )
        self._chat = ChatStreams(
            options,
            self.batch,
            PrefixCache(options.cache_tokens, self._cache_feed),
            self._kv_store,
            self.orders,
            self.faults,
            self._timeline,
            crash,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        install_clock_middleware(app, self._clock)
        app.router.add_post("/v1/chat/completions", self._chat.handle)
        app.router.add_get("/healthz", self._health)
        for part in (self.orders, self.faults, self._kv_store):
            part.add_routes(app)
        app.on_startup.append(self._start_tasks)
        app.on_cleanup.append(self._stop_tasks)
        return app

    def announcement(self) -> dict[str, Any]:
        """Return the body of an announcement."""
        options = self._options
        now_s = asyncio.get_running_loop().time()
        report = self._reports.reported(now_s)
        return {
            "identity": options.identity,
            "incarnation": options.incarnation,
            "kind": "engine",
            "url": f"http://{options.ip}:{options.port}",
            "availability_zone": options.availability_zone,
            "loaded": [{"model": x.model, "version": x.version} for x in self.orders.loaded],
            "slots": options.slots,
            "honours_fencing": options.honours_fencing,
            "role": self.orders.role,
            "adapters": sorted(self.orders.adapters),
            "in_flight": report.in_flight,
            "queued_tokens": report.queued_tokens,
            "cache_events": self._cache_feed.take_due(now_s),
        }

    async def run(self, announcer: Announcer, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set, then leave and finish open requests."""
        options = self._options
        await serve_announced(self, options.ip, options.port, announcer, stop)

    async def _start_tasks(self, _: web.Application) -> None:
        self._tasks = [
            asyncio.create_task(self.batch.run()),
            asyncio.create_task(self._sample_load()),
        ]

    async def _stop_tasks(self, _: web.Application) -> None:
        for task in self._tasks:
            task.cancel()
        self._timeline.close()

    async def _sample_load(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            report = LoadReport(self.batch.in_flight, self.batch.queued_tokens)
            self._reports.add(report, loop.time())
            await asyncio.sleep(REPORT_SAMPLE_S)

    async def _health(self, _: web.Request) -> web.Response:
        return web.json_response(
            {"identity": self._options.identity, "in_flight": self.batch.in_flight}
        )
