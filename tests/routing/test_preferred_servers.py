"""Tests which servers a gateway prefers.

The pattern: hundreds of gateways with about one request a second each, before dozens of servers. If
each request may go to any server, nearly every one opens a new connection.
"""

from collections import Counter
from random import Random

import pytest

from baobabstream.routing.arrival_estimator import ArrivalEstimator
from baobabstream.routing.preferred_servers import (
    CONNECTION_IDLE_S,
    PreferenceKey,
    preferred_server_ids,
)
from baobabstream.routing.server_choice import ServerLoad, choose_server
from baobabstream.routing.stable_hashing import hash_fraction

ZONES = "abcde"
SERVER_ZONES = {f"s{n}": ZONES[n % 5] for n in range(50)}
GATEWAY_ZONES = {f"gw{n}": ZONES[n % 5] for n in range(195)}


def keys(gateway: str) -> list[PreferenceKey]:
    """Return the keys of all servers at one gateway."""
    return [
        PreferenceKey(
            zone != GATEWAY_ZONES[gateway], hash_fraction(f"{gateway}/{server_id}"), server_id
        )
        for server_id, zone in SERVER_ZONES.items()
    ]


def make_load(server_id: str, in_flight: int) -> ServerLoad:
    """Return the load of a server without waiting prompts."""
    return ServerLoad(server_id, in_flight, 0.0, 0.1, 1.0, 0.0, True)


def new_connection_share(prefers: bool) -> float:
    """Return the share of requests without an open connection, at 1.2 requests per second each.

    A connection can be used again within ``CONNECTION_IDLE_S``.
    """
    random = Random(11)
    new_count = request_count = 0
    for gateway in list(GATEWAY_ZONES)[:40]:
        preferred_ids = preferred_server_ids(keys(gateway), 1.2) if prefers else frozenset()
        last_used_s: dict[str, float] = {}
        now_s = 0.0
        while now_s < 60.0:
            now_s += random.expovariate(1.2)
            loads = [make_load(server_id, 2) for server_id in SERVER_ZONES]
            chosen_id = choose_server(loads, random, 75.0, preferred_ids).server_id
            request_count += 1
            new_count += now_s - last_used_s.get(chosen_id, -99.0) > CONNECTION_IDLE_S
            last_used_s[chosen_id] = now_s
    return new_count / request_count


def test_few_requests_find_open_connections():
    """Guards against a new connection for nearly every request; their number must be halved."""
    assert new_connection_share(prefers=True) <= new_connection_share(prefers=False) / 2


def test_preferred_servers_are_in_the_own_zone_and_spread_over_it():
    """Guards against traffic between zones, and against one server that all gateways prefer."""
    counts: Counter[str] = Counter()
    for gateway, zone in GATEWAY_ZONES.items():
        preferred_ids = preferred_server_ids(keys(gateway), 1.2)
        assert {SERVER_ZONES[server_id] for server_id in preferred_ids} == {zone}
        counts.update(preferred_ids)
    assert len(counts) == len(SERVER_ZONES)
    assert max(counts.values()) <= 2 * sum(counts.values()) / len(SERVER_ZONES)


def test_gateway_with_many_requests_uses_all_servers():
    """Guards against uneven load where each gateway has enough requests for all servers."""
    assert preferred_server_ids(keys("gw1"), 40.0) == set(SERVER_ZONES)


def test_other_servers_are_used_once_the_preferred_ones_are_busier():
    """Guards against a zone or a part of the servers that is overloaded while others are idle."""
    loads = [make_load(f"s{n}", 12 if n < 3 else 1) for n in range(10)]
    preferred_ids = frozenset({"s0", "s1", "s2"})
    random = Random(2)
    chosen_ids = {choose_server(loads, random, 5.0, preferred_ids).server_id for _ in range(200)}
    assert not chosen_ids & preferred_ids
    even_loads = [make_load(f"s{n}", 2) for n in range(10)]
    chosen_ids = {
        choose_server(even_loads, random, 5.0, preferred_ids).server_id for _ in range(200)
    }
    assert chosen_ids == preferred_ids


def test_own_rate_follows_the_requests():
    """Guards against a number of preferred servers that stays when the traffic changes."""
    estimator = ArrivalEstimator()
    assert estimator.own_rate_per_s(5.0) == 0.0
    for n in range(400):
        estimator.record_send(n / 4)
    assert estimator.own_rate_per_s(100.0) == pytest.approx(4.0, rel=0.05)
    assert estimator.own_rate_per_s(160.0) < 0.05
