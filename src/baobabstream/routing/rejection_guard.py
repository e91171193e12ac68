"""Keeps the rejections of a brittle backend server low.

A brittle server says in its answers how many requests a second it may have to reject for want of
room; with more of them it falls over. Each gateway has no more requests at it than a part of its
slots, so that no request has to wait there. After a rejection a gateway pauses for so long that all
of them together stay below the number, even if each is rejected after every pause. Times are in
seconds.
"""

from baobabstream.routing.gateway_ranks import GatewayRank, own_places

__all__ = ["MAX_OCCUPANCY_RATIO", "RejectionGuard"]

# Fraction of the slots of a brittle server that the gateways use. The rest is for requests that
# their gateway has given up, and for gateways that are not counted yet.
MAX_OCCUPANCY_RATIO = 0.9
# Fraction of the rejections that a server names up to which all gateways go by their pauses. The
# rest is for requests that cross the first rejection.
USED_REJECTIONS_RATIO = 0.5
# Bounds of the pause after a rejection. The upper one also applies to a server that may reject
# nothing at all.
MIN_PAUSE_S, MAX_PAUSE_S = 0.2, 10.0


class RejectionGuard:
    """Decides whether a gateway may send a request to one server.

    Attributes
    ----------
    max_rejections_per_s
        Number that the last answer named, or None if the server is not brittle.
    """

    def __init__(self) -> None:
        self.max_rejections_per_s: float | None = None
        self._paused_until_s = float("-inf")

    def observe(self, max_rejections_per_s: float | None) -> bool:
        """Take over what an answer said, and return whether it has changed."""
        has_changed = max_rejections_per_s != self.max_rejections_per_s
        self.max_rejections_per_s = max_rejections_per_s
        return has_changed

    def record_rejection(self, gateway_count: int, now_s: float) -> None:
        """Record that the server has rejected a request for want of room.

        Parameters
        ----------
        gateway_count
            Number of gateways that send requests to it.
        now_s
            Present time.
        """
        if self.max_rejections_per_s is None:
            return
        used_rejections_per_s = USED_REJECTIONS_RATIO * self.max_rejections_per_s
        pause_s = (
            gateway_count / used_rejections_per_s if used_rejections_per_s > 0 else MAX_PAUSE_S
        )
        self._paused_until_s = now_s + min(max(pause_s, MIN_PAUSE_S), MAX_PAUSE_S)

    def allows_request(
        self, own_requests: int, slots: int, server: str, rank: GatewayRank, now_s: float
    ) -> bool:
        """Return whether a request may be sent.

        Parameters
        ----------
        own_requests
            Requests of this gateway at the server.
        slots
            Number of requests that it runs at once.
        server
            Identity of the server.
        rank
            Rank of this gateway among all.
        now_s
            Present time.
        """
        if self.max_rejections_per_s is None:
            return True
        places = max(1, int(MAX_OCCUPANCY_RATIO * slots))
        return now_s >= self._paused_until_s and own_requests < own_places(places, server, rank)

    def seconds_paused(self, now_s: float) -> float:
        """Return the time that is left of the pause after a rejection, 0 without one."""
        if self.max_rejections_per_s is None:
            return 0.0
        return max(0.0, self._paused_until_s - now_s)
