"""Free batch slots of a pool of servers, from load reports and the entry's own attempts."""

from collections.abc import Sequence
from math import sqrt

from baobabstream.policy.server_state import ServerState

__all__ = ["has_free_slots"]

# The other entries count as idle while they use less than this part of the slots. With a tenth, an
# account that floods all entries at once finds the pool idle at each of them.
MAX_IDLE_POOL_FRACTION = 0.05

# Part of the slots up to which a pool that other entries use as well is filled beyond the windows.
MAX_SHARED_POOL_FRACTION = 0.9


def has_free_slots(
    states: Sequence[ServerState], entry_share: float, demand_is_steady: bool
) -> bool:
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
    own_in_flight = sum(state.in_flight for state in states)
    own_usual = sum(state.usual for state in states)
    reported_in_flight = sum(state.reported for state in states)
    others_in_flight = max(0.0, reported_in_flight - own_usual)
    if others_in_flight < MAX_IDLE_POOL_FRACTION * slots:
        return own_in_flight + others_in_flight + 1 <= slots
    if not demand_is_steady:
        return False
    own_growth = max(0.0, own_in_flight - own_usual - sqrt(own_usual + 1.0))
    return (
        reported_in_flight + own_growth / max(entry_share, 1.0 / slots) + 1
        <= MAX_SHARED_POOL_FRACTION * slots
    )
