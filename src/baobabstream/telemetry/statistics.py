"""Counters and latency histograms of one process, kept as plain numbers."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["DURATION_BOUNDS_S", "STATISTICS", "Statistic", "StatisticName", "Statistics"]

# Upper bounds in seconds; targets of routes lie between 0.3 and 3 s, time limits up to 25 s.
DURATION_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 25.0)


class StatisticName(StrEnum):
    """Names of the statistics, as the metrics address has them."""

    DECISIONS = "baobabstream_decisions"
    REQUESTS = "baobabstream_requests"
    REQUEST_SECONDS = "baobabstream_request_seconds"
    FIRST_EVENT_SECONDS = "baobabstream_first_event_seconds"
    FAILED_ATTEMPTS = "baobabstream_failed_attempts"
    OPEN_REQUESTS = "baobabstream_open_requests"
    DOCUMENT_VERSION = "baobabstream_document_version"
    READY_SERVERS = "baobabstream_ready_servers"
    CONTROL_AGE_SECONDS = "baobabstream_control_age_seconds"
    ORDERS = "baobabstream_orders"
    ORDER_SECONDS = "baobabstream_order_seconds"
    ANNOUNCEMENTS = "baobabstream_announcements"
    LEADER = "baobabstream_leader"


@dataclass(frozen=True, slots=True)
class Statistic:
    """A statistic, what it counts, and the names of its labels.

    Labels take few values: routes and identities are in the decision log instead.
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
    StatisticName.OPEN_REQUESTS: Statistic("Requests under way."),
    StatisticName.DOCUMENT_VERSION: Statistic("Version of the configuration in force here."),
    StatisticName.READY_SERVERS: Statistic("Backend servers that take new requests."),
    StatisticName.CONTROL_AGE_SECONDS: Statistic("Time since a coordination host has answered."),
    StatisticName.ORDERS: Statistic("Orders of operators.", ("order", "outcome")),
    StatisticName.ORDER_SECONDS: Statistic("Time to carry out an order.", ("order",)),
    StatisticName.ANNOUNCEMENTS: Statistic("Announcements of servers.", ("outcome",)),
    StatisticName.LEADER: Statistic("1 while this host leads."),
}


class Statistics:
    """Numbers of one process; adding to one takes no lock and no library.

    Attributes
    ----------
    counters
        Counts by name and label values.
    histograms
        For each name and label values the counts of each bucket, with one for what lies above
        all bounds, and the sum in seconds.
    gauges
        Functions that return a present value.
    """

    def __init__(self) -> None:
        self.counters: Counter[tuple[StatisticName, tuple[str, ...]]] = Counter()
        self.histograms: dict[tuple[StatisticName, tuple[str, ...]], tuple[list[int], float]] = {}
        self.gauges: dict[StatisticName, Callable[[], float]] = {}

    def add(self, name: StatisticName, *labels: str) -> None:
        """Count one occurrence."""
        self.counters[name, labels] += 1

    def observe(self, name: StatisticName, value_s: float, *labels: str) -> None:
        """Count a duration in its bucket."""
        key = (name, labels)
        buckets, sum_s = self.histograms.get(key, (None, 0.0))
        if buckets is None:
            buckets = [0] * (len(DURATION_BOUNDS_S) + 1)
        buckets[bisect_left(DURATION_BOUNDS_S, value_s)] += 1
        self.histograms[key] = (buckets, sum_s + value_s)

    def show(self, name: StatisticName, read: Callable[[], float]) -> None:
        """Export what a function returns as a gauge."""
        self.gauges[name] = read
