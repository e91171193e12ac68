"""Gateway daemon: wires callers, backend servers and the coordination hosts."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from random import Random
from socket import socket

from aiohttp import web

from baobabstream import __version__
from baobabstream.backends.connection_pool import ConnectionPool
from baobabstream.backends.idle_timeout_estimator import IdleTimeoutEstimator
from baobabstream.entry.listening_socket import open_listening_socket
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.gateway.control_contact import ControlContact, ExchangeParty
from baobabstream.gateway.crash_watch import CrashWatch
from baobabstream.gateway.front import Front
from baobabstream.gateway.header_names import HeaderNames
from baobabstream.gateway.run_context import RunContext
from baobabstream.gateway.server_directory import ServerDirectory
from baobabstream.gateway.settings import GatewaySettings
from baobabstream.routing.document import RoutingDocument
from baobabstream.routing.route_table import RouteTable
from baobabstream.routing.session_versions import SessionVersions, rollout_name
from baobabstream.telemetry.decision_log import DecisionEvent, DecisionLog
from baobabstream.telemetry.statistics import StatisticName
from baobabstream.telemetry.statistics_page import StatisticsServer
from baobabstream.wire.coordination_messages import (
    ExchangeReply,
    ExchangeRequest,
    RolloutState,
    ServerEvidence,
    ServerRow,
    ServerState,
)
from baobabstream.wire.inner_codec import inner_codec

__all__ = ["GatewayDaemon"]

# Servers announce themselves every second or two; before this a new gateway knows only a few.
WARM_UP_S = 1.5
# The load balancer asks once a second and stops after two answers; connections that it opened
# meanwhile are still served.
STOP_ACCEPTING_AFTER_S = 2.8
# What a stop leaves between the end of the last request and the kill.
STOP_MARGIN_S = 1.2
# Part of a server's connections that all gateways use together; the rest is for gateways that
# join, and for connections whose end the server has not seen yet.
CONNECTION_SHARE = 0.8
# Connections to a server that a gateway may use however many gateways there are, so that it can
# serve at all.
MIN_CONNECTIONS = 4

ReadDocument = Callable[[bytes], RoutingDocument]


class GatewayDaemon(ExchangeParty):
    """One entry host that routes by host and path.

    Parameters
    ----------
    settings
        Settings of this host.
    names
        Names of the headers.
    ready_path
        Path at which the load balancer asks whether this host takes requests.
    read_document
        Returns the routing document of a configuration text.
    random
        Breaks ties.
    decisions
        Log of decisions; by default on standard output.
    front_socket
        Listening socket for callers if the process has opened it already.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        names: HeaderNames,
        ready_path: str,
        read_document: ReadDocument,
        random: Random,
        decisions: DecisionLog | None = None,
        front_socket: socket | None = None,
    ) -> None:
        self._settings = settings
        self._read_document = read_document
        self._front_socket = front_socket
        self._ready_path = ready_path
        self._loop = asyncio.get_running_loop()
        self._incarnation = time.time_ns()
        self._first_contact_s: float | None = None
        decisions = decisions or DecisionLog(settings.host)
        directory = ServerDirectory(self._make_pool, settings.heartbeat_s)
        self.context = RunContext(
            settings,
            names,
            directory,
            SessionVersions(settings.session_s),
            CrashWatch(),
            decisions,
            random,
        )
        self._contact = ControlContact(
            settings.seeds, settings.inner_port, inner_codec(settings.host), self, decisions
        )
        self.context.control_age_s = self._contact.age_s
        self._front = Front(self.context)
        self._metrics = StatisticsServer(decisions.statistics)
        self._idle_limits: defaultdict[str, IdleTimeoutEstimator] = defaultdict(
            IdleTimeoutEstimator
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def ready(self) -> bool:
        """Whether this host can serve: it has a configuration and knows the servers."""
        warm = (
            self._first_contact_s is not None
            and self._loop.time() - self._first_contact_s >= WARM_UP_S
        )
        return warm and self.context.table is not None and not self.context.stopping

    async def start(self) -> None:
        """Open the listeners and contact the coordination hosts."""
        settings = self._settings
        self._contact.start()
        ready = web.Application()
        ready.router.add_get(self._ready_path, self._answer_ready)
        self._ready_runner = web.AppRunner(ready, access_log=None)
        await self._ready_runner.setup()
        try:
            await web.TCPSite(self._ready_runner, settings.ip, settings.ready_port).start()
            await self._front.start(
                self._front_socket or open_listening_socket(settings.ip, settings.front_port)
            )
            await self._metrics.start(settings.ip)
        except OSError as error:
            raise BaobabstreamError(ResultCode.ADDRESS_IN_USE, str(error)) from error
        decisions = self.context.decisions
        self._tasks = [asyncio.create_task(decisions.run())]
        decisions.record(DecisionEvent.DAEMON_STARTED, role="gateway", version=__version__)
        self._show_gauges()

    async def stop(self) -> None:
        """Report unready, serve what still comes, finish open requests, and end."""
        began_s = self._loop.time()
        self.context.stopping = True
        self.context.decisions.record(DecisionEvent.DAEMON_STOPPING, reason="signal")
        await asyncio.sleep(STOP_ACCEPTING_AFTER_S)
        await self._front.stop_accepting()
        end_s = began_s + self._settings.stop_grace_s - STOP_MARGIN_S
        await self._front.finish(end_s)
        await self._contact.stop()
        await self._ready_runner.cleanup()
        await self._metrics.stop()
        for task in self._tasks:
            task.cancel()
        self.context.decisions.flush()
        await asyncio.sleep(0)

    def reload(self, settings: GatewaySettings) -> None:
        """Take what may change without a restart: the seeds."""
        self._contact.add_seeds(settings.seeds)
        self.context.decisions.record(DecisionEvent.SETTINGS_RELOADED, outcome="taken")

    # Exchanges

    def report(
        self, epoch: int, position: int, wait_s: float, known_digests: dict[str, int]
    ) -> ExchangeRequest:
        """Return the next report to a coordination host."""
        context = self.context
        self._follow_rollouts()
        return ExchangeRequest(
            host=self._settings.host,
            incarnation=self._incarnation,
            document_version=context.table.document.version if context.table else 0,
            rollout_revision=context.rollout_revision,
            epoch=epoch,
            position=position,
            wait_s=wait_s,
            evidence=tuple(self._evidence()),
            crash_suspects=context.crashes.reports(self._loop.time()),
            work={
                server.row.server_id: server.work()
                for server in context.directory
                if server.in_flight
            },
            versions=context.directory.version_loads(),
            session_digests=context.sessions.held.digests(),
            held_sessions=context.sessions.held.missing_at(known_digests),
        )

    def take_document(self, version: int, text: bytes) -> None:
        """Put a newer configuration in force."""
        context = self.context
        if context.table is not None and version <= context.table.document.version:
            return
        context.table = RouteTable(self._read_document(text))
        limits = context.table.document.limits
        self._front.set_limits(limits)
        context.decisions.record(
            DecisionEvent.DOCUMENT_IN_FORCE,
            document_version=version,
            routes=len(context.table.document.routes),
        )

    def take_reply(self, reply: ExchangeReply) -> None:
        """Take announcements, rollouts and load."""
        context, now_s = self.context, self._loop.time()
        if self._first_contact_s is None:
            self._first_contact_s = now_s
        for row in context.directory.merge(reply.rows, now_s):
            self._log_server(row)
        context.directory.refresh(reply.refreshed, now_s)
        context.directory.set_elsewhere(reply.work)
        context.crashes.set_quarantined(reply.quarantined)
        context.gateways = max(1, reply.gateways)
        context.sessions.held.merge(reply.held_sessions)
        if reply.rollout_revision > context.rollout_revision:
            context.rollout_revision = reply.rollout_revision
            context.rollouts = {row.service: row for row in reply.rollouts}
            self._follow_rollouts()

    def _follow_rollouts(self) -> None:
        context, now_s = self.context, self._loop.time()
        running = [
            row for row in context.rollouts.values() if row.state is RolloutState.IN_PROGRESS
        ]
        for row in running:
            context.sessions.follow(row, now_s)
        context.sessions.held.keep_only(rollout_name(row) for row in running)

    def contact_resumed(self) -> None:
        """Give the servers time to announce themselves again."""
        self.context.directory.resume_listening(self._loop.time())

    def _show_gauges(self) -> None:
        context = self.context
        statistics = context.decisions.statistics
        statistics.show(StatisticName.OPEN_REQUESTS, lambda: self._front.open_requests)
        statistics.show(StatisticName.CONTROL_AGE_SECONDS, self._contact.age_s)
        statistics.show(
            StatisticName.DOCUMENT_VERSION,
            lambda: context.table.document.version if context.table else 0,
        )
        statistics.show(
            StatisticName.READY_SERVERS,
            lambda: sum(item.row.state is ServerState.READY for item in context.directory),
        )

    def _evidence(self) -> Iterator[ServerEvidence]:
        context = self.context
        for server in context.directory:
            row = context.rollouts.get(server.row.service)
            if row is not None and row.state is RolloutState.IN_PROGRESS:
                yield ServerEvidence(
                    server.row.service,
                    server.row.version,
                    server.row.server_id,
                    server.good,
                    server.bad,
                )

    def _log_server(self, row: ServerRow) -> None:
        self.context.decisions.record(
            DecisionEvent.SERVER_CHANGED,
            server=row.server_id,
            service=row.service,
            address=row.address,
            state=row.state,
            version=row.version,
        )

    def _make_pool(self, row: ServerRow) -> ConnectionPool:
        context = self.context
        spec = context.table.services.get(row.service) if context.table else None
        total = spec.max_connections if spec is not None else 100
        limit = max(MIN_CONNECTIONS, int(total * CONNECTION_SHARE / context.gateways))
        idle_limit = self._idle_limits[row.service]
        return ConnectionPool(row.address, context.names.request_id.lower(), limit, idle_limit)

    async def _answer_ready(self, _: web.Request) -> web.Response:
        return web.Response(status=200 if self.ready else 503)
