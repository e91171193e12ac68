"""Tests how the bounded HTTP server reads requests, at a socket of its own."""

import asyncio
from contextlib import asynccontextmanager
from gzip import compress

import pytest
from aiohttp import web

from baobabstream.errors.exceptions import RequestRefused
from baobabstream.ingress.bounded_handler import client_of
from baobabstream.ingress.bounded_runner import BoundedAppRunner
from baobabstream.ingress.listening_socket import open_listening_socket
from baobabstream.ingress.request_body import read_body
from baobabstream.resources.client_resources import ClientResources
from baobabstream.resources.memory_budget import MemoryBudget
from baobabstream.routing.document import RequestLimits
from waiting import until

LIMITS = RequestLimits(2000, 100_000, header_timeout_s=0.2, idle_timeout_s=0.5)
BODY = b"\r\n\r\n".join(b"%d" % number for number in range(200))
CHUNKED_CONTENT = b"ab\r\n\r\n\r\n\r"
CHUNKED_BODY = b"5\r\nab\r\n\r\r\n4\r\n\n\r\n\r\r\n0\r\nX-Trailer: 1\r\n\r\n"


class _Server:
    """A server that returns each request's path and body."""

    def __init__(self, max_connections: int, memory_bytes: int) -> None:
        self.resources = ClientResources(max_connections, MemoryBudget(memory_bytes))
        self.release = asyncio.Event()
        self.release.set()

    async def respond(self, request: web.Request) -> web.Response:
        """Return path and body once the event is set, or the code of a refusal."""
        try:
            body = await read_body(request, LIMITS.max_body_bytes, 5.0)
        except RequestRefused as error:
            return web.Response(status=400, text=error.code.name)
        await self.release.wait()
        assert client_of(request).memory.held_bytes >= len(body)
        return web.Response(body=request.path.encode() + b" " + body)

    async def exchange(self, blocks: list[bytes], gap_s: float = 0.0) -> bytes:
        """Send blocks on a new connection, and return all bytes that come until it ends."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            for block in blocks:
                writer.write(block)
                await asyncio.sleep(gap_s)
            async with asyncio.timeout(10):
                return await reader.read()
        finally:
            writer.close()


@asynccontextmanager
async def running_server(max_connections: int = 10, memory_bytes: int = 1_000_000):
    """Run a server and yield it."""
    server = _Server(max_connections, memory_bytes)
    application = web.Application()
    application.router.add_route("*", "/{path:.*}", server.respond)
    runner = BoundedAppRunner(
        application, server.resources, lambda: LIMITS, auto_decompress=False, shutdown_timeout=0.1
    )
    await runner.setup()
    listener = open_listening_socket("127.0.0.1", 0, 16)
    server.port = listener.getsockname()[1]
    await web.SockSite(runner, listener).start()
    try:
        yield server
    finally:
        await runner.cleanup()


def request(path: str, body: bytes = b"", *fields: str) -> bytes:
    """Return a request with a body of known length, and further header lines."""
    lines = (f"POST {path} HTTP/1.1", "Host: x", f"Content-Length: {len(body)}", *fields, "", "")
    return "\r\n".join(lines).encode() + body


def chunked_request(path: str, body: bytes) -> bytes:
    """Return a request whose body is given in chunks."""
    return f"POST {path} HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n".encode() + body


def cut(data: bytes, size: int) -> list[bytes]:
    """Return bytes in pieces."""
    return [data[start : start + size] for start in range(0, len(data), size)]


@pytest.mark.parametrize("block_bytes", [1, 2, 3, 5, 7, 64, 100_000])
async def test_requests_sent_ahead_are_answered_in_order(block_bytes):
    """Guards against a body whose end is missed, or that takes bytes of the next request.

    Bodies with a length and in chunks contain and end with the bytes that end a head.
    """
    requests = (
        request("/1", BODY),
        chunked_request("/2", CHUNKED_BODY),
        request("/3"),
        chunked_request("/4", CHUNKED_BODY),
        request("/5", b"", "Connection: Upgrade", "Upgrade: websocket"),
        # Line ends before a request are ignored (RFC 9112, section 2.2).
        b"\r\n\r\n" + request("/6", b"", "Connection: close"),
    )
    async with running_server() as server:
        answer = await server.exchange(cut(b"".join(requests), block_bytes))
    chunked = CHUNKED_CONTENT
    expected = (b"/1 " + BODY, b"/2 " + chunked, b"/3 ", b"/4 " + chunked, b"/5 ", b"/6 ")
    assert answer.count(b"HTTP/1.1 200 OK") == len(requests)
    start = 0
    for content in expected:
        start = answer.index(b"\r\n\r\n" + content, start) + len(content)


async def test_body_is_passed_on_as_it_was_sent():
    """Guards against a body that is decompressed although its header says that it is not."""
    body = compress(bytes(50_000))
    async with running_server() as server:
        blocks = [request("/1", body, "Content-Encoding: gzip", "Connection: close")]
        assert (await server.exchange(blocks)).endswith(b"/1 " + body)


@pytest.mark.parametrize(
    ("blocks", "status"),
    [
        pytest.param([request("/" + "p" * 2000)], b"431", id="long-path"),
        pytest.param([request("/1", b"", "a:" + "v" * 2000)], b"431", id="long-field"),
        pytest.param([b"POST / HTTP/1.1\r\n" + b"a:\r\n" * 600], b"431", id="head-without-end"),
        pytest.param([request("/1")[:-2]], b"408", id="slow-head"),
        pytest.param([b"\x16\x03\x01 no request\r\n\r\n"], b"400", id="no-request"),
        pytest.param([request("/1", b"", *["a:b"] * 200)], b"503", id="no-memory-for-fields"),
        pytest.param([request("/1", bytes(40_000))], b"CLIENT_MEMORY_FULL", id="no-memory"),
        pytest.param([request("/1", bytes(60_000))], b"BODY_TOO_LARGE", id="never-memory"),
        pytest.param([request("/1", bytes(100_001))], b"BODY_TOO_LARGE", id="long-body"),
        pytest.param([chunked_request("/1", b"xyz\r\n")], b"MALFORMED_BODY", id="no-chunk"),
    ],
)
async def test_refused_request_gets_its_code_and_the_connection_ends(blocks, status):
    """Guards against a refusal without a code, and a server that goes on to read after it."""
    async with running_server(memory_bytes=100_000) as server:
        holder = server.resources.memory.open(lambda: None)
        holder.is_evictable = False
        assert holder.try_acquire(30_000)
        answer = await server.exchange(blocks)
    assert status in answer
    assert b'"ran": "no"' in answer or b"400 Bad Request" in answer
    assert answer.count(b"HTTP/1.") == 1


async def test_idle_and_half_open_connections_are_closed():
    """Guards against connections that stay open without an end."""
    async with running_server() as server:
        assert await server.exchange([]) == b""
        assert b"200 OK" in await server.exchange([request("/1")])
        await until(lambda: server.resources.open_connections == 0)


async def test_memory_is_given_back_after_each_request():
    """Guards against memory that is lost with each request, until none is served."""
    async with running_server(memory_bytes=100_000) as server:
        for number in range(20):
            blocks = [request(f"/{number}", bytes(20_000), "Connection: close")]
            assert b"200 OK" in await server.exchange(blocks)
        await until(lambda: server.resources.memory.held_bytes == 0)


async def test_requests_behind_one_that_takes_long_wait_unparsed():
    """Guards against requests sent ahead that fill the memory while the first one is served."""
    async with running_server() as server:
        server.release.clear()
        reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
        ahead = request("/2", b"", *["a:b"] * 100)
        writer.write(request("/1") + ahead * 2000)
        await asyncio.sleep(0.2)
        assert server.resources.memory.held_bytes < 100_000
        server.release.set()
        async with asyncio.timeout(10):
            for _ in range(2001):
                assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 200 OK")
                await reader.readexactly(3)
        writer.close()


async def test_client_that_reads_nothing_is_closed():
    """Guards against answers that wait without an end for a client to read them."""
    async with running_server() as server:
        _, writer = await asyncio.open_connection("127.0.0.1", server.port, limit=1)
        writer.write(request("/1", bytes(90_000)) * 200)
        await until(lambda: server.resources.open_connections == 1)
        await until(lambda: server.resources.open_connections == 0, 30.0)
        writer.close()
