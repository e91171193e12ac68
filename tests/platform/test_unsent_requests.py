"""Tests requests that never reach a server: nothing ran, and nothing arrived anywhere."""

import asyncio

import pytest

from fake_backend_server import FakeBackendServer
from platform_stand_in import PlatformHarness
from server_links import CutKind


@pytest.fixture
async def platform(tmp_path):
    """One coordination host, one gateway and five backend servers."""
    async with PlatformHarness(tmp_path, coordinators=1) as platform:
        engines = [FakeBackendServer(f"i-{n}", "engine") for n in range(2)]
        apps = [FakeBackendServer(f"a-{n}", "app") for n in range(3)]
        await platform.start_with_backends(*engines, *apps)
        yield platform


@pytest.mark.parametrize("path", ["/look/1", "/sign/1", "/chat/1"])
async def test_request_whose_deadline_passes_before_it_is_sent_has_not_run(platform, path):
    """Guards against a caller that may not ask again since its request could have run."""
    platform.links.cut(platform.gateway_ips[0], CutKind.HANG)
    headers = {"X-Deadline-Ms": "400"}
    status, _, _ = await platform.send_request(path, "r1", **headers)
    assert status == 503


async def test_sends_that_reach_no_server_use_no_retry_budget(platform):
    """Guards against requests that are not sent again after a time in which no server was reached.

    The budget limits the requests that arrive at servers.
    """
    gateway_ip = platform.gateway_ips[0]
    platform.links.cut(gateway_ip, CutKind.RESET)
    statuses = [(await platform.send_request("/look/1", f"u{n}", "GET"))[0] for n in range(100)]
    assert set(statuses) == {503}
    context = platform.gateways[gateway_ip].context
    assert context.retry_budget("app").allows_retry(asyncio.get_running_loop().time(), 1)
