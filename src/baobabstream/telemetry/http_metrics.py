"""Measures the HTTP requests that a daemon serves."""

import asyncio

from aiohttp import web

from baobabstream.telemetry.instruments import MetricName
from baobabstream.telemetry.metrics import Metrics

__all__ = ["measure_requests"]

_STARTED_S = web.RequestKey("started_s", float)
_UNKNOWN_ROUTE = "unknown"


def measure_requests(app: web.Application, metrics: Metrics) -> None:
    """Count and time all requests of an application.

    Parameters
    ----------
    app
        Application that is not yet running.
    metrics
        Where the measurements go.
    """

    @web.middleware
    async def measure(request: web.Request, handler) -> web.StreamResponse:
        route = _route(request)
        started_s = asyncio.get_running_loop().time()
        request[_STARTED_S] = started_s
        status = "closed"
        metrics.add(MetricName.HTTP_IN_FLIGHT, 1, {"route": route})
        try:
            response = await handler(request)
            status = str(response.status)
            return response
        except web.HTTPException as error:
            status = str(error.status)
            raise
        finally:
            attributes = {"route": route, "method": request.method, "status": status}
            duration_s = asyncio.get_running_loop().time() - started_s
            metrics.add(MetricName.HTTP_IN_FLIGHT, -1, {"route": route})
            metrics.add(MetricName.HTTP_REQUESTS, 1, attributes)
            metrics.record(MetricName.HTTP_DURATION, duration_s, {"route": route})

    async def first_byte(request: web.Request, _: web.StreamResponse) -> None:
        if _STARTED_S in request:
            duration_s = asyncio.get_running_loop().time() - request[_STARTED_S]
            metrics.record(MetricName.HTTP_FIRST_BYTE, duration_s, {"route": _route(request)})

    app.middlewares.append(measure)
    app.on_response_prepare.append(first_byte)


def _route(request: web.Request) -> str:
    """Return the pattern of the route, not the path, so that callers cannot add series."""
    resource = request.match_info.route.resource
    return resource.canonical if resource is not None else _UNKNOWN_ROUTE
