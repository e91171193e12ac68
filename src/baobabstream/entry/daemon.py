"""Entry daemon: connects caller interface, routing policy, control session and billing.

The entry acts on its configuration only while it holds a lease, which each reply of the control
leader to a poll renews. The control hosts store the configuration and the bills; one of them is the
elected leader. The view is this entry's copy of the configuration and of the announced backend
servers. Evidence is the counts of good and bad results per model version, which the leader collects
from all entries. The timeline is the event log of this host.

An engine is a backend server that runs a language model, and the rating service judges whether
answers are good. The revision of the configuration is a number that grows with each change. A block
is a group of events of a streamed answer that is relayed to the caller in one write. A plain
service is a backend server that answers HTTP requests other than chat.
"""

import asyncio
from collections.abc import Callable
from random import Random

from aiohttp import web

from baobabstream.backends.engine_client import EngineClient, EngineTimeouts
from baobabstream.backends.probe import Prober
from baobabstream.backends.rating_client import RatingClient
from baobabstream.backends.service_client import ServiceClient
from baobabstream.billing.bill_sender import BillSender
from baobabstream.entry.caller_access import CallerAccess
from baobabstream.entry.chat_handler import ChatHandler
from baobabstream.entry.claims import ClaimClient
from baobabstream.entry.decision_loop import DecisionLoop
from baobabstream.entry.entry_context import EntryContext
from baobabstream.entry.http_errors import error_response
from baobabstream.entry.in_flight import InFlightRequests
from baobabstream.entry.leader_calls import BackgroundTasks
from baobabstream.entry.load_meter import LoadMeter
from baobabstream.entry.plain_handler import PlainHandler
from baobabstream.entry.sessions import SessionTokens
from baobabstream.entry.suspects import SuspectReporter
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.ingress.bounded_runner import OWN_FRONT_LIMITS, BoundedAppRunner
from baobabstream.ingress.listening_socket import open_listening_socket
from baobabstream.ingress.listening_stop import stop_listening
from baobabstream.membership.control_session import ControlSession
from baobabstream.policy.base import RoutingPolicy
from baobabstream.policy.decisions import StopVersion
from baobabstream.policy.events import ViewChanged
from baobabstream.policy.outcome_policy import OutcomePolicy
from baobabstream.policy.view import ClusterView
from baobabstream.resources.client_resources import ProcessResources
from baobabstream.settings.models import EntrySettings
from baobabstream.telemetry.clock_headers import clock_client_middleware
from baobabstream.telemetry.http_metrics import install_request_metrics
from baobabstream.telemetry.hybrid_clock import HybridClock
from baobabstream.telemetry.instruments import MetricName
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.metrics import Metrics
from baobabstream.telemetry.timeline import EventKind, TimelineWriter
from baobabstream.wire.peer_codec import peer_codec

__all__ = ["EntryDaemon"]

# Time after which the cancellation of the poll task is repeated if the task still runs.
CANCEL_RETRY_INTERVAL_S = 0.1

_log = get_logger("entry")


