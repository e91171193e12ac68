"""Admission control by deadline: queues, predicted waits and retry times.

An entry is a host process that accepts requests and sends them to backend servers; each entry has
its own queues. An attempt is one dispatch of a request to a backend server. Long work, or a long
request, is expected to occupy a server several times longer than most; long and short requests have
separate queues. A request is queued if its predicted wait, from the requests ahead and the service
rate, fits into its slack: the time from now until it must be dispatched to meet its latency
targets. The entry's window is the number of attempts that it may have in flight at once on the
servers of a version. The service rate is the number of this entry's requests per second that the
servers complete while the window is full. An account's share is its weight in the queue.
"""

from math import exp, sqrt
from random import Random

from baobabstream.policy.active_request import ActiveRequest
from baobabstream.policy.fair_queue import FairQueue

__all__ = ["Admission"]

# A request is queued only if its predicted wait is below a fraction of its slack, since the service
# rate may fall while it waits. The fraction falls from the first to the second value as the share
# of refused requests grows: in an overload other accounts are served first, and a refusal must come
# at once.
WAIT_SLACK_FRACTION = 0.4
OVERLOADED_WAIT_SLACK_FRACTION = 0.12
# Weight of a new decision in the moving average of the share of refusals.
REFUSED_SHARE_GAIN = 0.1
# Fraction of the slack for an account below its share. It is served next, so its wait can be
# predicted more exactly.
BELOW_SHARE_WAIT_SLACK_FRACTION = 0.9
# Mean time from dispatch to the end of an attempt that is assumed before the first measurement.
DEFAULT_SERVICE_S = 1.0
# Demand counts as above capacity when more than this share of requests is refused.
OVERLOADED_REFUSED_SHARE = 0.35
# Demand is rising when the recent arrivals, which decay with a short time constant, exceed those
# expected from the baseline, with a long one, by this factor and this many standard deviations.
RECENT_DECAY_S = 1.0
BASELINE_DECAY_S = 10.0
RISE_FACTOR = 1.3
RISE_DEVIATIONS = 1.0
# Weight of a new service time that is not above the moving average.
SERVICE_TIME_GAIN = 0.05
# Weight of one above it. Rising service times are followed faster: requests expire in the queue if
# the service rate is overestimated.
RISING_SERVICE_TIME_GAIN = 0.1
# Lower bound of the service rate, in requests per second, so that predicted waits and retry times
# stay finite while the version has no servers.
MIN_SERVICE_RATE_PER_S = 0.2
# Fraction of the service rate that is planned for retries; the rest is for new requests.
RETRY_RATE_FRACTION = 0.25
# Bounds of the time until a refused request is told to retry, without its jitter.
MIN_RETRY_S = 0.5
MAX_RETRY_S = 300.0
# Retries start after the duration of the overload times this factor.
OVERLOAD_DURATION_FACTOR = 2.0
# An overload has ended when no retry time was asked for, that is nothing refused, for this time.
OVERLOAD_GAP_S = 2.0


class _QueueState:
    """One queue, of long or of short work, with its service rate, arrivals and refusals.

    Times are on the policy's clock, in seconds.

    Attributes
    ----------
    queue
        Waiting requests.
    mean_service_s
        Moving average of the time from dispatch to the end of an attempt, in seconds.
    overloaded_since_s
        Time of the first refusal of the present or last overload, or None.
    last_refused_at_s
        Time of the last refusal.
    last_retry_at_s
        Latest time that was given to a refused request for its retry.
    refused_share
        Moving average of the share of arrived requests that were refused, from 0 to 1.
    recent_arrivals, baseline_arrivals
        Exponentially decaying counts of arrivals with a short and a long time constant.
    last_arrival_at_s
        Time of the last arrival, to which the counts have decayed.
    """

    def __init__(self, uses_shares: bool) -> None:
        self.queue = FairQueue(uses_shares)
        self.mean_service_s = DEFAULT_SERVICE_S
        self.overloaded_since_s: float | None = None
        self.last_refused_at_s = -1e9  # long ago: nothing was refused yet
        self.last_retry_at_s = 0.0
        self.refused_share = 0.0
        self.recent_arrivals = 0.0
        self.baseline_arrivals = 0.0
        self.last_arrival_at_s = 0.0

    def count_arrival(self, now_s: float) -> None:
        """Decay both counts of arrivals to now and add one arrival."""
        elapsed_s = max(0.0, now_s - self.last_arrival_at_s)
        self.last_arrival_at_s = now_s
        self.recent_arrivals = self.recent_arrivals * exp(-elapsed_s / RECENT_DECAY_S) + 1.0
        self.baseline_arrivals = self.baseline_arrivals * exp(-elapsed_s / BASELINE_DECAY_S) + 1.0

    def demand_is_rising(self) -> bool:
        """Return whether recent arrivals exceed those expected from the baseline beyond chance.

        At a steady rate a decaying count settles at the rate times its time constant, which gives
        the expected count. Its standard deviation is that of a Poisson count, the square root; the
        1 that is added keeps a margin when nearly nothing is expected.
        """
        expected_arrivals = self.baseline_arrivals * RECENT_DECAY_S / BASELINE_DECAY_S
        return self.recent_arrivals > RISE_FACTOR * expected_arrivals + RISE_DEVIATIONS * sqrt(
            expected_arrivals + 1.0
        )

    def service_rate_per_s(self, window: float) -> float:
        """Return the requests per second that are completed while the window is full.

        By Little's law this is the number of attempts in flight divided by their mean duration.
        ``window`` is the number of attempts that this entry may have in flight.
        """
        return max(MIN_SERVICE_RATE_PER_S, window / self.mean_service_s)


