"""Estimates how many requests other gateways have sent to a service since their last reports.

A service is a group of equivalent backend servers. Gateways report their open requests about twice
a second. Little's law gives the rate at which requests arrive: the mean number of open requests
divided by the mean time for which a request is open [1]_.

References
----------
.. [1] J. D. C. Little, "A proof for the queuing formula L = lambda W", Operations Research 9(3),
   1961.
"""

from math import exp

__all__ = ["ArrivalEstimator"]

# Time constant in seconds of the average of this gateway's own rate. It holds a dozen requests of a
# gateway that sends one a second.
RATE_TIME_CONSTANT_S = 10.0

# Weight (0 to 1) of the newest request in the moving average of the time for which requests are
# open.
OPEN_TIME_WEIGHT = 0.05
# Lower bound of that average, which keeps the rate finite if requests fail at once.
MIN_OPEN_TIME_S = 0.005


class ArrivalEstimator:
    """Estimates arrivals at one service from the number of open requests."""

    def __init__(self) -> None:
        # Moving average of the time in seconds for which requests are open; None before the first.
        self._mean_open_s: float | None = None
        # Number of requests of this gateway, each with a weight that decays with its age, at the
        # time in seconds of the last one.
        self._recent_sends = 0.0
        self._last_send_s = 0.0

    def record_send(self, now_s: float) -> None:
        """Count a request that this gateway sends at a time in seconds."""
        self._recent_sends = self._decayed_sends(now_s) + 1.0
        self._last_send_s = now_s

    def own_rate_per_s(self, now_s: float) -> float:
        """Return the mean number of requests that this gateway sends in a second."""
        return self._decayed_sends(now_s) / RATE_TIME_CONSTANT_S

    def _decayed_sends(self, now_s: float) -> float:
        """Return the number of recent requests with their weights at a time in seconds."""
        return self._recent_sends * exp((self._last_send_s - now_s) / RATE_TIME_CONSTANT_S)

    def record_end(self, open_s: float) -> None:
        """Add a request of this gateway that was open for ``open_s`` seconds."""
        if self._mean_open_s is None:
            self._mean_open_s = open_s
        else:
            self._mean_open_s += OPEN_TIME_WEIGHT * (open_s - self._mean_open_s)

    def arrivals(self, open_requests: int, elapsed_s: float) -> float:
        """Return the expected number of requests that arrive in a time.

        Parameters
        ----------
        open_requests
            Number of open requests of the other gateways.
        elapsed_s
            The time in seconds.

        Notes
        -----
        Before the first request has ended the result is ``open_requests``.
        """
        if self._mean_open_s is None:
            return float(open_requests)
        return open_requests * elapsed_s / max(self._mean_open_s, MIN_OPEN_TIME_S)
