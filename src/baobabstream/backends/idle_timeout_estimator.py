"""Estimates for how long idle connections to the servers of one service may be reused.

A server, or a load balancer in front of it, may drop an idle connection without notice. The loss
shows only when the next request is sent on that connection. All times are times of the event loop
in seconds.
"""

from math import inf

__all__ = ["TIMEOUT_DOUBLING_PERIOD_S", "MIN_IDLE_TIMEOUT_S", "IdleTimeoutEstimator"]

# After a loss, the timeout is at most the idle time of the lost connection times this factor.
LOSS_REDUCTION_FACTOR = 0.5
# Lower bound of the timeout. A shorter one would prevent any reuse, and a server that crashes just
# as a request is sent is sometimes mistaken for a dropped idle connection.
MIN_IDLE_TIMEOUT_S = 0.1
# The timeout doubles in each period without a loss, since the server or load balancer that dropped
# the connection may have been replaced or reconfigured.
TIMEOUT_DOUBLING_PERIOD_S = 30.0
# After this many doublings even the minimum timeout exceeds any idle timeout of a server, so the
# timeout counts as unlimited. This also keeps the power of two within the range of a float.
MAX_DOUBLINGS = 20


class IdleTimeoutEstimator:
    """Estimates an idle timeout from connections that were lost when they were reused.

    A request that is sent on a dropped connection is lost, and it is unknown whether it ran. A
    request that may run only once can then not be repeated and fails.
    """

    def __init__(self) -> None:
        # Idle timeout right after the last loss; infinite before the first one.
        self._timeout_at_loss_s = inf
        self._last_loss_s = 0.0

    def idle_timeout_s(self, now_s: float) -> float:
        """Return the idle time in seconds up to which a connection may be reused at ``now_s``.

        It is infinite until the first loss.
        """
        doublings = (now_s - self._last_loss_s) / TIMEOUT_DOUBLING_PERIOD_S
        return inf if doublings > MAX_DOUBLINGS else self._timeout_at_loss_s * 2**doublings

    def record_loss(self, idle_s: float, now_s: float) -> None:
        """Lower the timeout, since a connection was lost when it was reused.

        Parameters
        ----------
        idle_s
            Time for which the connection had been idle.
        now_s
            Time of the loss.
        """
        reduced_s = min(self.idle_timeout_s(now_s), idle_s * LOSS_REDUCTION_FACTOR)
        self._timeout_at_loss_s = max(reduced_s, MIN_IDLE_TIMEOUT_S)
        self._last_loss_s = now_s
