"""How long idle connections to the servers of one service may be used again."""

from math import inf

__all__ = ["FORGET_S", "LEAST_LIMIT_S", "IdleLimit"]

# Part of the idle time of a lost connection that is still trusted.
TRUSTED_PART = 0.5
# Shorter limits would keep no connection at all, and a server that crashes just as a request is
# sent looks the same once in a while.
LEAST_LIMIT_S = 0.1
# The limit doubles in this time without a loss, since what was in between may have changed.
FORGET_S = 30.0
# From the least limit, this many doublings exceed any idle time that servers grant.
FORGOTTEN_DOUBLINGS = 20


class IdleLimit:
    """Learns from connections that a server had dropped without notice.

    What is sent on such a connection is lost, and whether it ran is not known, which ends a request
    that may run only once.
    """

    def __init__(self) -> None:
        self._limit_s = inf
        self._noted_s = 0.0

    def limit_s(self, now_s: float) -> float:
        """Return the idle time in seconds up to which a connection is used again."""
        doublings = (now_s - self._noted_s) / FORGET_S
        return inf if doublings > FORGOTTEN_DOUBLINGS else self._limit_s * 2**doublings

    def note_loss(self, idle_s: float, now_s: float) -> None:
        """Note that a connection was lost as it was used again after an idle time."""
        trusted_s = min(self.limit_s(now_s), idle_s * TRUSTED_PART)
        self._limit_s = max(trusted_s, LEAST_LIMIT_S)
        self._noted_s = now_s
