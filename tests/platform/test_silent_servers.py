"""Tests that running work stays where it is while its server or the coordination is silent."""

import asyncio

import pytest

from baobabstream.gateway.server_directory import MAX_MISSED_HEARTBEATS
from fake_backend_server import FakeBackendServer
from platform_stand_in import HEARTBEAT_S, PlatformHarness
from waiting import until

# Longer than the time after which a silent server counts as lost.
STREAM_EVENTS = 8
EVENT_GAP_S = 1.5 * MAX_MISSED_HEARTBEATS * HEARTBEAT_S / STREAM_EVENTS


@pytest.fixture
async def platform(tmp_path):
    """One coordination host and a gateway."""
    async with PlatformHarness(tmp_path, coordinators=1) as platform:
        yield platform


@pytest.mark.parametrize("how", ["silent", "draining", "departed", "coordination lost"])
async def test_running_stream_stays_at_a_server_that_is_not_announced(platform, how):
    """Guards against work that is repeated or given up because a server is late to report.

    Another server is ready all the time.
    """
    servers = [
        FakeBackendServer(f"i-{n}", "engine", events=STREAM_EVENTS, event_gap_s=EVENT_GAP_S)
        for n in range(2)
    ]
    await platform.start_with_backends(*servers, FakeBackendServer("i-app", "app"))
    stream = asyncio.create_task(platform.send_request("/chat/1", "r1"))
    await until(lambda: any(server.run_counts["r1"] for server in servers))
    running = next(server for server in servers if server.run_counts["r1"])
    platform._heartbeat_tasks[running.server_id].cancel()
    if how == "draining":
        running.state = "draining"
        await platform.send_heartbeat(running)
    elif how == "departed":
        path = f"/baobabstream/replicas/{running.server_id}/deregister"
        await platform.call_control_api(platform.coordinator_ips[0], "POST", path, {"born": 1})
    elif how == "coordination lost":
        await platform.kill_coordinator(platform.coordinator_ips[0])
    status, _, body = await stream
    assert (status, body.count(b"data: ")) == (200, STREAM_EVENTS)
    assert sum(server.run_counts["r1"] for server in servers) == 1
