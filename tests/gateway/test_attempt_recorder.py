"""Tests what is recorded of a backend server from its answers."""

import asyncio

import pytest

from baobabstream.backends.http_connection import AnswerHead
from baobabstream.gateway.attempt_recorder import MAX_PAUSE_S, AttemptRecorder


@pytest.mark.parametrize(
    ("status", "retry_after", "expected_s"),
    [
        (503, "2", 2.0),
        (503, "0.25", 0.25),
        (503, "9e9", MAX_PAUSE_S),
        (503, "-1", 0.0),
        (503, "nan", 0.0),
        (503, "Wed, 21 Oct 2026 07:28:00 GMT", 0.0),
        (500, "2", 0.0),
        (421, "2", 0.0),
    ],
)
async def test_only_a_valid_pause_of_a_refusal_counts(context, status, retry_after, expected_s):
    """Guards against taking a server out by a malformed header or another server's answer."""
    recorder = AttemptRecorder(None, context)
    server = context.directory.get("old")
    head = AnswerHead(status, (("Retry-After", retry_after), ("Server-Leaving", "0")))
    recorder.record_notices(server, head)
    now_s = asyncio.get_running_loop().time()
    assert max(0.0, server.refuses_until_s - now_s) == pytest.approx(expected_s, abs=0.05)
    assert not server.is_leaving
