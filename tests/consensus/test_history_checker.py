"""Tests the history checker against histories that are known to be linearizable or not.

A claim gives one request the exclusive right to run an operation until the request releases it. A
history is linearizable if its results are possible for calls that take effect one after the other,
each between its start and its end. An operation here is the action, the request, the start and end
in seconds and the result; without end and result its outcome is unknown.
"""

import pytest

from consensus.history_checker import ClaimOperation, is_linearizable

IN_PROGRESS = "REQUEST_IN_PROGRESS"

LINEARIZABLE = {
    "one after the other": [
        ClaimOperation("claim", "r1", 0, 1, "OK"),
        ClaimOperation("claim", "r2", 2, 3, IN_PROGRESS),
        ClaimOperation("release", "r1", 4, 5, "OK"),
        ClaimOperation("claim", "r2", 6, 7, "OK"),
    ],
    "concurrent calls in either order": [
        ClaimOperation("claim", "r1", 0, 5, IN_PROGRESS),
        ClaimOperation("claim", "r2", 1, 4, "OK"),
    ],
    "unknown call took effect": [
        ClaimOperation("claim", "r1", 0),
        ClaimOperation("claim", "r2", 9, 10, IN_PROGRESS),
    ],
    "unknown call never happened": [
        ClaimOperation("claim", "r1", 0),
        ClaimOperation("claim", "r2", 9, 10, "OK"),
    ],
}

NOT_LINEARIZABLE = {
    "claimed twice": [
        ClaimOperation("claim", "r1", 0, 1, "OK"),
        ClaimOperation("claim", "r2", 2, 3, "OK"),
    ],
    "claimed twice at the same time": [
        ClaimOperation("claim", "r1", 0, 3, "OK"),
        ClaimOperation("claim", "r2", 1, 2, "OK"),
    ],
    "accepted claim lost": [
        ClaimOperation("claim", "r1", 0, 1, "OK"),
        ClaimOperation("release", "r1", 2, 3, "NOT_FOUND"),
    ],
    "busy without a holder": [
        ClaimOperation("claim", "r1", 0, 1, IN_PROGRESS),
        ClaimOperation("claim", "r2", 2, 3, "OK"),
    ],
    "unknown call took effect before it was sent": [
        ClaimOperation("claim", "r2", 0, 1, IN_PROGRESS),
        ClaimOperation("claim", "r1", 2),
    ],
    "unknown call undone": [
        ClaimOperation("claim", "r1", 0),
        ClaimOperation("claim", "r2", 2, 3, IN_PROGRESS),
        ClaimOperation("claim", "r2", 4, 5, "OK"),
    ],
}


@pytest.mark.parametrize("name", LINEARIZABLE)
def test_accepts(name):
    """Guards against a checker that reports a fault in a linearizable history."""
    assert is_linearizable(LINEARIZABLE[name])


@pytest.mark.parametrize("name", NOT_LINEARIZABLE)
def test_rejects(name):
    """Guards against a checker that misses claims that are granted twice, lost or too early."""
    assert not is_linearizable(NOT_LINEARIZABLE[name])
