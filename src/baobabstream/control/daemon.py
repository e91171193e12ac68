"""Control daemon, which runs on each control host.

It connects the group member (replicated log, configuration and ledger) with two listeners: the
HTTP interface for operators and backend servers, and the inner protocol, which is the message
protocol between the daemons of a cluster. The ledger stores bills, which state the cost of
requests. An entry lease lets a process of an entry host (a host that receives the callers'
requests) act on its configuration; the leader of the control hosts grants these leases. A host may
have several leases for a short time, if its process was restarted.
"""

import time

from baobabstream.control.admin_api import AdminApi
from baobabstream.control.group_member import GroupMember
from baobabstream.control.peer_service import PeerService
from baobabstream.ingress.bounded_runner import (
    OWN_FRONT_LIMITS,
    BoundedAppRunner,
    start_bounded_site,
)
from baobabstream.resources.client_resources import ProcessResources
from baobabstream.settings.models import ControlPeer, ControlSettings
from baobabstream.telemetry.http_metrics import install_request_metrics
from baobabstream.telemetry.hybrid_clock import HybridClock
from baobabstream.telemetry.instruments import MetricName
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.metrics import Metrics
from baobabstream.telemetry.timeline import EventKind, TimelineWriter
from baobabstream.wire.peer_codec import peer_codec
from baobabstream.wire.rpc_server import RpcServer

__all__ = ["ControlDaemon"]

_log = get_logger("control")


class ControlDaemon:
    """Daemon of one control host.

    Parameters
    ----------
    settings
        Validated settings.

    Attributes
    ----------
    metrics
        Prometheus metrics of this daemon.
    timeline
        Event timeline of this host.
    member
        Replicated log, configuration and ledger of this host.
    admin
        HTTP interface for operators and backend servers.
    """

    def __init__(self, settings: ControlSettings) -> None:
        self.settings = settings
        # ``control`` names the kind of this daemon in metrics and timeline.
        self.metrics = Metrics("control", settings.host, settings.metrics_ip, settings.metrics_port)
        # Orders the events and messages of all hosts; its readings appear in the timeline.
        clock = HybridClock()
        self.timeline = TimelineWriter(
            settings.timeline_file, settings.host, "control", clock, self.metrics.count_event
        )
        self._resources = ProcessResources(settings.process_limits)
        self._codec = peer_codec(settings, clock)
        self.member = GroupMember(settings, self._codec, self.timeline)
        self.admin = AdminApi(self.member)

    async def start(self) -> None:
        """Open the listeners, then take part in the control group.

        The HTTP port is opened first, so that the replicated log does not start on a host whose
        port is in use.

        Raises
        ------
        BaobabstreamError
            ``ADDRESS_IN_USE`` if the HTTP port cannot be opened.
        """
        own_address = self._own_address()
        peer_service = PeerService(self.member, self.admin)
        self._rpc_server = RpcServer(
            f"tcp://{own_address.ip}:{own_address.port}",
            self._codec,
            peer_service.handle,
            self._resources.peers,
        )
        app = self.admin.application()
        install_request_metrics(app, self.metrics)
        self._register_metrics()
        # Without TLS settings, the HTTP interface is not encrypted.
        tls = self.settings.client_tls
        self._http_runner = BoundedAppRunner(
            app,
            self._resources.clients,
            lambda: OWN_FRONT_LIMITS,
            None if tls is None else tls.server_context(),
        )
        await self._http_runner.setup()
        await start_bounded_site(
            self._http_runner,
            own_address.ip,
            own_address.http_port,
            self._resources.limits.accept_backlog,
        )
        await self.metrics.start(self._resources.clients)
        await self.member.start()
        self.timeline.emit(EventKind.DAEMON_STARTED)
        _log.info("Listening on ports %d and %d.", own_address.port, own_address.http_port)

    async def stop(self) -> None:
        """Stop taking part in the control group, then close the listeners, ledger and timeline.

        ``member.stop`` hands leadership over, stops the replicated log and closes its storage. The
        listener of the inner protocol remains open for it, since the handover needs the answers to
        other control hosts. ``member.close`` closes the connections to these hosts and the ledger
        file. It comes after the listeners, since the calls that they still serve may use both.
        """
        self.timeline.emit(EventKind.DAEMON_STOPPING)
        await self.member.stop()
        await self._http_runner.cleanup()
        await self._rpc_server.close()
        await self.member.close()
        self.timeline.emit(EventKind.DAEMON_STOPPED)
        self.timeline.close()
        await self.metrics.close()

    def _register_metrics(self) -> None:
        """Register the functions that give the present values of the metrics.

        The revision is the number of the last change of the configuration, the term the number of
        the last election. Despite its name, ``CONTROL_ENTRY_HOSTS`` counts entry leases.
        """
        observe = self.metrics.observe
        observe(MetricName.CONFIG_REVISION, lambda: self.member.state.revision)
        # 1 if this host leads and holds the leader lease, else 0.
        observe(MetricName.CONTROL_LEADER, lambda: int(self.member.leads))
        observe(MetricName.CONTROL_TERM, lambda: self.member.log.term)
        observe(MetricName.CONTROL_BILLS, lambda: len(self.member.ledger))
        observe(MetricName.BACKEND_SERVERS, self._count_backend_servers)
        observe(MetricName.CONTROL_ENTRY_HOSTS, self._count_live_entry_leases)

    def _count_backend_servers(self) -> int:
        """Return the number of registered backend servers, 0 if this host does not lead.

        Backend servers register by announcing themselves to the leader.
        """
        leadership = self.member.leadership
        return len(leadership.registry.records()) if leadership is not None else 0

    def _count_live_entry_leases(self) -> int:
        """Return the number of entry leases that have not expired, 0 if this host does not lead."""
        leadership = self.member.leadership
        return leadership.leases.count_live(time.monotonic()) if leadership is not None else 0

    def _own_address(self) -> ControlPeer:
        """Return the part of the settings with the IP address and ports of this host."""
        return next(peer for peer in self.settings.control if peer.host == self.settings.host)
