"""Admission by deadline: queues, predicted waits and retry times."""

from math import exp, sqrt
from random import Random

from baobabstream.policy.active_request import ActiveRequest
from baobabstream.policy.fair_queue import FairQueue

__all__ = ["Admission"]

# A request is queued only when its predicted wait is below a part of its slack, since the service
# rate may fall while it waits. The part falls with the share of requests that are refused: in an
# overload others are served first, and a refusal must come at once.
WAIT_SLACK_FRACTION = 0.4
OVERLOADED_WAIT_SLACK_FRACTION = 0.12
REFUSED_SHARE_GAIN = 0.1
# The head of an account below its share is served next, so its wait is well known.
BELOW_SHARE_WAIT_SLACK_FRACTION = 0.9
DEFAULT_SERVICE_S = 1.0
# Above this share of refusals demand counts as above capacity.
OVERLOADED_REFUSED_SHARE = 0.35
# Demand is rising when the arrivals of the short time exceed those expected from the long time by
# this factor and this many standard deviations.
RECENT_DECAY_S = 1.0
BASELINE_DECAY_S = 10.0
RISE_FACTOR = 1.3
RISE_DEVIATIONS = 1.0
SERVICE_TIME_GAIN = 0.05
# A rise is followed faster, since a rate taken too high lets requests expire in the queue.
RISING_SERVICE_TIME_GAIN = 0.1
MIN_SERVICE_RATE_PER_S = 0.2
# Part of the service rate that retry times count on; the rest is for new requests.
RETRY_RATE_FRACTION = 0.25
MIN_RETRY_S = 0.5
MAX_RETRY_S = 300.0
OVERLOAD_DURATION_FACTOR = 2.0
# An overload ends when nothing was refused for this time.
OVERLOAD_GAP_S = 2.0


class _QueueState:
    """One queue with its service rate and the rate of arrivals."""

    def __init__(self, uses_shares: bool) -> None:
        self.queue = FairQueue(uses_shares)
        self.mean_service_s = DEFAULT_SERVICE_S
        self.overloaded_since_s: float | None = None
        self.last_refused_at_s = -1e9
        self.last_retry_at_s = 0.0
        self.refused_share = 0.0
        self.recent_arrivals = 0.0
        self.baseline_arrivals = 0.0
        self.last_arrival_at_s = 0.0

    def count_arrival(self, now_s: float) -> None:
        """Count an arrival into the decaying counts."""
        elapsed_s = max(0.0, now_s - self.last_arrival_at_s)
        self.last_arrival_at_s = now_s
        self.recent_arrivals = self.recent_arrivals * exp(-elapsed_s / RECENT_DECAY_S) + 1.0
        self.baseline_arrivals = self.baseline_arrivals * exp(-elapsed_s / BASELINE_DECAY_S) + 1.0

    def demand_is_rising(self) -> bool:
        """Return whether recent arrivals exceed the expected number beyond chance."""
        expected_arrivals = self.baseline_arrivals * RECENT_DECAY_S / BASELINE_DECAY_S
        return self.recent_arrivals > RISE_FACTOR * expected_arrivals + RISE_DEVIATIONS * sqrt(
            expected_arrivals + 1.0
        )

    def service_rate_per_s(self, window: float) -> float:
        """Return requests per second that a full window serves, by Little's law."""
        return max(MIN_SERVICE_RATE_PER_S, window / self.mean_service_s)


