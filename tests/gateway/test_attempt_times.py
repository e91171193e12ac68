"""Tests that the time of a response counts from the moment at which its request was sent."""

import asyncio

from baobabstream.backends.connection_pool import ConnectionPool
from baobabstream.backends.connector import DirectConnector
from baobabstream.backends.http_connection import HttpConnection
from baobabstream.gateway.attempt import Attempt
from baobabstream.gateway.routed_request import RoutedRequest
from baobabstream.platform.names import HEADERS
from baobabstream.resources.memory_budget import MemoryBudget
from fake_backend_server import FakeBackendServer
from routing.routing_fixtures import make_route

CONNECT_S = 0.3


class _SlowConnector(DirectConnector):
    """Connects after a while, like a gateway that has lost its own path to a server."""

    async def connect(self, timeout_s: float) -> HttpConnection:
        await asyncio.sleep(CONNECT_S)
        return await super().connect(timeout_s)


async def test_lost_path_does_not_count_as_a_slow_server(context):
    """Guards against versions that are judged by the time in which a path was found."""
    backend = FakeBackendServer("old", "app")
    await backend.start()
    server = context.directory.get("old")
    header_name = HEADERS.request_id.lower()
    server.pool = ConnectionPool(
        backend.address, header_name, 4, connector=_SlowConnector(backend.address, header_name)
    )
    now_s = asyncio.get_running_loop().time()
    request = RoutedRequest(
        "r1",
        "GET",
        "/look/1",
        ((HEADERS.request_id, "r1"),),
        b"",
        make_route(),
        None,
        "app",
        "",
        "",
        (),
        0,
        "",
        now_s,
        now_s + 2.0,
        "",
    )
    attempt = Attempt(request, server, "", "", HEADERS, 0.0, MemoryBudget(2**25))
    await attempt.send()
    elapsed_s = asyncio.get_running_loop().time() - attempt.sent_s
    attempt.close()
    backend.close()
    assert elapsed_s < CONNECT_S / 2
