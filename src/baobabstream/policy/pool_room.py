"""Free batch slots of a pool of servers, from load reports and the entry's own attempts."""

from collections.abc import Sequence

from baobabstream.policy.server_state import ServerState

__all__ = ["has_free_slots"]

# The other entries count as idle while they use less than this part of the slots. With a tenth, an
# account that floods all entries at once finds the pool idle at each of them.
IDLE_PART = 0.05


def has_free_slots(states: Sequence[ServerState]) -> bool:
    """Return whether a version's servers have free slots that no other entry is likely to take."""
    slots = sum(state.slots for state in states)
    own = sum(state.in_flight for state in states)
    reported = sum(state.reported for state in states)
    others = max(0.0, reported - sum(state.usual for state in states))
    return others < IDLE_PART * slots and own + others + 1 <= slots
