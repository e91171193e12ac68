"""The soak's checks report what they are there for."""

from collections import Counter
from dataclasses import replace

import pytest

from soak.promises import CallerRecord, Excuses, violations_of

SIGNED = CallerRecord("a", "sign", "gw", 10.0, 10.2, 200, True, "app-1", b"app-1", True)
CHATTED = replace(SIGNED, kind="chat", body=b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n")


def found(record: CallerRecord, runs: int, excuses: Excuses | None = None) -> list[str]:
    counts = Counter({record.request_id: runs})
    return list(violations_of([record], counts, 2, excuses or Excuses()))


@pytest.mark.parametrize(
    ("record", "runs", "part"),
    [
        (SIGNED, 2, "ran 2 times"),
        (replace(SIGNED, status=503), 1, "but it ran"),
        (replace(SIGNED, status=404), 0, "denied"),
        (replace(SIGNED, signature=""), 1, "signed by ''"),
        (SIGNED, 0, "success after 0 runs"),
        (replace(CHATTED, body=CHATTED.body[:30]), 1, "not whole"),
        (replace(CHATTED, body=CHATTED.body * 2), 1, "not whole"),
        (replace(SIGNED, ended_s=15.5), 1, "ended after 5.50 s"),
        (replace(SIGNED, status=0, whole=False), 1, "cut without a disturbance"),
    ],
)
def test_broken_promise_is_reported(record: CallerRecord, runs: int, part: str) -> None:
    """Guards against a soak that passes whatever the processes do."""
    assert [part in text for text in found(record, runs)] == [True]


def test_kept_promises_are_not_reported() -> None:
    """Guards against a soak that blames what the promises allow."""
    assert not found(SIGNED, 1)
    assert not found(CHATTED, 3)
    assert not found(replace(SIGNED, status=503), 0)
    assert not found(replace(SIGNED, status=502), 1)


def test_cuts_are_excused_only_at_disturbed_hosts() -> None:
    """Guards against excuses that cover every host once one of them was disturbed."""
    cut = replace(SIGNED, status=0, whole=False)
    assert not found(cut, 1, Excuses([("gw", 9.0, 10.1)]))
    assert found(cut, 1, Excuses([("other", 9.0, 10.1)]))
    assert found(cut, 1, Excuses([("gw", 11.0, 12.0)]))
