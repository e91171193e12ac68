"""Recent reports of the gateways to one coordination host.

Gateways report periodically the work that they have at each backend server and the requests that
have crashed servers. The sums of these reports are sent back to the gateways.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from itertools import chain

from baobabstream.wire.coordination_messages import ExchangeRequest, ServerWork

__all__ = ["GatewayContacts"]

# Time without a report after which a gateway is not counted any more: two exchanges and a lost
# one.
CONTACT_EXPIRY_S = 2.0
# Time for which the sum of all reports is cached; short compared to the age of the reports.
SUM_LIFETIME_S = 0.05
# The server crashes that count against a request are forgotten together, once all of them are older
# than this.
CRASH_MEMORY_S = 60.0
# Number of servers that must crash while they run the same request before the request is
# quarantined. Two crashes still happen by chance to requests that share a server with the request
# that caused them.
CRASHES_TO_QUARANTINE = 3


class GatewayContacts:
    """Last report of each gateway, and requests that have crashed servers."""

    def __init__(self) -> None:
        # By gateway host: time of the last report in seconds, and the report.
        self._reports: dict[str, tuple[float, ExchangeRequest]] = {}
        # By fingerprint of the request, then by server incarnation that crashed: time of the first
        # report in seconds.
        self._crashes: dict[str, dict[str, float]] = defaultdict(dict)
        # Cache of the summed work: time of the sum, work by gateway host and server, and the sum
        # by server.
        self._summed_at_s = float("-inf")
        self._summed_work: dict[str, dict[str, ServerWork]] = {}
        self._total_work: dict[str, ServerWork] = {}

    def record_report(self, request: ExchangeRequest, now_s: float) -> bool:
        """Store the report of a gateway.

        Returns
        -------
        bool
            Whether the set of quarantined requests has changed.
        """
        self._reports[request.host] = (now_s, request)
        quarantined_before = self.quarantined_fingerprints(now_s)
        for suspect in request.crash_suspects:
            fingerprint, _, server_incarnation = suspect.partition(":")
            self._crashes[fingerprint].setdefault(server_incarnation, now_s)
        return self.quarantined_fingerprints(now_s) != quarantined_before

    def active_reports(self, now_s: float) -> list[ExchangeRequest]:
        """Return the last report of each gateway that has reported recently."""
        return [
            request
            for reported_s, request in self._reports.values()
            if reported_s + CONTACT_EXPIRY_S > now_s
        ]

    def work_by_server(self, now_s: float, excluded_host: str = "") -> dict[str, ServerWork]:
        """Return the work that all gateways but one have at each server.

        The sum over all gateways is cached for a short time, since each of them asks for it.

        Parameters
        ----------
        now_s
            Time of the event loop in seconds.
        excluded_host
            Host of the gateway whose own work is left out.
        """
        if now_s - self._summed_at_s >= SUM_LIFETIME_S:
            self._summed_at_s = now_s
            self._summed_work = {report.host: report.work for report in self.active_reports(now_s)}
            self._total_work = _sum_work(self._summed_work.values())
        excluded_work = self._summed_work.get(excluded_host, {})
        remaining_work = {
            server_id: (
                _subtract_work(work, excluded_work[server_id])
                if server_id in excluded_work
                else work
            )
            for server_id, work in self._total_work.items()
        }
        return {server_id: work for server_id, work in remaining_work.items() if work.in_flight > 0}

    def server_counts(self, now_s: float) -> dict[str, dict[str, int]]:
        """Return the number of servers by service and version.

        Gateways may know different servers; the highest count of any gateway is returned.
        """
        counts: dict[str, dict[str, int]] = defaultdict(dict)
        for load in chain.from_iterable(report.versions for report in self.active_reports(now_s)):
            service_counts = counts[load.service]
            service_counts[load.version] = max(service_counts.get(load.version, 0), load.servers)
        return counts

    def quarantined_fingerprints(self, now_s: float) -> tuple[str, ...]:
        """Return the fingerprints of requests that have crashed several servers.

        Requests whose crashes have all expired are forgotten.
        """
        for fingerprint, crashes in list(self._crashes.items()):
            if all(reported_s + CRASH_MEMORY_S < now_s for reported_s in crashes.values()):
                del self._crashes[fingerprint]
        return tuple(
            fingerprint
            for fingerprint, crashes in self._crashes.items()
            if len(crashes) >= CRASHES_TO_QUARANTINE
        )


def _sum_work(reports: Iterable[Mapping[str, ServerWork]]) -> dict[str, ServerWork]:
    """Return the work at each server, summed over the reports."""
    in_flight: Counter[str] = Counter()
    pending_ms: Counter[str] = Counter()
    for server_id, work in chain.from_iterable(report.items() for report in reports):
        in_flight[server_id] += work.in_flight
        pending_ms[server_id] += work.pending_ms
    return {
        server_id: ServerWork(count, pending_ms[server_id])
        for server_id, count in in_flight.items()
    }


def _subtract_work(total: ServerWork, part: ServerWork) -> ServerWork:
    """Return the total without a part of it."""
    return ServerWork(total.in_flight - part.in_flight, total.pending_ms - part.pending_ms)
