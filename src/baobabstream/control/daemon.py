"""Control daemon: wires log, registry, ledger, admin interface and inner protocol."""

import time

from aiohttp import web

from baobabstream.control.admin_api import AdminApi
from baobabstream.control.group_member import GroupMember
from baobabstream.control.peer_service import PeerService
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.settings.models import ControlPeer, ControlSettings
from baobabstream.telemetry.http_metrics import measure_requests
from baobabstream.telemetry.hybrid_clock import HybridClock
from baobabstream.telemetry.instruments import MetricName
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.metrics import Metrics
from baobabstream.telemetry.timeline import EventKind, TimeLine
from baobabstream.wire.peer_codec import peer_codec
from baobabstream.wire.rpc import RpcServer

__all__ = ["ControlDaemon"]

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
        self._codec = peer_codec(settings, clock)
        self.member = GroupMember(settings, self._codec, self.timeline)
        self.admin = AdminApi(self.member)

    async def start(self) -> None:
        """Open the listeners."""
        own = self._own_address()
        service = PeerService(self.member, self.admin)
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
        await self.member.start()
        self.timeline.emit(EventKind.DAEMON_STARTED)
        _log.info("Listening on ports %d and %d.", own.port, own.http_port)

    async def stop(self) -> None:
        """Close the listeners and files."""
        self.timeline.emit(EventKind.DAEMON_STOPPING)
        await self.member.stop()
        await self._runner.cleanup()
        await self._server.close()
        await self.member.close()
        self.timeline.emit(EventKind.DAEMON_STOPPED)
        self.timeline.close()
        self.metrics.close()

    def _observe(self) -> None:
        observe = self.metrics.observe
        observe(MetricName.CONFIG_REVISION, lambda: self.member.state.revision)
        observe(MetricName.CONTROL_LEADER, lambda: int(self.member.leads))
        observe(MetricName.CONTROL_TERM, lambda: self.member.log.term)
        observe(MetricName.CONTROL_BILLS, lambda: len(self.member.ledger))
        observe(MetricName.BACKEND_SERVERS, self._count_backend_servers)
        observe(MetricName.CONTROL_ENTRY_HOSTS, self._count_entry_hosts)

    def _count_backend_servers(self) -> int:
        leadership = self.member.leadership
        return len(leadership.registry.records()) if leadership is not None else 0

    def _count_entry_hosts(self) -> int:
        leadership = self.member.leadership
        return leadership.leases.count_live(time.monotonic()) if leadership is not None else 0

    def _own_address(self) -> ControlPeer:
        return next(peer for peer in self.settings.control if peer.host == self.settings.host)
