"""Tests in calm that a request at each limit is served, however its bytes are divided.

The daemons run as processes with the memory of the smallest hosts.
"""

import asyncio
from itertools import chain, count
from json import dumps

import pytest

from baobabstream.telemetry.statistics import StatisticName
from baobabstream.telemetry.statistics_page import METRICS_PATH, METRICS_PORT
from crowds.misbehaving_clients import MAX_BODY_BYTES, MAX_HEADER_BYTES
from crowds.platform_under_crowds import REQUEST_LIMITS, run_small_platform, serve_in_time
from platform_stand_in import FRONT_PORT, HTTP_PORT, caller_headers, make_config

# Longest time for one request; only guards against one that never ends.
RESPONSE_TIMEOUT_S = 60.0
BODY = b"b" * MAX_BODY_BYTES


@pytest.fixture
async def platform(tmp_path):
    """A coordination host, a gateway and a server of each service."""
    async with run_small_platform(tmp_path) as platform:
        yield platform


async def has_configuration(platform, version: int) -> bool:
    """Return whether the gateway has a version of the configuration in force."""
    url = f"http://{platform.gateway_ips[0]}:{METRICS_PORT}{METRICS_PATH}"
    async with platform.http.get(url) as reply:
        return f"{StatisticName.DOCUMENT_VERSION} {float(version)}" in await reply.text()


def pieces(data: bytes, piece_bytes: int) -> list[bytes]:
    """Return bytes in pieces."""
    return [data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes)]


def chunks(data: bytes, chunk_bytes: int) -> bytes:
    """Return a body in chunks."""
    parts = (b"%x\r\n%b\r\n" % (len(part), part) for part in pieces(data, chunk_bytes))
    return b"".join(chain(parts, (b"0\r\n\r\n",)))


def head(path: str, *fields: str) -> bytes:
    """Return the head of a caller's request."""
    known = (f"{name}: {value}" for name, value in caller_headers("r-limit").items())
    return "\r\n".join((f"POST {path} HTTP/1.1", *known, *fields, "", "")).encode()


async def send(ip: str, port: int, blocks: list[bytes]) -> bytes:
    """Send a request in blocks on a connection of its own, and return the status line."""
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        async with asyncio.timeout(RESPONSE_TIMEOUT_S):
            for block in blocks:
                writer.write(block)
                await writer.drain()
            return await reader.readline()
    finally:
        writer.close()


@pytest.mark.parametrize("path", ["/look/1", "/sign/1", "/chat/1"])
@pytest.mark.parametrize(
    ("fields", "body", "piece_bytes"),
    [
        pytest.param((f"Content-Length: {len(BODY)}",), BODY, len(BODY), id="one-piece"),
        pytest.param((f"Content-Length: {len(BODY)}",), BODY, 100, id="pieces-of-100-bytes"),
        pytest.param(("Transfer-Encoding: chunked",), chunks(BODY, 65536), 8192, id="long-chunks"),
        pytest.param(("Transfer-Encoding: chunked",), chunks(BODY, 8), 8192, id="chunks-of-8"),
        pytest.param(("Transfer-Encoding: chunked",), chunks(BODY, 1), 8192, id="chunks-of-1"),
    ],
)
async def test_body_at_the_limit_is_served(platform, path, fields, body, piece_bytes):
    """Guards against a bound on clients that a request inside the limits meets."""
    # A server needs time to read so much, and the caller says that it will wait.
    timed_head = head(path, *fields).replace(b"X-Deadline-Ms: 4000", b"X-Deadline-Ms: 60000")
    config = make_config(2, limits=REQUEST_LIMITS)
    for route in config["routes"]:
        route["timeout_ms"] = 60000
    await platform.put_config(config)
    # Until then the time-out of the first configuration limits the time for the body.
    await serve_in_time(lambda: has_configuration(platform, 2))
    blocks = [timed_head, *pieces(body, piece_bytes)]
    status_line = await send(platform.gateway_ips[0], FRONT_PORT, blocks)
    assert b" 200 " in status_line


def _short_fields(byte_count: int) -> list[str]:
    """Return as many short fields as fit, which fill a number of bytes with their line ends."""
    fields = []
    for number in count():
        field = f"x{number:x}:"
        if len(field) + 2 + 4 > byte_count:
            # The last field fills what is left.
            return [*fields, f"y:{'v' * (byte_count - 4)}"]
        byte_count -= len(field) + 2
        fields.append(field)
    raise AssertionError("the numbers have no end")


@pytest.mark.parametrize("piece_bytes", [1, 1000, MAX_HEADER_BYTES])
@pytest.mark.parametrize("kind", ["one long field", "many short fields", "long path"])
async def test_head_at_the_limit_is_served(platform, kind, piece_bytes):
    """Guards against a bound on a part of the head beside the limit on the whole head."""
    free_bytes = MAX_HEADER_BYTES - len(head("/look/", "Content-Length: 0"))
    path, fields = "/look/", ["Content-Length: 0"]
    if kind == "long path":
        path += "p" * free_bytes
    elif kind == "one long field":
        fields.append(f"X-Note: {'n' * (free_bytes - len('X-Note: ') - 2)}")
    else:
        fields += _short_fields(free_bytes)
    full_head = head(path, *fields)
    assert len(full_head) == MAX_HEADER_BYTES
    blocks = pieces(full_head, piece_bytes)
    assert b" 200 " in await send(platform.gateway_ips[0], FRONT_PORT, blocks)


@pytest.mark.parametrize("piece_bytes", [100, MAX_BODY_BYTES])
async def test_configuration_at_the_limit_is_stored(platform, piece_bytes):
    """Guards against a bound on operators that a configuration inside the limits meets."""
    text = dumps(make_config(2, limits=REQUEST_LIMITS)).encode().ljust(MAX_BODY_BYTES)
    request = (
        b"POST /baobabstream/config/put HTTP/1.1\r\nHost: control\r\n"
        b"Content-Length: %d\r\n\r\n" % len(text)
    )
    blocks = [request, *pieces(text, piece_bytes)]
    assert b" 200 " in await send(platform.coordinator_ips[0], HTTP_PORT, blocks)
