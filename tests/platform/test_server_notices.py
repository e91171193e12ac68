"""Tests what a backend server says of itself in its answers: that it leaves, or wants a pause."""

import asyncio

import pytest

from baobabstream.wire.coordination_messages import ServerState
from fake_backend_server import FakeBackendServer
from platform_stand_in import PlatformHarness
from waiting import until


@pytest.fixture
async def platform(tmp_path):
    """Three coordination hosts and two gateways."""
    async with PlatformHarness(tmp_path, gateways=2) as platform:
        yield platform


async def test_server_that_says_it_leaves_gets_no_more_requests_from_any_gateway(platform):
    """Guards against requests to a server that leaves before its announcement says so."""
    leaving = FakeBackendServer("i-1", "app", is_leaving=True)
    await platform.start_with_backends(leaving, FakeBackendServer("i-2", "app"))
    first_gateway, second_gateway = platform.gateways.values()
    answers = [await platform.send_request("/look/1", f"r{n}", "GET") for n in range(20)]
    assert sum(body == b"i-1" for _, _, body in answers) == 1
    await until(
        lambda: second_gateway.context.directory.get("i-1").row.state is ServerState.DRAINING
    )
    await platform.send_heartbeat(leaving)
    for gateway in (first_gateway, second_gateway):
        context = gateway.context
        ready = context.directory.ready_servers("app", asyncio.get_running_loop().time())
        assert [server.row.server_id for server in ready] == ["i-2"]


async def test_restarted_server_is_used_again_after_its_earlier_process_left(platform):
    """Guards against a notice of an earlier process that takes out its successor."""
    server = FakeBackendServer("i-1", "app", is_leaving=True)
    await platform.start_with_backends(server)
    assert (await platform.send_request("/look/1", "r1", "GET"))[0] == 200
    server.is_leaving, server.born_ms = False, 2
    await platform.send_heartbeat(server)
    gateway = next(iter(platform.gateways.values()))
    await until(lambda: gateway.context.directory.get("i-1").row.born_ms == 2)
    assert (await platform.send_request("/look/1", "r2", "GET"))[0] == 200


@pytest.mark.parametrize(("path", "method"), [("/look/1", "GET"), ("/chat/1", "POST")])
async def test_server_that_asks_for_a_pause_gets_no_requests_until_its_end(platform, path, method):
    """Guards against requests, retries and sessions at a server that wants none for a while."""
    service, other_service = ("app", "engine") if method == "GET" else ("engine", "app")
    server = FakeBackendServer("i-1", service, refuses=True, pause_s=1.5)
    await platform.start_with_backends(server, FakeBackendServer("i-2", other_service))
    loop = asyncio.get_running_loop()
    status, headers, _ = await platform.send_request(path, "r0", method, Session="s")
    refused_s = loop.time()
    assert status == 503
    assert 0 < float(headers["Retry-After"]) <= 1.5
    received_count = len(server.received_headers)
    for n in range(1, 8):
        began_s = loop.time()
        assert (await platform.send_request(path, f"r{n}", method, Session="s"))[0] == 503
        assert loop.time() - began_s < 0.3
    assert len(server.received_headers) == received_count
    server.refuses = False
    await asyncio.sleep(refused_s + 1.6 - loop.time())
    assert (await platform.send_request(path, "again", method, Session="s"))[0] == 200
