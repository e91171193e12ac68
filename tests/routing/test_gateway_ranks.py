"""Tests how the places of a server are divided among the gateways."""

from hypothesis import given
from hypothesis import strategies as st

from baobabstream.routing.gateway_ranks import (
    REPLY_LIFETIME_S,
    GatewayRank,
    GatewayRanks,
    own_places,
)


@given(st.integers(1, 100), st.integers(1, 330), st.text(max_size=5))
def test_parts_of_all_gateways_are_the_whole(places, count, server):
    """Guards against servers that get more requests than they have places for."""
    parts = [own_places(places, server, GatewayRank(n, count)) for n in range(count)]
    assert sum(parts) == places
    assert max(parts) - min(parts) <= 1


def test_host_that_has_just_started_does_not_enlarge_the_parts():
    """Guards against gateways that use a whole server each, as a new host knows only a few."""
    ranks = GatewayRanks()
    ranks.record("a", GatewayRank(3, 8), 1.0)
    ranks.record("b", GatewayRank(0, 1), 1.5)
    assert ranks.current(1.6) == GatewayRank(3, 8)
    assert ranks.current(1.6 + REPLY_LIFETIME_S) == GatewayRank(0, 1)
    assert GatewayRanks().current(0.0) == GatewayRank()
