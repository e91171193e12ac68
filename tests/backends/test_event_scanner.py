"""Events of an answer are counted and checked without decoding each one."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.backends.event_scanner import EventScanner

ID = "chatcmpl-r1"


def event(text: str | None, identity: str = ID, finish: str | None = None) -> bytes:
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": finish}
    return b"data: " + json.dumps({"id": identity, "choices": [choice]}).encode() + b"\n\n"


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(st.text(min_size=1, max_size=12) | st.just('"id": "chatcmpl-x"'), max_size=8),
    st.lists(st.integers(1, 40), min_size=1, max_size=8),
    st.booleans(),
)
def test_any_cut_gives_the_same_tokens(texts, sizes, carriage_returns) -> None:
    """Guards against tokens lost, doubled or miscounted where packets cut events."""
    raw = b"".join(event(text) for text in texts) + b"data: [DONE]\n\n"
    if carriage_returns:
        raw = raw.replace(b"\n", b"\r\n")
    scanner, parts, start = EventScanner("r1", 1), [], 0
    while start < len(raw):
        size = sizes[len(parts) % len(sizes)]
        parts.append(scanner.feed(raw[start : start + size]))
        start += size
    whole = [part for part in parts if part is not None]
    assert sum(part.tokens for part in whole) == len(texts)
    assert b"".join(part.data for part in whole) == b"".join(event(text) for text in texts)
    assert whole[-1].done


@pytest.mark.parametrize(
    "raw",
    [
        event("a") + event("b", "chatcmpl-r2"),
        event("a") + event("b", "chatcmpl-r1.2"),
        event("a", finish="stop") + event("b"),
        event("a") + b"data: [DONE]\n\n" + b"x",
        b"data: nonsense\n\n",
    ],
)
def test_foreign_events_are_refused(raw: bytes) -> None:
    """Guards against a crossed, late or doubled answer inside one block."""
    with pytest.raises(AttemptError):
        EventScanner("r1", 1).feed(raw)
