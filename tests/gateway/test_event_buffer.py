"""Tests that only whole events are passed on."""

from hypothesis import given
from hypothesis import strategies as st

from baobabstream.gateway.event_buffer import EventCutter

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 9))


@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=8))
def test_any_split_gives_whole_events_in_order(places):
    """Guards against an event that is lost, doubled or cut where the bytes were split."""
    bounds = [0, *sorted(set(places)), len(STREAM)]
    cutter = EventCutter()
    parts = [cutter.feed(STREAM[a:b]) for a, b in zip(bounds, bounds[1:], strict=False)]
    assert b"".join(parts) == STREAM
    assert all(part == b"" or part.endswith(b"\n\n") for part in parts)
    assert cutter.last_event_id == "8"
    assert not cutter.pending


def test_part_of_an_event_is_held_back():
    """Guards against a caller that gets half an event before the stream goes on elsewhere."""
    cutter = EventCutter()
    assert cutter.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert cutter.pending
    assert cutter.last_event_id == "1"
