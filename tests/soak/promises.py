"""Checks, after a soak run, of the guarantees that the platform gives to its callers.

These guarantees are called promises here: an attempt limit for each route, truthful statuses,
complete bodies, bounded response times, and no broken connection unless a fault explains it.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

__all__ = ["CallerRecord", "DisturbedPeriods", "find_violations"]

# Most runs of one request by route: ``max_attempts`` in the configuration of the soak.
MAX_RUNS_BY_ROUTE = {"sign": 1, "look": 2, "chat": 3}
# HTTP statuses that state that the request has not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Statuses that no caller may get: every request carries a configured key and addresses a configured
# route.
UNEXPECTED_STATUSES = (400, 401, 403, 404)
# Time limit of every route.
ROUTE_TIMEOUT_S = 4.0
# A request may end this long after the time limit of its route.
MAX_LATENESS_S = 1.0


@dataclass
class CallerRecord:
    """One request as its caller saw it; times are seconds of the event loop's clock.

    Attributes
    ----------
    request_id
        Identity that the caller gave to the request.
    route
        Name of the route: ``sign``, ``look`` or ``chat``.
    gateway
        IP address of the gateway.
    sent_s, ended_s
        When the request was sent, and when its response ended or its connection broke.
    status
        HTTP status, or 0 if no response head was received.
    is_complete
        Whether the response body was received to its end.
    signature
        Name of the backend server that ran the request, from the response header.
    body
        Response body.
    was_connected
        Whether the connection to the gateway was established.
    """

    request_id: str
    route: str
    gateway: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    is_complete: bool = False
    signature: str = ""
    body: bytes = b""
    was_connected: bool = False


@dataclass
class DisturbedPeriods:
    """Periods in which faults affected hosts or backend servers.

    Attributes
    ----------
    periods
        (host, begin, end) of each disturbance, in seconds of the event loop's clock. The host is an
        IP address, or "servers" for the backend servers as a whole.
    """

    periods: list[tuple[str, float, float]] = field(default_factory=list)

    def affect_any(self, hosts: Iterable[str], begin_s: float, end_s: float) -> bool:
        """Return whether any of the hosts was disturbed between ``begin_s`` and ``end_s``."""
        checked_hosts = set(hosts)
        return any(
            host in checked_hosts and period_begin_s <= end_s and period_end_s >= begin_s
            for host, period_begin_s, period_end_s in self.periods
        )


def find_violations(
    records: Iterable[CallerRecord],
    run_counts: Counter[str],
    event_count: int,
    disturbed_periods: DisturbedPeriods,
) -> Iterator[str]:
    """Yield a sentence for each promise that a request found broken.

    Parameters
    ----------
    records
        Requests that have ended.
    run_counts
        Number of runs at backend servers, by request identity.
    event_count
        Number of events in a complete stream.
    disturbed_periods
        Periods in which slow or broken responses are permitted.
    """
    for record in records:
        for problem in _find_broken_promises(
            record, run_counts[record.request_id], event_count, disturbed_periods
        ):
            yield f"{record.route} {record.request_id} at {record.gateway}: {problem}"


def _find_broken_promises(
    record: CallerRecord, run_count: int, event_count: int, disturbed_periods: DisturbedPeriods
) -> Iterator[str]:
    """Yield a description of each promise broken for one request that ran ``run_count`` times."""
    if run_count > MAX_RUNS_BY_ROUTE[record.route]:
        yield f"ran {run_count} times"
    if record.status in NOT_RUN_STATUSES and run_count:
        yield f"status {record.status}, but it ran"
    if record.status in UNEXPECTED_STATUSES:
        yield f"denied with status {record.status}"
    if record.status == 200 and record.is_complete:
        if not run_count or not record.signature:
            yield f"success after {run_count} runs, signed by {record.signature!r}"
        if record.route == "chat" and record.body != _complete_stream_body(event_count):
            yield f"the stream is not complete: {record.body[-60:]!r}"
    gateway_undisturbed = not disturbed_periods.affect_any(
        (record.gateway,), record.sent_s, record.ended_s
    )
    if gateway_undisturbed and record.ended_s - record.sent_s > ROUTE_TIMEOUT_S + MAX_LATENESS_S:
        yield f"ended after {record.ended_s - record.sent_s:.2f} s"
    servers_undisturbed = not disturbed_periods.affect_any(
        ("servers",), record.sent_s - ROUTE_TIMEOUT_S, record.ended_s
    )
    if (
        gateway_undisturbed
        and servers_undisturbed
        and record.was_connected
        and not record.is_complete
    ):
        yield f"connection broken without a disturbance, status {record.status}"


def _complete_stream_body(event_count: int) -> bytes:
    """Return the complete body of a stream of ``event_count`` events."""
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (number, number) for number in range(1, event_count + 1)
    )
