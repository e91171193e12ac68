"""Stand-in rating service: says whether an answer is good."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from random import Random
from typing import Any

from aiohttp import web
from pydantic import BaseModel, ConfigDict, ValidationError

from baobabstream.emulator.answers import BAD_MARK
from baobabstream.emulator.faults import Faults, FaultSwitch

__all__ = ["RatingApp", "RatingOptions", "RatingQuestion"]


class RatingQuestion(BaseModel):
    """Body of ``POST /v1/ratings``; ``question`` is the prompt as text or as messages."""

    model_config = ConfigDict(extra="forbid")

    request: str
    model: str
    version: str
    question: Any
    answer: str


@dataclass(frozen=True, slots=True)
class RatingOptions:
    """Options of a stand-in rating service.

    ``work_s`` is the time that a rating takes; ``noise`` is the share of wrong ratings.
    """

    ip: str
    port: int
    work_s: float = 0.01
    noise: float = 0.0
    faults: Faults = Faults()
    seed: int = 1


class RatingApp:
    """Rates an answer as bad if it carries the mark of the emulated wrong answers.

    Parameters
    ----------
    options
        Speed and faults; the fault ``bad_share`` is the share of good answers rated bad.
    """

    def __init__(self, options: RatingOptions) -> None:
        self._options = options
        self.faults = FaultSwitch(options.faults, Random(options.seed))
        self.ratings: Counter[str] = Counter()

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/v1/ratings", self._rate)
        app.router.add_get("/emulate/v1/ratings", self._show)
        app.router.add_get("/healthz", self._health)
        self.faults.add_routes(app)
        return app

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set."""
        runner = web.AppRunner(self.application(), access_log=None)
        await runner.setup()
        await web.TCPSite(runner, self._options.ip, self._options.port).start()
        await stop.wait()
        await runner.cleanup()

    async def _health(self, _: web.Request) -> web.Response:
        return web.json_response({})

    async def _show(self, _: web.Request) -> web.Response:
        """Return the number of ratings by ``model@version`` and verdict."""
        return web.json_response(dict(self.ratings))

    async def _rate(self, request: web.Request) -> web.Response:
        try:
            question = RatingQuestion.model_validate_json(await request.read())
        except ValidationError as error:
            return web.json_response({"error": {"message": str(error)}}, status=400)
        faults = self.faults.take()
        await asyncio.sleep(self._options.work_s * faults.slow_factor + faults.late_s)
        if self.faults.happens(faults.error_share):
            return web.json_response({"error": {"message": "emulated fault"}}, status=500)
        good = BAD_MARK not in question.answer and not self.faults.happens(faults.bad_share)
        if self.faults.happens(self._options.noise):
            good = not good
        verdict = "good" if good else "bad"
        self.ratings[f"{question.model}@{question.version} {verdict}"] += 1
        return web.json_response({"good": good})
