"""Gateway daemon: connects callers, backend servers and the coordination hosts.

The coordination hosts supply the routing document (the operator's configuration), the announcements
of backend servers and the rollouts, in periodic exchanges that the coordination client makes.

A configuration is in force once the gateway routes requests by it. A rollout moves a service from a
base version to a target version; sessions that were active at its begin are pinned, which means
that their requests stay on the base version. The evidence is the counts of good and bad responses
by which the coordination hosts judge the target. A request that crashes backend servers is
quarantined: it is refused. Times are those of the event loop's clock, in seconds.
"""

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
from baobabstream.gateway.coordination_client import (
    CoordinationClient,
    ExchangeHandler,
    HostContact,
)
from baobabstream.gateway.crash_tracker import CrashTracker
from baobabstream.gateway.gateway_context import GatewayContext
from baobabstream.gateway.header_names import HeaderNames
from baobabstream.gateway.http_frontend import HttpFrontend
from baobabstream.gateway.load_source import LoadSource
from baobabstream.gateway.server_directory import ServerDirectory
from baobabstream.gateway.settings import GatewaySettings
from baobabstream.ingress.bounded_runner import BoundedAppRunner, start_bounded_site
from baobabstream.ingress.listening_socket import open_listening_socket
from baobabstream.paths.path_connector import PathConnector, PathServices
from baobabstream.paths.path_prober import PathProber
from baobabstream.paths.tunnel_peers import TunnelPeers
from baobabstream.paths.tunnel_server import TunnelPolicy, TunnelServer
from baobabstream.routing.document import RoutingDocument
from baobabstream.routing.gateway_ranks import GatewayRank
from baobabstream.routing.route_table import RouteTable
from baobabstream.routing.session_versions import SessionVersions, rollout_key
from baobabstream.telemetry.client_records import record_clients
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
from baobabstream.wire.fixed_secret_codec import fixed_secret_codec
from baobabstream.wire.tunnel_messages import TunnelOutcome

__all__ = ["GatewayDaemon"]

# Seconds from the first exchange until the gateway reports ready. Servers announce themselves every
# second or two, so before that time a new gateway may know only a few of them.
WARM_UP_S = 1.5
# Seconds from the stop signal until no connections are accepted. The load balancer checks readiness
# once a second and stops sending after two negative replies; until then the gateway still serves
# the connections that it opens.
STOP_ACCEPTING_AFTER_S = 2.8
# Seconds between the end of the wait for open requests and the time at which the process is killed,
# in which the daemon closes all connections and shuts down.
STOP_MARGIN_S = 1.2
# Fraction of a server's largest number of connections that all gateways use together. The rest is
# for gateways that are just starting, and for connections whose end the server has not noticed yet.
USED_CONNECTION_FRACTION = 0.8
# Number of connections to a server that a gateway may always use, however many gateways there are.
# With many gateways the computed limit could otherwise be 0.
MIN_CONNECTIONS = 4

# Function that parses the text of a configuration, as the operator wrote it.
DocumentReader = Callable[[bytes], RoutingDocument]


