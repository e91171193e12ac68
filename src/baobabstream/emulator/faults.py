"""Faults that a stand-in backend server shows on demand."""

from random import Random
from typing import Annotated

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

__all__ = ["FaultSwitch", "Faults"]

Share = Annotated[float, Field(ge=0, le=1)]
TokenCount = Annotated[int, Field(ge=0)]


class Faults(BaseModel):
    """Faults in force; the defaults show none.

    Attributes
    ----------
    slow_factor
        All work takes this many times as long.
    stall_after_tokens, cut_after_tokens
        The stream goes silent, or its connection is closed, after so many tokens.
    late_s
        Seconds by which each answer is late.
    crossed
        The answer carries the identity and text of the request before it.
    doubled
        The whole answer is sent a second time.
    error_share, bad_share
        Share of requests that are answered with status 500, or with a wrong answer.
    requests
        Number of further requests that show the faults other than slowness; -1 means all.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    slow_factor: Annotated[float, Field(gt=0, le=1000)] = 1.0
    stall_after_tokens: TokenCount | None = None
    cut_after_tokens: TokenCount | None = None
    late_s: Annotated[float, Field(ge=0, le=600)] = 0.0
    crossed: bool = False
    doubled: bool = False
    error_share: Share = 0.0
    bad_share: Share = 0.0
    requests: Annotated[int, Field(ge=-1)] = -1


class FaultSwitch:
    """Holds the faults in force and the HTTP routes that read and replace them.

    Parameters
    ----------
    faults
        Faults from the start.
    random
        Source of randomness for the shares.
    """

    def __init__(self, faults: Faults, random: Random) -> None:
        self.faults = faults
        self.random = random

    def add_routes(self, app: web.Application) -> None:
        """Add ``/emulate/v1/faults``."""
        app.router.add_get("/emulate/v1/faults", self._show)
        app.router.add_post("/emulate/v1/faults", self._replace)

    def take(self) -> Faults:
        """Return the faults that the next request shows."""
        faults = self.faults
        if faults.requests < 0:
            return faults
        if faults.requests == 0:
            return Faults(slow_factor=faults.slow_factor)
        self.faults = faults.model_copy(update={"requests": faults.requests - 1})
        return faults

    def happens(self, share: float) -> bool:
        """Return true for this share of calls."""
        return share > 0 and self.random.random() < share

    async def _show(self, _: web.Request) -> web.Response:
        return web.json_response(self.faults.model_dump())

    async def _replace(self, request: web.Request) -> web.Response:
        try:
            self.faults = Faults.model_validate_json(await request.read())
        except ValidationError as error:
            return web.json_response({"error": {"message": str(error)}}, status=400)
        return web.json_response(self.faults.model_dump())
