"""Tests the history checker against known good and bad histories."""

import pytest

from consensus.history_checker import ClaimOperation, is_linearizable

BUSY = "REQUEST_IN_PROGRESS"

GOOD = {
    "one after the other": [
        ClaimOperation("claim", "r1", 0, 1, "OK"),
        ClaimOperation("claim", "r2", 2, 3, BUSY),
        ClaimOperation("release", "r1", 4, 5, "OK"),
        ClaimOperation("claim", "r2", 6, 7, "OK"),
    ],
    "concurrent calls in either order": [
        ClaimOperation("claim", "r1", 0, 5, BUSY),
        ClaimOperation("claim", "r2", 1, 4, "OK"),
    ],
    "unknown call took effect": [
        ClaimOperation("claim", "r1", 0),
        ClaimOperation("claim", "r2", 9, 10, BUSY),
    ],
    "unknown call never happened": [
        ClaimOperation("claim", "r1", 0),
        ClaimOperation("claim", "r2", 9, 10, "OK"),
    ],
}

BAD = {
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
        ClaimOperation("claim", "r1", 0, 1, BUSY),
        ClaimOperation("claim", "r2", 2, 3, "OK"),
    ],
    "unknown call took effect before it was sent": [
        ClaimOperation("claim", "r2", 0, 1, BUSY),
        ClaimOperation("claim", "r1", 2),
    ],
    "unknown call undone": [
        ClaimOperation("claim", "r1", 0),
        ClaimOperation("claim", "r2", 2, 3, BUSY),
        ClaimOperation("claim", "r2", 4, 5, "OK"),
    ],
}


@pytest.mark.parametrize("name", GOOD)
def test_accepts(name):
    """Guards against a checker that reports faults where there are none."""
    assert is_linearizable(GOOD[name])


@pytest.mark.parametrize("name", BAD)
def test_rejects(name):
    """Guards against a checker that misses doubled, lost or early claims."""
    assert not is_linearizable(BAD[name])