class GatewayDaemon(ExchangeHandler, TunnelPolicy):
    """Daemon of one entry host, which routes requests by host name and path.

    Parameters
    ----------
    settings
        Settings of this host.
    header_names
        Names of the HTTP headers that the gateway reads and writes.
    ready_path
        Path of the load balancer's readiness check.
    read_document
        Parses a configuration text into a routing document.
    random
        Source of random numbers that decides between servers of equal cost.
    decisions
        Log of decisions; by default on standard output.
    front_socket
        Listening socket for callers if the process has opened it already.

    Attributes
    ----------
    context
        State that all requests of the gateway share.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        header_names: HeaderNames,
        ready_path: str,
        read_document: DocumentReader,
        random: Random,
        decisions: DecisionLog | None = None,
        front_socket: socket | None = None,
    ) -> None:
        self._settings = settings
        self._read_document = read_document
        self._front_socket = front_socket
        self._ready_path = ready_path
        self._loop = asyncio.get_running_loop()
        # Wall-clock time in nanoseconds. It identifies this process among those of the host.
        self._started_ns = time.time_ns()
        self._first_reply_s: float | None = None
        decisions = decisions or DecisionLog(settings.host)
        directory = ServerDirectory(
            self._make_pool, settings.heartbeat_s, settings.host, settings.availability_zone
        )
        self.context = GatewayContext(
            settings,
            header_names,
            directory,
            SessionVersions(settings.session_s),
            CrashTracker(),
            decisions,
            random,
        )
        codec = fixed_secret_codec(settings.host)
        self._paths = self.context.paths
        self._path_prober = PathProber(self._paths, self._list_server_processes, self._find_pool)
        self._path_services = PathServices(
            self._paths,
            TunnelPeers(random),
            codec,
            decisions,
            self._adapt_to_paths,
            self._path_prober.wake,
        )
        self._tunnel_server = TunnelServer(
            self, codec, decisions.statistics, self.context.resources.peers
        )
        self._coordination_client = CoordinationClient(
            settings.seeds,
            settings.inner_port,
            codec,
            self,
            decisions,
            LoadSource(settings.host, settings.availability_zone),
        )
        self.context.control_age_s = self._coordination_client.age_s
        self._frontend = HttpFrontend(self.context)
        self._metrics = StatisticsServer(decisions.statistics, self.context.resources.clients)
        # By service: how long idle connections to its servers may be used again.
        self._idle_limits: defaultdict[str, IdleTimeoutEstimator] = defaultdict(
            IdleTimeoutEstimator
        )
        # Background tasks, cancelled at the stop.
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_ready(self) -> bool:
        """Whether this host takes requests.

        It has a configuration, has had time to learn of servers, and has not been asked to stop.
        """
        is_warmed_up = (
            self._first_reply_s is not None and self._loop.time() - self._first_reply_s >= WARM_UP_S
        )
        return (
            is_warmed_up and self.context.route_table is not None and not self.context.is_stopping
        )

    async def start(self) -> None:
        """Open the listening sockets and start the exchanges with the coordination hosts.

        Raises
        ------
        BaobabstreamError
            ``ADDRESS_IN_USE`` if a socket cannot be opened.
        """
        settings = self._settings
        self._coordination_client.start()
        resources = self.context.resources
        ready_application = web.Application()
        ready_application.router.add_get(self._ready_path, self._handle_ready_check)
        self._ready_runner = BoundedAppRunner(ready_application, resources.clients)
        await self._ready_runner.setup()
        await start_bounded_site(self._ready_runner, settings.ip, settings.ready_port)
        await self._frontend.start(
            self._front_socket
            or open_listening_socket(
                settings.ip, settings.front_port, resources.limits.accept_backlog
            )
        )
        await self._metrics.start(settings.ip)
        if settings.tunnel_port is not None:
            await self._tunnel_server.start(settings.ip, settings.tunnel_port)
        decisions = self.context.decisions
        self._tasks = [asyncio.create_task(decisions.run())]
        decisions.record(DecisionEvent.DAEMON_STARTED, role="gateway", version=__version__)
        self._register_gauges()

    async def stop(self) -> None:
        """Report unready, then stop accepting, finish open requests, and shut down.

        Open requests may run until ``STOP_MARGIN_S`` before the process is killed.
        """
        stop_began_s = self._loop.time()
        self.context.is_stopping = True
        self.context.decisions.record(DecisionEvent.DAEMON_STOPPING, reason="signal")
        self._tunnel_server.stop_accepting()
        await asyncio.sleep(STOP_ACCEPTING_AFTER_S)
        await self._frontend.stop_accepting()
        end_s = stop_began_s + self._settings.stop_grace_s - STOP_MARGIN_S
        await self._frontend.finish(end_s)
        await self._tunnel_server.finish(end_s)
        self._path_prober.stop()
        await self._coordination_client.stop()
        await self._ready_runner.cleanup()
        await self._metrics.stop()
        for task in self._tasks:
            task.cancel()
        self.context.decisions.flush()
        # Lets the event loop run once, so that the cancelled tasks end.
        await asyncio.sleep(0)

    def reload(self, settings: GatewaySettings) -> None:
        """Apply the settings that may change without a restart, which are the seeds."""
        self._coordination_client.add_seeds(settings.seeds)
        self.context.decisions.record(DecisionEvent.SETTINGS_RELOADED, outcome="taken")

    # Methods of ExchangeHandler

    def report(self, contact: HostContact, wait_s: float) -> ExchangeRequest:
        """Return the next report to a coordination host; see `ExchangeHandler.report`.

        ``document_version`` is 0 if no configuration is in force. ``work`` holds the number of
        requests at each server and the time for their prompts, ``versions`` the same number by
        version, and ``held_sessions`` the pinned sessions that the coordination host lacks.
        """
        context, now_s = self.context, self._loop.time()
        crash_tracker = context.crash_tracker
        limits = context.directory.known_limits(now_s)
        self._update_pinned_sessions()
        return ExchangeRequest(
            host=self._settings.host,
            incarnation=self._started_ns,
            document_version=context.route_table.document.version if context.route_table else 0,
            rollout_revision=context.rollout_revision,
            epoch=contact.epoch,
            position=contact.position,
            wait_s=wait_s,
            evidence=tuple(self._evidence()),
            work={
                server.row.server_id: server.local_work()
                for server in context.directory
                if server.in_flight
            },
            versions=context.directory.version_loads(),
            leaving=context.directory.leaving_servers(),
            session_digests=context.session_versions.pinned_sessions.digests(),
            held_sessions=context.session_versions.pinned_sessions.differing_sets(
                contact.known_digests
            ),
            crashes=crash_tracker.crash_reports(contact.reported_crashes, now_s),
            survivals=crash_tracker.survivals(contact.suspects, now_s),
            quarantines=crash_tracker.quarantine_reports(now_s),
            crash_revision=contact.crash_revision,
            limits=limits,
            wanted_tokens=context.directory.wanted_tokens(now_s) if limits else {},
            tunnel_address=self._tunnel_address(),
        )

    @property
    def last_crash_number(self) -> int:
        """Number of the newest crash that a report contains now, or 0."""
        return self.context.crash_tracker.last_report_number

    def apply_document(self, version: int, text: bytes) -> None:
        """Put a configuration in force unless the present one is as new or newer.

        It may be older, since several coordination hosts send it, one later than another.
        """
        context = self.context
        if context.route_table is not None and version <= context.route_table.document.version:
            return
        context.route_table = RouteTable(self._read_document(text))
        limits = context.route_table.document.limits
        self._frontend.set_limits(limits)
        context.decisions.record(
            DecisionEvent.DOCUMENT_IN_FORCE,
            document_version=version,
            routes=len(context.route_table.document.routes),
        )

    def apply_reply(self, host: str, reply: ExchangeReply) -> None:
        """Apply the announcements, rollouts, loads and quarantines of a coordination host.

        Rollouts of a revision that is known already are ignored, as replies of several coordination
        hosts arrive in any order. A gateway that a host does not count yet counts itself.
        """
        context, now_s = self.context, self._loop.time()
        if self._first_reply_s is None:
            self._first_reply_s = now_s
        for row in context.directory.merge(reply.rows, now_s):
            self._log_server_change(row)
        context.directory.refresh(reply.refreshed, now_s)
        if reply.work is not None:
            context.directory.set_remote_work(reply.work, now_s)
        added, removed = context.crash_tracker.set_quarantines(host, reply.quarantines, now_s)
        context.log_quarantines(added, removed, f"coordination host {host}")
        for server in context.directory.apply_limits(reply.limits, reply.tokens, now_s):
            context.log_limit(server, f"coordination host {host}")
        if reply.tunnel_peers is not None:
            self._path_services.peers.set_addresses(reply.tunnel_peers)
        rank = GatewayRank(reply.gateway_position, max(1, reply.gateways))
        context.ranks.record(host, rank, now_s)
        context.session_versions.pinned_sessions.merge(reply.held_sessions)
        if reply.rollout_revision > context.rollout_revision:
            context.rollout_revision = reply.rollout_revision
            context.rollouts = {row.service: row for row in reply.rollouts}
            self._update_pinned_sessions()

    def _update_pinned_sessions(self) -> None:
        """Pin sessions for the rollouts in progress, and forget those pinned for all others."""
        context, now_s = self.context, self._loop.time()
        rollouts_in_progress = [
            row for row in context.rollouts.values() if row.state is RolloutState.IN_PROGRESS
        ]
        for row in rollouts_in_progress:
            context.session_versions.update_rollout(row, now_s)
        context.session_versions.pinned_sessions.retain(
            rollout_key(row) for row in rollouts_in_progress
        )

    def contact_resumed(self) -> None:
        """Restart the expiry of servers, so that they have time to announce themselves again."""
        self.context.directory.restart_expiry(self._loop.time())

    # Method of TunnelPolicy

    def find_obstacle(self, server_process: str, address: str) -> TunnelOutcome | None:
        """Return why no tunnel to a server may be opened; see `TunnelPolicy.find_obstacle`.

        A tunnel never leads into another one, so that requests cannot go round in circles.
        """
        server = self.context.directory.find_process(server_process)
        if server is None or server.row.address != address:
            return TunnelOutcome.UNKNOWN_SERVER
        return TunnelOutcome.NO_PATH if self._paths.needs_tunnel(server_process) else None

    def _tunnel_address(self) -> str:
        """Return the address for tunnels of other gateways, or empty if none can be taken now."""
        settings = self._settings
        can_help = self._tunnel_server.is_available and not self._paths.is_isolated
        return f"{settings.ip}:{settings.tunnel_port}" if can_help else ""

    def _list_server_processes(self) -> list[str]:
        """Return the identities of the processes of all servers that take requests."""
        directory, now_s = self.context.directory, self._loop.time()
        return [
            server.process_id for server in directory if directory.takes_requests(server, now_s)
        ]

    def _find_pool(self, server_process: str) -> ConnectionPool | None:
        """Return the connections to a server, or None if its process takes no requests."""
        directory = self.context.directory
        server = directory.find_process(server_process)
        if server is None or not directory.takes_requests(server, self._loop.time()):
            return None
        return server.pool

    def _adapt_to_paths(self) -> None:
        """Close idle connections of paths that are not used any more, and probe lost paths."""
        for server in self.context.directory:
            server.pool.close_outdated()
        self._path_prober.wake()

    def _register_gauges(self) -> None:
        """Register the functions from which the statistics read current values.

        ``CONTROL_AGE_SECONDS`` is the time since a coordination host last replied.
        """
        context = self.context
        record_clients(context.resources, context.decisions)
        statistics = context.decisions.statistics
        statistics.register_gauge(StatisticName.OPEN_REQUESTS, lambda: self._frontend.open_requests)
        statistics.register_gauge(
            StatisticName.CONTROL_AGE_SECONDS, self._coordination_client.age_s
        )
        statistics.register_gauge(StatisticName.LOST_PATHS, lambda: len(self._paths.lost_servers))
        statistics.register_gauge(
            StatisticName.OPEN_TUNNELS, lambda: self._tunnel_server.open_tunnels
        )
        statistics.register_gauge(
            StatisticName.DOCUMENT_VERSION,
            lambda: context.route_table.document.version if context.route_table else 0,
        )
        statistics.register_gauge(
            StatisticName.READY_SERVERS,
            lambda: sum(server.row.state is ServerState.READY for server in context.directory),
        )

    def _evidence(self) -> Iterator[ServerEvidence]:
        """Yield the response counts of each server whose service has a rollout in progress.

        The counts are totals since this gateway learned of the server's process.
        """
        context = self.context
        for server in context.directory:
            if context.is_in_rollout(server.row.service):
                yield ServerEvidence(
                    server.row.service,
                    server.row.version,
                    server.row.server_id,
                    server.good_responses,
                    server.bad_responses,
                    server.paces,
                    server.log_pace_sum,
                    server.log_pace_squares,
                )

    def _log_server_change(self, row: ServerRow) -> None:
        """Write a changed announcement to the decision log."""
        self.context.decisions.record(
            DecisionEvent.SERVER_CHANGED,
            server=row.server_id,
            service=row.service,
            address=row.address,
            state=row.state,
            version=row.version,
        )

    def _make_pool(self, row: ServerRow) -> ConnectionPool:
        """Return a connection pool for a server, limited to this gateway's part.

        The part is an equal one of the connections that all gateways may use together.
        """
        context = self.context
        # None if the server was announced before the configuration that names its service.
        service = context.route_table.services.get(row.service) if context.route_table else None
        # 100 is also the number for a service whose configuration states none.
        max_connections = service.max_connections if service is not None else 100
        gateway_count = context.ranks.current(self._loop.time()).count
        limit = max(
            MIN_CONNECTIONS,
            int(max_connections * USED_CONNECTION_FRACTION / gateway_count),
        )
        idle_limit = self._idle_limits[row.service]
        header_name = context.header_names.request_id.lower()
        connector = PathConnector(row.process_id, row.address, header_name, self._path_services)
        return ConnectionPool(row.address, header_name, limit, idle_limit, connector)

    async def _handle_ready_check(self, _: web.Request) -> web.Response:
        """Return HTTP status 200 if this host takes requests, else 503."""
        return web.Response(status=200 if self.is_ready else 503)
