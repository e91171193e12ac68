"""Tests when the exchange of a gateway is answered, on a simulated clock."""

import asyncio

import looptime  # noqa: F401 - the plugin advances the clock of these tests
import pytest

from baobabstream.coordination.announcement_feed import MAX_SILENCE_S, AnnouncementFeed
from baobabstream.coordination.exchange_service import ExchangeService
from baobabstream.coordination.state import (
    CoordinationMachine,
    CoordinationState,
    StartRollout,
    StoreDocument,
)
from baobabstream.wire.coordination_messages import (
    ExchangeRequest,
    Quarantine,
    ServerCrash,
    ServerState,
)
from routing.routing_fixtures import make_announcement

pytestmark = pytest.mark.looptime


@pytest.fixture
def feed() -> AnnouncementFeed:
    """Return an empty feed with the epoch 7."""
    return AnnouncementFeed(7)


@pytest.fixture
def service(feed) -> ExchangeService:
    """Return an exchange service of the host ``a`` without a configuration."""
    return ExchangeService(CoordinationState(), feed, lambda: ("a",))


def request(**changes) -> ExchangeRequest:
    """Return the exchange of a gateway that lacks nothing of an empty feed."""
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


async def test_exchange_waits_without_changes(service):
    """Guards against a loop of empty exchanges, also with a host without announcements."""
    started_s = asyncio.get_running_loop().time()
    reply = await service.answer(request())
    assert asyncio.get_running_loop().time() - started_s == pytest.approx(0.5, abs=0.01)
    assert (reply.rows, reply.refreshed) == ((), ())


async def test_departure_ends_the_wait(service, feed):
    """Guards against gateways that learn late that a server is leaving."""
    feed.announce(make_announcement())
    exchange = asyncio.create_task(service.answer(request(position=feed.position, wait_s=5.0)))
    await asyncio.sleep(0.1)
    feed.announce(make_announcement(sequence=2, state=ServerState.DRAINING))
    reply = await exchange
    assert [row.state for row in reply.rows] == [ServerState.DRAINING]
    assert asyncio.get_running_loop().time() < 1.0


async def test_repeated_announcement_is_a_refresh(service, feed):
    """Guards against servers that expire at a gateway although they announce themselves."""
    feed.announce(make_announcement())
    position = feed.position
    feed.announce(make_announcement(sequence=2))
    reply = await service.answer(request(position=position, wait_s=0.0))
    assert (reply.rows, reply.refreshed) == ((), ("i-1",))


async def test_position_of_another_epoch_gets_all_rows(service, feed):
    """Guards against announcements that are skipped due to a position from before a restart."""
    feed.announce(make_announcement())
    reply = await service.answer(request(epoch=6, position=99))
    assert [row.server_id for row in reply.rows] == ["i-1"]


async def test_departure_is_confirmed_by_the_next_exchange(service, feed):
    """Guards against an acknowledgement while a gateway may still send new requests."""
    feed.announce(make_announcement())
    await service.answer(request(wait_s=0.0))
    feed.withdraw("i-1", None)
    confirmation = asyncio.create_task(service.wait_until_confirmed(0.6))
    await asyncio.sleep(0.1)
    assert not confirmation.done()
    await service.answer(request(position=feed.position, wait_s=0.0))
    assert await confirmation


async def test_silent_gateway_does_not_delay_departures(service, feed):
    """Guards against departures that stay unconfirmed because one gateway is gone."""
    feed.announce(make_announcement())
    await service.answer(request(wait_s=0.0))
    assert not await service.wait_until_confirmed(0.6)
    await asyncio.sleep(2.0)
    assert await service.wait_until_confirmed(0.6)


async def test_different_sessions_do_not_cause_a_busy_loop(service):
    """Guards against two hosts that exchange without a pause since their sets cannot agree."""
    started_s = asyncio.get_running_loop().time()
    for _ in range(10):
        await service.answer(request(session_digests={"engine/v2": 5}))
    assert asyncio.get_running_loop().time() - started_s >= 0.4