class Admission:
    """Admission control for short and long work, with fair shares between client accounts.

    In all methods ``is_long`` selects the queue.

    Parameters
    ----------
    random
        Source of the jitter (random delay) of retry times.
    uses_shares
        Whether accounts are served in proportion to their shares.
    """

    def __init__(self, random: Random, uses_shares: bool = True) -> None:
        self._random = random
        self._queue_states = {False: _QueueState(uses_shares), True: _QueueState(uses_shares)}
        self._last_retry_at_s = 0.0

    def queue(self, is_long: bool) -> FairQueue:
        """Return the queue of long or of short work."""
        return self._queue_states[is_long].queue

    def record_service_time(self, is_long: bool, service_s: float) -> None:
        """Update the mean service time with one attempt that took ``service_s`` seconds."""
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
        """Return the predicted wait, in seconds, of a new request of an account.

        Parameters
        ----------
        account_name
            Client account of the request.
        account_share
            Weight of the account.
        is_long
            Whether the request is long work.
        window
            Attempts that this entry may have in flight on the servers of the version.
        """
        queue_state = self._queue_states[is_long]
        # The request leaves the queue after all requests ahead and itself (the 1) were dispatched.
        return (
            queue_state.queue.requests_ahead(account_name, account_share) + 1
        ) / queue_state.service_rate_per_s(window)

    def meets_deadline(
        self, active_request: ActiveRequest, account_share: float, window: float, now_s: float
    ) -> bool:
        """Return whether the predicted wait uses no more than the allowed fraction of the slack.

        An account below its share has a fixed fraction. For the others the fraction falls linearly
        with the share of refused requests and reaches its lowest value when a quarter is refused.

        Parameters
        ----------
        active_request
            Request that was neither dispatched nor queued yet.
        account_share
            Weight of its client account.
        window
            Attempts that this entry may have in flight on the servers of the version.
        now_s
            Present time, in seconds.
        """
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
        refused_share = self._queue_states[active_request.is_long].refused_share
        slack_fraction = WAIT_SLACK_FRACTION - (
            WAIT_SLACK_FRACTION - OVERLOADED_WAIT_SLACK_FRACTION
        ) * min(1.0, 4 * refused_share)
        return wait_s <= slack_fraction * (active_request.dispatch_deadline_s - now_s)

    def count_arrival(self, is_long: bool, now_s: float) -> None:
        """Count an arrived request as demand, whether it is admitted or refused later."""
        self._queue_states[is_long].count_arrival(now_s)

    def has_recent_arrivals(self, is_long: bool, now_s: float) -> bool:
        """Return whether at least half an arrival remains in the decaying baseline count.

        A single arrival counts as recent for about 7 s, ``BASELINE_DECAY_S`` times ln 2.
        """
        queue_state = self._queue_states[is_long]
        return (
            queue_state.baseline_arrivals
            * exp(-max(0.0, now_s - queue_state.last_arrival_at_s) / BASELINE_DECAY_S)
            >= 0.5
        )

    def demand_is_steady(self, is_long: bool) -> bool:
        """Return whether demand is neither rising nor above capacity.

        Otherwise load reports of the servers are too old to show which of them have capacity.
        """
        queue_state = self._queue_states[is_long]
        return (
            queue_state.refused_share <= OVERLOADED_REFUSED_SHARE
            and not queue_state.demand_is_rising()
        )

    def record_refusal_decision(self, is_long: bool, is_refused: bool) -> None:
        """Update the share of refusals with the decision on one arrived request.

        ``is_refused`` states whether it was refused rather than dispatched or queued.
        """
        queue_state = self._queue_states[is_long]
        queue_state.refused_share += REFUSED_SHARE_GAIN * (is_refused - queue_state.refused_share)

    def retry_after_s(self, is_long: bool, window: float, now_s: float) -> float:
        """Return the time, in seconds, after which a refused request is likely to be admitted.

        Also records the refusal, so it must be called once per refused request. ``window`` is the
        number of attempts that this entry may have in flight on the servers of the version.

        Notes
        -----
        Refused requests are spread over a schedule that uses a fraction of the service rate, so
        that they do not all return at once. The schedule starts after twice the time for which the
        overload has lasted, since an overload that began long ago is likely to last longer. A
        random delay of up to 0.5 s is added, since other entries keep schedules of their own.
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
