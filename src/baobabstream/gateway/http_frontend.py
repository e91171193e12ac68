"""HTTP server of a gateway for callers.

A request is open from its arrival to the end of its response. The configuration (the routing
document) and the announcements of backend servers come from the coordination hosts.
"""

import asyncio
from socket import socket

from aiohttp import web

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.gateway.error_responses import error_response
from baobabstream.gateway.gateway_context import GatewayContext
from baobabstream.gateway.request_execution import RequestExecution
from baobabstream.gateway.request_reader import RequestReader
from baobabstream.ingress.bounded_runner import BoundedAppRunner
from baobabstream.ingress.listening_stop import stop_listening
from baobabstream.routing.document import RequestLimits
from baobabstream.telemetry.decision_log import DecisionEvent
from baobabstream.telemetry.logs import get_logger

__all__ = ["HttpFrontend"]

_log = get_logger("http_frontend")

# Seconds between two checks for open requests while the gateway stops.
FINISH_POLL_S = 0.05
# Seconds in which the last responses of a stop are written.
LAST_RESPONSES_S = 0.3
# Seconds after the start in which requests may wait for configuration and servers. When all hosts
# start together, the coordination hosts elect a leader and servers announce themselves within this
# time.
STARTUP_S = 3.0
# Longest such wait of a request. Most routes have a longer latency target, which is the time within
# which a response should arrive.
MAX_STARTUP_WAIT_S = 0.8
# Seconds between two checks of a request that waits.
STARTUP_POLL_S = 0.05
# Seconds to wait that a stopping host names to a refused caller. They are few, since the load
# balancer gives the caller another host.
STOPPING_RETRY_S = 0.05
# Seconds to wait that a host without configuration names to a refused caller. The host gets the
# configuration once the coordination hosts have elected a leader.
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
        self._executions: set[RequestExecution] = set()
        # Whether new requests are executed; otherwise they are refused as the gateway is stopping.
        self._is_accepting = True
        self._started_s = asyncio.get_running_loop().time()
        # Limits of the configuration in force, which apply to new connections.
        self._limits = RequestLimits()

    @property
    def open_requests(self) -> int:
        """Number of requests that have arrived and whose response has not ended."""
        return self._open_requests

    async def start(self, listening_socket: socket) -> None:
        """Start to accept callers' connections on a listening socket.

        All methods and paths go to one handler, which is cancelled if the caller disconnects. The
        decision log takes the place of aiohttp's access log.
        """
        application = web.Application()
        application.router.add_route("*", "/{path:.*}", self._handle)
        resources = self._context.resources
        self._runner = BoundedAppRunner(
            application,
            resources.clients,
            lambda: self._limits,
            handler_cancellation=True,
            # Bodies are forwarded as they came.
            auto_decompress=False,
            # Seconds that the cleanup waits for open requests; `finish` has waited for them before.
            shutdown_timeout=0.1,
        )
        await self._runner.setup()
        self._listening_socket = listening_socket
        self._site = web.SockSite(
            self._runner, listening_socket, backlog=resources.limits.accept_backlog
        )
        await self._site.start()

    def set_limits(self, limits: RequestLimits) -> None:
        """Apply the limits of a new configuration."""
        self._limits = limits

    async def stop_accepting(self) -> None:
        """Accept no new connections, and refuse new requests; open requests continue.

        Idle connections stay open until `finish`. If aiohttp closed them here, requests that
        callers have just sent on them would get no response; so they are refused with one.
        """
        self._is_accepting = False
        await stop_listening(self._runner, self._site, self._listening_socket)

    async def finish(self, end_s: float) -> None:
        """Wait for open requests until a time in seconds, then close all connections.

        Requests that are still executed by then are ended with a response that says whether they
        may have run.
        """
        await self._wait_until_idle(end_s)
        for execution in self._executions:
            execution.expire()
        await self._wait_until_idle(asyncio.get_running_loop().time() + LAST_RESPONSES_S)
        await self._runner.cleanup()

    async def _wait_until_idle(self, end_s: float) -> None:
        """Wait until no request is open, at most until a time in seconds."""
        loop = asyncio.get_running_loop()
        while self._open_requests and loop.time() < end_s:
            await asyncio.sleep(FINISH_POLL_S)

    async def _handle(self, http_request: web.Request) -> web.StreamResponse:
        """Return the response to a caller's request, which counts as open until then."""
        arrived_s = asyncio.get_running_loop().time()
        self._open_requests += 1
        try:
            return self._close_if_stopping(await self._respond(http_request, arrived_s))
        finally:
            self._open_requests -= 1

    async def _respond(self, http_request: web.Request, arrived_s: float) -> web.StreamResponse:
        """Parse and execute a caller's request, or refuse it.

        ``arrived_s`` is the time of its arrival on the event loop's clock, in seconds.
        """
        context = self._context
        try:
            self._refuse_if_stopping()
            await self._wait_for_startup(arrived_s)
            route = self._reader.find_route(http_request, context.route_table)
            assert context.route_table is not None
            account = self._reader.authenticate(http_request, route, context.route_table)
            request = await self._reader.read(
                http_request, route, account, arrived_s, self._limits.max_body_bytes
            )
            # The body may have taken until shortly before the end of the process.
            self._refuse_if_stopping()
        except RequestRefused as error:
            refusal = error
        except Exception:
            _log.exception("A request could not be read.")
            refusal = RequestRefused(ResultCode.INTERNAL_ERROR)
        else:
            return await self._execute(RequestExecution(request, http_request, context))
        if refusal.code is ResultCode.NO_CONFIGURATION:
            refusal.retry_after_s = NO_CONFIGURATION_RETRY_S
        self._log_refusal(http_request, refusal, arrived_s)
        return error_response(refusal)

    async def _execute(self, execution: RequestExecution) -> web.StreamResponse:
        """Execute a request, which counts as executed until its response has been given."""
        self._executions.add(execution)
        try:
            return await execution.run()
        finally:
            self._executions.discard(execution)

    def _refuse_if_stopping(self) -> None:
        """Raise ``STOPPING`` if new requests are no longer executed."""
        if not self._is_accepting:
            raise RequestRefused(ResultCode.STOPPING, retry_after_s=STOPPING_RETRY_S)

    async def _wait_for_startup(self, arrived_s: float) -> None:
        """Delay a request that arrives while this host learns its configuration and servers.

        The delay ends once each service has a server, or after ``MAX_STARTUP_WAIT_S``.
        ``arrived_s`` is the time of the request's arrival in seconds.
        """
        context, loop = self._context, asyncio.get_running_loop()
        if arrived_s > self._started_s + STARTUP_S:
            return
        while (
            not context.has_servers_for_all_services()
            and loop.time() < arrived_s + MAX_STARTUP_WAIT_S
        ):
            await asyncio.sleep(STARTUP_POLL_S)

    def _close_if_stopping(self, response: web.StreamResponse) -> web.StreamResponse:
        """Return a response, with its connection to be closed after it if the gateway is stopping.

        The caller then opens its next connection to another host. A response whose headers have
        been sent (``prepared``) cannot announce this any more.
        """
        if self._context.is_stopping and not response.prepared:
            response.force_close()
        return response

    def _log_refusal(
        self, http_request: web.Request, error: RequestRefused, arrived_s: float
    ) -> None:
        """Write a refused request to the decision log.

        ``route`` is the host name and path of the request, since its route may be unknown, and
        ``control_age_ms`` the time since a coordination host last replied. A document version of 0
        stands for no configuration.
        """
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
