"""Tests for which limited servers a gateway asks for tokens."""

from baobabstream.backends.connection_pool import ConnectionPool
from baobabstream.gateway.server_directory import ServerDirectory
from routing.routing_fixtures import make_announcement


def make_directory(server_count: int, rate_per_s: float) -> ServerDirectory:
    """Return the directory of a gateway with a rate of requests, whose servers all name limits."""
    directory = ServerDirectory(lambda row: ConnectionPool(row.address, "x", 4), 1.0, "gw", "a")
    directory.merge(
        [make_announcement(f"i-{n}", address=f"10.0.0.{n}:80") for n in range(server_count)], 0.0
    )
    for server in directory:
        server.limit.observe(2.0, 0.0, 0.0)
    for tick in range(200):
        next(iter(directory)).arrivals.record_send(tick / rate_per_s)
    return directory


def test_gateway_of_a_large_fleet_asks_only_for_servers_that_it_prefers():
    """Guards against tokens that expire at gateways which hardly ever use the server."""
    now_s = 200.0
    assert len(make_directory(50, 1.0).wanted_tokens(now_s)) == 3
    assert len(make_directory(3, 1.0).wanted_tokens(now_s)) == 3
