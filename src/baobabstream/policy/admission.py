"""Admission by deadline: queues, predicted waits and retry times."""

from math import exp
from random import Random

from baobabstream.policy.fair_queue import FairQueue
from baobabstream.policy.running import Running

__all__ = ["Admission"]

# A request is queued only when its predicted wait is below this part of its slack, since the
# service rate may fall while it waits.
WAIT_PART = 0.6
RATE_AGE_S = 1.0
DEFAULT_RATE = 2.0
# Part of the service rate that retry times count on; the rest is for new requests.
RETRY_RATE_PART = 0.5
MIN_RETRY_S = 0.5
MAX_RETRY_S = 60.0


class _Lane:
    """One queue with its recent service rate."""

    def __init__(self, fair: bool) -> None:
        self.queue = FairQueue(fair)
        self._rate = DEFAULT_RATE
        self._at_s: float | None = None

    def served(self, now_s: float) -> None:
        """Count a dispatch."""
        if self._at_s is not None:
            keep = exp(-(now_s - self._at_s) / RATE_AGE_S)
            self._rate = self._rate * keep + 1.0 / RATE_AGE_S
        self._at_s = now_s

    def rate(self, now_s: float) -> float:
        """Return recent dispatches per second."""
        if self._at_s is None:
            return DEFAULT_RATE
        return max(0.2, self._rate * exp(-(now_s - self._at_s) / RATE_AGE_S))


class Admission:
    """Queues for short and long work with fair shares between accounts.

    Parameters
    ----------
    random
        Spreads retry times.
    fair
        Whether account shares count.
    """

    def __init__(self, random: Random, fair: bool = True) -> None:
        self._random = random
        self._lanes = {False: _Lane(fair), True: _Lane(fair)}
        self._retry_slot_s = 0.0

    def queue(self, long: bool) -> FairQueue:
        """Return the queue for long or for short work."""
        return self._lanes[long].queue

    def served(self, running: Running, now_s: float) -> None:
        """Count a dispatch of a request that was admitted."""
        self._lanes[running.long].served(now_s)

    def wait_s(self, account: str, share: float, long: bool, now_s: float) -> float:
        """Return the predicted wait of a new request of an account."""
        lane = self._lanes[long]
        return (lane.queue.ahead(account, share) + 1) / lane.rate(now_s)

    def fits(self, running: Running, share: float, now_s: float) -> bool:
        """Return whether a request would be dispatched well before its deadline."""
        wait_s = self.wait_s(running.request.client_account, share, running.long, now_s)
        return wait_s <= WAIT_PART * (running.deadline_s - now_s)

    def retry_after_s(self, long: bool, now_s: float) -> float:
        """Return a time after which a refused request is likely to be admitted.

        Notes
        -----
        Refused requests get places in a schedule that uses part of the service rate, so that they
        do not all return at once.
        """
        rate = RETRY_RATE_PART * self._lanes[long].rate(now_s)
        start_s = max(self._retry_slot_s, now_s + MIN_RETRY_S)
        self._retry_slot_s = min(start_s + 1.0 / rate, now_s + MAX_RETRY_S)
        return self._retry_slot_s - now_s + self._random.uniform(0.0, 0.5)
