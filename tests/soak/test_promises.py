"""The checks of the soak report every kind of broken promise, and nothing else."""

from collections import Counter
from dataclasses import replace

import pytest

from soak.promises import CallerRecord, DisturbedPeriods, find_violations

SIGN_RECORD = CallerRecord("a", "sign", "gw", 10.0, 10.2, 200, True, "app-1", b"app-1", True)
CHAT_RECORD = replace(
    SIGN_RECORD, route="chat", body=b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
)


def violations_for(
    record: CallerRecord, run_count: int, disturbed_periods: DisturbedPeriods | None = None
) -> list[str]:
    """Return the violations reported for one request of streams with two events."""
    run_counts = Counter({record.request_id: run_count})
    return list(find_violations([record], run_counts, 2, disturbed_periods or DisturbedPeriods()))


@pytest.mark.parametrize(
    ("record", "run_count", "expected_text"),
    [
        (SIGN_RECORD, 2, "ran 2 times"),
        (replace(SIGN_RECORD, status=503), 1, "but it ran"),
        (replace(SIGN_RECORD, status=404), 0, "denied"),
        (replace(SIGN_RECORD, signature=""), 1, "signed by ''"),
        (SIGN_RECORD, 0, "success after 0 runs"),
        (replace(CHAT_RECORD, body=CHAT_RECORD.body[:30]), 1, "not complete"),
        (replace(CHAT_RECORD, body=CHAT_RECORD.body * 2), 1, "not complete"),
        (replace(SIGN_RECORD, ended_s=15.5), 1, "ended after 5.50 s"),
        (replace(SIGN_RECORD, status=0, is_complete=False), 1, "broken without a disturbance"),
    ],
)
def test_broken_promise_is_reported(
    record: CallerRecord, run_count: int, expected_text: str
) -> None:
    """Guards against a soak that passes although a promise was broken."""
    assert [expected_text in violation for violation in violations_for(record, run_count)] == [True]


def test_kept_promises_are_not_reported() -> None:
    """Guards against a soak that reports outcomes which the promises permit."""
    assert not violations_for(SIGN_RECORD, 1)
    assert not violations_for(CHAT_RECORD, 3)
    assert not violations_for(replace(SIGN_RECORD, status=503), 0)
    assert not violations_for(replace(SIGN_RECORD, status=502), 1)


def test_broken_connections_are_excused_only_at_disturbed_hosts() -> None:
    """Guards against a disturbance of one host that excuses broken connections at every host."""
    broken_connection = replace(SIGN_RECORD, status=0, is_complete=False)
    assert not violations_for(broken_connection, 1, DisturbedPeriods([("gw", 9.0, 10.1)]))
    assert violations_for(broken_connection, 1, DisturbedPeriods([("other", 9.0, 10.1)]))
    assert violations_for(broken_connection, 1, DisturbedPeriods([("gw", 11.0, 12.0)]))
