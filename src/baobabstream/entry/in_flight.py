"""Counts requests in flight and closes connections after use while the daemon stops.

A request is in flight from its arrival until its handler has returned.

An entry is a host that accepts the requests of callers, which are HTTP clients.
"""

import asyncio

from aiohttp import web
from aiohttp.typedefs import Handler

from baobabstream.entry.http_errors import error_response
from baobabstream.entry.refusals import RefusedWithRunState
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.telemetry.logs import get_logger

__all__ = ["InFlightRequests"]

_log = get_logger("entry")


class InFlightRequests:
    """Requests that this entry is serving.

    Attributes
    ----------
    closes_connections
        Whether a connection is closed after the response that is sent on it next. The daemon sets
        it when it stops, so that callers send their next requests elsewhere.
    """

    def __init__(self) -> None:
        self.closes_connections = False
        self._request_count = 0
        self._idle_event = asyncio.Event()
        self._idle_event.set()

    @web.middleware
    async def middleware(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Count a request while it is served, and convert exceptions into error responses.

        aiohttp calls this around the handler of each request. Its own HTTP exceptions, such as that
        for an unknown path, pass unchanged. An unexpected exception becomes ``INTERNAL_ERROR``. A
        ``RefusedWithRunState`` carries its own run state, which states in the error response
        whether the request has run; for other errors the result code determines it.
        """
        self._request_count += 1
        self._idle_event.clear()
        try:
            return await handler(request)
        except RefusedWithRunState as refusal:
            return error_response(refusal, refusal.run_state)
        except BaobabstreamError as error:
            return error_response(error)
        except web.HTTPException:
            raise
        except Exception:
            _log.exception("Request failed unexpectedly.")
            return error_response(BaobabstreamError(ResultCode.INTERNAL_ERROR))
        finally:
            self._request_count -= 1
            if not self._request_count:
                self._idle_event.set()

    async def set_connection_close(self, _: web.Request, response: web.StreamResponse) -> None:
        """Close the connection after this response if ``closes_connections`` is set.

        aiohttp calls this before it sends the head of each response.
        """
        if self.closes_connections:
            response.force_close()
            response.headers["Connection"] = "close"

    async def wait_until_idle(self) -> None:
        """Wait until no request is in flight."""
        while self._request_count:
            await self._idle_event.wait()
