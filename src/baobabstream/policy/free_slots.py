"""Test for free batch slots on a version's servers.

An entry is a host process that accepts requests and sends them to engines, the backend servers that
run models; an attempt is one such dispatch. A batch slot runs one request on an engine. Load
reports of the engines count the requests of all entries, but are some time old; the entry's own
attempts are known exactly. Normally an entry keeps to its window on each server, the number of
attempts that it may have in flight there; free slots are used in addition to the windows. An
entry's share is its fraction of all requests in flight.
"""

from collections.abc import Sequence
from math import sqrt

from baobabstream.policy.server_state import ServerState

__all__ = ["has_free_slots"]

# The other entries count as idle while they use less than this fraction of the slots. At 0.1 an
# account that floods all entries at once would find the servers idle at each of them.
IDLE_SLOT_FRACTION = 0.05

# Servers that other entries use too are filled beyond the windows up to this fraction of the slots.
MAX_FILLED_SLOT_FRACTION = 0.9


def has_free_slots(
    states: Sequence[ServerState], entry_share: float, demand_is_steady: bool
) -> bool:
    """Return whether the servers of a version have free slots for this entry.

    Parameters
    ----------
    states
        States of the servers.
    entry_share
        This entry's share of all requests in flight, from 0 to 1.
    demand_is_steady
        Whether demand is neither rising nor above capacity. Otherwise reports are too old to show
        free slots, and only servers that no other entry uses have any.

    Notes
    -----
    What the other entries have sent since the reports is extrapolated from the growth of this
    entry's own attempts. Growth within one standard deviation of a random count is ignored, since
    it shows nothing about the other entries. The rest, divided by the entry's share, is the growth
    of all entries; the share counts as at least one slot's fraction of all slots, so that a share
    near 0 does not make the estimate unbounded. The 1 in both comparisons is the new attempt.
    """
    slots = sum(state.slots for state in states)
    own_in_flight = sum(state.in_flight for state in states)
    own_mean_at_reports = sum(state.mean_in_flight_at_reports for state in states)
    reported_in_flight = sum(state.reported_in_flight for state in states)
    others_in_flight = max(0.0, reported_in_flight - own_mean_at_reports)
    if others_in_flight < IDLE_SLOT_FRACTION * slots:
        return own_in_flight + others_in_flight + 1 <= slots
    if not demand_is_steady:
        return False
    own_growth = max(0.0, own_in_flight - own_mean_at_reports - sqrt(own_mean_at_reports + 1.0))
    return (
        reported_in_flight + own_growth / max(entry_share, 1.0 / slots) + 1
        <= MAX_FILLED_SLOT_FRACTION * slots
    )
