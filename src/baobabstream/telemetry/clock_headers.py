"""Carries hybrid clock readings over HTTP to and from backend servers."""

from collections.abc import Mapping

from aiohttp import ClientHandlerType, ClientMiddlewareType, ClientRequest, ClientResponse, web

from baobabstream.telemetry.hybrid_clock import HybridClock, HybridTime

__all__ = ["CLOCK_HEADER", "carry_clock", "follow_callers"]

CLOCK_HEADER = "X-Hybrid-Time"


def _reading(clock: HybridClock) -> str:
    """Return a new reading as the value of the header."""
    now = clock.now()
    return f"{now.wall_ms}.{now.counter}"


def _observe(clock: HybridClock, headers: Mapping[str, str]) -> None:
    """Advance a clock past the reading in the headers, if there is a valid one."""
    wall_ms, _, counter = headers.get(CLOCK_HEADER, "").partition(".")
    if wall_ms.isdecimal() and counter.isdecimal():
        clock.observe(HybridTime(int(wall_ms), int(counter)))


def carry_clock(clock: HybridClock) -> ClientMiddlewareType:
    """Return a client middleware that sends readings and follows those of the answers."""

    async def carry(request: ClientRequest, handler: ClientHandlerType) -> ClientResponse:
        request.headers[CLOCK_HEADER] = _reading(clock)
        response = await handler(request)
        _observe(clock, response.headers)
        return response

    return carry


def follow_callers(app: web.Application, clock: HybridClock) -> None:
    """Make a server follow its callers' readings and answer with its own."""

    @web.middleware
    async def follow(request: web.Request, handler) -> web.StreamResponse:
        _observe(clock, request.headers)
        return await handler(request)

    async def answer(_: web.Request, response: web.StreamResponse) -> None:
        response.headers[CLOCK_HEADER] = _reading(clock)

    app.middlewares.append(follow)
    app.on_response_prepare.append(answer)
