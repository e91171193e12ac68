"""Chooses the backend server of a request: least work ahead, corrected for speed and failures."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

__all__ = ["ServerLoad", "choose_server", "expected_cost_s"]

# What a running request adds to the time of the next one; a plain service takes about this long
# for a request in one of its few slots, an engine slows each token of a batch by less.
RUNNING_REQUEST_S = 0.05
# A request in another availability zone pays for its bytes; less than a running request.
OTHER_ZONE_S = 0.02
# A server that fails all requests counts as this many times as slow.
FAILURE_WEIGHT = 6.0


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What one gateway believes of a server.

    Parameters
    ----------
    server_id
        Identity of the server.
    in_flight
        Requests of all gateways at the server.
    pending_s
        Expected time to read the prompts that are waiting there, of all gateways.
    own_s
        Expected time for the server to read this request's prompt; less if it holds a part.
    slowness
        Recent times of its answers, as a multiple of the expected ones.
    failure_share
        Recent share of failed answers.
    same_zone
        Whether it is in this gateway's availability zone.
    """

    server_id: str
    in_flight: int
    pending_s: float
    own_s: float
    slowness: float
    failure_share: float
    same_zone: bool


def expected_cost_s(load: ServerLoad) -> float:
    """Return the expected time of a request at a server, with what else speaks against it."""
    work_s = (1 + load.in_flight) * RUNNING_REQUEST_S + load.pending_s + load.own_s
    cost_s = work_s * load.slowness * (1.0 + FAILURE_WEIGHT * load.failure_share)
    return cost_s if load.same_zone else cost_s + OTHER_ZONE_S


def choose_server(loads: Sequence[ServerLoad], random: Random) -> ServerLoad:
    """Return the server with the least expected cost.

    Parameters
    ----------
    loads
        Candidates, at least one.
    random
        Breaks ties, so that gateways with equal beliefs do not all take the same server.
    """
    return min(loads, key=lambda load: (expected_cost_s(load), random.random()))
