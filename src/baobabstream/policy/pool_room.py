"""Free batch slots of a pool of servers, from load reports and the entry's own attempts."""

from collections.abc import Sequence
from math import sqrt

from baobabstream.policy.server_state import ServerState

__all__ = ["has_free_slots"]

# The other entries count as idle while they use less than this part of the slots. With a tenth, an
# account that floods all entries at once finds the pool idle at each of them.
IDLE_PART = 0.05

# Part of the slots up to which a pool that other entries use as well is filled beyond the windows.
FULL_PART = 0.9


def has_free_slots(states: Sequence[ServerState], share: float, steady: bool) -> bool:
    """Return whether the servers of a version have free slots for this entry.

    Parameters
    ----------
    share
        This entry's part of all requests in flight.
    steady
        Whether demand is neither rising nor above capacity. Otherwise reports are too old to show
        free slots, and only a pool that no other entry uses counts.

    Notes
    -----
    What the other entries have sent since the reports is estimated from this entry's own growth.
    Growth within the deviation of a random count says nothing of the other entries.
    """
    slots = sum(state.slots for state in states)
    own = sum(state.in_flight for state in states)
    mean_in_flight_at_reports = sum(state.mean_in_flight_at_reports for state in states)
    reported_in_flight = sum(state.reported_in_flight for state in states)
    others = max(0.0, reported_in_flight - mean_in_flight_at_reports)
    if others < IDLE_PART * slots:
        return own + others + 1 <= slots
    if not steady:
        return False
    grown = max(0.0, own - mean_in_flight_at_reports - sqrt(mean_in_flight_at_reports + 1.0))
    return reported_in_flight + grown / max(share, 1.0 / slots) + 1 <= FULL_PART * slots
