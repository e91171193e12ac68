"""Tests that slow but sound streams go on, and that stalled ones end in time."""

import asyncio

import pytest

from baobabstream.gateway.request_execution import STALL_GAP_MULTIPLE
from fake_backend_server import FakeBackendServer
from platform_stand_in import PlatformHarness, make_config
from waiting import until

# Longest allowed time between two events of the streams of these tests.
GAP_TARGET_S = 1.0
TIMEOUT_S = 12.0


@pytest.fixture
async def platform(tmp_path):
    """Three coordination hosts and a gateway."""
    async with PlatformHarness(tmp_path) as platform:
        yield platform


async def start(platform, *servers, resumable=True) -> None:
    """Store a configuration with long timeouts and start servers and one of the plain service."""
    config = make_config(2)
    for route in config["routes"]:
        route |= {"timeout_ms": int(TIMEOUT_S * 1000), "gap_slo_ms": int(GAP_TARGET_S * 1000)}
        route["resumable"] = route["resumable"] and resumable
    await platform.start_with_backends(*servers, FakeBackendServer("i-app", "app"))
    await platform.put_config(config)
    gateway = next(iter(platform.gateways.values()))
    await until(lambda: gateway.context.route_table.document.version == 2)


async def run_stream(platform) -> tuple[int, bytes, float]:
    """Send a request for a stream and return status, body and elapsed seconds."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    status, _, body = await platform.send_request(
        "/chat/1", "r1", **{"X-Deadline-Ms": str(int(TIMEOUT_S * 1000))}
    )
    return status, body, loop.time() - began_s


@pytest.mark.parametrize("has_other_server", [False, True])
async def test_stream_within_the_allowed_gap_is_not_cut(platform, has_other_server):
    """Guards against cutting or repeating a stream whose events are slow but in time."""
    slow = FakeBackendServer("i-1", "engine", events=4, event_gap_s=0.9 * GAP_TARGET_S)
    others = [FakeBackendServer("i-2", "engine", events=4, event_gap_s=0.9 * GAP_TARGET_S)]
    await start(platform, slow, *(others if has_other_server else ()))
    status, body, _ = await run_stream(platform)
    assert (status, body.count(b"data: ")) == (200, 4)
    assert sum(server.run_counts["r1"] for server in (slow, *others)) == 1


@pytest.mark.parametrize("resumable", [True, False])
async def test_late_stream_goes_on_if_no_other_server_may_continue_it(platform, resumable):
    """Guards against ending a response whose only server is slow and goes on later."""
    slow = FakeBackendServer("i-1", "engine", events=2, event_gap_s=1.5 * STALL_GAP_MULTIPLE)
    await start(platform, slow, resumable=resumable)
    status, body, _ = await run_stream(platform)
    assert (status, body.count(b"data: ")) == (200, 2)
    assert slow.run_counts["r1"] == 1


async def test_stream_that_sends_only_comments_is_continued_elsewhere(platform):
    """Guards against a stalled stream that a byte now and then keeps open until the deadline."""
    stalled = FakeBackendServer("i-1", "engine", comment_gap_s=0.2)
    await start(platform, stalled)
    sound = FakeBackendServer("i-2", "engine")
    stream = asyncio.create_task(run_stream(platform))
    await until(lambda: stalled.run_counts["r1"])
    await platform.add_backend(sound)
    status, body, elapsed_s = await stream
    assert (status, body.count(b"data: ")) == (200, 5)
    assert elapsed_s < 2 * STALL_GAP_MULTIPLE
    assert [headers.get("last-event-id") for headers in sound.received_headers] == ["1"]
