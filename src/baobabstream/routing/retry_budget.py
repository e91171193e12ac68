"""Bounds the requests that are sent to a service more than once."""

from collections import deque

__all__ = ["SecondSendBudget"]

# Part of the allowance that one host uses, so that hosts whose traffic differs, and counts that
# lag, stay under the common limit together.
USED_PART = 0.6


class SecondSendBudget:
    """Second sends to one service in a sliding window.

    Parameters
    ----------
    share
        Second sends allowed per request, over all hosts.
    slack
        Further second sends allowed in a window, over all hosts.
    window_s
        Length of the window in seconds.
    """

    def __init__(self, share: float, slack: float, window_s: float) -> None:
        self._share = share
        self._slack = slack
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._extra: deque[float] = deque()

    def note_request(self, now_s: float) -> None:
        """Count a request of a caller."""
        self._requests.append(now_s)

    def allows_retry(self, now_s: float, hosts: int) -> bool:
        """Return whether the budget allows a second send.

        Parameters
        ----------
        now_s
            Time in seconds.
        hosts
            Hosts that share the allowance.
        """
        for times in (self._requests, self._extra):
            while times and times[0] <= now_s - self._window_s:
                times.popleft()
        allowed = self._share * len(self._requests) + self._slack / max(1, hosts)
        return len(self._extra) + 1 <= USED_PART * allowed

    def take(self, now_s: float, hosts: int) -> bool:
        """Count a second send if the budget allows it; returns whether it does."""
        if not self.allows_retry(now_s, hosts):
            return False
        self._extra.append(now_s)
        return True
