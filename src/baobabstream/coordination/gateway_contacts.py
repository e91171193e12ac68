"""Recent reports of the gateways to one coordination host.

A report is an ``ExchangeRequest``, which a gateway sends periodically. It holds the work of the
gateway at each backend server: the number of its requests in flight there, and ``pending_ms``, the
expected time in milliseconds that the server needs to process the prompts of these requests that
are still waiting. The work of all gateways is summed and sent back to them.
"""

from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from itertools import chain, islice

from baobabstream.routing.gateway_ranks import GatewayRank
from baobabstream.routing.stable_hashing import stable_hash
from baobabstream.wire.coordination_messages import ExchangeRequest, ServerWork

__all__ = ["GatewayContacts"]

# Time without a report after which a gateway is no longer active and its report is ignored. It is
# long enough for two exchanges and a lost one.
CONTACT_EXPIRY_S = 2.0
# Time for which the summed work of all gateways is cached; short compared to the age of the
# reports.
SUM_LIFETIME_S = 0.05
# Number of gateways that a reply names for tunnels. Several may have lost their own paths too.
MAX_TUNNEL_PEERS = 6


class GatewayContacts:
    """Last report of each gateway."""

    def __init__(self) -> None:
        # By gateway host: time of the last report in seconds, and the report.
        self._reports: dict[str, tuple[float, ExchangeRequest]] = {}
        # Cache of the summed work: time of the sum in seconds, initially before any other time;
        # work by gateway host and server; and its sum by server.
        self._summed_at_s = float("-inf")
        self._work_by_gateway: dict[str, dict[str, ServerWork]] = {}
        self._total_work: dict[str, ServerWork] = {}
        # Cache of the names of the active gateways, and of their tunnel addresses in the order of a
        # hash; and the time of the cache in seconds.
        self._active_hosts: list[str] = []
        self._tunnel_addresses: list[str] = []
        self._active_listed_s = float("-inf")

    def record_report(self, report: ExchangeRequest, now_s: float) -> None:
        """Store the report of a gateway; ``now_s`` is the time of the event loop in seconds."""
        self._reports[report.host] = (now_s, report)

    def active_reports(self, now_s: float) -> list[ExchangeRequest]:
        """Return the last report of each active gateway, which is one that has reported recently.

        ``now_s`` is the time of the event loop in seconds.
        """
        return [
            report
            for reported_s, report in self._reports.values()
            if reported_s + CONTACT_EXPIRY_S > now_s
        ]

    def work_by_server(self, now_s: float, excluded_host: str = "") -> dict[str, ServerWork]:
        """Return the work of all active gateways but one, by server identity.

        The sum over all gateways is cached for a short time, since each of them asks for it.
        Servers without requests in flight are left out.

        Parameters
        ----------
        now_s
            Time of the event loop in seconds.
        excluded_host
            Host of the gateway whose own work is left out; by default there is none.
        """
        if now_s - self._summed_at_s >= SUM_LIFETIME_S:
            self._summed_at_s = now_s
            self._work_by_gateway = {
                report.host: report.work for report in self.active_reports(now_s)
            }
            self._total_work = _sum_work(self._work_by_gateway.values())
        excluded_work = self._work_by_gateway.get(excluded_host, {})
        remaining_work = {
            server_id: (
                _subtract_work(work, excluded_work[server_id])
                if server_id in excluded_work
                else work
            )
            for server_id, work in self._total_work.items()
        }
        return {server_id: work for server_id, work in remaining_work.items() if work.in_flight > 0}

    def rank(self, now_s: float, gateway: str) -> GatewayRank:
        """Return the position of a gateway among the active ones, by name, and their number.

        ``now_s`` is the time of the event loop in seconds.
        """
        self._refresh_active(now_s)
        position = bisect_left(self._active_hosts, gateway)
        return GatewayRank(position, max(1, len(self._active_hosts)))

    def _refresh_active(self, now_s: float) -> None:
        """Update what is cached of the active gateways, after ``SUM_LIFETIME_S``."""
        if now_s - self._active_listed_s < SUM_LIFETIME_S:
            return
        self._active_listed_s = now_s
        reports = self.active_reports(now_s)
        self._active_hosts = sorted(report.host for report in reports)
        self._tunnel_addresses = sorted(
            (report.tunnel_address for report in reports if report.tunnel_address),
            key=stable_hash,
        )

    def tunnel_peers(self, now_s: float, gateway: str) -> tuple[str, ...]:
        """Return the tunnel addresses of a few gateways that help another one.

        The gateways form a ring, in which each helps those before it, so that all are asked alike
        and the size of a reply does not grow with the gateways. The order of the ring is that of a
        hash, since hosts that fail together often have similar names.

        Parameters
        ----------
        now_s
            Time of the event loop in seconds.
        gateway
            Host that asks.
        """
        self._refresh_active(now_s)
        _, report = self._reports.get(gateway, (0.0, None))
        own_address = report.tunnel_address if report is not None else ""
        position = bisect_left(self._tunnel_addresses, stable_hash(gateway), key=stable_hash)
        ring = self._tunnel_addresses[position:] + self._tunnel_addresses[:position]
        others = (address for address in ring if address != own_address)
        return tuple(islice(others, MAX_TUNNEL_PEERS))

    def server_counts(self, now_s: float) -> dict[str, dict[str, int]]:
        """Return the number of servers by service and version.

        Each report holds in ``versions`` the number of servers that its gateway knows for each
        version. Gateways may know different servers; the highest count of any active gateway is
        returned.
        ``now_s`` is the time of the event loop in seconds.
        """
        server_counts: dict[str, dict[str, int]] = defaultdict(dict)
        for version_load in chain.from_iterable(
            report.versions for report in self.active_reports(now_s)
        ):
            service_counts = server_counts[version_load.service]
            service_counts[version_load.version] = max(
                service_counts.get(version_load.version, 0), version_load.servers
            )
        return server_counts

    def in_flight(self, service: str, version: str, now_s: float) -> int:
        """Return the open requests of all active gateways at a version of a service.

        ``now_s`` is the time of the event loop in seconds.
        """
        return sum(
            version_load.in_flight
            for report in self.active_reports(now_s)
            for version_load in report.versions
            if (version_load.service, version_load.version) == (service, version)
        )


def _sum_work(work_of_gateways: Iterable[Mapping[str, ServerWork]]) -> dict[str, ServerWork]:
    """Return the work at each server, summed over the gateways.

    Parameters
    ----------
    work_of_gateways
        For each gateway, its work by server identity.
    """
    # By server identity: number of requests in flight, and the expected milliseconds to process
    # their waiting prompts.
    in_flight: Counter[str] = Counter()
    pending_ms: Counter[str] = Counter()
    for server_id, work in chain.from_iterable(
        gateway_work.items() for gateway_work in work_of_gateways
    ):
        in_flight[server_id] += work.in_flight
        pending_ms[server_id] += work.pending_ms
    return {
        server_id: ServerWork(in_flight_count, pending_ms[server_id])
        for server_id, in_flight_count in in_flight.items()
    }


def _subtract_work(total: ServerWork, part: ServerWork) -> ServerWork:
    """Return the work at one server without the part of it that one gateway has there."""
    return ServerWork(total.in_flight - part.in_flight, total.pending_ms - part.pending_ms)
