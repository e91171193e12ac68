"""Chooses the backend server of a request: least expected time, corrected for failures and zone.

A backend server is either an engine, which runs models and first has to process the prompt of a
request, or a server of a plain service, which runs no models. Each entry host runs a gateway, which
chooses servers by its own estimates.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

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
    work_s = (1 + load.in_flight) * RUNNING_REQUEST_COST_S + load.queued_prompt_s + load.prompt_s
    cost_s = work_s * load.slowdown * (1.0 + FAILURE_RATE_WEIGHT * load.failure_rate)
    return cost_s if load.is_same_zone else cost_s + CROSS_ZONE_COST_S


def choose_server(loads: Sequence[ServerLoad], random: Random) -> ServerLoad:
    """Return the load of the server with the least expected cost.

    Parameters
    ----------
    loads
        Loads of the candidate servers, at least one.
    random
        Source of random numbers that decides between servers of equal cost, so that gateways with
        equal estimates do not all choose the same server.
    """
    return min(loads, key=lambda load: (expected_cost_s(load), random.random()))
