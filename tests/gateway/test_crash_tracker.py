"""Tests which quarantines of the coordination hosts a gateway keeps to."""

from baobabstream.gateway.crash_tracker import STALE_HOST_S, CrashTracker
from baobabstream.wire.coordination_messages import Quarantine

PART = frozenset({"part/c0"})
QUARANTINE = Quarantine(("part/c0",), 1.0)


def test_quarantine_that_is_known_to_one_host_is_kept_and_passed_on():
    """Guards against a quarantine that ends with the restart of the host that found it."""
    tracker = CrashTracker()
    tracker.set_quarantines("a", [QUARANTINE], 0.0)
    tracker.set_quarantines("b", [], 0.1)
    assert tracker.find_quarantine(PART, 0.1) is not None
    assert [quarantine.keys for quarantine in tracker.quarantine_reports(0.1)] == [("part/c0",)]


def test_quarantine_of_a_host_that_is_gone_ends_if_the_others_do_not_keep_it():
    """Guards against sound requests that stay refused since a lost host can't take that back."""
    tracker = CrashTracker()
    tracker.set_quarantines("a", [QUARANTINE], 0.0)
    added, removed = tracker.set_quarantines("b", [], STALE_HOST_S + 0.1)
    assert (added, removed) == (set(), {PART})
    assert tracker.find_quarantine(PART, STALE_HOST_S + 0.1) is None
