"""Tests that late, repeated and foreign announcements do not change what is known."""

import pytest

from baobabstream.routing.announcements import AnnouncementTable
from baobabstream.wire.coordination_messages import ServerState
from routing.routing_fixtures import make_announcement


@pytest.fixture
def table() -> AnnouncementTable:
    table = AnnouncementTable()
    table.merge(make_announcement(sequence=5, born_ms=100))
    return table


def state_of(table: AnnouncementTable, server_id: str = "i-1") -> ServerState:
    return table.get(server_id).state


def test_late_announcement_is_ignored(table):
    """Guards against a delayed heartbeat that brings back an older state."""
    table.merge(make_announcement(sequence=7, born_ms=100, state=ServerState.DRAINING))
    assert table.merge(make_announcement(sequence=6, born_ms=100)) == ()
    assert state_of(table) is ServerState.DRAINING


def test_draining_server_does_not_become_ready(table):
    """Guards against new work for a leaving server whose later heartbeat says ready."""
    table.merge(make_announcement(sequence=7, born_ms=100, state=ServerState.DRAINING))
    table.merge(make_announcement(sequence=8, born_ms=100))
    assert state_of(table) is ServerState.DRAINING


def test_departed_server_stays_away(table):
    """Guards against a heartbeat that arrives after the departure."""
    table.withdraw("i-1")
    assert table.merge(make_announcement(sequence=9, born_ms=100)) == ()
    assert state_of(table) is ServerState.GONE


def test_new_start_under_the_same_identity_counts(table):
    """Guards against refusing a restarted server whose sequence starts anew."""
    table.withdraw("i-1")
    assert table.merge(make_announcement(sequence=1, born_ms=200))
    assert state_of(table) is ServerState.READY


def test_departure_of_an_earlier_start_is_ignored(table):
    """Guards against a late departure that removes the restarted server."""
    table.merge(make_announcement(sequence=1, born_ms=200))
    assert table.withdraw("i-1", born_ms=100) == ()
    assert state_of(table) is ServerState.READY


def test_later_start_takes_the_address(table):
    """Guards against requests of one service at an address that another one has now."""
    table.merge(make_announcement("i-2", service="other", born_ms=300))
    assert state_of(table) is ServerState.GONE
    assert table.merge(make_announcement("i-1", sequence=99, born_ms=100)) == ()


def test_earlier_start_does_not_take_the_address_back():
    """Guards against a heartbeat that a partition held up until its sender was replaced."""
    table = AnnouncementTable()
    table.merge(make_announcement("i-2", born_ms=300))
    assert table.merge(make_announcement("i-1", born_ms=100)) == ()
    assert table.get("i-1") is None


def test_repeat_is_no_change(table):
    """Guards against waking all gateways for each heartbeat."""
    assert table.merge(make_announcement(sequence=6, born_ms=100)) == ()
    assert table.get("i-1").sequence == 6