class Admission:
    """Queues for short and long work with fair shares between accounts.

    Parameters
    ----------
    random
        Spreads retry times.
    fair
        Whether account shares count.
    """

    def __init__(self, random: Random, uses_shares: bool = True) -> None:
        self._random = random
        self._queue_states = {False: _QueueState(uses_shares), True: _QueueState(uses_shares)}
        self._last_retry_at_s = 0.0

    def queue(self, is_long: bool) -> FairQueue:
        """Return the queue for long or for short work."""
        return self._queue_states[is_long].queue

    def record_service_time(self, is_long: bool, service_s: float) -> None:
        """Take the time that a request held its place on a server."""
        queue_state = self._queue_states[is_long]
        gain = (
            RISING_SERVICE_TIME_GAIN
            if service_s > queue_state.mean_service_s
            else SERVICE_TIME_GAIN
        )
        queue_state.mean_service_s += gain * (service_s - queue_state.mean_service_s)

    def predicted_wait_s(
        self, account_name: str, account_share: float, is_long: bool, window: float
    ) -> float:
        """Return the predicted wait of a new request of an account.

        Parameters
        ----------
        window
            Attempts that this entry may have in flight on the servers of the version.
        """
        queue_state = self._queue_states[is_long]
        return (
            queue_state.queue.requests_ahead(account_name, account_share) + 1
        ) / queue_state.service_rate_per_s(window)

    def meets_deadline(
        self, active_request: ActiveRequest, account_share: float, window: float, now_s: float
    ) -> bool:
        """Return whether a request would be dispatched well before its deadline."""
        wait_s = self.predicted_wait_s(
            active_request.request.client_account, account_share, active_request.is_long, window
        )
        is_below_share = self._queue_states[active_request.is_long].queue.is_below_share(
            active_request.request.client_account
        )
        if is_below_share:
            return wait_s <= BELOW_SHARE_WAIT_SLACK_FRACTION * (
                active_request.dispatch_deadline_s - now_s
            )
        is_refused = self._queue_states[active_request.is_long].refused_share
        slack_fraction = WAIT_SLACK_FRACTION - (
            WAIT_SLACK_FRACTION - OVERLOADED_WAIT_SLACK_FRACTION
        ) * min(1.0, 4 * is_refused)
        return wait_s <= slack_fraction * (active_request.dispatch_deadline_s - now_s)

    def count_arrival(self, is_long: bool, now_s: float) -> None:
        """Take an arrival into the measure of demand."""
        self._queue_states[is_long].count_arrival(now_s)

    def has_recent_arrivals(self, is_long: bool, now_s: float) -> bool:
        """Return whether requests of a kind have arrived lately."""
        queue_state = self._queue_states[is_long]
        return (
            queue_state.baseline_arrivals
            * exp(-max(0.0, now_s - queue_state.last_arrival_at_s) / BASELINE_DECAY_S)
            >= 0.5
        )

    def demand_is_steady(self, is_long: bool) -> bool:
        """Return whether demand is neither rising nor above capacity."""
        queue_state = self._queue_states[is_long]
        return (
            queue_state.refused_share <= OVERLOADED_REFUSED_SHARE
            and not queue_state.demand_is_rising()
        )

    def record_refusal_decision(self, is_long: bool, is_refused: bool) -> None:
        """Take whether an arrived request was refused into the share of refusals."""
        queue_state = self._queue_states[is_long]
        queue_state.refused_share += REFUSED_SHARE_GAIN * (is_refused - queue_state.refused_share)

    def retry_after_s(self, is_long: bool, window: float, now_s: float) -> float:
        """Return a time after which a refused request is likely to be admitted.

        Notes
        -----
        Refused requests get places in a schedule that uses part of the service rate, so that they
        do not all return at once. The schedule starts twice as long after now as the overload has
        lasted, since an overload that began long ago is likely to last longer.
        """
        queue_state = self._queue_states[is_long]
        if (
            queue_state.overloaded_since_s is None
            or now_s - queue_state.last_refused_at_s > OVERLOAD_GAP_S
        ):
            queue_state.overloaded_since_s = now_s
        queue_state.last_refused_at_s = now_s
        overload_s = now_s - queue_state.overloaded_since_s
        schedule_start_at_s = max(
            queue_state.last_retry_at_s, now_s + MIN_RETRY_S + OVERLOAD_DURATION_FACTOR * overload_s
        )
        retry_at_s = schedule_start_at_s + 1.0 / (
            RETRY_RATE_FRACTION * queue_state.service_rate_per_s(window)
        )
        queue_state.last_retry_at_s = min(retry_at_s, now_s + MAX_RETRY_S)
        return queue_state.last_retry_at_s - now_s + self._random.uniform(0.0, 0.5)
