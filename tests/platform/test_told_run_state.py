"""Tests what callers are told of whether a request has run, and when servers must stop."""

import asyncio

import pytest

from backends.raw_server import encode_answer
from fake_backend_server import FakeBackendServer
from platform_stand_in import PlatformHarness
from waiting import until

# Statuses by which a caller knows that its request has not run, and may send it again.
NOT_RUN_STATUSES = {408, 421, 429, 503}


class _StatusServer(FakeBackendServer):
    """A server that runs each request and answers with a status, with or without a marker."""

    status = 503
    marker = ""

    async def _run(self, request_line, headers, crashes, writer) -> None:
        """Run one request."""
        self.run_counts[headers["x-request-id"]] += 1
        extra = f"X-Replica-Stamp: {self.server_id}\r\nRetry-After: 0.1\r\n{self.marker}"
        writer.write(encode_answer(headers["x-request-id"], b"e", self.status, extra))


@pytest.fixture
async def platform(tmp_path):
    """One coordination host and one gateway."""
    async with PlatformHarness(tmp_path, coordinators=1) as platform:
        yield platform


async def test_status_that_means_not_run_is_passed_on_only_if_it_is_true(platform):
    """Guards against a caller that sends a non-idempotent request again which has run."""
    server = _StatusServer("i-1", "app")
    await platform.start_with_backends(server, FakeBackendServer("i-2", "engine"))
    # The pause that a 503 asks for would affect the next request.
    for status in (400, 404, 408, 409, 429, 500, 502, 504, 503):
        server.status, server.marker = status, ""
        told_status, headers, _ = await platform.send_request("/sign/1", f"r{status}")
        assert told_status not in NOT_RUN_STATUSES
        is_servers_answer = "X-Replica-Stamp" in headers
        assert is_servers_answer == (status not in NOT_RUN_STATUSES)
        assert told_status == (status if is_servers_answer else 502)
    await asyncio.sleep(0.2)
    server.status, server.marker = 503, "X-Not-Executed: 1\r\n"
    assert (await platform.send_request("/sign/1", "marked"))[0] == 503


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