class EntryDaemon:
    """One entry host.

    Parameters
    ----------
    settings
        Validated settings.
    random
        Source of randomness of the policy and of the request handlers.
    policy
        The routing policy, by default ``OutcomePolicy``.
    clock
        Clock of the lease checks in seconds, by default the event loop's. Since uvloop updates its
        time once per iteration, a check right after the process was frozen would use a time from
        before that; under uvloop, another clock must be given.
    """

    def __init__(
        self,
        settings: EntrySettings,
        random: Random,
        policy: RoutingPolicy | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self.settings = settings
        # "entry" is the kind of this daemon.
        self.metrics = Metrics("entry", settings.host, settings.metrics_ip, settings.metrics_port)
        self.hybrid_clock = HybridClock()
        self.timeline = TimelineWriter(
            settings.timeline_file,
            settings.host,
            "entry",
            self.hybrid_clock,
            # Counts the events of the timeline for the metrics.
            self.metrics.count_event,
        )
        self.random = random
        self._clock = clock or asyncio.get_running_loop().time
        self.view = ClusterView()
        self.session_tokens = SessionTokens(settings.session_secret.get_secret_value())
        codec = peer_codec(settings, self.hybrid_clock)
        self.control = ControlSession(
            settings.host,
            settings.availability_zone,
            settings.control,
            codec,
            self.view,
            self._handle_view_change,
        )
        self.decision_loop = DecisionLoop(
            policy or OutcomePolicy(random, settings.availability_zone),
            self._handle_version_stop,
            # Takes the evidence that the policy has collected for the leader.
            self.control.evidence.add,
        )
        self.bill_sender = BillSender(self.control, self.control.availability_zones)
        self.background_tasks = BackgroundTasks()
        self.suspect_reporter = SuspectReporter(self.control, settings.host, self.background_tasks)
        self.claim_client = ClaimClient(self.control, settings.host, self.background_tasks)
        self.in_flight_requests = InFlightRequests()
        self.load_meter = LoadMeter()
        self.resources = ProcessResources(settings.process_limits)
        self.caller_access = CallerAccess(
            self.view, self.holds_lease, settings.max_body_bytes, settings.body_timeout_s
        )
        self._is_stopping = False

    async def start(self) -> None:
        """Open the listener and start to poll the control hosts."""
        settings = self.settings
        listener = settings.listener
        backlog = self.resources.limits.accept_backlog
        self._listening_socket = open_listening_socket(listener.ip, listener.port, backlog)
        self._context = self._open_clients()
        self.load_meter.start()
        self._poll_task = asyncio.create_task(self.control.run())
        app = web.Application(middlewares=[self.in_flight_requests.middleware])
        app.on_response_prepare.append(self.in_flight_requests.set_connection_close)
        app.router.add_get("/healthz", self._handle_healthz)
        app.router.add_get("/readyz", self._handle_readyz)
        ChatHandler(self._context).add_routes(app.router)
        # Requests on all other paths, with any method, are calls of plain services.
        app.router.add_route("*", "/{path:.*}", PlainHandler(self._context).handle)
        install_request_metrics(app, self.metrics)
        self._register_metrics()
        # Without TLS settings, callers are served without encryption.
        tls = self.settings.client_tls
        # ``handler_cancellation`` cancels the handler of a request whose caller disconnects.
        self._runner = BoundedAppRunner(
            app,
            self.resources.clients,
            lambda: OWN_FRONT_LIMITS,
            None if tls is None else tls.server_context(),
            handler_cancellation=True,
        )
        await self._runner.setup()
        self._site = web.SockSite(self._runner, self._listening_socket, backlog=backlog)
        await self._site.start()
        await self.metrics.start(self.resources.clients)
        self.timeline.emit(EventKind.DAEMON_STARTED)
        _log.info("Listening on port %d.", listener.port)

    async def stop(self) -> None:
        """Stop gracefully: finish every request, deliver every bill, then close.

        The entry reports that it is not ready for ``drain_notice_s`` seconds before it stops to
        accept connections, so that load balancers send their requests elsewhere by then.
        """
        self.timeline.emit(EventKind.DAEMON_STOPPING)
        self._is_stopping = True
        self.in_flight_requests.closes_connections = True
        # Tells the control session that this entry is about to stop.
        self.control.draining = True
        await asyncio.sleep(self.settings.drain_notice_s)
        await stop_listening(self._runner, self._site, self._listening_socket)
        await self.in_flight_requests.wait_until_idle()
        await self._runner.cleanup()
        await self.background_tasks.drain()
        await self.bill_sender.drain()
        self.load_meter.stop()
        await self._stop_poll_task()
        await self._close_clients()
        self.control.close()
        self.timeline.emit(EventKind.DAEMON_STOPPED)
        self.timeline.close()
        await self.metrics.close()

    async def _stop_poll_task(self) -> None:
        """Cancel the task that polls the control hosts and wait until it has ended."""
        # pynng loses a cancellation that coincides with the completion of its call, so it is
        # repeated.
        while not self._poll_task.done():
            self._poll_task.cancel()
            await asyncio.wait({self._poll_task}, timeout=CANCEL_RETRY_INTERVAL_S)

    def _open_clients(self) -> EntryContext:
        """Open the clients of backend servers; return all objects that the handlers share.

        The middleware from ``clock_client_middleware`` makes the engine client send the reading of
        the hybrid clock with each request, which orders the timeline events of different hosts.
        Without a rating URL there is no rating client.
        """
        settings = self.settings
        engine_client = EngineClient(
            EngineTimeouts(
                settings.connect_timeout_s,
                settings.first_byte_timeout_s,
                settings.gap_timeout_s,
                settings.idle_connection_s,
            ),
            # Returns the least time in seconds between two blocks of one stream, 0 for no delay.
            # The engine client calls it after each block, since the load meter changes the time
            # with the CPU load of the event loop's thread.
            lambda: self.load_meter.block_gap_s,
            (clock_client_middleware(self.hybrid_clock),),
        )
        rating_client = (
            RatingClient(settings.rating_url, settings.rating_timeout_s)
            if settings.rating_url is not None
            else None
        )
        return EntryContext(
            settings=settings,
            caller_access=self.caller_access,
            view=self.view,
            decision_loop=self.decision_loop,
            session_tokens=self.session_tokens,
            bill_sender=self.bill_sender,
            background_tasks=self.background_tasks,
            suspect_reporter=self.suspect_reporter,
            claim_client=self.claim_client,
            engine_client=engine_client,
            service_client=ServiceClient(settings.connect_timeout_s, settings.idle_connection_s),
            prober=Prober(settings.probe_timeout_s),
            rating_client=rating_client,
            timeline=self.timeline,
            random=self.random,
        )

    async def _close_clients(self) -> None:
        """Close the clients of backend servers and of the rating service."""
        context = self._context
        await context.engine_client.close()
        await context.service_client.close()
        await context.prober.close()
        if context.rating_client is not None:
            await context.rating_client.close()

    def holds_lease(self) -> bool:
        """Return whether the lease is valid, so that this entry may act on its configuration."""
        return self.control.lease.is_valid(self._clock())

    def _register_metrics(self) -> None:
        """Register the metrics that are read from the daemon when they are collected.

        Each callable returns the value at that time: the revision of the configuration, the number
        of announced backend servers, and the seconds until the lease expires.
        """
        observe = self.metrics.observe
        observe(MetricName.CONFIG_REVISION, lambda: self.view.revision)
        observe(MetricName.BACKEND_SERVERS, lambda: len(self.view.backends))
        observe(
            MetricName.ENTRY_LEASE_REMAINING,
            lambda: self.control.lease.remaining_s(self._clock()),
        )

    async def _handle_healthz(self, _: web.Request) -> web.Response:
        """Respond with the host name; any response shows that the process is alive."""
        return web.json_response({"host": self.settings.host})

    async def _handle_readyz(self, _: web.Request) -> web.Response:
        """Respond with the configuration revision, or with an error if new work is refused."""
        try:
            if self._is_stopping:
                raise RequestRefused(ResultCode.STOPPING)
            self.caller_access.require_ready()
        except RequestRefused as error:
            return error_response(error)
        return web.json_response({"revision": self.view.revision})

    def _handle_view_change(self) -> None:
        """Report a changed view to the timeline and to the policy."""
        self.timeline.emit(EventKind.CONFIG_APPLIED, revision=self.view.revision)
        self.decision_loop.process_event(ViewChanged(self.view))

    def _handle_version_stop(self, decision: StopVersion) -> None:
        """Write the policy's decision to stop the use of a model version to the timeline.

        ``decision.reason`` is the policy's text about why.
        """
        detail = f"{decision.model}@{decision.version} {decision.reason}"
        self.timeline.emit(EventKind.VERSION_STOPPED, detail=detail)
