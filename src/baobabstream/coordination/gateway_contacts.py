"""What gateways have reported to this host lately."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping
from itertools import chain

from baobabstream.wire.coordination_messages import ExchangeRequest, ServerWork

__all__ = ["GatewayContacts"]

# Two exchanges and a lost one; a gateway that is silent this long is not counted any more.
CONTACT_EXPIRY_S = 2.0
# Short beside the age of the reports that are summed.
SUM_LIFETIME_S = 0.05
# Time for which the loss of a server stands against the request that ran on it.
CRASH_MEMORY_S = 60.0
# Servers lost while they ran the same request before it is kept away from the others. Two losses
# still happen by chance to requests that share a server with the culprit.
CRASHES_TO_QUARANTINE = 3


class GatewayContacts:
    """Last report of each gateway, and requests that have crashed servers."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, ExchangeRequest]] = {}
        self._crashes: dict[str, dict[str, float]] = defaultdict(dict)
        self._summed_s = float("-inf")
        self._summed: dict[str, dict[str, ServerWork]] = {}
        self._total: dict[str, ServerWork] = {}

    def note(self, request: ExchangeRequest, now_s: float) -> bool:
        """Keep a report; returns whether it quarantines another request."""
        self._reports[request.host] = (now_s, request)
        before = self.quarantined(now_s)
        for item in request.crash_suspects:
            fingerprint, _, loss_id = item.partition(":")
            self._crashes[fingerprint].setdefault(loss_id, now_s)
        return self.quarantined(now_s) != before

    def active(self, now_s: float) -> list[ExchangeRequest]:
        """Return the last report of each gateway that is in contact."""
        return [
            request
            for seen_s, request in self._reports.values()
            if seen_s + CONTACT_EXPIRY_S > now_s
        ]

    def work(self, now_s: float, without: str = "") -> dict[str, ServerWork]:
        """Return the work at each server, by all gateways but one.

        The sum over all gateways is kept for a short time, since each of them asks for it.
        """
        if now_s - self._summed_s >= SUM_LIFETIME_S:
            self._summed_s = now_s
            self._summed = {item.host: item.work for item in self.active(now_s)}
            self._total = _sum_work(self._summed.values())
        own = self._summed.get(without, {})
        others = {
            server_id: _less(work, own[server_id]) if server_id in own else work
            for server_id, work in self._total.items()
        }
        return {server_id: work for server_id, work in others.items() if work.in_flight > 0}

    def versions(self, now_s: float) -> dict[str, dict[str, int]]:
        """Return by service the versions in service, with the most servers a gateway knows."""
        found: dict[str, dict[str, int]] = defaultdict(dict)
        for load in chain.from_iterable(request.versions for request in self.active(now_s)):
            known = found[load.service]
            known[load.version] = max(known.get(load.version, 0), load.servers)
        return found

    def quarantined(self, now_s: float) -> tuple[str, ...]:
        """Return the fingerprints of requests that have crashed several servers."""
        for fingerprint, losses in list(self._crashes.items()):
            if all(seen_s + CRASH_MEMORY_S < now_s for seen_s in losses.values()):
                del self._crashes[fingerprint]
        return tuple(
            fingerprint
            for fingerprint, losses in self._crashes.items()
            if len(losses) >= CRASHES_TO_QUARANTINE
        )


def _sum_work(reports: Iterable[Mapping[str, ServerWork]]) -> dict[str, ServerWork]:
    in_flight: Counter[str] = Counter()
    pending_ms: Counter[str] = Counter()
    for server_id, work in chain.from_iterable(report.items() for report in reports):
        in_flight[server_id] += work.in_flight
        pending_ms[server_id] += work.pending_ms
    return {
        server_id: ServerWork(count, pending_ms[server_id])
        for server_id, count in in_flight.items()
    }


def _less(work: ServerWork, own: ServerWork) -> ServerWork:
    return ServerWork(work.in_flight - own.in_flight, work.pending_ms - own.pending_ms)
