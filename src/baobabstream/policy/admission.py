"""Admission by deadline: queues, predicted waits and retry times."""

from math import exp, sqrt
from random import Random

from baobabstream.policy.fair_queue import FairQueue
from baobabstream.policy.running import Running

__all__ = ["Admission"]

# A request is queued only when its predicted wait is below a part of its slack, since the service
# rate may fall while it waits. The part falls with the share of requests that are refused: in an
# overload others are served first, and a refusal must come at once.
WAIT_PART = 0.4
WAIT_PART_OVERLOADED = 0.12
REFUSED_GAIN = 0.1
# The head of an account below its share is served next, so its wait is well known.
BELOW_SHARE_WAIT_PART = 0.9
DEFAULT_SERVICE_S = 1.0
# Above this share of refusals demand counts as above capacity.
OVERLOADED_SHARE = 0.35
# Demand is rising when the arrivals of the short time exceed those expected from the long time by
# this factor and this many standard deviations.
RECENT_S = 1.0
LASTING_S = 10.0
RISE_FACTOR = 1.3
RISE_DEVIATIONS = 1.0
SERVICE_GAIN = 0.05
# A rise is followed faster, since a rate taken too high lets requests expire in the queue.
RISING_GAIN = 0.1
MIN_RATE = 0.2
# Part of the service rate that retry times count on; the rest is for new requests.
RETRY_RATE_PART = 0.25
MIN_RETRY_S = 0.5
MAX_RETRY_S = 300.0
LASTED_FACTOR = 2.0
# An overload ends when nothing was refused for this time.
OVERLOAD_GAP_S = 2.0


class _Lane:
    """One queue with its service rate and the rate of arrivals."""

    def __init__(self, fair: bool) -> None:
        self.queue = FairQueue(fair)
        self.service_s = DEFAULT_SERVICE_S
        self.overloaded_since_s: float | None = None
        self.refused_s = -1e9
        self.retry_slot_s = 0.0
        self.refused_share = 0.0
        self.recent = 0.0
        self.lasting = 0.0
        self.arrived_s = 0.0

    def arrived(self, now_s: float) -> None:
        """Count an arrival into the decaying counts."""
        passed_s = max(0.0, now_s - self.arrived_s)
        self.arrived_s = now_s
        self.recent = self.recent * exp(-passed_s / RECENT_S) + 1.0
        self.lasting = self.lasting * exp(-passed_s / LASTING_S) + 1.0

    def rising(self) -> bool:
        """Return whether recent arrivals exceed the expected number beyond chance."""
        expected = self.lasting * RECENT_S / LASTING_S
        return self.recent > RISE_FACTOR * expected + RISE_DEVIATIONS * sqrt(expected + 1.0)

    def rate(self, window: float) -> float:
        """Return requests per second that a full window serves, by Little's law."""
        return max(MIN_RATE, window / self.service_s)


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

    def finished(self, long: bool, service_s: float) -> None:
        """Take the time that a request held its place on a server."""
        lane = self._lanes[long]
        gain = RISING_GAIN if service_s > lane.service_s else SERVICE_GAIN
        lane.service_s += gain * (service_s - lane.service_s)

    def wait_s(self, account: str, share: float, long: bool, window: float) -> float:
        """Return the predicted wait of a new request of an account.

        Parameters
        ----------
        window
            Attempts that this entry may have in flight on the servers of the version.
        """
        lane = self._lanes[long]
        return (lane.queue.ahead(account, share) + 1) / lane.rate(window)

    def fits(self, running: Running, share: float, window: float, now_s: float) -> bool:
        """Return whether a request would be dispatched well before its deadline."""
        wait_s = self.wait_s(running.request.client_account, share, running.long, window)
        below = self._lanes[running.long].queue.below_share(running.request.client_account)
        if below:
            return wait_s <= BELOW_SHARE_WAIT_PART * (running.deadline_s - now_s)
        refused = self._lanes[running.long].refused_share
        part = WAIT_PART - (WAIT_PART - WAIT_PART_OVERLOADED) * min(1.0, 4 * refused)
        return wait_s <= part * (running.deadline_s - now_s)

    def arrived(self, long: bool, now_s: float) -> None:
        """Take an arrival into the measure of demand."""
        self._lanes[long].arrived(now_s)

    def recent(self, long: bool, now_s: float) -> bool:
        """Return whether requests of a kind have arrived lately."""
        lane = self._lanes[long]
        return lane.lasting * exp(-max(0.0, now_s - lane.arrived_s) / LASTING_S) >= 0.5

    def steady(self, long: bool) -> bool:
        """Return whether demand is neither rising nor above capacity."""
        lane = self._lanes[long]
        return lane.refused_share <= OVERLOADED_SHARE and not lane.rising()

    def decided(self, long: bool, refused: bool) -> None:
        """Take whether an arrived request was refused into the share of refusals."""
        lane = self._lanes[long]
        lane.refused_share += REFUSED_GAIN * (refused - lane.refused_share)

    def retry_after_s(self, long: bool, window: float, now_s: float) -> float:
        """Return a time after which a refused request is likely to be admitted.

        Notes
        -----
        Refused requests get places in a schedule that uses part of the service rate, so that they
        do not all return at once. The schedule starts twice as long after now as the overload has
        lasted, since an overload that began long ago is likely to last longer.
        """
        lane = self._lanes[long]
        if lane.overloaded_since_s is None or now_s - lane.refused_s > OVERLOAD_GAP_S:
            lane.overloaded_since_s = now_s
        lane.refused_s = now_s
        lasted_s = now_s - lane.overloaded_since_s
        start_s = max(lane.retry_slot_s, now_s + MIN_RETRY_S + LASTED_FACTOR * lasted_s)
        slot_s = start_s + 1.0 / (RETRY_RATE_PART * lane.rate(window))
        lane.retry_slot_s = min(slot_s, now_s + MAX_RETRY_S)
        return lane.retry_slot_s - now_s + self._random.uniform(0.0, 0.5)
