"""Tests what a gateway's exchange waits for, on an advanced clock."""

import asyncio

import looptime  # noqa: F401 - the plugin advances the clock of these tests
import pytest

from baobabstream.coordination.announcement_feed import AnnouncementFeed
from baobabstream.coordination.exchange_service import ExchangeService
from baobabstream.coordination.state import CoordinationState
from baobabstream.wire.coordination_messages import ExchangeRequest, ServerState
from routing.routing_fixtures import make_announcement

pytestmark = pytest.mark.looptime


@pytest.fixture
def feed() -> AnnouncementFeed:
    return AnnouncementFeed(7)


@pytest.fixture
def service(feed) -> ExchangeService:
    return ExchangeService(CoordinationState(), feed, lambda: ("a",))


def request(**changes) -> ExchangeRequest:
    fields = {
        "host": "gw-1",
        "incarnation": 1,
        "document_version": 0,
        "rollout_revision": 0,
        "epoch": 7,
        "position": 0,
        "wait_s": 0.5,
    }
    return ExchangeRequest(**(fields | changes))


async def test_exchange_waits_without_news(service):
    """Guards against a loop of empty exchanges, also with a host that heard no server."""
    began_s = asyncio.get_running_loop().time()
    reply = await service.answer(request())
    assert asyncio.get_running_loop().time() - began_s == pytest.approx(0.5, abs=0.01)
    assert (reply.rows, reply.refreshed) == ((), ())


async def test_departure_ends_the_wait(service, feed):
    """Guards against a leaving server that gateways learn of late."""
    feed.announce(make_announcement())
    waiting = asyncio.create_task(service.answer(request(position=feed.position, wait_s=5.0)))
    await asyncio.sleep(0.1)
    feed.announce(make_announcement(sequence=2, state=ServerState.DRAINING))
    reply = await waiting
    assert [row.state for row in reply.rows] == [ServerState.DRAINING]
    assert asyncio.get_running_loop().time() < 1.0


async def test_repeated_announcement_is_a_refresh(service, feed):
    """Guards against servers that expire at a gateway although they announce themselves."""
    feed.announce(make_announcement())
    position = feed.position
    feed.announce(make_announcement(sequence=2))
    reply = await service.answer(request(position=position, wait_s=0.0))
    assert (reply.rows, reply.refreshed) == ((), ("i-1",))


async def test_another_instance_sends_everything(service, feed):
    """Guards against positions of a restarted host that hide its announcements."""
    feed.announce(make_announcement())
    reply = await service.answer(request(epoch=6, position=99))
    assert [row.server_id for row in reply.rows] == ["i-1"]


async def test_departure_is_acknowledged_once_gateways_know(service, feed):
    """Guards against an acknowledgement while a gateway may still send new requests."""
    feed.announce(make_announcement())
    await service.answer(request(wait_s=0.0))
    feed.withdraw("i-1", None)
    told = asyncio.create_task(service.wait_told(0.6))
    await asyncio.sleep(0.1)
    assert not told.done()
    await service.answer(request(position=feed.position, wait_s=0.0))
    assert await told


async def test_silent_gateway_does_not_hold_up_departures(service, feed):
    """Guards against a server that gets no acknowledgement because one gateway is gone."""
    feed.announce(make_announcement())
    await service.answer(request(wait_s=0.0))
    assert not await service.wait_told(0.6)
    await asyncio.sleep(2.0)
    assert await service.wait_told(0.6)


async def test_sessions_that_differ_do_not_make_a_busy_loop(service):
    """Guards against two hosts that exchange without end because their sets cannot agree."""
    began_s = asyncio.get_running_loop().time()
    for _ in range(10):
        await service.answer(request(session_digests={"engine/v2": 5}))
    assert asyncio.get_running_loop().time() - began_s >= 0.4


async def test_gateway_ahead_of_this_host_waits(service):
    """Guards against a cut-off host that keeps gateways busy with sessions of an ended rollout."""
    service.held.add("engine/v2", [5])
    began_s = asyncio.get_running_loop().time()
    await service.answer(request(rollout_revision=4))
    assert asyncio.get_running_loop().time() - began_s == pytest.approx(0.5, abs=0.01)
