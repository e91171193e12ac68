"""Entry daemon: wires caller interface, policy, control session and billing."""

import asyncio
from collections.abc import Callable
from random import Random

from aiohttp import web

from baobabstream.backends.engine_client import EngineClient, EngineLimits
from baobabstream.backends.probe import Prober
from baobabstream.backends.rating_client import RatingClient
from baobabstream.backends.service_client import ServiceClient
from baobabstream.billing.sender import BillSender
from baobabstream.entry.caller_access import CallerAccess
from baobabstream.entry.chat_handler import ChatHandler
from baobabstream.entry.claims import Claims
from baobabstream.entry.decision_loop import DecisionLoop
from baobabstream.entry.entry_parts import EntryParts
from baobabstream.entry.http_errors import error_response
from baobabstream.entry.in_flight import InFlightRequests
from baobabstream.entry.leader_calls import BackgroundCalls
from baobabstream.entry.listening_socket import ACCEPT_BACKLOG, open_listening_socket
from baobabstream.entry.load_meter import LoadMeter
from baobabstream.entry.plain_handler import PlainHandler
from baobabstream.entry.sessions import SessionTokens
from baobabstream.entry.suspects import SuspectReporter
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.membership.control_session import ControlSession
from baobabstream.policy.base import RoutingPolicy
from baobabstream.policy.decisions import StopVersion
from baobabstream.policy.events import ViewChanged
from baobabstream.policy.outcome_policy import OutcomePolicy
from baobabstream.policy.view import ClusterView
from baobabstream.settings.models import EntrySettings
from baobabstream.telemetry.clock_headers import carry_clock
from baobabstream.telemetry.http_metrics import measure_requests
from baobabstream.telemetry.hybrid_clock import HybridClock
from baobabstream.telemetry.instruments import MetricName
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.metrics import Metrics
from baobabstream.telemetry.timeline import EventKind, TimeLine
from baobabstream.wire.peer_codec import peer_codec

__all__ = ["EntryDaemon"]

CANCEL_REPEAT_S = 0.1

_log = get_logger("entry")


