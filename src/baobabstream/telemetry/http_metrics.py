"""Metrics of the HTTP requests that a daemon serves.

The duration of a request lasts until its response is complete; the time to the first byte ends when
the response headers are sent. A route is a path pattern of the application, such as
``/things/{name}``.
"""

import asyncio

from aiohttp import web

from baobabstream.telemetry.instruments import MetricName
from baobabstream.telemetry.metrics import Metrics

__all__ = ["install_request_metrics"]

# Key of a request's start time on the event loop's clock, in seconds.
_STARTED_S = web.RequestKey("started_s", float)
# Route of requests whose path matches no pattern.
_UNKNOWN_ROUTE = "unknown"


def install_request_metrics(app: web.Application, metrics: Metrics) -> None:
    """Count and time all requests of an application.

    Parameters
    ----------
    app
        Application that is not running yet.
    metrics
        Metrics of this daemon that the measurements are added to.
    """

    @web.middleware
    async def measure_request(request: web.Request, handler) -> web.StreamResponse:
        """Count and time a request that ``handler`` serves."""
        route = _route_pattern(request)
        started_s = asyncio.get_running_loop().time()
        request[_STARTED_S] = started_s
        # Kept if the handler ends with an error or is cancelled because the client disconnects.
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

    async def record_first_byte(request: web.Request, _: web.StreamResponse) -> None:
        """Record the time to the first byte, when the response headers are about to be sent."""
        if _STARTED_S in request:
            duration_s = asyncio.get_running_loop().time() - request[_STARTED_S]
            metrics.record(
                MetricName.HTTP_FIRST_BYTE, duration_s, {"route": _route_pattern(request)}
            )

    app.middlewares.append(measure_request)
    app.on_response_prepare.append(record_first_byte)


def _route_pattern(request: web.Request) -> str:
    """Return the path pattern of a request's route.

    It is used in place of the path, so that callers cannot create any number of time series.
    """
    resource = request.match_info.route.resource
    return resource.canonical if resource is not None else _UNKNOWN_ROUTE
