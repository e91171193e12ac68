"""Chooses the backend server of a request: least load, corrected for speed, failures and cache."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

__all__ = ["ServerLoad", "choose_server", "expected_cost"]

# Prompt tokens under way that weigh as much as one running request.
TOKENS_PER_REQUEST = 4000.0
# A request in another availability zone pays for its bytes; well under one running request.
OTHER_ZONE_COST = 0.4
# A server that fails all requests counts as this many times as loaded.
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
    prompt_tokens
        Prompt tokens of this gateway's requests that have no first event yet.
    slowness
        Recent times of its answers, as a multiple of the expected ones.
    failure_share
        Recent share of failed answers.
    same_zone
        Whether it is in this gateway's availability zone.
    holds_prompt
        Whether it probably still holds the shared part of the request's prompt.
    """

    server_id: str
    in_flight: int
    prompt_tokens: int
    slowness: float
    failure_share: float
    same_zone: bool
    holds_prompt: bool


def expected_cost(load: ServerLoad, shared_tokens: int) -> float:
    """Return the cost of a server in running requests; less is better."""
    work = 1.0 + load.in_flight + load.prompt_tokens / TOKENS_PER_REQUEST
    if not load.holds_prompt:
        work += shared_tokens / TOKENS_PER_REQUEST
    cost = work * load.slowness * (1.0 + FAILURE_WEIGHT * load.failure_share)
    return cost if load.same_zone else cost + OTHER_ZONE_COST


def choose_server(loads: Sequence[ServerLoad], shared_tokens: int, random: Random) -> ServerLoad:
    """Return the server with the least expected cost.

    Parameters
    ----------
    loads
        Candidates, at least one.
    shared_tokens
        Tokens of the prompt that other requests share, which a server without them reads again.
    random
        Breaks ties, so that gateways with equal beliefs do not all take the same server.
    """
    return min(loads, key=lambda load: (expected_cost(load, shared_tokens), random.random()))
