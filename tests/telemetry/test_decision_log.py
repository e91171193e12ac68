"""Tests the decision log and the statistics of a daemon.

The log writes one JSON line for each decision, at most a certain number per second, and never
blocks. Lines of failures and refusals are important; those of served requests are ordinary and
dropped first.
"""

import json
import os
import time

import pytest

from baobabstream.telemetry.decision_log import (
    EVENT_FIELDS,
    MAX_IMPORTANT_PER_S,
    MAX_ORDINARY_PER_S,
    MAX_TEXT_LENGTH,
    DecisionEvent,
    DecisionLog,
)
from baobabstream.telemetry.statistics import StatisticName, Statistics
from baobabstream.telemetry.statistics_page import render_statistics


@pytest.fixture
def pipe():
    """Yield the read and the write end of a pipe."""
    read_end, write_end = os.pipe()
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def flushed_lines(read_end: int, log: DecisionLog) -> list[dict]:
    """Flush a log and return all lines that are in its pipe."""
    log.flush()
    # Seconds for the writing thread to write.
    time.sleep(0.1)
    # More bytes than a pipe holds.
    return [json.loads(line) for line in os.read(read_end, 1_000_000).splitlines()]


def test_a_decision_is_one_json_line(pipe):
    """Guards against lines that a collector cannot read."""
    log = DecisionLog("host-1", pipe[1])
    log.record(DecisionEvent.DEPENDENCY_LOST, dependency="coordination", reason='a "quoted" one')
    (line,) = flushed_lines(pipe[0], log)
    assert (line["host"], line["event"]) == ("host-1", "dependency_lost")
    assert line["reason"] == 'a "quoted" one'


def test_long_texts_of_callers_are_cut(pipe):
    """Guards against a queue of lines that callers fill with identities of many kilobytes."""
    log = DecisionLog("host-1", pipe[1])
    log.record(DecisionEvent.REQUEST_REFUSED, request_id="r" * 16_000, code=1009)
    (line,) = flushed_lines(pipe[0], log)
    assert line["request_id"] == "r" * MAX_TEXT_LENGTH
    assert line["code"] == 1009


def test_ordinary_lines_are_dropped_before_failures(pipe):
    """Guards against a load peak of served requests that displaces refusals and failures."""
    log = DecisionLog("host-1", pipe[1])
    # More lines than the limit of ordinary lines in two seconds.
    for _ in range(500):
        log.record(DecisionEvent.REQUEST_ENDED, important=False, outcome="served")
    # Any result code of a refusal.
    log.record(DecisionEvent.REQUEST_REFUSED, code=1009)
    lines = flushed_lines(pipe[0], log)
    served = [line for line in lines if line["event"] == "request_ended"]
    # Twice the limit, because the second may change meanwhile.
    assert len(served) <= 2 * MAX_ORDINARY_PER_S
    assert any(line["event"] == "request_refused" for line in lines)
    dropped = next(line for line in lines if line["event"] == "lines_dropped")
    assert dropped["count"] + len(served) == 500
    assert log.statistics.counters[StatisticName.DECISIONS, ("request_ended",)] == 500


def test_failures_are_bounded_too(pipe):
    """Guards against a log that grows with the load without limit."""
    log = DecisionLog("host-1", pipe[1])
    # More lines than the limit of important lines in two seconds; 1009 is any result code.
    for _ in range(3000):
        log.record(DecisionEvent.REQUEST_REFUSED, code=1009)
    refused = [line for line in flushed_lines(pipe[0], log) if line["event"] == "request_refused"]
    # Twice the limit, because the second may change meanwhile.
    assert len(refused) <= 2 * MAX_IMPORTANT_PER_S


def test_a_reader_that_stops_does_not_block(pipe):
    """Guards against a daemon that waits for the reader of its output."""
    log = DecisionLog("host-1", pipe[1])
    started_s = time.monotonic()
    # More batches and bytes than the queue and the pipe hold.
    for _ in range(40):
        log.record(DecisionEvent.ATTEMPT_FAILED, reason="x" * 60_000)
        log.flush()
    # Seconds; a blocked write would never end.
    assert time.monotonic() - started_s < 2.0
    assert log._dropped["unread"] > 0


def test_every_event_has_fields():
    """Guards against an event whose fields are not documented."""
    assert set(EVENT_FIELDS) == set(DecisionEvent)


def test_statistics_are_rendered():
    """Guards against a histogram whose bucket counts are not cumulative."""
    statistics = Statistics()
    statistics.add(StatisticName.REQUESTS, "stream", "served")
    # Durations in the first bucket, in the one up to 0.5 s, and above all bounds.
    for value_s in (0.004, 0.3, 99.0):
        statistics.observe(StatisticName.REQUEST_SECONDS, value_s, "stream")
    statistics.register_gauge(StatisticName.LEADER, lambda: 1.0)
    text = render_statistics(statistics).decode()
    assert 'baobabstream_requests_total{kind="stream",outcome="served"} 1.0' in text
    assert 'baobabstream_request_seconds_bucket{kind="stream",le="0.5"} 2.0' in text
    assert 'baobabstream_request_seconds_bucket{kind="stream",le="+Inf"} 3.0' in text
    assert "baobabstream_leader 1.0" in text
