"""Coordination daemon: connects the replicated log, the exchanges and the HTTP interface.

Coordination hosts form a consensus group, whose hosts are its members. They store the routing
configuration, which the messages call a document, and the rollouts, which move services to new
versions, in a replicated log. One member is the leader of the current term, a number that rises
with each election. Voters are the members that elect it; a quorum is a majority of them. In an
exchange a gateway sends a report to a coordination host and receives what has changed; operators
and backend servers use HTTP. Orders are writes by operators, and queries are their reads.
"""

import asyncio
from collections.abc import Callable
from random import SystemRandom
from typing import Any

from aiohttp import web
from msgspec import Struct

from baobabstream import __version__
from baobabstream.consensus.address_book import SeededAddresses
from baobabstream.consensus.disk_failure import end_on_disk_failure
from baobabstream.consensus.file_storage import FileStorage
from baobabstream.consensus.records import LeaderChanged, Timing
from baobabstream.consensus.replicated_log import (
    LogListener,
    LogOptions,
    ReplicatedLog,
)
from baobabstream.coordination.announcement_feed import AnnouncementFeed
from baobabstream.coordination.exchange_service import ExchangeService
from baobabstream.coordination.rollout_clock import RolloutClock
from baobabstream.coordination.rollout_driver import RolloutDriver
from baobabstream.coordination.rollout_plan import Exposure
from baobabstream.coordination.service import ORDER_TIMEOUT_S, CoordinationService
from baobabstream.coordination.settings import CoordinationSettings
from baobabstream.coordination.state import (
    CoordinationCommand,
    CoordinationMachine,
    CoordinationState,
)
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError, StorageError
from baobabstream.ingress.bounded_runner import BoundedAppRunner, start_bounded_site
from baobabstream.resources.client_resources import ProcessResources
from baobabstream.telemetry.client_records import record_clients
from baobabstream.telemetry.decision_log import DecisionEvent, DecisionLog
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.statistics import StatisticName
from baobabstream.telemetry.statistics_page import StatisticsServer
from baobabstream.wire.consensus_messages import (
    AppendRequest,
    JoinRequest,
    SnapshotRequest,
    TransferRequest,
    VoteRequest,
)
from baobabstream.wire.coordination_messages import (
    DocumentOrder,
    DocumentQuery,
    ExchangeRequest,
    RolloutOrder,
    RolloutQuery,
)
from baobabstream.wire.fixed_secret_codec import CLUSTER_NAME, fixed_secret_codec
from baobabstream.wire.rpc import RpcClient
from baobabstream.wire.rpc_clients import RpcClients
from baobabstream.wire.rpc_server import RpcServer

__all__ = ["CoordinationDaemon"]

# Number of applied log entries after which a snapshot is taken. Entries hold whole configurations,
# which are large, so this limits what a restart replays and what is sent to a learner, a member
# that receives the log but does not vote.
SNAPSHOT_INTERVAL_ENTRIES = 100
# A heartbeat is a message that the leader sends to each follower, which is any other member; the
# interval limits the number of these messages. A voter that receives none for a random time between
# the two election times starts an election. With these times elections end within 2 s.
CONSENSUS_TIMING = Timing(heartbeat_s=0.15, election_min_s=0.6, election_max_s=1.2)
# Interval at which the daemon checks whether this host leads.
LEADERSHIP_CHECK_INTERVAL_S = 0.1

# Time after the start in which a host sends no configuration before it has caught up with a leader.
# An election takes at most 2 s.
MAX_CATCH_UP_S = 10.0

# Returns the HTTP interface to the operations of a ``CoordinationService``.
ApplicationFactory = Callable[[CoordinationService], web.Application]

_log = get_logger("coordination")


class _DaemonLogListener(LogListener):
    """Passes events of the replicated log to the parts of a daemon."""

    def __init__(self, daemon: "CoordinationDaemon") -> None:
        self._daemon = daemon

    def on_applied(self) -> None:
        """Update the rollout clock and wake the waiting exchanges after a change of the state.

        The clock thus measures each rollout from the time at which this host learned of it.
        """
        daemon = self._daemon
        daemon.rollout_clock.update(
            daemon.state.rollouts.values(), asyncio.get_running_loop().time()
        )
        daemon.exchange.notify()

    def on_leader_changed(self, change: LeaderChanged) -> None:
        """Record the new leader, or that none is known, in the decision log."""
        self._daemon.decisions.record(
            DecisionEvent.LEADER_CHANGED,
            leader=change.leader_id,
            term=change.term,
            leads=change.is_leader,
        )

    def on_storage_failed(self, error: StorageError) -> None:
        """End the process, since nothing can be acknowledged without durable storage."""
        # The critical message names "log", the replicated log, as the data that cannot be stored.
        end_on_disk_failure(_log, "log", error)


