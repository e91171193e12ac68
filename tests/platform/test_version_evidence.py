"""Tests which outcomes of requests count against the version of the server, in a rollout."""

import asyncio
from contextlib import suppress

import pytest

from backends.raw_server import encode_answer
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState
from fake_backend_server import FakeBackendServer
from platform_stand_in import PlatformHarness, caller_headers, make_config
from waiting import until

TIMEOUT_MS = 800


class _UnknownRecordServer(FakeBackendServer):
    """A server that answers each request that it runs with status 404."""

    async def _run(self, request_line, headers, crashes, writer) -> None:
        """Run one request."""
        self.run_counts[headers["x-request-id"]] += 1
        stamp = f"X-Replica-Stamp: {self.server_id}\r\n"
        writer.write(encode_answer(headers["x-request-id"], status=404, extra=stamp))


@pytest.fixture
async def platform(tmp_path):
    """One coordination host and one gateway."""
    async with PlatformHarness(tmp_path, coordinators=1) as platform:
        yield platform


async def start(platform, server: FakeBackendServer, max_attempts: int = 1) -> FakeBackendServer:
    """Start a server of each service with routes of a short time-out; return the given one."""
    other_service = "app" if server.service == "engine" else "engine"
    await platform.start_with_backends(server, FakeBackendServer("i-other", other_service))
    config = make_config(2)
    for route in config["routes"]:
        route |= {"timeout_ms": TIMEOUT_MS, "max_attempts": max_attempts}
    await platform.put_config(config)
    context = platform.gateways[platform.gateway_ips[0]].context
    await until(lambda: context.route_table.document.version == 2)
    return server


def counts(platform, server: FakeBackendServer) -> tuple[int, int]:
    """Return how many good and bad responses the gateway has counted for a server."""
    context = platform.gateways[platform.gateway_ips[0]].context
    known_server = context.directory.get(server.server_id)
    return known_server.good_responses, known_server.bad_responses


@pytest.mark.parametrize(("service", "path"), [("app", "/sign/1"), ("app", "/look/1")])
async def test_request_without_an_answer_at_its_deadline_counts_against_the_version(
    platform, service, path
):
    """Guards against completing a rollout to a version that answers later than callers wait."""
    server = await start(platform, FakeBackendServer("i-1", service, answer_delay_s=2.0))
    assert (await platform.send_request(path, "r1"))[0] == 504
    assert counts(platform, server) == (0, 1)


async def test_late_response_counts_before_it_comes(platform):
    """Guards against a rollout that ends before the responses of its slow target have come."""
    server = await start(platform, FakeBackendServer("i-1", "app", answer_delay_s=0.02))
    context = platform.gateways[platform.gateway_ips[0]].context
    context.rollouts["app"] = RolloutRow("app", "v1", "v2", RolloutState.IN_PROGRESS)
    for number in range(5):
        assert (await platform.send_request("/sign/1", f"r{number}"))[0] == 200
    server.answer_delay_s = 0.5
    request = asyncio.create_task(platform.send_request("/sign/1", "late"))
    await until(lambda: counts(platform, server) == (5, 1))
    assert not request.done()
    assert (await request)[0] == 200
    assert counts(platform, server) == (5, 1)


async def test_late_refusal_does_not_count(platform):
    """Guards against blaming a version for a request that waited long and was then refused."""
    server = await start(platform, FakeBackendServer("i-1", "app", answer_delay_s=0.02))
    context = platform.gateways[platform.gateway_ips[0]].context
    context.rollouts["app"] = RolloutRow("app", "v1", "v2", RolloutState.IN_PROGRESS)
    assert (await platform.send_request("/sign/1", "r1"))[0] == 200
    server.refuses, server.refusal_delay_s = True, 0.4
    request = asyncio.create_task(platform.send_request("/sign/1", "late"))
    await until(lambda: counts(platform, server) == (1, 1))
    assert (await request)[0] == 503
    assert counts(platform, server) == (1, 0)


async def test_stream_without_an_event_at_its_deadline_counts_against_the_version(platform):
    """Guards against completing a rollout to a version whose streams begin too late."""
    server = await start(platform, FakeBackendServer("i-1", "engine", answer_delay_s=2.0))
    assert (await platform.send_request("/chat/1", "r1"))[0] == 504
    assert counts(platform, server) == (0, 1)


async def test_stream_that_is_not_complete_at_its_deadline_counts_against_the_version(platform):
    """Guards against a version whose streams begin well and hardly go on."""
    server = await start(platform, FakeBackendServer("i-1", "engine", event_gap_s=0.6))
    with suppress(Exception):
        await platform.send_request("/chat/1", "r1")
    assert counts(platform, server) == (0, 1)


async def test_request_given_up_by_its_caller_counts_only_after_a_long_wait(platform):
    """Guards against a slow version whose callers leave, and against blaming it for quick ones."""
    server = await start(platform, FakeBackendServer("i-1", "app", answer_delay_s=2.0))
    for number, wait_s in enumerate((0.1, 0.6)):
        with suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await platform.send_request("/sign/1", f"r{number}")
    await until(lambda: counts(platform, server) == (0, 1))


@pytest.mark.parametrize("path", ["/sign/1", "/look/1"])
async def test_closed_connection_of_a_living_server_counts_against_the_version(platform, path):
    """Guards against a version that closes connections in place of an answer."""
    server = await start(platform, FakeBackendServer("i-1", "app", lost_answers_left=1))
    assert (await platform.send_request(path, "r1"))[0] == 502
    await until(lambda: counts(platform, server) == (0, 1))


async def test_broken_off_stream_of_a_living_server_counts_against_the_version(platform):
    """Guards against a version whose streams count as good since they have begun."""
    server = await start(platform, FakeBackendServer("i-1", "engine", break_after_event=2))
    with suppress(Exception):
        await platform.send_request("/chat/1", "r1")
    await until(lambda: counts(platform, server) == (0, 1))


async def test_crash_of_a_server_does_not_count_against_its_version(platform):
    """Guards against rolling a good version back as machines fail."""
    server = await start(platform, FakeBackendServer("i-1", "app", answer_delay_s=0.4))
    request = asyncio.create_task(platform.send_request("/sign/1", "r1"))
    await until(lambda: server.run_counts["r1"])
    server.crash()
    assert (await request)[0] == 502
    context = platform.gateways[platform.gateway_ips[0]].context
    await until(lambda: not context.background_tasks)
    assert counts(platform, server) == (0, 0)


async def test_client_error_of_a_server_counts_against_its_version(platform):
    """Guards against a version that does not find what the previous one found."""
    server = await start(platform, _UnknownRecordServer("i-1", "app"))
    assert (await platform.send_request("/sign/1", "r1"))[0] == 404
    assert counts(platform, server) == (0, 1)


async def test_request_that_has_not_run_counts_for_no_version(platform):
    """Guards against blaming a version for a full server."""
    server = await start(platform, FakeBackendServer("i-1", "app", refuses=True))
    headers = caller_headers("r1")
    async with platform.http.post(platform.url("/sign/1"), headers=headers) as reply:
        assert reply.status == 503
    assert counts(platform, server) == (0, 0)
