"""Tests streams that have neither a length nor chunks and end with their connection."""

import pytest

from fake_backend_server import FakeBackendServer
from platform_stand_in import PlatformHarness


@pytest.fixture
async def platform(tmp_path):
    """Three coordination hosts and a gateway."""
    async with PlatformHarness(tmp_path) as platform:
        yield platform


async def send(platform, **faults) -> tuple[int, bytes, list[FakeBackendServer]]:
    """Send a request to one of two servers with faults; return status, body and the servers."""
    servers = [
        FakeBackendServer(f"i-{n}", "engine", ends_at_close=True, **faults) for n in range(2)
    ]
    await platform.start_with_backends(*servers, FakeBackendServer("i-app", "app"))
    status, _, body = await platform.send_request("/chat/1", "r1")
    return status, body, servers


async def test_whole_stream_is_delivered_once(platform):
    """Guards against taking the end of such a stream for a fault."""
    status, body, servers = await send(platform)
    assert (status, body.count(b"data:")) == (200, 5)
    assert sum(server.run_counts.total() for server in servers) == 1


async def test_stream_that_ends_within_an_event_goes_on_at_another_server(platform):
    """Guards against a stream that was broken off and is delivered as complete."""
    status, body, servers = await send(platform, break_after_event=2)
    assert (status, body.count(b"data:")) == (200, 5)
    assert sum(server.run_counts.total() for server in servers) >= 2


async def test_stream_that_ends_before_its_first_event_is_sent_to_another_server(platform):
    """Guards against an empty success if a server ends as it begins to answer."""
    status, body, servers = await send(platform, ends_before_events=1)
    assert (status, body.count(b"data:")) == (200, 5)
    assert sum(server.run_counts.total() for server in servers) >= 2
