"""Coordination daemon: wires log, announcements, exchanges and the interface for operators."""

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
from baobabstream.errors.exceptions import BaobabstreamError, PeerError, StorageError
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
from baobabstream.wire.inner_codec import CLUSTER, inner_codec
from baobabstream.wire.rpc import RpcClient, RpcServer
from baobabstream.wire.rpc_clients import RpcClients

__all__ = ["CoordinationDaemon"]

# Whole configurations are large; this bounds what a restart replays and a learner is sent.
SNAPSHOT_ENTRIES = 100
# Replication costs each follower a message per heartbeat; elections still end within 2 s.
TIMING = Timing(heartbeat_s=0.15, election_min_s=0.6, election_max_s=1.2)
LEADERSHIP_CHECK_S = 0.1

ApplicationFactory = Callable[[CoordinationService], web.Application]

_log = get_logger("coordination")


class _Listener(LogListener):
    def __init__(self, daemon: "CoordinationDaemon") -> None:
        self._daemon = daemon

    def on_applied(self) -> None:
        daemon = self._daemon
        daemon.rollout_clock.note(daemon.state.rollouts.values(), asyncio.get_running_loop().time())
        daemon.exchange.notify()

    def on_leader_changed(self, change: LeaderChanged) -> None:
        self._daemon.decisions.record(
            DecisionEvent.LEADER_CHANGED,
            leader=change.leader_id,
            term=change.term,
            leads=change.is_leader,
        )

    def on_storage_failed(self, error: StorageError) -> None:
        end_on_disk_failure(_log, "log", error)


class CoordinationDaemon:
    """One coordination host.

    Parameters
    ----------
    settings
        Settings of this host.
    application
        Returns the HTTP interface for operators and backend servers.
    decisions
        Log of decisions; by default on standard output.
    """

    def __init__(
        self,
        settings: CoordinationSettings,
        application: ApplicationFactory,
        decisions: DecisionLog | None = None,
    ) -> None:
        self.settings = settings
        self.decisions = decisions or DecisionLog(settings.host)
        self.state = CoordinationState()
        self.rollout_clock = RolloutClock()
        self.feed = AnnouncementFeed(SystemRandom().getrandbits(48))
        self.exchange = ExchangeService(self.state, self.feed, self._hosts)
        self._codec = inner_codec(settings.ip)
        self._addresses = SeededAddresses(settings.seeds, settings.port, settings.may_found)
        storage = FileStorage(settings.data_folder / "coordination", CLUSTER, settings.ip)
        self.log = ReplicatedLog(
            storage,
            CoordinationMachine(self.state),
            self._addresses,
            self._codec,
            _Listener(self),
            SystemRandom(),
            LogOptions(TIMING, SNAPSHOT_ENTRIES, settings.wanted_voters),
        )
        self._clients = RpcClients(self._codec)
        self.service = CoordinationService(
            settings.ip,
            self.state,
            self.log,
            self.feed,
            self.exchange,
            self._client,
            self.decisions,
        )
        self._application = application
        self._metrics = StatisticsServer(self.decisions.statistics)
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Open the listeners and take part in the group."""
        url = f"tcp://{self.settings.ip}:{self.settings.port}"
        self._server = RpcServer(url, self._codec, self._handle)
        await self.log.start()
        self._runner = web.AppRunner(self._application(self.service), access_log=None)
        await self._runner.setup()
        try:
            await web.TCPSite(self._runner, self.settings.ip, self.settings.http_port).start()
            await self._metrics.start(self.settings.ip)
        except OSError as error:
            raise BaobabstreamError(ResultCode.ADDRESS_IN_USE, str(error)) from error
        self._tasks = [
            asyncio.create_task(self.decisions.run()),
            asyncio.create_task(self._lead()),
        ]
        self.decisions.record(
            DecisionEvent.DAEMON_STARTED, role="coordination", version=__version__
        )
        self._show_gauges()

    async def stop(self) -> None:
        """Hand leadership over and end."""
        self.decisions.record(DecisionEvent.DAEMON_STOPPING, reason="signal")
        await self.log.stop()
        await self._runner.cleanup()
        await self._metrics.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._clients.close()
        await self._server.close()
        self.decisions.flush()

    def reload(self, settings: CoordinationSettings) -> None:
        """Take what may change without a restart: the seeds."""
        self._addresses.set_seeds(settings.seeds)
        self.decisions.record(DecisionEvent.SETTINGS_RELOADED, outcome="taken")

    def _show_gauges(self) -> None:
        statistics = self.decisions.statistics
        statistics.show(StatisticName.LEADER, lambda: float(self._leads()))
        statistics.show(StatisticName.DOCUMENT_VERSION, lambda: self.state.document_version)

    def _leads(self) -> bool:
        return self.log.leader == self.settings.ip and self.log.holds_leader_lease()

    def _hosts(self) -> tuple[str, ...]:
        return self.log.membership.hosts or (self.settings.ip,)

    def _client(self, host: str) -> RpcClient:
        return self._clients.at(f"tcp://{host}:{self.settings.port}")

    async def _handle(self, sender: str, message: Any) -> Struct:
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
        await self.log.propose(command, ORDER_TIMEOUT_S)

    async def _lead(self) -> None:
        """Drive rollouts while this host leads; each term starts with a new driver."""
        driver: asyncio.Task[None] | None = None
        term = 0
        while True:
            leads = self._leads()
            if driver is not None and (not leads or self.log.term != term or driver.done()):
                if driver.done() and not driver.cancelled() and driver.exception() is not None:
                    _log.error("The rollout driver failed.", exc_info=driver.exception())
                driver.cancel()
                driver = None
            if leads and driver is None:
                term = self.log.term
                work = RolloutDriver(
                    self.state,
                    self.exchange,
                    self._propose,
                    self.decisions,
                    Exposure(self.settings.exposure_share, self.settings.exposure_slack),
                    self.rollout_clock,
                )
                driver = asyncio.create_task(work.run())
            await asyncio.sleep(LEADERSHIP_CHECK_S)
