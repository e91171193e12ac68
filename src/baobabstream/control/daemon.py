"""Control daemon: wires log, registry, ledger, admin interface and inner protocol."""

import asyncio
import time

from aiohttp import web

from baobabstream.billing.ledger import Ledger
from baobabstream.consensus.command_log import CommandLog, LocalLog
from baobabstream.control.admin_api import AdminApi
from baobabstream.control.commands import RecordLoss, UpdateClaim
from baobabstream.control.entry_leases import EntryLeases
from baobabstream.control.poll_service import PollService
from baobabstream.control.registry import BackendRegistry
from baobabstream.control.state import ConfigState
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, PeerError
from baobabstream.settings.models import ControlPeer, ControlSettings
from baobabstream.telemetry.http_metrics import measure_requests
from baobabstream.telemetry.hybrid_clock import HybridClock
from baobabstream.telemetry.instruments import MetricName
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.metrics import Metrics
from baobabstream.telemetry.timeline import EventKind, TimeLine
from baobabstream.wire.messages import (
    BillReply,
    BillRequest,
    ClaimReply,
    ClaimRequest,
    ForwardReply,
    ForwardRequest,
    PollReply,
    PollRequest,
    SuspectReply,
    SuspectRequest,
)
from baobabstream.wire.peers import peer_codec
from baobabstream.wire.rpc import RpcClient, RpcServer

__all__ = ["ControlDaemon"]

PROPOSE_TIMEOUT_S = 2.0
EXPIRY_INTERVAL_S = 0.25

_log = get_logger("control")


class ControlDaemon:
    """One control host.

    Parameters
    ----------
    settings
        Validated settings.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self.settings = settings
        self.metrics = Metrics("control", settings.host, settings.metrics_ip, settings.metrics_port)
        clock = HybridClock()
        self.timeline = TimeLine(
            settings.timeline_file, settings.host, "control", clock, self.metrics.count_event
        )
        self.state = ConfigState()
        self.log: CommandLog = LocalLog(settings.control[0].host, self.state.apply)
        self.registry = BackendRegistry(time.time_ns(), settings.announcement_expiry_s)
        self.leases = EntryLeases(settings.entry_lease_s, 0.0)
        self.polls = PollService(self.state, self.registry, self.leases)
        settings.data_folder.mkdir(parents=True, exist_ok=True)
        self.ledger = Ledger(settings.data_folder / "ledger.log")
        self._codec = peer_codec(settings, clock)
        self._peers = {
            peer.host: RpcClient(f"tcp://{peer.ip}:{peer.port}", self._codec)
            for peer in settings.control
            if peer.host != settings.host
        }
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def leads(self) -> bool:
        """Whether this host leads and may answer for the group."""
        return self.log.leader == self.settings.host and self.log.holds_leader_lease()

    async def start(self) -> None:
        """Open the listeners."""
        own = self._own_address()
        self._server = RpcServer(f"tcp://{own.ip}:{own.port}", self._codec, self._handle)
        app = AdminApi(self).application()
        measure_requests(app, self.metrics)
        self._observe()
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        tls = self.settings.admin_tls
        site = web.TCPSite(
            self._runner,
            own.ip,
            own.http_port,
            ssl_context=tls.server_context() if tls is not None else None,
        )
        try:
            await site.start()
        except OSError as error:
            raise BaobabstreamError(
                ResultCode.ADDRESS_IN_USE, f"{own.ip}:{own.http_port}"
            ) from error
        self._tasks.append(asyncio.create_task(self._expire_backends()))
        self.timeline.emit(EventKind.DAEMON_STARTED)
        _log.info("Listening on ports %d and %d.", own.port, own.http_port)

    async def stop(self) -> None:
        """Close the listeners and files."""
        self.timeline.emit(EventKind.DAEMON_STOPPING)
        for task in self._tasks:
            task.cancel()
        await self._runner.cleanup()
        await self._server.close()
        for peer in self._peers.values():
            peer.close()
        self.ledger.close()
        self.timeline.emit(EventKind.DAEMON_STOPPED)
        self.timeline.close()
        self.metrics.close()

    async def forward(self, request: ForwardRequest) -> ForwardReply:
        """Send an HTTP call to the leader and return its answer."""
        leader = self._peers.get(self.log.leader)
        if leader is None:
            raise PeerError(ResultCode.NO_LEADER)
        return await leader.call(request, PROPOSE_TIMEOUT_S)

    def _observe(self) -> None:
        now_s = asyncio.get_running_loop().time
        observe = self.metrics.observe
        observe(MetricName.CONFIG_REVISION, lambda: self.state.revision)
        observe(MetricName.BACKEND_SERVERS, lambda: len(self.registry.records()))
        observe(MetricName.CONTROL_LEADER, lambda: int(self.leads))
        observe(MetricName.CONTROL_TERM, lambda: self.log.term)
        observe(MetricName.CONTROL_ENTRY_HOSTS, lambda: self.leases.count_live(now_s()))
        observe(MetricName.CONTROL_BILLS, lambda: len(self.ledger))

    def _own_address(self) -> ControlPeer:
        return next(peer for peer in self.settings.control if peer.host == self.settings.host)

    async def _handle(self, sender: str, message):
        match message:
            case BillRequest():
                new_bills = self.ledger.put(message.bills)
                zone = self.settings.availability_zone
                return BillReply(self.settings.host, zone, new_bills)
            case PollRequest():
                return await self._poll(message)
            case ClaimRequest():
                return await self._claim(message)
            case SuspectRequest():
                return await self._suspect(message)
            case ForwardRequest():
                self._require_leadership()
                return await AdminApi(self).answer_forwarded(message)
        raise PeerError(ResultCode.MESSAGE_MALFORMED, f"unexpected {type(message).__name__}")

    def _require_leadership(self) -> None:
        if not self.leads:
            error = PeerError(ResultCode.NO_LEADER)
            error.leader = self.log.leader
            raise error

    async def _poll(self, request: PollRequest) -> PollReply:
        self._require_leadership()
        reply = await self.polls.poll(request, self.log.term)
        self._require_leadership()
        return reply

    async def _claim(self, request: ClaimRequest) -> ClaimReply:
        self._require_leadership()
        command = UpdateClaim(request, time.time_ns() // 1_000_000)
        outcome = await self.log.propose(command, PROPOSE_TIMEOUT_S)
        assert outcome.claim is not None
        self.timeline.emit(
            EventKind.CLAIM_CHANGED, request.request_id, detail=outcome.claim.state.value
        )
        return outcome.claim

    async def _suspect(self, request: SuspectRequest) -> SuspectReply:
        self._require_leadership()
        command = RecordLoss(
            request.backend_server,
            request.incarnation,
            request.fingerprints,
            time.time_ns() // 1_000_000,
        )
        outcome = await self.log.propose(command, PROPOSE_TIMEOUT_S)
        self.polls.notify()
        return SuspectReply(outcome.quarantined)

    async def _expire_backends(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            for identity in self.registry.expire(loop.time()):
                self.timeline.emit(EventKind.BACKEND_GONE, detail=identity)
                self.polls.notify()
            await asyncio.sleep(EXPIRY_INTERVAL_S)
