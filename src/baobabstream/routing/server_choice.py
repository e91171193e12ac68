"""Chooses the backend server of a request: least expected time, corrected for failures and zone.

A backend server is either an engine, which runs models and first has to process the prompt of a
request, or a server of a plain service, which runs no models. Each entry host runs a gateway, which
chooses servers by its own estimates. What it knows of the requests of other gateways comes from
their reports, which are up to a second old.
"""

from collections.abc import Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from random import Random
from statistics import median_low

__all__ = ["ServerLoad", "choose_server", "expected_cost_s"]

# Seconds by which each running request is expected to delay the next one. A server of a plain
# service takes about this long for a request, and runs few at a time; an engine runs its requests
# as a batch, and each further one slows it by less.
RUNNING_REQUEST_COST_S = 0.05
# Seconds added for a server in another availability zone, since traffic between zones is charged by
# the byte. It is less than the cost of one running request, so load takes precedence over the zone.
CROSS_ZONE_COST_S = 0.02
# Multiple of its expected time that is added for a server that fails all requests; for others, in
# proportion to the failure rate.
FAILURE_RATE_WEIGHT = 6.0
# Seconds by which the cheapest preferred server may exceed the median of all servers before all are
# taken into account. It is the cost of two running requests, about the difference that remains
# between servers if each gateway balances over a few of them.
MAX_PREFERRED_EXCESS_S = 0.1


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of a backend server as one gateway estimates it for one request.

    Parameters
    ----------
    server_id
        Identity of the server.
    in_flight
        Number of requests of all gateways at the server.
    queued_prompt_s
        Expected seconds to process the prompts that are waiting there, of all gateways.
    prompt_s
        Expected seconds for the server to process this request's prompt; less if the server has
        cached a part of it.
    slowdown
        Average of its recent response times, as a multiple of the expected ones; 1 if as expected.
    failure_rate
        Recent fraction of its responses that failed, 0 to 1.
    is_same_zone
        Whether it is in this gateway's availability zone.
    """

    server_id: str
    in_flight: int
    queued_prompt_s: float
    prompt_s: float
    slowdown: float
    failure_rate: float
    is_same_zone: bool


def expected_cost_s(load: ServerLoad) -> float:
    """Return the expected seconds of a request at a server, plus penalties for failures and zone.

    The expected seconds are those for the running requests, this one included, the waiting prompts
    and this prompt.

    Parameters
    ----------
    load
        Estimated load of the server.
    """
    work_s = _added_work_s(load) + load.in_flight * RUNNING_REQUEST_COST_S + load.queued_prompt_s
    cost_s = work_s * _penalty_factor(load)
    return cost_s if load.is_same_zone else cost_s + CROSS_ZONE_COST_S


def choose_server(
    loads: Sequence[ServerLoad],
    random: Random,
    unseen_requests: float = 0.0,
    preferred_ids: AbstractSet[str] = frozenset(),
) -> ServerLoad:
    """Return the load of the server that a request is sent to.

    Parameters
    ----------
    loads
        Loads of the candidate servers, at least one.
    random
        Source of random numbers. It decides between servers of equal cost, so that gateways with
        equal estimates do not all choose the same server.
    unseen_requests
        Expected number of requests that other gateways have sent to these servers since the
        reports that the loads are based on; 0 if the loads are exact.
    preferred_ids
        Identities of the servers that are chosen while they are not much more loaded than the
        others; empty if none are preferred.

    Notes
    -----
    Without unseen requests the server with the least expected cost is chosen. Otherwise that server
    would get all requests of all gateways until the next report. Instead, each server is chosen
    with the probability that spreads the unseen requests so that they fill up the cheapest servers
    to a common level of cost.

    References
    ----------
    .. [1] M. Dahlin, "Interpreting stale load information", IEEE Transactions on Parallel and
       Distributed Systems 11(10), 2000, section 3.1 (basic load interpretation).
    """
    costs_s = [expected_cost_s(load) for load in loads]
    preferred = [
        (load, cost_s)
        for load, cost_s in zip(loads, costs_s, strict=True)
        if load.server_id in preferred_ids
    ]
    # If all servers are preferred, none is.
    if 0 < len(preferred) < len(loads):
        max_cost_s = median_low(costs_s) + MAX_PREFERRED_EXCESS_S
        if min(cost_s for _, cost_s in preferred) <= max_cost_s:
            unseen_requests *= len(preferred) / len(loads)
            loads = [load for load, _ in preferred]
            costs_s = [cost_s for _, cost_s in preferred]
    if unseen_requests > 0 and len(loads) > 1:
        weights = _fill_to_common_level(loads, costs_s, unseen_requests)
        return random.choices(loads, weights)[0]
    return min(zip(costs_s, loads, strict=True), key=lambda item: (item[0], random.random()))[1]


def _fill_to_common_level(
    loads: Sequence[ServerLoad], costs_s: Sequence[float], request_count: float
) -> list[float]:
    """Return for each server how many of some requests raise it to the common level of cost.

    The numbers add up to ``request_count``, which must be positive. Servers whose cost is above the
    level get none.
    """
    # Seconds by which one more request like this one raises the cost of each server.
    increments_s = [_added_work_s(load) * _penalty_factor(load) for load in loads]
    # Sums over the servers below the level: requests for each second, and requests that they would
    # need to rise from 0 to their present cost.
    requests_per_s = requests_to_cost = level_s = 0.0
    for cost_s, increment_s in sorted(zip(costs_s, increments_s, strict=True)):
        if requests_per_s > 0 and cost_s >= level_s:
            break
        requests_per_s += 1 / increment_s
        requests_to_cost += cost_s / increment_s
        level_s = (request_count + requests_to_cost) / requests_per_s
    return [
        max(0.0, level_s - cost_s) / increment_s
        for cost_s, increment_s in zip(costs_s, increments_s, strict=True)
    ]


def _added_work_s(load: ServerLoad) -> float:
    """Return the expected seconds of work that this request adds at a server."""
    return RUNNING_REQUEST_COST_S + load.prompt_s


def _penalty_factor(load: ServerLoad) -> float:
    """Return the factor on the expected seconds of a server for its slowdown and its failures."""
    return load.slowdown * (1.0 + FAILURE_RATE_WEIGHT * load.failure_rate)
