"""Tests that only complete events are released."""

from hypothesis import given
from hypothesis import strategies as st

from baobabstream.gateway.event_buffer import EventBuffer

STREAM = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 9))


@given(st.lists(st.integers(1, len(STREAM) - 1), max_size=8))
def test_any_split_gives_complete_events_in_order(split_positions):
    """Guards against an event that is lost, duplicated or cut where the received bytes split."""
    bounds = [0, *sorted(set(split_positions)), len(STREAM)]
    buffer = EventBuffer()
    released_parts = [buffer.feed(STREAM[a:b]) for a, b in zip(bounds, bounds[1:], strict=False)]
    assert b"".join(released_parts) == STREAM
    assert all(part == b"" or part.endswith(b"\n\n") for part in released_parts)
    assert buffer.last_event_id == "8"
    assert not buffer.has_partial_event


def test_partial_event_is_buffered():
    """Guards against half an event to the caller before another server continues the stream."""
    buffer = EventBuffer()
    assert buffer.feed(b"id: 1\ndata: a\n\nid: 2\nda") == b"id: 1\ndata: a\n\n"
    assert buffer.has_partial_event
    assert buffer.last_event_id == "1"
