"""Divides the places of a backend server among the gateways, without a message for each place.

Coordination hosts tell each gateway how many gateways are active and which position it has among
them. Each place of a server belongs to one position, so that all parts together are the whole.
"""

from dataclasses import dataclass

from baobabstream.routing.stable_hashing import stable_hash

__all__ = ["GatewayRank", "GatewayRanks", "own_places"]

# Time in seconds for which the reply of a host counts. A host that has just started has heard of a
# few gateways only, while the others still count all.
REPLY_LIFETIME_S = 2.0


@dataclass(frozen=True, slots=True)
class GatewayRank:
    """Position of a gateway among the active ones, from 0, and their number."""

    position: int = 0
    count: int = 1


class GatewayRanks:
    """Ranks of this gateway in the replies of the coordination hosts."""

    def __init__(self) -> None:
        # By host: time of its last reply in seconds, and the rank.
        self._ranks: dict[str, tuple[float, GatewayRank]] = {}

    def record(self, host: str, rank: GatewayRank, now_s: float) -> None:
        """Record the rank that a host has replied at ``now_s``, a time in seconds."""
        self._ranks[host] = (now_s, rank)

    def current(self, now_s: float) -> GatewayRank:
        """Return the rank among the most gateways that a host has counted lately.

        Without a recent reply it is that of the last one. ``now_s`` is the time in seconds.
        """
        if not self._ranks:
            return GatewayRank()
        latest_s = max(replied_s for replied_s, _ in self._ranks.values())
        oldest_s = min(now_s - REPLY_LIFETIME_S, latest_s)
        return max(
            (rank for replied_s, rank in self._ranks.values() if replied_s >= oldest_s),
            key=lambda rank: rank.count,
        )


def own_places(places: int, server: str, rank: GatewayRank) -> int:
    """Return how many places of a server belong to a gateway.

    Parameters
    ----------
    places
        Number of places of the server.
    server
        Identity of the server, by which single places go to different gateways.
    rank
        Rank of the gateway.
    """
    whole_part, remainder = divmod(places, rank.count)
    return whole_part + ((rank.position + stable_hash(server)) % rank.count < remainder)
