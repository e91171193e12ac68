"""Retry budget: bounds how often requests to a service are sent more than once.

A service is a group of equivalent backend servers. A retry is every send of a request after its
first: after a failure, to continue a stream that broke off, or to a larger model. All entry hosts
together may send a limited number of retries to each service, the allowance. Each host runs one
gateway, which enforces the host's part of the allowance on its own.
"""

from collections import deque

__all__ = ["RetryBudget"]

# Fraction of its part of the allowance that one host uses. The rest keeps all hosts together within
# the allowance while a host has more traffic than others, or assumes a wrong number of hosts.
USABLE_FRACTION = 0.6


class RetryBudget:
    """Retries to one service in a sliding time window.

    Parameters
    ----------
    retries_per_request
        Retries allowed for each request, as a fraction.
    extra_retries
        Further retries allowed in a window, over all hosts together.
    window_s
        Length of the window in seconds.
    """

    def __init__(self, retries_per_request: float, extra_retries: float, window_s: float) -> None:
        self._retries_per_request = retries_per_request
        self._extra_retries = extra_retries
        self._window_s = window_s
        # Times in seconds of the requests and retries of this host in the window, oldest first.
        self._request_times_s: deque[float] = deque()
        self._retry_times_s: deque[float] = deque()

    def record_request(self, now_s: float) -> None:
        """Count a caller's request that arrived at ``now_s``, a time in seconds."""
        self._request_times_s.append(now_s)

    def allows_retry(self, now_s: float, host_count: int) -> bool:
        """Return whether the budget allows one more retry, without counting one.

        Times that have left the window are dropped. The part of this host follows from the requests
        that it has had itself, and from an equal part of the extra retries of all hosts.

        Parameters
        ----------
        now_s
            Time in seconds.
        host_count
            Number of hosts that share the allowance.
        """
        for times_s in (self._request_times_s, self._retry_times_s):
            while times_s and times_s[0] <= now_s - self._window_s:
                times_s.popleft()
        allowed_retries = self._retries_per_request * len(
            self._request_times_s
        ) + self._extra_retries / max(1, host_count)
        return len(self._retry_times_s) + 1 <= USABLE_FRACTION * allowed_retries

    def try_acquire(self, now_s: float, host_count: int) -> bool:
        """Count a retry if the budget allows it, and return whether it does.

        Parameters
        ----------
        now_s
            Time in seconds.
        host_count
            Number of hosts that share the allowance.
        """
        if not self.allows_retry(now_s, host_count):
            return False
        self._retry_times_s.append(now_s)
        return True
