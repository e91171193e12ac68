"""Transfers readings of hybrid clocks in HTTP headers.

A hybrid clock combines wall time with a counter, so that an event that causes another one always
has the earlier reading, even if the wall clocks of the two hosts differ. For this, each HTTP
request and response between an entry daemon, which accepts the requests of callers, and a backend
server, which answers them, contains a reading of its sender in the header ``X-Hybrid-Time``. The
value is the wall time in milliseconds, a dot and the counter, such as ``1700000000000.2``.
"""

from collections.abc import Mapping

from aiohttp import ClientHandlerType, ClientMiddlewareType, ClientRequest, ClientResponse, web

from baobabstream.telemetry.hybrid_clock import HybridClock, HybridTime

__all__ = ["CLOCK_HEADER", "clock_client_middleware", "install_clock_middleware"]

CLOCK_HEADER = "X-Hybrid-Time"


def _format_reading(clock: HybridClock) -> str:
    """Return a new reading of a clock as the value of ``CLOCK_HEADER``."""
    reading = clock.now()
    return f"{reading.wall_ms}.{reading.counter}"


def _observe_headers(clock: HybridClock, headers: Mapping[str, str]) -> None:
    """Advance a clock past the reading in the headers; an absent or malformed one is ignored."""
    wall_ms, _, counter = headers.get(CLOCK_HEADER, "").partition(".")
    if wall_ms.isdecimal() and counter.isdecimal():
        clock.observe(HybridTime(int(wall_ms), int(counter)))


def clock_client_middleware(clock: HybridClock) -> ClientMiddlewareType:
    """Return a client middleware that exchanges readings of a clock with the servers.

    It adds a reading to each request and advances the clock past the reading in the response.
    """

    async def exchange_readings(
        request: ClientRequest, handler: ClientHandlerType
    ) -> ClientResponse:
        # `handler` sends the request.
        request.headers[CLOCK_HEADER] = _format_reading(clock)
        response = await handler(request)
        _observe_headers(clock, response.headers)
        return response

    return exchange_readings


def install_clock_middleware(app: web.Application, clock: HybridClock) -> None:
    """Add a server middleware that exchanges readings of a clock with the callers.

    It advances the clock past the reading in each request and adds a reading to the response.

    Parameters
    ----------
    app
        Application that is not running yet.
    clock
        Hybrid clock of this process.
    """

    @web.middleware
    async def observe_request(request: web.Request, handler) -> web.StreamResponse:
        # `handler` serves the request.
        _observe_headers(clock, request.headers)
        return await handler(request)

    async def add_reading(_: web.Request, response: web.StreamResponse) -> None:
        response.headers[CLOCK_HEADER] = _format_reading(clock)

    app.middlewares.append(observe_request)
    app.on_response_prepare.append(add_reading)
