"""Counters, gauges and duration histograms of a gateway or coordination daemon.

They are plain numbers in memory; the metrics address serves them in the Prometheus text format.

Terms of the statistics: a *gateway* daemon accepts the requests of callers and sends them to
backend servers; *coordination* daemons elect a leader, which decides the *document*, the versioned
configuration of all hosts. A *decision* is an event of the decision log, such as a refused request.
An *attempt* is one send of a request to a backend server, and its run state says whether the server
executed the request. An *order* is a command of an operator; an *announcement* is a backend
server's message to the leader about its state. The label ``kind`` is the kind of a request's route,
the mapping of a path to the service that answers its requests. Statistics whose names end in
``_seconds`` are in seconds; the others are counts, a version number or 1 for yes and 0 for no.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["DURATION_BOUNDS_S", "STATISTICS", "Statistic", "StatisticName", "Statistics"]

# Upper bounds of the histogram buckets in seconds. They cover the latency targets of routes, 0.3 to
# 3 s, and their time limits, up to 25 s.
DURATION_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 25.0)


class StatisticName(StrEnum):
    """Names of the statistics in the text that the metrics address serves."""

    DECISIONS = "baobabstream_decisions"
    REQUESTS = "baobabstream_requests"
    REQUEST_SECONDS = "baobabstream_request_seconds"
    FIRST_EVENT_SECONDS = "baobabstream_first_event_seconds"
    FAILED_ATTEMPTS = "baobabstream_failed_attempts"
    REFUSED_CLIENTS = "baobabstream_refused_clients"
    CLIENT_CONNECTIONS = "baobabstream_client_connections"
    CLIENT_BYTES = "baobabstream_client_bytes"
    PEER_CONNECTIONS = "baobabstream_peer_connections"
    PEER_BYTES = "baobabstream_peer_bytes"
    OPEN_REQUESTS = "baobabstream_open_requests"
    DOCUMENT_VERSION = "baobabstream_document_version"
    READY_SERVERS = "baobabstream_ready_servers"
    LOST_PATHS = "baobabstream_lost_paths"
    TUNNELS_OPENED = "baobabstream_tunnels_opened"
    TUNNEL_REQUESTS = "baobabstream_tunnel_requests"
    OPEN_TUNNELS = "baobabstream_open_tunnels"
    CONTROL_AGE_SECONDS = "baobabstream_control_age_seconds"
    ORDERS = "baobabstream_orders"
    ORDER_SECONDS = "baobabstream_order_seconds"
    ANNOUNCEMENTS = "baobabstream_announcements"
    LEADER = "baobabstream_leader"


@dataclass(frozen=True, slots=True)
class Statistic:
    """Description of a statistic.

    Attributes
    ----------
    summary
        What it measures; shown to the metrics collector.
    labels
        Names of its labels. Each label has few values, because each combination is a time series;
        routes and identifiers are in the decision log instead.
    """

    summary: str
    labels: tuple[str, ...] = ()


STATISTICS: dict[StatisticName, Statistic] = {
    StatisticName.DECISIONS: Statistic("Decisions by event, also those not logged.", ("event",)),
    StatisticName.REQUESTS: Statistic("Requests that have ended.", ("kind", "outcome")),
    StatisticName.REQUEST_SECONDS: Statistic("Time from arrival to the end.", ("kind",)),
    StatisticName.FIRST_EVENT_SECONDS: Statistic(
        "Time from arrival to the first part of the delivered answer.", ("kind",)
    ),
    StatisticName.FAILED_ATTEMPTS: Statistic(
        "Sends without an answer to deliver, by whether the request ran.", ("run_state",)
    ),
    StatisticName.REFUSED_CLIENTS: Statistic(
        "Connections and requests refused for want of room, or for breaking a limit.",
        ("side", "reason"),
    ),
    StatisticName.CLIENT_CONNECTIONS: Statistic("Connections of clients."),
    StatisticName.CLIENT_BYTES: Statistic("Memory taken for the requests of clients."),
    StatisticName.PEER_CONNECTIONS: Statistic("Connections that other daemons have opened."),
    StatisticName.PEER_BYTES: Statistic("Memory taken for the messages of other daemons."),
    StatisticName.OPEN_REQUESTS: Statistic("Requests under way."),
    StatisticName.DOCUMENT_VERSION: Statistic("Version of the configuration in force here."),
    StatisticName.READY_SERVERS: Statistic("Backend servers that take new requests."),
    StatisticName.LOST_PATHS: Statistic("Backend servers that only other gateways reach."),
    StatisticName.TUNNELS_OPENED: Statistic(
        "Tunnels to servers that were asked of other gateways.", ("outcome",)
    ),
    StatisticName.TUNNEL_REQUESTS: Statistic(
        "Tunnels to servers that other gateways asked for.", ("outcome",)
    ),
    StatisticName.OPEN_TUNNELS: Statistic("Connections of other gateways for tunnels."),
    StatisticName.CONTROL_AGE_SECONDS: Statistic("Time since a coordination host has answered."),
    StatisticName.ORDERS: Statistic("Orders of operators.", ("order", "outcome")),
    StatisticName.ORDER_SECONDS: Statistic("Time to carry out an order.", ("order",)),
    StatisticName.ANNOUNCEMENTS: Statistic("Announcements of servers.", ("outcome",)),
    StatisticName.LEADER: Statistic("1 while this host leads."),
}


class Statistics:
    """Values of the statistics of one process; updates need neither a lock nor a library.

    Attributes
    ----------
    counters
        Counts by name and label values.
    histograms
        For each name and label values: the number of durations in each bucket, the last of which
        holds those above all bounds, and the sum of all durations in seconds.
    gauges
        Functions that return the present values, by name.
    """

    def __init__(self) -> None:
        self.counters: Counter[tuple[StatisticName, tuple[str, ...]]] = Counter()
        self.histograms: dict[tuple[StatisticName, tuple[str, ...]], tuple[list[int], float]] = {}
        self.gauges: dict[StatisticName, Callable[[], float]] = {}

    def add(self, name: StatisticName, *labels: str) -> None:
        """Add 1 to a counter; ``labels`` are the values of its labels."""
        self.counters[name, labels] += 1

    def observe(self, name: StatisticName, duration_s: float, *labels: str) -> None:
        """Add a duration in seconds to a histogram; ``labels`` are the values of its labels."""
        series = (name, labels)
        bucket_counts, sum_s = self.histograms.get(series, (None, 0.0))
        if bucket_counts is None:
            # One more than the bounds, for durations above all of them.
            bucket_counts = [0] * (len(DURATION_BOUNDS_S) + 1)
        bucket_counts[bisect_left(DURATION_BOUNDS_S, duration_s)] += 1
        self.histograms[series] = (bucket_counts, sum_s + duration_s)

    def register_gauge(self, name: StatisticName, read_value: Callable[[], float]) -> None:
        """Add a gauge; ``read_value`` is called for each export and returns its value."""
        self.gauges[name] = read_value
