"""Entry daemon: wires caller interface, policy, control session and billing."""

import asyncio
import hashlib
from random import Random

from aiohttp import web

from baobabstream.backends.engine_client import EngineClient
from baobabstream.billing.sender import BillSender
from baobabstream.entry.chat_handler import ChatHandler
from baobabstream.entry.decision_loop import DecisionLoop
from baobabstream.entry.http_errors import error_response
from baobabstream.entry.sessions import SessionTokens
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, RequestRefused
from baobabstream.membership.control_session import ControlSession
from baobabstream.policy.baselines import LeastInFlight
from baobabstream.policy.decisions import StopVersion
from baobabstream.policy.events import ViewChanged
from baobabstream.policy.view import ClusterView
from baobabstream.settings.models import EntrySettings
from baobabstream.telemetry.clock_headers import carry_clock
from baobabstream.telemetry.http_metrics import measure_requests
from baobabstream.telemetry.hybrid_clock import HybridClock
from baobabstream.telemetry.instruments import MetricName
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.metrics import Metrics
from baobabstream.telemetry.timeline import EventKind, TimeLine
from baobabstream.wire.peers import peer_codec
from baobabstream.wire.rows import AccountRow

__all__ = ["EntryDaemon"]

_log = get_logger("entry")


class EntryDaemon:
    """One entry host.

    Parameters
    ----------
    settings
        Validated settings.
    random
        Source of randomness of the policy.
    """

    def __init__(self, settings: EntrySettings, random: Random) -> None:
        self.settings = settings
        self.metrics = Metrics("entry", settings.host, settings.metrics_ip, settings.metrics_port)
        self.clock = HybridClock()
        self.timeline = TimeLine(
            settings.timeline_file, settings.host, "entry", self.clock, self.metrics.count_event
        )
        self.view = ClusterView()
        self.sessions = SessionTokens(settings.session_secret.get_secret_value())
        self.decisions = DecisionLoop(LeastInFlight(random), self._version_stopped)
        self.control = ControlSession(
            settings.host,
            settings.availability_zone,
            settings.control,
            peer_codec(settings, self.clock),
            self.view,
            self._view_changed,
        )
        self.bills = BillSender(self.control, self.control.zones)
        self._stopping = False

    async def start(self) -> None:
        """Open the listener and contact the control hosts."""
        settings = self.settings
        self.engines = EngineClient(
            settings.connect_timeout_s,
            settings.first_byte_timeout_s,
            settings.gap_timeout_s,
            settings.idle_connection_s,
            (carry_clock(self.clock),),
        )
        self._poller = asyncio.create_task(self.control.run())
        app = web.Application(client_max_size=settings.max_body_bytes)
        app.router.add_post("/v1/chat/completions", ChatHandler(self).handle)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        measure_requests(app, self.metrics)
        self._observe()
        self._runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self._runner.setup()
        tls = settings.listener.tls
        site = web.TCPSite(
            self._runner,
            settings.listener.ip,
            settings.listener.port,
            ssl_context=tls.server_context() if tls is not None else None,
        )
        try:
            await site.start()
        except OSError as error:
            where = f"{settings.listener.ip}:{settings.listener.port}"
            raise BaobabstreamError(ResultCode.ADDRESS_IN_USE, where) from error
        self.timeline.emit(EventKind.DAEMON_STARTED)
        _log.info("Listening on port %d.", settings.listener.port)

    async def stop(self) -> None:
        """Stop gracefully: finish every request, deliver every bill, then close."""
        self.timeline.emit(EventKind.DAEMON_STOPPING)
        self._stopping = True
        self.control.draining = True
        await asyncio.sleep(self.settings.drain_notice_s)
        await self._runner.cleanup()
        await self.bills.drain()
        self._poller.cancel()
        await self.engines.close()
        self.control.close()
        self.timeline.emit(EventKind.DAEMON_STOPPED)
        self.timeline.close()
        self.metrics.close()

    def require_ready(self) -> None:
        """Raise RequestRefused if this entry may not take new work."""
        now_s = asyncio.get_running_loop().time()
        if not self.control.lease.valid(now_s):
            raise RequestRefused(ResultCode.LEASE_EXPIRED, retry_after_s=1.0)

    def authenticate(self, request: web.Request) -> AccountRow:
        """Return the client account whose API key a request carries.

        Raises
        ------
        RequestRefused
            ``UNAUTHENTICATED`` if the key is missing or not known.
        """
        key = request.headers.get("Authorization", "").removeprefix("Bearer ")
        digest = hashlib.sha256(key.encode()).hexdigest()
        account = self.view.accounts_by_key.get(digest)
        if not key or account is None:
            raise RequestRefused(ResultCode.UNAUTHENTICATED)
        return account

    async def read_body(self, request: web.Request) -> bytes:
        """Return the body of a request.

        Raises
        ------
        RequestRefused
            ``BODY_TOO_LARGE`` or ``BODY_TOO_SLOW`` if it breaks a limit.
        """
        try:
            async with asyncio.timeout(self.settings.body_timeout_s):
                return await request.read()
        except web.HTTPRequestEntityTooLarge as error:
            raise RequestRefused(ResultCode.BODY_TOO_LARGE) from error
        except TimeoutError as error:
            raise RequestRefused(ResultCode.BODY_TOO_SLOW) from error

    def _observe(self) -> None:
        now_s = asyncio.get_running_loop().time
        observe = self.metrics.observe
        observe(MetricName.CONFIG_REVISION, lambda: self.view.revision)
        observe(MetricName.BACKEND_SERVERS, lambda: len(self.view.backends))
        observe(MetricName.ENTRY_LEASE_REMAINING, lambda: self.control.lease.remaining_s(now_s()))

    async def _health(self, _: web.Request) -> web.Response:
        return web.json_response({"host": self.settings.host})

    async def _ready(self, _: web.Request) -> web.Response:
        try:
            if self._stopping:
                raise RequestRefused(ResultCode.STOPPING)
            self.require_ready()
        except RequestRefused as error:
            return error_response(error)
        return web.json_response({"revision": self.view.revision})

    def _view_changed(self) -> None:
        self.timeline.emit(EventKind.CONFIG_APPLIED, revision=self.view.revision)
        self.decisions.feed(ViewChanged(self.view))

    def _version_stopped(self, decision: StopVersion) -> None:
        detail = f"{decision.model}@{decision.version} {decision.reason}"
        self.timeline.emit(EventKind.VERSION_STOPPED, detail=detail)
