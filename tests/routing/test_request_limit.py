"""Tests that gateways together keep to the limit of a server, without waste where they can."""

from random import Random

import pytest

from baobabstream.routing.request_limit import (
    LEADER_TIMEOUT_S,
    TOKEN_LIFETIME_S,
    RequestLimit,
    TokenBucket,
)

# Time between two reports of a gateway in seconds, and the step of the simulations.
REPORT_S, STEP_S = 0.5, 0.02
# Length of the time in which requests are counted, and what may arrive there.
WINDOW_S, ALLOWED_RATIO, ALLOWED_EXTRA = 4.0, 1.5, 5


def simulate(
    rate_per_s: float,
    gateway_count: int,
    demand_per_s: float,
    duration_s: float = 40.0,
    demand_factor: float = 1.0,
) -> list[float]:
    """Return the times in seconds of the requests that a server with a limit gets.

    All gateways together have ``demand_per_s`` requests a second, which only this server can run;
    they report at different times to a host that leads all the time. If the demand has just risen,
    by ``demand_factor``, the gateways ask for what it was before.
    """
    random = Random(1)
    bucket = TokenBucket(0.0)
    limits = [RequestLimit() for _ in range(gateway_count)]
    for limit in limits:
        limit.observe(rate_per_s, 0.0, 0.0)
    next_report_s = [random.random() * REPORT_S for _ in limits]
    arrivals_s = []
    for step in range(int(duration_s / STEP_S)):
        now_s = step * STEP_S
        for number, limit in enumerate(limits):
            if next_report_s[number] <= now_s:
                next_report_s[number] += REPORT_S
                wanted = limit.wanted_tokens(demand_per_s / gateway_count, 1, now_s)
                limit.add_tokens(bucket.take(wanted, rate_per_s, now_s), now_s)
        for limit in limits:
            demand_fraction = demand_factor * demand_per_s / gateway_count * STEP_S
            if random.random() < demand_fraction and limit.allows_request(now_s, gateway_count):
                limit.use_token()
                arrivals_s.append(now_s)
    return arrivals_s


@pytest.mark.parametrize("gateway_count", [1, 8, 195])
@pytest.mark.parametrize("rate_per_s", [0.5, 1.0, 3.2, 40.0])
def test_limit_holds_however_many_gateways_have_the_demand(rate_per_s, gateway_count):
    """Guards against a limit that each gateway takes for its own, and against bursts of tokens."""
    arrivals_s = simulate(rate_per_s, gateway_count, demand_per_s=200.0)
    allowed = ALLOWED_RATIO * WINDOW_S * rate_per_s + ALLOWED_EXTRA
    most = max(
        sum(start_s <= time_s < start_s + WINDOW_S for time_s in arrivals_s)
        for start_s in arrivals_s
    )
    assert most <= allowed


@pytest.mark.parametrize(("gateway_count", "demand_per_s"), [(1, 20.0), (8, 40.0), (195, 6_500.0)])
def test_server_gets_most_of_what_it_takes(gateway_count, demand_per_s):
    """Guards against tokens that expire unused at gateways while callers are refused elsewhere.

    The last case has the requests of each gateway at the size of two years (docs/CAPACITY.md).
    """
    arrivals_s = simulate(8.0, gateway_count, demand_per_s)
    assert len(arrivals_s) >= 0.8 * 8.0 * 40.0


def test_sudden_demand_below_the_limit_is_hardly_refused():
    """Guards against refusals at a peak of demand, although the server takes far more requests."""
    arrivals_s = simulate(300.0, 8, 29.0, demand_factor=3.0)
    assert len(arrivals_s) >= 0.95 * 3 * 29.0 * 40.0


def test_each_gateway_uses_its_part_without_a_leader():
    """Guards against a server that gets nothing while no coordination host leads."""
    limit = RequestLimit()
    limit.observe(2.0, 0.0, 0.0)
    assert not limit.allows_request(LEADER_TIMEOUT_S, 4)
    sent = 0
    for step in range(1000):
        if limit.allows_request(LEADER_TIMEOUT_S + 0.1 + step * STEP_S, 4):
            limit.use_token()
            sent += 1
    assert 0.8 * 10 <= sent <= 10


def test_newer_answer_decides_whether_there_is_a_limit():
    """Guards against a limit that a late report brings back, or that never ends."""
    limit = RequestLimit()
    assert limit.observe(1.0, 5.0, 5.0)
    assert not limit.observe(None, 4.0, 6.0)
    assert limit.observe(None, 6.0, 6.0)
    assert limit.allows_request(6.0, 1)
    assert not limit.observe(1.0, 5.5, 7.0)
    assert limit.observe(1.0, 8.0, 8.0)
    assert not limit.allows_request(8.0, 1)


def test_token_is_valid_for_a_short_time():
    """Guards against tokens that pile up while there is no demand, and arrive at once later."""
    limit = RequestLimit()
    limit.observe(1.0, 0.0, 0.0)
    limit.add_tokens(1, 1.0)
    assert limit.allows_request(1.0 + TOKEN_LIFETIME_S - 0.1, 1)
    assert not limit.allows_request(1.0 + TOKEN_LIFETIME_S, 1)
