"""Counts requests in flight and marks connections to be closed while the daemon stops."""

import asyncio

from aiohttp import web
from aiohttp.typedefs import Handler

from baobabstream.entry.http_errors import error_response
from baobabstream.entry.refusals import Refused
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.telemetry.logs import get_logger

__all__ = ["InFlightRequests"]

_log = get_logger("entry")


class InFlightRequests:
    """Requests that this entry is serving.

    Attributes
    ----------
    closing
        Whether connections are closed after the answer that they are used for.
    """

    def __init__(self) -> None:
        self.closing = False
        self._count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @web.middleware
    async def middleware(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Serve a request, answering errors with their code."""
        self._count += 1
        self._idle.clear()
        try:
            return await handler(request)
        except Refused as refused:
            return error_response(refused, refused.run_state)
        except BaobabstreamError as error:
            return error_response(error)
        except web.HTTPException:
            raise
        except Exception:
            _log.exception("Request failed unexpectedly.")
            return error_response(BaobabstreamError(ResultCode.INTERNAL_ERROR))
        finally:
            self._count -= 1
            if not self._count:
                self._idle.set()

    async def on_prepare(self, _: web.Request, response: web.StreamResponse) -> None:
        """Ask the caller to use another connection for its next request while stopping."""
        if self.closing:
            response.force_close()
            response.headers["Connection"] = "close"

    async def wait_until_idle(self) -> None:
        """Wait until no request is in flight."""
        while self._count:
            await self._idle.wait()
