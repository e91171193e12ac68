"""Tests what callers are told of whether a request has run, and when servers must stop."""

import asyncio

import pytest

from fake_backend_server import FakeBackendServer
from platform_stand_in import PlatformHarness
from waiting import until


@pytest.fixture
async def platform(tmp_path):
    """One coordination host and one gateway."""
    async with PlatformHarness(tmp_path, coordinators=1) as platform:
        yield platform


async def test_server_of_a_stalled_stream_is_told_to_stop_before_another_goes_on(platform):
    """Guards against two servers that work on one stream, as the first connection stays open."""
    servers = [FakeBackendServer(f"i-{n}", "engine", event_gap_s=60) for n in range(2)]
    await platform.start_with_backends(*servers, FakeBackendServer("i-app", "app"))
    request = asyncio.create_task(platform.send_request("/chat/1", "r1"))
    await until(lambda: any(server.run_counts["r1"] for server in servers))
    first, second = sorted(servers, key=lambda server: -server.run_counts["r1"])
    second.event_gap_s = 0.3
    async with asyncio.timeout(5):
        while not second.run_counts["r1"]:
            await asyncio.sleep(0.02)
    context = platform.gateways[platform.gateway_ips[0]].context
    assert context.directory.get(first.server_id).in_flight == 0
    status, _, body = await request
    assert (status, body.count(b"data:")) == (200, 5)