async def test_gateway_with_newer_rollouts_waits(service):
    """Guards against a busy loop between gateways and a host that missed a rollout's end."""
    service.pinned_sessions.add("engine/v2", [5])
    started_s = asyncio.get_running_loop().time()
    await service.answer(request(rollout_revision=4))
    assert asyncio.get_running_loop().time() - started_s == pytest.approx(0.5, abs=0.01)


async def test_restarted_host_sends_no_configuration_before_it_has_caught_up(feed):
    """Guards against a restarted gateway that accepts a key that was withdrawn.

    The host's disk has an older configuration and a rollout that has been rolled back since.
    """
    state = CoordinationState()
    machine = CoordinationMachine(state)
    machine.apply(StoreDocument(4, b"with the withdrawn key"))
    machine.apply(StartRollout("engine", "v2", 10.0))
    has_caught_up = False
    service = ExchangeService(state, feed, lambda: ("a",), lambda: has_caught_up)
    reply = await service.answer(request())
    assert (reply.document, reply.rollout_revision, reply.rollouts) == (b"", 0, ())
    has_caught_up = True
    reply = await service.answer(request())
    assert reply.document == b"with the withdrawn key"
    assert len(reply.rollouts) == 1


async def test_server_that_was_silent_is_not_sent_to_a_new_gateway(service, feed):
    """Guards against a restarted gateway that uses a server that has left or crashed.

    The server announced itself here once and later to another host, which has restarted since.
    """
    feed.announce(make_announcement())
    known_position = feed.position
    await asyncio.sleep(MAX_SILENCE_S + 0.1)
    assert (await service.answer(request(epoch=0))).rows == ()
    feed.announce(make_announcement(sequence=9))
    reply = await service.answer(request(position=known_position, wait_s=0.0))
    assert [row.server_id for row in reply.rows] == ["i-1"]


async def test_departed_server_stays_known_after_a_long_time(service, feed):
    """Guards against a late announcement that a new gateway takes for that of a ready server."""
    feed.announce(make_announcement())
    feed.withdraw("i-1", None)
    await asyncio.sleep(MAX_SILENCE_S + 0.1)
    assert [row.state for row in (await service.answer(request(epoch=0))).rows] == [
        ServerState.GONE
    ]


async def test_crash_and_quarantine_end_the_wait(service):
    """Guards against gateways that learn late which requests crash servers.

    A new crash asks the gateways at once whether requests with its keys survive elsewhere.
    """
    crashes = [
        ServerCrash(f"i-{number}", 0, (("bad", "topic", f"r{number}"),)) for number in range(3)
    ]
    await service.answer(request(host="gw-2", crashes=crashes[:1], wait_s=0.0))
    await asyncio.sleep(1.0)
    first_revision = service.crash_reports.revision
    exchange = asyncio.create_task(
        service.answer(request(wait_s=5.0, crash_revision=first_revision))
    )
    await asyncio.sleep(1.0)
    await service.answer(request(host="gw-2", crashes=crashes[1:2], wait_s=0.0))
    reply = await exchange
    assert asyncio.get_running_loop().time() < 2.2
    assert reply.suspects == ("bad", "topic")
    await asyncio.sleep(1.0)
    await service.answer(request(host="gw-2", crashes=crashes[2:], wait_s=0.0))
    exchange = asyncio.create_task(
        service.answer(
            request(survivals={"topic": 3.0}, crash_revision=service.crash_reports.revision)
        )
    )
    await asyncio.sleep(0.3)
    await service.answer(request(host="gw-2", wait_s=0.0))
    reply = await exchange
    assert asyncio.get_running_loop().time() < 3.6
    assert [quarantine.keys for quarantine in reply.quarantines] == [("bad",)]


async def test_quarantine_outlasts_a_restart_of_the_coordination_host(service):
    """Guards against requests that crash servers again after all coordination hosts restarted."""
    reply = await service.answer(request(quarantines=(Quarantine(("bad",), 5.0),), wait_s=0.0))
    assert reply.quarantines == (Quarantine(("bad",), 5.0),)
