"""HTTP front of a gateway for callers."""

import asyncio
from socket import socket

from aiohttp import web

from baobabstream.entry.listening_socket import ACCEPT_BACKLOG
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.gateway.error_responses import refusal
from baobabstream.gateway.gateway_context import RunContext
from baobabstream.gateway.request_execution import RequestRun
from baobabstream.gateway.request_reader import RequestReader
from baobabstream.routing.document import RequestLimits
from baobabstream.telemetry.decision_log import DecisionEvent

__all__ = ["Front"]

# Longer than callers keep an idle connection, so that they, not this side, end it.
CALLER_IDLE_S = 75.0
MAX_BODY_BYTES = 16 * 1024 * 1024
FINISH_POLL_S = 0.05
# After a start of all hosts, the coordination hosts elect a leader and servers announce themselves
# within this time.
STARTING_S = 3.0
# Longest wait of a request in that time; less than callers' targets for most kinds.
STARTING_HOLD_S = 0.8
STARTING_POLL_S = 0.05
# A caller that reached a stopping host finds another one at once.
STOPPING_RETRY_S = 0.05
# A new host has its configuration once the coordination hosts have a leader.
NO_CONFIGURATION_RETRY_S = 1.5


class Front:
    """Takes callers' requests, answers those that no server may run, and runs the others.

    Parameters
    ----------
    context
        What request runs share.
    """

    def __init__(self, context: RunContext) -> None:
        self._context = context
        self._reader = RequestReader(context.names)
        self._open = 0
        self._is_accepting = True
        self._started_s = asyncio.get_running_loop().time()
        self._max_body_bytes = MAX_BODY_BYTES

    @property
    def open_requests(self) -> int:
        """Requests under way."""
        return self._open

    async def start(self, listening_socket: socket) -> None:
        """Take the callers' connections of a listening socket."""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.router.add_route("*", "/{path:.*}", self._handle)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=CALLER_IDLE_S,
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        self._site = web.SockSite(self._runner, listening_socket, backlog=ACCEPT_BACKLOG)
        await self._site.start()

    def set_limits(self, limits: RequestLimits) -> None:
        """Take the limits of a new configuration."""
        self._max_body_bytes = limits.max_body_bytes

    async def stop_accepting(self) -> None:
        """Take no new connections or requests; open requests are finished.

        Idle connections stay open until the end, since aiohttp's own shutdown of them leaves
        requests that are on their way unanswered; such requests are refused here.
        """
        self._is_accepting = False
        await self._site.stop()

    async def finish(self, end_s: float) -> None:
        """Wait for open requests until a time, then close all connections."""
        loop = asyncio.get_running_loop()
        while self._open and loop.time() < end_s:
            await asyncio.sleep(FINISH_POLL_S)
        await self._runner.cleanup()

    async def _handle(self, http: web.Request) -> web.StreamResponse:
        arrived_s = asyncio.get_running_loop().time()
        self._open += 1
        try:
            return self._finished(await self._answer(http, arrived_s))
        finally:
            self._open -= 1

    async def _answer(self, http: web.Request, arrived_s: float) -> web.StreamResponse:
        context = self._context
        try:
            if not self._is_accepting:
                raise RequestRefused(ResultCode.STOPPING, retry_after_s=STOPPING_RETRY_S)
            await self._wait_for_start(arrived_s)
            route = self._reader.route_of(http, context.route_table)
            assert context.route_table is not None
            account = self._reader.account_of(http, route, context.route_table)
            request = await self._reader.read(http, route, account, arrived_s)
            if len(request.body) > self._max_body_bytes:
                raise RequestRefused(ResultCode.BODY_TOO_LARGE)
        except RequestRefused as error:
            if error.code is ResultCode.NO_CONFIGURATION:
                error.retry_after_s = NO_CONFIGURATION_RETRY_S
            self._log_refusal(http, error, arrived_s)
            return refusal(error)
        return await RequestRun(request, http, context).run()

    async def _wait_for_start(self, arrived_s: float) -> None:
        """Hold a request that comes while this host learns its configuration and servers."""
        context, loop = self._context, asyncio.get_running_loop()
        if arrived_s > self._started_s + STARTING_S:
            return
        while not context.knows_servers() and loop.time() < arrived_s + STARTING_HOLD_S:
            await asyncio.sleep(STARTING_POLL_S)

    def _finished(self, response: web.StreamResponse) -> web.StreamResponse:
        if self._context.stopping and not response.prepared:
            response.force_close()
        return response

    def _log_refusal(self, http: web.Request, error: RequestRefused, arrived_s: float) -> None:
        context = self._context
        context.decisions.record(
            DecisionEvent.REQUEST_REFUSED,
            request_id=http.headers.get(context.names.request_id, ""),
            route=f"{http.headers.get('Host', '')}{http.path}",
            code=int(error.code),
            reason=error.detail,
            document_version=context.route_table.document.version if context.route_table else 0,
            control_age_ms=context.control_age_ms(),
            elapsed_ms=int((asyncio.get_running_loop().time() - arrived_s) * 1000),
        )
