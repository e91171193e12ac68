"""Control daemon: wires log, registry, ledger, admin interface and inner protocol."""

import asyncio
import os
import time
from contextlib import suppress

from aiohttp import web

from baobabstream.billing.exchange import LedgerExchange
from baobabstream.billing.ledger import Ledger
from baobabstream.consensus.replicated_log import DISK_FAILED_EXIT_STATUS
from baobabstream.control.admin_api import AdminApi
from baobabstream.control.commands import Command
from baobabstream.control.leadership import Leadership
from baobabstream.control.log_setup import open_log
from baobabstream.control.outcome import Outcome
from baobabstream.control.peer_service import PeerService
from baobabstream.control.state import ConfigState
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, PeerError, StorageError
from baobabstream.settings.models import ControlPeer, ControlSettings
from baobabstream.telemetry.http_metrics import measure_requests
from baobabstream.telemetry.hybrid_clock import HybridClock
from baobabstream.telemetry.instruments import MetricName
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.metrics import Metrics
from baobabstream.telemetry.timeline import EventKind, TimeLine
from baobabstream.wire.messages import ForwardReply, ForwardRequest
from baobabstream.wire.peers import peer_codec
from baobabstream.wire.rpc import RpcClient, RpcServer

__all__ = ["ControlDaemon"]

PROPOSE_TIMEOUT_S = 2.0
LEADERSHIP_CHECK_S = 0.05
# A follower is woken when it is elected; this bounds the effect of a missed event.
FOLLOWER_CHECK_S = 1.0

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
        self._leadership: Leadership | None = None
        self._notified_revision = 0
        self._elected = asyncio.Event()
        self._codec = peer_codec(settings, clock)
        # Takes the lock on the data folder, so it comes before the ledger.
        self.log = open_log(settings, self.state, self._codec, self.timeline, self.notify_applied)
        self.ledger = Ledger(settings.data_folder / "ledger.log", _end_on_disk_failure)
        self.peers = {
            peer.host: RpcClient(f"tcp://{peer.ip}:{peer.port}", self._codec)
            for peer in settings.control
            if peer.host != settings.host
        }
        self.ledger_exchange = LedgerExchange(
            settings.host, self.ledger, self.peers, settings.data_folder / "ledger-sync.json"
        )
        self.admin = AdminApi(self)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def leads(self) -> bool:
        """Whether this host leads and may answer for the group."""
        return self.log.leader == self.settings.host and self.log.holds_leader_lease()

    async def start(self) -> None:
        """Open the listeners."""
        own = self._own_address()
        service = PeerService(self)
        self._server = RpcServer(f"tcp://{own.ip}:{own.port}", self._codec, service.handle)
        app = self.admin.application()
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
        await self.log.start()
        self._tasks += [
            asyncio.create_task(self._watch_leadership()),
            asyncio.create_task(self.ledger_exchange.run()),
        ]
        self.timeline.emit(EventKind.DAEMON_STARTED)
        _log.info("Listening on ports %d and %d.", own.port, own.http_port)

    async def stop(self) -> None:
        """Close the listeners and files."""
        self.timeline.emit(EventKind.DAEMON_STOPPING)
        await self.log.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._end_leadership()
        await self._runner.cleanup()
        await self._server.close()
        for peer in self.peers.values():
            peer.close()
        await self.ledger.close()
        self.timeline.emit(EventKind.DAEMON_STOPPED)
        self.timeline.close()
        self.metrics.close()

    def require_leadership(self) -> Leadership:
        """Return the soft state of this leader.

        Raises
        ------
        PeerError
            ``NO_LEADER`` with the leader's name if this host may not answer for the group.
        """
        if not self.leads:
            error = PeerError(ResultCode.NO_LEADER)
            error.leader = self.log.leader
            raise error
        if self._leadership is None or self._leadership.term != self.log.term:
            self._begin_leadership()
        assert self._leadership is not None
        return self._leadership

    async def propose(self, command: Command) -> Outcome:
        """Commit a command on the leader and wake the polls if a row changed.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` if this host does not lead, ``CHANGE_UNKNOWN`` if it is not known
            whether the command was committed.
        """
        self.require_leadership()
        outcome = await self.log.propose(command, PROPOSE_TIMEOUT_S)
        self.notify_applied()
        return outcome

    def notify_applied(self) -> None:
        """Wake the polls if applied commands changed a row; called by the log."""
        if self._leadership is None and self.log.leader == self.settings.host:
            self._elected.set()
        if self._leadership is not None and self.state.revision != self._notified_revision:
            self._notified_revision = self.state.revision
            self._leadership.polls.notify()
            self._leadership.in_force_watch.note(self.state.revision)

    async def forward(self, request: ForwardRequest, timeout_s: float) -> ForwardReply:
        """Send an HTTP call to the leader and return its answer."""
        leader = self.peers.get(self.log.leader)
        if leader is None:
            raise PeerError(ResultCode.NO_LEADER)
        return await leader.call(request, timeout_s)

    def _observe(self) -> None:
        observe = self.metrics.observe
        observe(MetricName.CONFIG_REVISION, lambda: self.state.revision)
        observe(MetricName.CONTROL_LEADER, lambda: int(self.leads))
        observe(MetricName.CONTROL_TERM, lambda: self.log.term)
        observe(MetricName.CONTROL_BILLS, lambda: len(self.ledger))
        observe(MetricName.BACKEND_SERVERS, self._count_backend_servers)
        observe(MetricName.CONTROL_ENTRY_HOSTS, self._count_entry_hosts)

    def _count_backend_servers(self) -> int:
        leadership = self._leadership
        return len(leadership.registry.records()) if leadership is not None else 0

    def _count_entry_hosts(self) -> int:
        leadership = self._leadership
        return leadership.leases.count_live(time.monotonic()) if leadership is not None else 0

    def _own_address(self) -> ControlPeer:
        return next(peer for peer in self.settings.control if peer.host == self.settings.host)

    async def _watch_leadership(self) -> None:
        while True:
            if self.leads:
                self.require_leadership()
            elif self._leadership is not None:
                await self._end_leadership()
            # The lease of a leader begins and ends without an event of the log.
            if self._leadership is not None or self.log.leader == self.settings.host:
                await asyncio.sleep(LEADERSHIP_CHECK_S)
                continue
            self._elected.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(FOLLOWER_CHECK_S):
                    await self._elected.wait()

    def _begin_leadership(self) -> None:
        """Start with fresh soft state; a lease that was lost and regained counts as new.

        Backend servers announced nothing here meanwhile, so the old registry is out of date.
        """
        previous = self._leadership
        self._leadership = Leadership(
            self.settings,
            self.log.term,
            self.state,
            self.propose,
            lambda: self.leads,
            self.timeline,
        )
        if previous is not None:
            self._tasks.append(asyncio.create_task(previous.close()))
        _log.info("Serving as leader in term %d.", self.log.term)

    async def _end_leadership(self) -> None:
        leadership, self._leadership = self._leadership, None
        if leadership is not None:
            await leadership.close()
            _log.info("No longer serving as leader.")


def _end_on_disk_failure(error: StorageError) -> None:
    """End the process: a host whose disk fails must not go on to vote and answer."""
    _log.critical("The ledger cannot be stored, the daemon ends: %s.", error.detail)
    os._exit(DISK_FAILED_EXIT_STATUS)
