"""Tests that servers which fall over after too many rejections are not overrun."""

import asyncio

import pytest

from caller_traffic import CallerTraffic
from fake_backend_server import FakeBackendServer
from platform_stand_in import PlatformHarness

# Time within which all gateways must adapt, from the first answers that name the brittleness.
CONTACT_S = 3.0
OVERLOAD_S = 8.0
SERVER_COUNT, SLOTS = 4, 8
# Requests take half a second, so the servers complete 64 in a second.
EVENTS, EVENT_GAP_S = 5, 0.1
# Crashes that are allowed in one time of brittleness.
ALLOWED_CRASHES = 2 + SERVER_COUNT // 10


@pytest.fixture
async def platform(tmp_path):
    """Three coordination hosts and four gateways."""
    async with PlatformHarness(tmp_path, gateways=4) as platform:
        yield platform


@pytest.mark.parametrize("rejections_per_s", [2, 6])
@pytest.mark.parametrize("restarts", [False, True])
async def test_brittle_servers_do_not_fall_over_under_overload(
    platform, rejections_per_s, restarts
):
    """Guards against rejections that make one server after another crash.

    The callers send twice what the servers complete. In one case gateways and the leading
    coordination host restart meanwhile.
    """
    servers = [
        FakeBackendServer(
            f"i-{n}",
            "engine",
            events=EVENTS,
            event_gap_s=EVENT_GAP_S,
            brittle_rejections_per_s=rejections_per_s,
        )
        for n in range(SERVER_COUNT)
    ]
    await platform.start_with_backends(*servers, FakeBackendServer("i-app", "app"))
    loop = asyncio.get_running_loop()
    calm = asyncio.create_task(CallerTraffic(platform, 1 / 20).run())
    await asyncio.sleep(CONTACT_S)
    for server in servers:
        server.most_running = SLOTS
    overload = CallerTraffic(platform, 1 / 128)
    task = asyncio.create_task(overload.run())
    began_s = loop.time()
    if restarts:
        await asyncio.sleep(OVERLOAD_S / 4)
        for ip in platform.gateway_ips[:2]:
            await platform.kill_gateway(ip)
            await platform.start_gateway(ip)
            await platform.wait_until_ready(ip)
        leader = next(
            ip for ip, host in platform.coordinators.items() if host.log.holds_leader_lease()
        )
        await platform.kill_coordinator(leader)
        await platform.start_coordinator(leader)
    await asyncio.sleep(OVERLOAD_S)
    for running in (calm, task):
        running.cancel()
    await asyncio.gather(calm, task, return_exceptions=True)
    assert sum(server.crash_count for server in servers) <= ALLOWED_CRASHES
    outcomes = overload.outcomes_since(began_s)
    served = sum(outcome.status == 200 for outcome in outcomes)
    refused = [outcome for outcome in outcomes if outcome.status == 503]
    # Half of what the servers could complete meanwhile.
    capacity = SERVER_COUNT * SLOTS / (EVENTS * EVENT_GAP_S) * (loop.time() - began_s)
    assert served >= capacity / 2
    assert all(outcome.taken_s < 0.5 for outcome in refused)