class CoordinationDaemon:
    """Coordination daemon of one host.

    Parameters
    ----------
    settings
        Settings of this host.
    make_application
        Returns the HTTP interface for operators and backend servers.
    decisions
        Decision log, which records what the daemon decides; by default on standard output.

    Attributes
    ----------
    state
        Committed state as applied on this host.
    rollout_clock
        Measures the time since the start of each rollout.
    feed
        Announcements of backend servers that reached this host.
    exchange
        Exchanges with the gateways.
    log
        Replicated log.
    service
        Operations for operators and backend servers.
    resources
        Connections and memory for all clients of the process, and for other daemons.
    """

    def __init__(
        self,
        settings: CoordinationSettings,
        make_application: ApplicationFactory,
        decisions: DecisionLog | None = None,
    ) -> None:
        self.settings = settings
        self.decisions = decisions or DecisionLog(settings.host)
        self.state = CoordinationState()
        self.rollout_clock = RolloutClock()
        # A random epoch of 48 bits: a restarted daemon practically never repeats an earlier one.
        self.feed = AnnouncementFeed(SystemRandom().getrandbits(48))
        self.exchange = ExchangeService(
            self.state,
            self.feed,
            self._member_hosts,
            self._may_send_state,
            settings.availability_zone,
            lambda: self.log.holds_leader_lease(),
        )
        self._created_s = asyncio.get_running_loop().time()
        self._codec = fixed_secret_codec(settings.ip)
        # Seeds are the addresses of members through which this host finds the group;
        # ``may_bootstrap`` tells whether it may form a new one.
        self._addresses = SeededAddresses(settings.seeds, settings.port, settings.may_bootstrap)
        # A storage belongs to one member of one cluster; the name of the member is its IP address.
        storage = FileStorage(settings.data_folder / "coordination", CLUSTER_NAME, settings.ip)
        self.log = ReplicatedLog(
            storage,
            CoordinationMachine(self.state),
            self._addresses,
            self._codec,
            _DaemonLogListener(self),
            SystemRandom(),
            LogOptions(CONSENSUS_TIMING, SNAPSHOT_INTERVAL_ENTRIES, settings.wanted_voters),
        )
        self._clients = RpcClients(self._codec)
        self.service = CoordinationService(
            settings.ip,
            self.state,
            self.log,
            self.feed,
            self.exchange,
            self._client_for,
            self.decisions,
        )
        self._make_application = make_application
        self.resources = ProcessResources(settings.limits)
        self._statistics_server = StatisticsServer(
            self.decisions.statistics, self.resources.clients
        )
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the listening sockets and take part in the group.

        Raises
        ------
        BaobabstreamError
            ``ADDRESS_IN_USE`` if an HTTP port cannot be opened.
        """
        url = f"tcp://{self.settings.ip}:{self.settings.port}"
        self._server = RpcServer(url, self._codec, self._handle_message, self.resources.peers)
        await self.log.start()
        self._runner = BoundedAppRunner(
            self._make_application(self.service), self.resources.clients
        )
        await self._runner.setup()
        await start_bounded_site(
            self._runner,
            self.settings.ip,
            self.settings.http_port,
            self.settings.limits.accept_backlog,
        )
        await self._statistics_server.start(self.settings.ip)
        self._tasks = [
            asyncio.create_task(self.decisions.run()),
            asyncio.create_task(self._drive_rollouts()),
        ]
        self.decisions.record(
            DecisionEvent.DAEMON_STARTED, role="coordination", version=__version__
        )
        self._register_gauges()

    async def stop(self) -> None:
        """Transfer leadership if this host leads, then stop all parts and flush the decision log.

        It is called after a stop signal, which the decision log names as the reason.
        """
        self.decisions.record(DecisionEvent.DAEMON_STOPPING, reason="signal")
        await self.log.stop()
        await self._runner.cleanup()
        await self._statistics_server.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._clients.close()
        await self._server.close()
        self.decisions.flush()

    def reload(self, settings: CoordinationSettings) -> None:
        """Apply the settings that may change without a restart, which are the seeds.

        Seeds are the addresses of members through which this host finds the group. The outcome
        ``taken`` in the decision log means that the new settings are in use.
        """
        self._addresses.set_seeds(settings.seeds)
        self.decisions.record(DecisionEvent.SETTINGS_RELOADED, outcome="taken")

    def _register_gauges(self) -> None:
        """Register the gauges of the statistics page, which are read when the page is fetched.

        They show whether this host leads (1 or 0), and the version of the routing configuration.
        """
        record_clients(self.resources, self.decisions)
        statistics = self.decisions.statistics
        statistics.register_gauge(StatisticName.LEADER, lambda: float(self._is_leader()))
        statistics.register_gauge(
            StatisticName.DOCUMENT_VERSION, lambda: self.state.document_version
        )

    def _is_leader(self) -> bool:
        """Return whether this host leads and a quorum has confirmed it recently."""
        return self.log.leader == self.settings.ip and self.log.holds_leader_lease()

    def _member_hosts(self) -> tuple[str, ...]:
        """Return the IP addresses of the group's hosts, or of this host while it is in none.

        Gateways receive them with each exchange, so that they find all coordination hosts.
        """
        return self.log.membership.hosts or (self.settings.ip,)

    def _may_send_state(self) -> bool:
        """Return whether gateways may be sent the configuration and the rollouts of this host.

        A host that has not caught up with a leader for a long time sends what it has, since without
        a majority of the group no change is acknowledged either.
        """
        if self.log.has_caught_up:
            return True
        return asyncio.get_running_loop().time() - self._created_s > MAX_CATCH_UP_S

    def _client_for(self, host: str) -> RpcClient:
        """Return the RPC client for another member, given by its IP address.

        All members use the same port.
        """
        return self._clients.client_for(f"tcp://{host}:{self.settings.port}")

    async def _handle_message(self, sender: str, message: Any) -> Struct:
        """Return the reply to a message of a gateway or another member.

        Exchanges come from gateways, orders and queries from members that do not lead, and all
        other messages belong to the replicated log.

        Parameters
        ----------
        sender
            Host that sent the message.
        message
            Decoded message.

        Raises
        ------
        PeerError
            ``MESSAGE_MALFORMED`` if this daemon does not answer messages of this type.
        """
        match message:
            case ExchangeRequest():
                return await self.exchange.answer(message)
            case DocumentOrder() | DocumentQuery() | RolloutOrder() | RolloutQuery():
                return await self.service.answer(message)
            case (
                VoteRequest()
                | AppendRequest()
                | SnapshotRequest()
                | TransferRequest()
                | JoinRequest()
            ):
                return await self.log.handle(sender, message)
        raise PeerError(ResultCode.MESSAGE_MALFORMED, f"unexpected {type(message).__name__}")

    async def _propose(self, command: CoordinationCommand) -> None:
        """Commit a command within the time limit of orders, which are writes by operators."""
        await self.log.propose(command, ORDER_TIMEOUT_S)

    async def _drive_rollouts(self) -> None:
        """Run a rollout driver while this host leads, a new one in each term.

        A driver commits the steps of the rollouts in progress. What it has observed may be outdated
        once another host has led, so it ends with its term. A driver that failed is logged and
        replaced. The settings limit the exposure, which is the number of requests that a new
        version may get during its rollout.
        """
        driver_task: asyncio.Task[None] | None = None
        driver_term = 0
        while True:
            is_leader = self._is_leader()
            if driver_task is not None and (
                not is_leader or self.log.term != driver_term or driver_task.done()
            ):
                if (
                    driver_task.done()
                    and not driver_task.cancelled()
                    and driver_task.exception() is not None
                ):
                    _log.error("The rollout driver failed.", exc_info=driver_task.exception())
                driver_task.cancel()
                driver_task = None
            if is_leader and driver_task is None:
                driver_term = self.log.term
                driver = RolloutDriver(
                    self.state,
                    self.exchange,
                    self._propose,
                    self.decisions,
                    Exposure(self.settings.exposure_share, self.settings.exposure_extra_requests),
                    self.rollout_clock,
                )
                driver_task = asyncio.create_task(driver.run())
            await asyncio.sleep(LEADERSHIP_CHECK_INTERVAL_S)