class EntryDaemon:
    """One entry host.

    Parameters
    ----------
    settings
        Validated settings.
    random
        Source of randomness of the policy.
    policy
        The routing policy, by default ``OutcomePolicy``.
    clock
        Clock of the lease checks, by default the event loop's. uvloop updates its time once per
        iteration, so that a check right after a process freeze would use a time from before it.
    """

    def __init__(
        self,
        settings: EntrySettings,
        random: Random,
        policy: RoutingPolicy | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.settings = settings
        self.metrics = Metrics("entry", settings.host, settings.metrics_ip, settings.metrics_port)
        self.hybrid_clock = HybridClock()
        self.timeline = TimeLine(
            settings.timeline_file,
            settings.host,
            "entry",
            self.hybrid_clock,
            self.metrics.count_event,
        )
        self.random = random
        self._clock = clock or asyncio.get_running_loop().time
        self.view = ClusterView()
        self.sessions = SessionTokens(settings.session_secret.get_secret_value())
        codec = peer_codec(settings, self.hybrid_clock)
        self.control = ControlSession(
            settings.host,
            settings.availability_zone,
            settings.control,
            codec,
            self.view,
            self._view_changed,
        )
        self.decisions = DecisionLoop(
            policy or OutcomePolicy(random, settings.availability_zone),
            self._version_stopped,
            self.control.evidence.add,
        )
        self.bills = BillSender(self.control, self.control.availability_zones)
        self.background = BackgroundCalls()
        self.suspects = SuspectReporter(self.control, settings.host, self.background)
        self.claims = Claims(self.control, settings.host, self.background)
        self.in_flight = InFlightRequests()
        self.load = LoadMeter()
        self.access = CallerAccess(self.view, self.holds_lease, settings.body_timeout_s)
        self._stopping = False

    async def start(self) -> None:
        """Open the listener and contact the control hosts."""
        settings = self.settings
        listener = settings.listener
        listening_socket = open_listening_socket(listener.ip, listener.port)
        self._parts = self._open_clients()
        self.load.start()
        self._poller = asyncio.create_task(self.control.run())
        app = web.Application(
            client_max_size=settings.max_body_bytes, middlewares=[self.in_flight.middleware]
        )
        app.on_response_prepare.append(self.in_flight.on_prepare)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        ChatHandler(self._parts).add_routes(app.router)
        app.router.add_route("*", "/{path:.*}", PlainHandler(self._parts).handle)
        measure_requests(app, self.metrics)
        self._observe()
        self._runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        await self._runner.setup()
        self._site = web.SockSite(
            self._runner,
            listening_socket,
            backlog=ACCEPT_BACKLOG,
            ssl_context=listener.tls.server_context() if listener.tls is not None else None,
        )
        await self._site.start()
        self.timeline.emit(EventKind.DAEMON_STARTED)
        _log.info("Listening on port %d.", listener.port)

    async def stop(self) -> None:
        """Stop gracefully: finish every request, deliver every bill, then close."""
        self.timeline.emit(EventKind.DAEMON_STOPPING)
        self._stopping = True
        self.in_flight.closing = True
        self.control.draining = True
        await asyncio.sleep(self.settings.drain_notice_s)
        await self._site.stop()
        await self.in_flight.wait_until_idle()
        await self._runner.cleanup()
        await self.background.drain()
        await self.bills.drain()
        self.load.stop()
        await self._stop_poller()
        await self._close_clients()
        self.control.close()
        self.timeline.emit(EventKind.DAEMON_STOPPED)
        self.timeline.close()
        self.metrics.close()

    async def _stop_poller(self) -> None:
        # pynng swallows a cancellation that meets the completion of the call, so it is repeated.
        while not self._poller.done():
            self._poller.cancel()
            await asyncio.wait({self._poller}, timeout=CANCEL_REPEAT_S)

    def _open_clients(self) -> EntryParts:
        settings = self.settings
        engines = EngineClient(
            EngineLimits(
                settings.connect_timeout_s,
                settings.first_byte_timeout_s,
                settings.gap_timeout_s,
                settings.idle_connection_s,
            ),
            lambda: self.load.block_gap_s,
            (carry_clock(self.hybrid_clock),),
        )
        ratings = (
            RatingClient(settings.rating_url, settings.rating_timeout_s)
            if settings.rating_url is not None
            else None
        )
        return EntryParts(
            settings=settings,
            access=self.access,
            view=self.view,
            decisions=self.decisions,
            sessions=self.sessions,
            bills=self.bills,
            background=self.background,
            suspects=self.suspects,
            claims=self.claims,
            engines=engines,
            services=ServiceClient(settings.connect_timeout_s, settings.idle_connection_s),
            prober=Prober(settings.probe_timeout_s),
            ratings=ratings,
            timeline=self.timeline,
            random=self.random,
        )

    async def _close_clients(self) -> None:
        parts = self._parts
        await parts.engines.close()
        await parts.services.close()
        await parts.prober.close()
        if parts.ratings is not None:
            await parts.ratings.close()

    def holds_lease(self) -> bool:
        """Return whether this entry may act on its configuration now."""
        return self.control.lease.is_valid(self._clock())

    def _observe(self) -> None:
        observe = self.metrics.observe
        observe(MetricName.CONFIG_REVISION, lambda: self.view.revision)
        observe(MetricName.BACKEND_SERVERS, lambda: len(self.view.backends))
        observe(
            MetricName.ENTRY_LEASE_REMAINING,
            lambda: self.control.lease.remaining_s(self._clock()),
        )

    async def _health(self, _: web.Request) -> web.Response:
        return web.json_response({"host": self.settings.host})

    async def _ready(self, _: web.Request) -> web.Response:
        try:
            if self._stopping:
                raise RequestRefused(ResultCode.STOPPING)
            self.access.require_ready()
        except RequestRefused as error:
            return error_response(error)
        return web.json_response({"revision": self.view.revision})

    def _view_changed(self) -> None:
        self.timeline.emit(EventKind.CONFIG_APPLIED, revision=self.view.revision)
        self.decisions.feed(ViewChanged(self.view))

    def _version_stopped(self, decision: StopVersion) -> None:
        detail = f"{decision.model}@{decision.version} {decision.reason}"
        self.timeline.emit(EventKind.VERSION_STOPPED, detail=detail)
