"""Tests the choice of a server by many gateways that see each other's requests late.

The pattern: hundreds of gateways share some dozens of servers and learn of each other's requests
twice a second. Within that time each gateway sends at most one request, so its own requests say
nothing about the load.
"""

from collections import Counter
from random import Random

import pytest

from baobabstream.routing.arrival_estimator import ArrivalEstimator
from baobabstream.routing.server_choice import ServerLoad, choose_server

SERVER_COUNT = 50
SLOTS = 12
REQUEST_COUNT = 125
# Open requests of each server at the last report. Together with the new ones they take little more
# than half of all slots.
REPORTED_REQUESTS = {f"s{n}": n % 10 for n in range(SERVER_COUNT)}
# Share of requests that may miss their latency target.
MAX_LATE_SHARE = 0.05


def make_loads(reported: dict[str, int], **changes) -> list[ServerLoad]:
    """Return the loads of servers without waiting prompts, from their open requests."""
    fields = {
        "queued_prompt_s": 0.0,
        "prompt_s": 0.1,
        "slowdown": 1.0,
        "failure_rate": 0.0,
        "is_same_zone": True,
    } | changes
    return [ServerLoad(server_id, count, **fields) for server_id, count in reported.items()]


def waiting_share(unseen_requests: float) -> float:
    """Return the share of new requests that wait for a slot after all have chosen by one report."""
    loads, random = make_loads(REPORTED_REQUESTS), Random(7)
    chosen = Counter(
        choose_server(loads, random, unseen_requests).server_id for _ in range(REQUEST_COUNT)
    )
    open_requests = Counter(REPORTED_REQUESTS) + chosen
    return sum(max(0, count - SLOTS) for count in open_requests.values()) / REQUEST_COUNT


def test_requests_between_two_reports_do_not_crowd_the_idle_servers():
    """Guards against all gateways sending to the few servers that the last report showed as idle.

    The choice that takes the report for exact makes half of the requests wait.
    """
    assert waiting_share(0.0) > 0.4
    assert waiting_share(REQUEST_COUNT) <= MAX_LATE_SHARE


def test_busy_server_gets_nothing_while_idle_ones_can_take_all():
    """Guards against spreading requests to servers that have far more than the others."""
    loads = make_loads({"busy": 40, "idle-1": 0, "idle-2": 1})
    random = Random(3)
    chosen_ids = {choose_server(loads, random, 10.0).server_id for _ in range(300)}
    assert chosen_ids == {"idle-1", "idle-2"}


def test_failing_server_gets_few_of_the_unseen_requests():
    """Guards against an even spread that ignores what is known of slow and failing servers."""
    loads = [
        *make_loads({f"s{n}": 2 for n in range(9)}),
        *make_loads({"failing": 2}, failure_rate=0.8),
    ]
    random = Random(5)
    chosen = Counter(choose_server(loads, random, 20.0).server_id for _ in range(1000))
    assert chosen["failing"] < 20


@pytest.mark.parametrize("unseen_requests", [0.0, 1e-6])
def test_exact_reports_lead_to_the_cheapest_server(unseen_requests):
    """Guards against a random choice on a gateway that sees all requests itself."""
    loads = make_loads({"s1": 3, "s2": 1, "s3": 2})
    assert choose_server(loads, Random(1), unseen_requests).server_id == "s2"


def test_arrivals_follow_from_open_requests_and_the_time_they_are_open():
    """Guards against an estimate that a gateway with few callers of its own gets wrong."""
    estimator = ArrivalEstimator()
    assert estimator.arrivals(20, 0.5) == 20
    for _ in range(200):
        estimator.record_end(2.0)
    assert estimator.arrivals(20, 0.5) == pytest.approx(5.0)
    instant = ArrivalEstimator()
    instant.record_end(0.0)
    assert instant.arrivals(1, 0.5) < 1000
