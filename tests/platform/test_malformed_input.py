"""Tests that one malformed message or unexpected error ends at most its own request.

Text that cannot be encoded, and numbers over 64 bits, may be decoded from a message but not be sent
on in a message between the daemons.
"""

import asyncio
import json
import socket

import pytest
from msgspec.structs import replace

from baobabstream.errors.codes import ResultCode
from baobabstream.wire.coordination_messages import ServerState
from fake_backend_server import FakeBackendServer
from platform_stand_in import FRONT_PORT, HTTP_PORT, PlatformHarness
from waiting import until

HUGE_NUMBER = 10**30
# JSON text that no recursive decoder can read.
DEEPLY_NESTED = b"[" * 100_000 + b"]" * 100_000


@pytest.fixture
async def platform(tmp_path):
    """One coordination host and a gateway with a plain service and an engine."""
    async with PlatformHarness(tmp_path, coordinators=1) as platform:
        await platform.start_with_backends(
            FakeBackendServer("i-app", "app"), FakeBackendServer("i-engine", "engine")
        )
        yield platform


async def send_raw(ip: str, port: int, request: bytes) -> bytes:
    """Send bytes on a new connection and return the first part of the response."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(request)
        async with asyncio.timeout(5):
            return await reader.read(65536)
    finally:
        writer.close()


async def post_raw(platform, path: bytes, body: dict | bytes) -> bytes:
    """Post a body to a raw path of the coordination host and return the status line.

    A body that is no bytes is sent as JSON.
    """
    text = body if isinstance(body, bytes) else json.dumps(body).encode()
    head = b"POST %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % (path, len(text))
    response = await send_raw(platform.coordinator_ips[0], HTTP_PORT, head + text)
    return response.split(b"\r\n")[0]


async def assert_changes_still_arrive(platform) -> None:
    """Check that an announcement after the malformed message reaches the gateway."""
    server = platform.backends["i-app"]
    server.state = "draining"
    assert await platform.send_heartbeat(server)
    gateway = next(iter(platform.gateways.values()))
    directory = gateway.context.directory
    await until(lambda: directory.get("i-app").row.state is ServerState.DRAINING, 5.0)


@pytest.mark.parametrize("field", ["seq", "born", "slots"])
async def test_announcement_with_a_huge_number_is_refused(platform, field):
    """Guards against an announcement that no coordination host can pass on to any gateway."""
    body = FakeBackendServer("i-9", "app", address="10.0.0.9:80").next_heartbeat()
    path = b"/baobabstream/replicas/i-9/heartbeat"
    assert b" 400 " in await post_raw(platform, path, body | {field: HUGE_NUMBER})
    await assert_changes_still_arrive(platform)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        pytest.param("notes", DEEPLY_NESTED, id="unknown-field-nested-deeply"),
        pytest.param("models", DEEPLY_NESTED, id="known-field-nested-deeply"),
        pytest.param("slots", b"1e400", id="number-beyond-all-bounds"),
        pytest.param("address", b'"10.0.0.9:65536"', id="port-out-of-range"),
        pytest.param("address", b'"10.0.0.9:%b"' % (b"9" * 5000), id="port-of-many-digits"),
    ],
)
async def test_odd_announcement_is_refused_with_a_code(platform, field, value):
    """Guards against one announcement of another writer that ends what reads it, or stops it."""
    body = FakeBackendServer("i-9", "app", address="10.0.0.9:80").next_heartbeat()
    body.pop(field, None)
    text = json.dumps(body).encode()[:-1] + b', "%b": %b}' % (field.encode(), value)
    path = b"/baobabstream/replicas/i-9/heartbeat"
    assert b" 400 " in await post_raw(platform, path, text)
    await assert_changes_still_arrive(platform)


async def test_nested_departure_still_removes_its_server(platform):
    """Guards against a server that stays in use, as its departure has a field nested deeply."""
    text = b'{"notes": %b}' % DEEPLY_NESTED
    path = b"/baobabstream/replicas/i-engine/deregister"
    assert b" 200 " in await post_raw(platform, path, text)
    directory = next(iter(platform.gateways.values())).context.directory
    await until(lambda: directory.get("i-engine") is None, 5.0)


async def test_nested_configuration_is_refused_with_a_code(platform):
    """Guards against an operator who is told to try an unreadable configuration again."""
    text = b'{"version": 9, "routes": [], "services": [], "notes": %b}' % DEEPLY_NESTED
    assert b" 400 " in await post_raw(platform, b"/baobabstream/config/put", text)


@pytest.mark.parametrize("server_id", [b"i-\xff", b"i-" + b"9" * 5000])
async def test_announcement_with_an_unusable_identity_is_refused(platform, server_id):
    """Guards against an identity that no coordination host can pass on to any gateway."""
    body = FakeBackendServer("i-9", "app", address="10.0.0.9:80").next_heartbeat()
    path = b"/baobabstream/replicas/%b/heartbeat" % server_id
    assert b" 400 " in await post_raw(platform, path, body)
    await assert_changes_still_arrive(platform)


async def test_departure_with_a_huge_start_time_does_not_stop_the_exchanges(platform):
    """Guards against a departure that no coordination host can pass on to any gateway."""
    path = b"/baobabstream/replicas/i-engine/deregister"
    await post_raw(platform, path, {"born": HUGE_NUMBER})
    await assert_changes_still_arrive(platform)


@pytest.mark.parametrize(
    ("path", "body"),
    [
        (b"/baobabstream/config/put", {"version": HUGE_NUMBER, "routes": [], "services": []}),
        (
            b"/baobabstream/rollouts/start",
            {"service": "app", "target": "v2", "duration_s": -HUGE_NUMBER},
        ),
    ],
)
async def test_order_with_an_unusable_number_is_refused(platform, path, body):
    """Guards against an order that fails without a code, or changes the state before it fails."""
    assert b" 400 " in await post_raw(platform, path, body)
    await assert_changes_still_arrive(platform)


@pytest.mark.parametrize("name", [b"X-Request-Id", b"Session", b"X-Model", b"Last-Event-Id"])
async def test_request_with_undecodable_header_is_refused_with_a_code(platform, name):
    """Guards against an unexpected error, without a code, for bytes that are no text."""
    headers = {
        b"Host": b"desk.example",
        b"X-Request-Id": b"r1",
        b"X-Api-Key": b"desk-key",
        b"X-Model": b"*",
    }
    headers[name] = b"\xff\xfe"
    lines = b"".join(b"%b: %b\r\n" % item for item in headers.items())
    head = b"POST /chat/1 HTTP/1.1\r\n%bContent-Length: 0\r\n\r\n" % lines
    response = await send_raw(platform.gateway_ips[0], FRONT_PORT, head)
    assert response.startswith(b"HTTP/1.1 400 ")
    assert b'"code":1031' in response.replace(b" ", b"")


@pytest.mark.parametrize("tokens", ["9" * 30, "9" * 5000, str(2**63)])
async def test_prompt_part_with_a_huge_number_is_refused_and_changes_still_arrive(platform, tokens):
    """Guards against one caller's number that ends a gateway's exchanges until its restart."""
    status, _, body = await platform.send_request(
        "/chat/1", "r1", **{"X-Prompt-Prefix": f"c0:{tokens},d0:20"}
    )
    assert (status, json.loads(body)["error"]["code"]) == (400, ResultCode.MALFORMED_HEADER)
    await assert_changes_still_arrive(platform)


async def test_report_that_cannot_be_sent_does_not_end_the_exchanges(platform, monkeypatch):
    """Guards against a gateway that learns nothing more after one report that fails to encode."""
    gateway = next(iter(platform.gateways.values()))
    make_report, failures = gateway.report, []

    def report_huge_number_once(contact, wait_s):
        report = make_report(contact, wait_s)
        if not failures:
            failures.append(report)
            return replace(report, document_version=HUGE_NUMBER)
        return report

    monkeypatch.setattr(gateway, "report", report_huge_number_once)
    await until(lambda: failures, 5.0)
    await assert_changes_still_arrive(platform)


async def test_unexpected_error_of_a_request_has_a_code(platform, monkeypatch):
    """Guards against a caller and an engineer on call who learn nothing about an error."""
    gateway = next(iter(platform.gateways.values()))

    def fail(*_):
        raise ZeroDivisionError

    monkeypatch.setattr(gateway.context.crash_tracker, "find_quarantine", fail)
    status, _, body = await platform.send_request("/look/1", "r1", "GET")
    assert (status, json.loads(body)["error"]["code"]) == (500, 1034)
    monkeypatch.undo()
    assert (await platform.send_request("/look/1", "r2", "GET"))[0] == 200


async def test_reply_that_cannot_be_applied_does_not_end_the_exchanges(platform, monkeypatch):
    """Guards against a gateway that learns nothing more after one unexpected error."""
    gateway = next(iter(platform.gateways.values()))
    apply_reply, failures = gateway.apply_reply, []

    def fail_once(host, reply):
        if not failures:
            failures.append(reply)
            raise ZeroDivisionError
        apply_reply(host, reply)

    monkeypatch.setattr(gateway, "apply_reply", fail_once)
    await until(lambda: failures, 5.0)
    await assert_changes_still_arrive(platform)


async def test_half_a_request_does_not_occupy_a_gateway(platform):
    """Guards against a connection that ends within a request and takes the process down."""
    with socket.create_connection((platform.gateway_ips[0], FRONT_PORT)) as connection:
        connection.sendall(b"POST /chat/1 HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf")
    assert (await platform.send_request("/look/1", "r2", "GET"))[0] == 200
