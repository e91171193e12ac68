"""Tests a bounded HTTP server whose connections use TLS."""

import asyncio
import ssl
from contextlib import asynccontextmanager

import pytest
import trustme
import uvloop
from aiohttp import ClientSession, TCPConnector, web

from baobabstream.ingress import bounded_tls
from baobabstream.ingress.bounded_runner import BoundedAppRunner
from baobabstream.ingress.listening_socket import open_listening_socket
from baobabstream.ingress.listening_stop import stop_listening
from baobabstream.resources.client_resources import ClientResources
from baobabstream.resources.memory_budget import MemoryBudget
from baobabstream.routing.document import RequestLimits
from waiting import until

IP = "127.0.0.1"
MAX_CONNECTIONS = 4
BODY = bytes(range(256)) * 16_384


@pytest.fixture(
    params=[asyncio.DefaultEventLoopPolicy, uvloop.EventLoopPolicy], ids=["asyncio", "uvloop"]
)
def event_loop_policy(request):
    """Return the policy of the event loop: control daemons use asyncio's, entry daemons uvloop."""
    return request.param()


class _Server:
    """A server that returns the body of each request."""

    def __init__(self) -> None:
        self.resources = ClientResources(MAX_CONNECTIONS, MemoryBudget(100_000_000))
        self._authority = trustme.CA()
        context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
        self._authority.issue_cert(IP).configure_cert(context)
        application = web.Application(client_max_size=len(BODY))
        application.router.add_route("*", "/", self._respond)
        limits = RequestLimits(2000, len(BODY), header_timeout_s=1.0, idle_timeout_s=5.0)
        self.runner = BoundedAppRunner(
            application, self.resources, lambda: limits, context, shutdown_timeout=0.1
        )

    async def start(self) -> None:
        """Listen on a free port."""
        await self.runner.setup()
        self.listener = open_listening_socket(IP, 0, 16)
        self.address = self.listener.getsockname()
        self.site = web.SockSite(self.runner, self.listener)
        await self.site.start()

    async def _respond(self, request: web.Request) -> web.Response:
        return web.Response(body=await request.read())

    async def exchange(self, body: bytes) -> bytes:
        """Send a body on a new connection with TLS, and return the body of the answer."""
        context = ssl.create_default_context()
        self._authority.configure_trust(context)
        url = f"https://{IP}:{self.address[1]}/"
        async with (
            asyncio.timeout(20),
            ClientSession(connector=TCPConnector(ssl=context)) as session,
            session.post(url, data=body) as reply,
        ):
            return await reply.read()


@asynccontextmanager
async def running_server():
    """Run a server and yield it."""
    server = _Server()
    await server.start()
    try:
        yield server
    finally:
        await server.runner.cleanup()


@pytest.mark.parametrize("body", [b"", b"x", BODY], ids=["empty", "one-byte", "at-the-limit"])
async def test_bodies_pass_whole_through_small_buffers(body):
    """Guards against bytes that are lost, or never read, as the buffers of TLS are small."""
    async with running_server() as server:
        assert await server.exchange(body) == body


async def test_unfinished_handshake_holds_a_connection_until_it_ends():
    """Guards against handshakes that are not counted, or that are counted for ever."""
    async with running_server() as server:
        reader, writer = await asyncio.open_connection(*server.address)
        await until(lambda: server.resources.open_connections == 1)
        writer.write(b"this begins no handshake\r\n")
        async with asyncio.timeout(5):
            await reader.read()
        await until(lambda: server.resources.open_connections == 0)
        writer.close()


async def test_handshake_that_takes_too_long_is_ended(monkeypatch):
    """Guards against handshakes that stay open for as long as the client likes."""
    monkeypatch.setattr(bounded_tls, "HANDSHAKE_TIMEOUT_S", 0.2)
    async with running_server() as server:
        reader, writer = await asyncio.open_connection(*server.address)
        async with asyncio.timeout(5):
            assert await reader.read() == b""
        await until(lambda: server.resources.open_connections == 0)
        writer.close()


async def test_unfinished_handshakes_give_way_to_a_request():
    """Guards against clients that keep others out by handshakes that they do not finish."""
    async with running_server() as server:
        writers = [
            (await asyncio.open_connection(*server.address))[1] for _ in range(2 * MAX_CONNECTIONS)
        ]
        await until(lambda: server.resources.open_connections == MAX_CONNECTIONS)
        assert await server.exchange(b"x") == b"x"
        assert server.resources.open_connections <= MAX_CONNECTIONS
        for writer in writers:
            writer.close()


async def test_waiting_connection_without_a_handshake_does_not_hold_up_a_stop():
    """Guards against a stop that waits for the handshake of a client that sends nothing."""
    async with running_server() as server:
        asyncio.get_running_loop().remove_reader(server.listener)
        _, writer = await asyncio.open_connection(*server.address)
        async with asyncio.timeout(5):
            await stop_listening(server.runner, server.site, server.listener)
        writer.close()
