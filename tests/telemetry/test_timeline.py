"""Tests the event timelines of several processes: order, filters, explanation and page.

Events are ordered by hybrid times: wall times corrected by the readings of other hosts, so that no
event is earlier than its cause. An engine is a backend server that runs models, and the entry
daemon sends requests to it.
"""

import json
from itertools import chain, count, repeat

from typer.testing import CliRunner

from baobabstream.cli.app import app
from baobabstream.telemetry.hybrid_clock import HybridClock, HybridTime
from baobabstream.telemetry.timeline import EventKind, TimelineWriter


def write_timelines(folder):
    """Write the files of an entry daemon and an engine, and return their paths.

    The engine's wall clock is 5 s behind. The last line of the entry daemon's file is incomplete.
    """
    # Wall times in seconds; 7 below is the revision of the configuration.
    wall_times_s = count(100)
    entry_clock = HybridClock(lambda: next(wall_times_s))
    engine_clock = HybridClock(lambda: 95)
    entry = TimelineWriter(folder / "entry.jsonl", "entry-1", "entry", entry_clock)
    engine = TimelineWriter(folder / "engine.jsonl", "engine-1", "engine", engine_clock)
    entry.emit(EventKind.REQUEST_RECEIVED, "abc", 7, "desk checks")
    entry.emit(EventKind.ATTEMPT_SENT, "abc", 7, "engine-1 small@1 <cheapest>")
    engine_clock.observe(entry_clock.now())
    engine.emit(EventKind.ENGINE_REQUEST_STARTED, "abc", 0, "small@1")
    entry_clock.observe(engine_clock.now())
    entry.emit(EventKind.ANSWER_FINISHED, "abc", 7)
    entry.emit(EventKind.REQUEST_RECEIVED, "other", 7)
    with (folder / "entry.jsonl").open("ab") as file:
        file.write(b'{"time": [1')
    return [str(folder / "entry.jsonl"), str(folder / "engine.jsonl")]


def test_observed_clock_orders_events_of_hosts_whose_clocks_differ(tmp_path):
    """Guards against an engine that seems to start before the request was sent."""
    files = write_timelines(tmp_path)
    result = CliRunner().invoke(app, ["timeline", *files, "--request", "abc", "--json"])
    kinds = [event["kind"] for event in json.loads(result.stdout)]
    assert kinds == [
        "request_received",
        "attempt_sent",
        "engine_request_started",
        "answer_finished",
    ]


def test_explanation_names_reason_and_revision(tmp_path):
    """Guards against an explanation that leaves out why a backend server was chosen."""
    files = write_timelines(tmp_path)
    text = CliRunner().invoke(app, ["explain", "abc", *files]).stdout
    assert "sent to engine-1 small@1 <cheapest>" in text
    assert "under configuration revision 7" in text
    assert "other" not in text


def test_picture_escapes_details_and_has_one_lane_per_host(tmp_path):
    """Guards against event details that are inserted into the page as HTML."""
    files = write_timelines(tmp_path)
    page = tmp_path / "request.html"
    arguments = ["timeline", *files, "--request", "abc", "--picture", str(page)]
    assert CliRunner().invoke(app, arguments).exit_code == 0
    text = page.read_text()
    assert "&lt;cheapest&gt;" in text
    # One dot for each of the four events of the request.
    assert text.count("<circle") == 4
    assert text.count(">entry-1</text>") == 1


def test_clock_never_goes_back():
    """Guards against events out of order after the wall clock is set back."""
    # Seconds; the clock is set back from 10 s to 9 s.
    wall_times_s = chain([10.0], repeat(9.0))
    clock = HybridClock(lambda: next(wall_times_s))
    readings = [clock.now(), clock.now()]
    # 20 s, which is 11 s ahead of the wall clock and so within the allowed 60 s.
    clock.observe(HybridTime(20_000, 3))
    readings.append(clock.now())
    assert readings == sorted(readings)
    assert readings[-1] == HybridTime(20_000, 4)


def test_reading_far_ahead_is_ignored():
    """Guards against one host with a wrong date that advances the clocks of all others."""
    clock = HybridClock(lambda: 10.0)
    # Milliseconds; more than 60 s ahead of the wall clock.
    clock.observe(HybridTime(10_000_000, 0))
    assert clock.now().wall_ms == 10_000
