"""Connections to engines and the rating service."""

import asyncio
from contextlib import AsyncExitStack

import pytest
from aiohttp import web

from baobabstream.backends.engine_client import EngineClient, EngineLimits, EngineRequest
from baobabstream.backends.event_scanner import StreamPart
from baobabstream.backends.rating_client import RatingClient, RatingQuestion
from baobabstream.entry.load_meter import JOINED_BLOCK_GAP_S, LoadMeter
from entry_harness import FakeServer, start_app, start_server


async def ask(client: EngineClient, url: str) -> int:
    request = EngineRequest(url, "r", 1, "small", "1", 0, 0, {"messages": []})
    parts: list[StreamPart] = []
    await client.stream(request, parts.append)
    return sum(part.tokens for part in parts)


@pytest.mark.parametrize(("idle_s", "connections"), [(30.0, 1), (0.05, 2)])
async def test_idle_connection_is_not_handed_out(idle_s: float, connections: int) -> None:
    """Guards against requests on pooled connections that were dropped while they were idle."""
    async with AsyncExitStack() as stack:
        server = FakeServer("a")
        await start_server(stack, server)
        client = EngineClient(EngineLimits(idle_connection_s=idle_s))
        stack.push_async_callback(client.close)
        assert await ask(client, server.url) == 5
        await asyncio.sleep(0.1)
        assert await ask(client, server.url) == 5
        assert len(server.client_ports) == connections


@pytest.mark.parametrize(
    ("reply", "good"),
    [({"good": True}, True), ({"good": False}, False), ({"good": "no"}, None), ([], None)],
)
async def test_only_a_clear_rating_counts(reply, good) -> None:
    """Guards against a faulty rating service that makes answers look bad."""

    async def rate(request: web.Request) -> web.Response:
        assert (await request.json())["answer"] == "text"
        return web.json_response(reply)

    async with AsyncExitStack() as stack:
        app = web.Application()
        app.router.add_post("/v1/ratings", rate)
        client = RatingClient(await start_app(stack, app), 1.0)
        stack.push_async_callback(client.close)
        assert await client.rate(RatingQuestion("r", "small", "1", [], "text")) is good


async def test_blocks_are_joined_only_while_the_core_is_busy() -> None:
    """Guards against a busy core that relays each token alone, and against delay at low load."""
    meter = LoadMeter()
    for share, gap_s in (
        (0.8, 0.0),
        (0.9, JOINED_BLOCK_GAP_S),
        (0.7, JOINED_BLOCK_GAP_S),
        (0.4, 0.0),
    ):
        meter.update(share)
        assert meter.block_gap_s == gap_s
    async with AsyncExitStack() as stack:
        server = FakeServer("a", token_count=50)
        await start_server(stack, server)
        client = EngineClient(EngineLimits(), lambda: 0.02)
        stack.push_async_callback(client.close)
        parts: list[StreamPart] = []
        await client.stream(EngineRequest(server.url, "r", 1, "small", "1", 0, 0, {}), parts.append)
        assert sum(part.tokens for part in parts) == 50
        assert len(parts) < 25
