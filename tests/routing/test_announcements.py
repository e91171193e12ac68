"""Tests that late and repeated announcements do not change the announcement table."""

import pytest

from baobabstream.routing.announcements import AnnouncementTable
from baobabstream.wire.coordination_messages import ServerState
from routing.routing_fixtures import make_announcement


@pytest.fixture
def table() -> AnnouncementTable:
    """Return a table with the ready server ``i-1``."""
    table = AnnouncementTable()
    table.merge(make_announcement(sequence=5, born_ms=100))
    return table


def state_of(table: AnnouncementTable, server_id: str = "i-1") -> ServerState:
    """Return the state of a server in the table."""
    return table.get(server_id).state


def test_late_announcement_is_ignored(table):
    """Guards against a delayed heartbeat that restores an older state."""
    table.merge(make_announcement(sequence=7, born_ms=100, state=ServerState.DRAINING))
    assert table.merge(make_announcement(sequence=6, born_ms=100)) == ()
    assert state_of(table) is ServerState.DRAINING


def test_draining_server_does_not_become_ready(table):
    """Guards against new requests to a draining server whose later heartbeat says ready."""
    table.merge(make_announcement(sequence=7, born_ms=100, state=ServerState.DRAINING))
    table.merge(make_announcement(sequence=8, born_ms=100))
    assert state_of(table) is ServerState.DRAINING


def test_heartbeat_after_departure_is_ignored(table):
    """Guards against a late heartbeat that restores a server that has left."""
    table.withdraw("i-1")
    assert table.merge(make_announcement(sequence=9, born_ms=100)) == ()
    assert state_of(table) is ServerState.GONE


def test_restart_under_the_same_identity_is_accepted(table):
    """Guards against ignoring a restarted server whose sequence numbers start again at 1."""
    table.withdraw("i-1")
    assert table.merge(make_announcement(sequence=1, born_ms=200))
    assert state_of(table) is ServerState.READY


def test_departure_of_an_earlier_start_is_ignored(table):
    """Guards against a late departure that removes the restarted server."""
    table.merge(make_announcement(sequence=1, born_ms=200))
    assert table.withdraw("i-1", born_ms=100) == ()
    assert state_of(table) is ServerState.READY


def test_later_start_replaces_the_server_at_its_address(table):
    """Guards against sending one service's requests to an address that now serves another."""
    table.merge(make_announcement("i-2", service="other", born_ms=300))
    assert state_of(table) is ServerState.GONE
    assert table.merge(make_announcement("i-1", sequence=99, born_ms=100)) == ()


def test_earlier_start_does_not_replace_the_server_at_its_address():
    """Guards against a heartbeat that a network partition delayed until its sender was replaced."""
    table = AnnouncementTable()
    table.merge(make_announcement("i-2", born_ms=300))
    assert table.merge(make_announcement("i-1", born_ms=100)) == ()
    assert table.get("i-1") is None


def test_repeated_announcement_is_not_a_change(table):
    """Guards against waking all gateways for each heartbeat."""
    assert table.merge(make_announcement(sequence=6, born_ms=100)) == ()
    assert table.get("i-1").sequence == 6


@pytest.mark.parametrize("known_born_ms", [None, 1, 2])
def test_departure_holds_whatever_was_known_of_the_server(known_born_ms):
    """Guards against a departure that is acknowledged and dropped, as a host has just started."""
    table = AnnouncementTable()
    if known_born_ms is not None:
        table.merge(make_announcement("s", born_ms=known_born_ms))
    (gone_row,) = table.withdraw("s", 2)
    assert (gone_row.state, gone_row.born_ms) == (ServerState.GONE, 2)
    assert table.withdraw("s", 2) == ()
    assert table.merge(make_announcement("s", born_ms=2, sequence=9)) == ()
    other_table = AnnouncementTable()
    other_table.merge(make_announcement("s", born_ms=2, sequence=9))
    assert other_table.withdraw(gone_row.server_id, gone_row.born_ms)
    (next_row,) = table.merge(make_announcement("s", born_ms=3))
    assert next_row.state is ServerState.READY
