"""HTTP server of a gateway for callers."""

import asyncio
from socket import socket

from aiohttp import web

from baobabstream.entry.listening_socket import ACCEPT_BACKLOG
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.gateway.error_responses import error_response
from baobabstream.gateway.gateway_context import GatewayContext
from baobabstream.gateway.request_execution import RequestExecution
from baobabstream.gateway.request_reader import RequestReader
from baobabstream.routing.document import RequestLimits
from baobabstream.telemetry.decision_log import DecisionEvent

__all__ = ["HttpFrontend"]

# Longer than callers keep an idle connection, so that they, not the gateway, close it.
CALLER_KEEPALIVE_S = 75.0
# Limit of the HTTP server; the limit of the configuration is checked afterwards.
MAX_BODY_BYTES = 16 * 1024 * 1024
# Interval of the check for open requests while the gateway stops.
FINISH_POLL_S = 0.05
# Seconds after the start in which requests may wait for configuration and servers. After a start
# of all hosts, the coordination hosts elect a leader and servers announce themselves within it.
STARTUP_S = 3.0
# Longest such wait of a request; less than callers' targets for most kinds.
MAX_STARTUP_WAIT_S = 0.8
STARTUP_POLL_S = 0.05
# Retry-After of a stopping host; the caller finds another host at once.
STOPPING_RETRY_S = 0.05
# Retry-After of a host without configuration, which it gets once the coordination hosts have a
# leader.
NO_CONFIGURATION_RETRY_S = 1.5


class HttpFrontend:
    """Accepts callers' requests, refuses invalid ones, and executes the others.

    Parameters
    ----------
    context
        State that all requests of the gateway share.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._reader = RequestReader(context.header_names)
        self._open_requests = 0
        self._is_accepting = True
        self._started_s = asyncio.get_running_loop().time()
        self._max_body_bytes = MAX_BODY_BYTES

    @property
    def open_requests(self) -> int:
        """Number of requests under way."""
        return self._open_requests

    async def start(self, listening_socket: socket) -> None:
        """Start to accept callers' connections on a listening socket."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=CALLER_KEEPALIVE_S,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        self._site = web.SockSite(self._runner, listening_socket, backlog=ACCEPT_BACKLOG)
        await self._site.start()

    def set_limits(self, limits: RequestLimits) -> None:
        """Apply the body size limit of a new configuration."""
        self._max_body_bytes = limits.max_body_bytes

    async def stop_accepting(self) -> None:
        """Accept no new connections, and refuse new requests; open requests continue.

        Idle connections stay open until the end, since aiohttp's own shutdown of them leaves
        requests that are on their way unanswered; such requests are refused here.
        """
        self._is_accepting = False
        await self._site.stop()

    async def finish(self, end_s: float) -> None:
        """Wait for open requests until a time in seconds, then close all connections."""
        loop = asyncio.get_running_loop()
        while self._open_requests and loop.time() < end_s:
            await asyncio.sleep(FINISH_POLL_S)
        await self._runner.cleanup()

    async def _handle(self, http_request: web.Request) -> web.StreamResponse:
        """Return the response to a caller's request, which counts as open meanwhile."""
        arrived_s = asyncio.get_running_loop().time()
        self._open_requests += 1
        try:
            return self._close_if_stopping(await self._respond(http_request, arrived_s))
        finally:
            self._open_requests -= 1

    async def _respond(self, http_request: web.Request, arrived_s: float) -> web.StreamResponse:
        """Parse and execute a caller's request, or refuse it."""
        context = self._context
        try:
            if not self._is_accepting:
                raise RequestRefused(ResultCode.STOPPING, retry_after_s=STOPPING_RETRY_S)
            await self._wait_for_startup(arrived_s)
            route = self._reader.find_route(http_request, context.route_table)
            assert context.route_table is not None
            account = self._reader.authenticate(http_request, route, context.route_table)
            request = await self._reader.read(http_request, route, account, arrived_s)
            if len(request.body) > self._max_body_bytes:
                raise RequestRefused(ResultCode.BODY_TOO_LARGE)
        except RequestRefused as error:
            if error.code is ResultCode.NO_CONFIGURATION:
                error.retry_after_s = NO_CONFIGURATION_RETRY_S
            self._log_refusal(http_request, error, arrived_s)
            return error_response(error)
        return await RequestExecution(request, http_request, context).run()

    async def _wait_for_startup(self, arrived_s: float) -> None:
        """Delay a request that arrives while this host learns its configuration and servers."""
        context, loop = self._context, asyncio.get_running_loop()
        if arrived_s > self._started_s + STARTUP_S:
            return
        while (
            not context.has_servers_for_all_services()
            and loop.time() < arrived_s + MAX_STARTUP_WAIT_S
        ):
            await asyncio.sleep(STARTUP_POLL_S)

    def _close_if_stopping(self, response: web.StreamResponse) -> web.StreamResponse:
        """Return a response, which ends its connection if the gateway is stopping."""
        if self._context.is_stopping and not response.prepared:
            response.force_close()
        return response

    def _log_refusal(
        self, http_request: web.Request, error: RequestRefused, arrived_s: float
    ) -> None:
        """Write a refused request to the decision log."""
        context = self._context
        context.decisions.record(
            DecisionEvent.REQUEST_REFUSED,
            request_id=http_request.headers.get(context.header_names.request_id, ""),
            route=f"{http_request.headers.get('Host', '')}{http_request.path}",
            code=int(error.code),
            reason=error.detail,
            document_version=context.route_table.document.version if context.route_table else 0,
            control_age_ms=context.control_age_ms(),
            elapsed_ms=int((asyncio.get_running_loop().time() - arrived_s) * 1000),
        )
