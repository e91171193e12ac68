"""Tests that the event scanner counts tokens correctly and rejects events of other answers."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.backends.event_scanner import EventScanner

CHUNK_ID = "chatcmpl-r1"


def encode_event(
    text: str | None, identity: str = CHUNK_ID, finish_reason: str | None = None
) -> bytes:
    """Return one event whose chunk carries ``text`` and, at the end, a finish reason."""
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish_reason}
    return b"data: " + json.dumps({"id": identity, "choices": [choice]}).encode() + b"\n\n"


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(st.text(min_size=1, max_size=12) | st.just('"id": "chatcmpl-x"'), max_size=8),
    st.lists(st.integers(1, 40), min_size=1, max_size=8),
    st.booleans(),
)
def test_packet_boundaries_do_not_change_the_token_count(
    token_texts, packet_sizes, uses_crlf
) -> None:
    """Guards against lost, repeated or miscounted tokens when a packet boundary splits an event.

    Token texts that look like an identity field must not confuse the scanner.
    """
    stream = b"".join(encode_event(text) for text in token_texts) + b"data: [DONE]\n\n"
    if uses_crlf:
        stream = stream.replace(b"\n", b"\r\n")
    scanner, parts, position = EventScanner("r1", 1), [], 0
    while position < len(stream):
        packet_size = packet_sizes[len(parts) % len(packet_sizes)]
        parts.append(scanner.feed(stream[position : position + packet_size]))
        position += packet_size
    parts_with_events = [part for part in parts if part is not None]
    assert sum(part.token_count for part in parts_with_events) == len(token_texts)
    assert b"".join(part.data for part in parts_with_events) == b"".join(
        encode_event(text) for text in token_texts
    )
    assert parts_with_events[-1].is_last


@pytest.mark.parametrize(
    "stream",
    [
        encode_event("a") + encode_event("b", "chatcmpl-r2"),
        encode_event("a") + encode_event("b", "chatcmpl-r1.2"),
        encode_event("a", finish_reason="stop") + encode_event("b"),
        encode_event("a") + b"data: [DONE]\n\n" + b"x",
        b"data: nonsense\n\n",
        b"data: " + b"[" * 100_000 + b"]" * 100_000 + b"\n\n",
    ],
)
def test_invalid_or_foreign_events_are_rejected(stream: bytes) -> None:
    """Guards against events of another request or attempt, or after the end, in one block."""
    with pytest.raises(AttemptError):
        EventScanner("r1", 1).feed(stream)
