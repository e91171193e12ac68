"""Converts quarantines between times on this host's clock and ages, as messages carry them."""

from collections.abc import Iterable, Mapping

from baobabstream.routing.crash_attribution import RequestKeys
from baobabstream.wire.coordination_messages import Quarantine

__all__ = ["quarantines_from_messages", "quarantines_to_messages"]


def quarantines_to_messages(
    quarantined_s: Mapping[RequestKeys, float], now_s: float
) -> tuple[Quarantine, ...]:
    """Return quarantines as they are sent to another host.

    Parameters
    ----------
    quarantined_s
        Keys that a quarantined request has, and the time in seconds since which it is quarantined.
    now_s
        Present time in seconds.
    """
    return tuple(
        Quarantine(tuple(sorted(keys)), now_s - since_s) for keys, since_s in quarantined_s.items()
    )


def quarantines_from_messages(
    quarantines: Iterable[Quarantine], now_s: float
) -> dict[RequestKeys, float]:
    """Return quarantines that another host has sent, by their keys, with the times they began.

    ``now_s`` is the time of their arrival, in seconds.
    """
    return {frozenset(quarantine.keys): now_s - quarantine.age_s for quarantine in quarantines}
