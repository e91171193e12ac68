"""Steps of a rollout over its duration.

A rollout moves a service from its base version to a target version within a fixed time,
``duration_s`` seconds, at whose end is its deadline. Its row is the record of it in the replicated
state. Its share is the fraction (0 to 1) of the new sessions whose requests the
target gets. The rollout starts with a share of 0, continues as a canary, which is a trial of the
target with a small share, sends all requests to the target shortly before the deadline, and ends
either completed or rolled back to the base version. The number of requests that the target gets
until then, its exposure, is limited, since it may be bad. Requests are counted by their answers.
"""

from dataclasses import dataclass

from baobabstream.wire.coordination_messages import RolloutRow

__all__ = [
    "Exposure",
    "RolloutStep",
    "canary_share",
    "full_share_duration_s",
    "is_full_share_due",
    "plan_step",
]

# Duration of the first step, with a share of 0: two exchanges between gateways and coordination
# hosts, in which all hosts learn the open sessions, which keep the base version.
ZERO_SHARE_S = 1.2
# Fraction of the allowed requests that the target gets as a canary. A version may be bad in a way
# that shows late or only under load, and the limit of exposure covers the whole rollout. So the
# rest is left for the step with all requests, and a canary gets less than this if that step needs
# more at the present rate of requests, down to the lower fraction.
CANARY_FRACTION, MIN_CANARY_FRACTION = 0.75, 0.65
# Most requests that a canary is planned to get. They are enough to see a version that is bad at any
# load; with many requests a second, the rest makes the step with all requests longer.
MAX_CANARY_REQUESTS = 60
# A canary gets fewer requests than its share, as sessions that began before the rollout stay on the
# base version. Its share is raised once it would have to be this many times as large to get the
# rest of the planned requests in the time that is left.
MIN_SHARE_RAISE = 1.2
# Shortest time for which the share is planned, so that a small deficit near the end does not raise
# it to the upper bound.
MIN_PLANNED_CANARY_S = 3.0
# Upper bound of the share of a canary.
MAX_CANARY_SHARE = 0.3
# Time of observation after which the rate of requests is known well enough for the share.
MIN_OBSERVED_S = 1.0
# A rollout ends this long before its deadline, so that a change of the coordination leader, which
# commits its end, does not delay it beyond the deadline. From its end to the deadline the target
# gets all requests; if the limit does not allow as many, it ends later, up to the lower bound, in
# which its end is still evaluated and committed.
MIN_END_MARGIN_S, END_MARGIN_S = 0.3, 0.8
# Bounds of the time for which the target gets all requests before the end of the rollout. The lower
# one is enough for most short requests that still run on the base version to end.
MIN_FULL_SHARE_S, MAX_FULL_SHARE_S = 0.4, 2.0
# Time with all requests that a canary leaves room for. A version may fail under this load only, and
# nothing judges it after its completion. In this time enough answers under full load are counted,
# reported by the gateways and evaluated.
PLANNED_FULL_SHARE_S = 1.2
# Fraction of the allowed requests that the end of a rollout is planned for. The rest is for those
# that are not counted yet.
USED_END_FRACTION = 0.95
# Fraction of the allowed requests from which on a suspicious target that gets all requests is
# rolled back at once. The rest arrives before that is in force, also at a peak.
MAX_SUSPICIOUS_FRACTION = 0.7
# Fractions of the allowed share and of the allowed extra requests that the plan uses. The rest is
# left because requests in flight are not counted yet, and because the rate of requests, from which
# the allowed number is computed, may fall during the rest of the rollout.
USED_SHARE_FRACTION, USED_EXTRA_FRACTION = 0.85, 0.5


@dataclass(frozen=True, slots=True)
class Exposure:
    """Limit of the requests that the target may get, and the answers counted so far.

    Parameters
    ----------
    allowed_share, allowed_extra_requests
        The target may get this share (0 to 1) of all requests of the service during a rollout,
        plus this number of requests.
    target_requests
        Number of requests of the target version that the gateways have counted, also those without
        an answer yet.
    service_answers, observed_s
        Number of answers of all versions of the service since this leader first evaluated the
        rollout, and the seconds since then.
    """

    allowed_share: float
    allowed_extra_requests: float
    target_requests: int = 0
    service_answers: int = 0
    observed_s: float = 0.0

    @property
    def answers_per_s(self) -> float:
        """Answers of the service in a second; 0 before there are any."""
        return self.service_answers / self.observed_s if self.observed_s > 0 else 0.0

    def usable_requests(self, duration_s: float) -> float:
        """Return how many requests the plan sends to the target in a rollout of a duration.

        ``duration_s`` is in seconds; the present rate of answers is assumed for all of it.
        """
        return (
            USED_SHARE_FRACTION * self.allowed_share * self.answers_per_s * duration_s
            + USED_EXTRA_FRACTION * self.allowed_extra_requests
        )

    def allowed_requests(self, duration_s: float) -> float:
        """Return how many requests the limit allows in a rollout of a duration in seconds."""
        return self.allowed_share * self.answers_per_s * duration_s + self.allowed_extra_requests


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """What a rollout does at one time.

    Parameters
    ----------
    share
        Share (0 to 1) of the new sessions that the target version gets.
    moves_sessions
        Whether sessions that began on the base version move to the target too.
    completes
        Whether the rollout ends with the target version.
    rolls_back
        Whether the rollout ends with the base version.
    """

    share: float
    moves_sessions: bool
    completes: bool = False
    rolls_back: bool = False


def end_margin_s(row: RolloutRow, exposure: Exposure) -> float:
    """Return for how many seconds before its deadline a rollout may end.

    That is the time in which the target, after the least time with all requests, gets what the
    limit leaves, within the bounds of this module.

    Parameters
    ----------
    row
        The rollout.
    exposure
        Limit of the target's requests, and the answers counted so far.
    """
    if exposure.answers_per_s <= 0:
        return END_MARGIN_S
    remaining_requests = (
        USED_END_FRACTION * exposure.allowed_requests(row.duration_s) - exposure.target_requests
    )
    margin_s = remaining_requests / exposure.answers_per_s - (
        0.0 if row.settled else MIN_FULL_SHARE_S
    )
    return min(max(margin_s, MIN_END_MARGIN_S), _preferred_end_margin_s(row, exposure))


def _preferred_end_margin_s(row: RolloutRow, exposure: Exposure) -> float:
    """Return the end margin that leaves ``PLANNED_FULL_SHARE_S`` for the step with all requests.

    It is within the bounds of this module. In the margin itself nothing judges the target.
    """
    left_requests = USED_END_FRACTION * exposure.allowed_requests(
        row.duration_s
    ) - _planned_canary_requests(row, exposure)
    margin_s = left_requests / exposure.answers_per_s - PLANNED_FULL_SHARE_S
    return min(max(margin_s, MIN_END_MARGIN_S), END_MARGIN_S)


def full_share_duration_s(row: RolloutRow, exposure: Exposure) -> float:
    """Return for how many seconds before its end a rollout may send all requests to the target.

    That is the time in which the target, at the present rate of answers of the service, gets the
    rest of the requests that the limit allows, within the bounds of this module. Before there are
    answers it is the lower bound.

    Parameters
    ----------
    row
        The rollout.
    exposure
        Limit of the target's requests, and the answers counted so far.
    """
    if exposure.answers_per_s <= 0:
        return MIN_FULL_SHARE_S
    remaining_requests = (
        USED_END_FRACTION * exposure.allowed_requests(row.duration_s) - exposure.target_requests
    )
    # The target gets all requests between the end of the rollout and the deadline as well.
    unjudged_s = _preferred_end_margin_s(row, exposure)
    full_share_s = remaining_requests / exposure.answers_per_s - unjudged_s
    return min(max(full_share_s, MIN_FULL_SHARE_S), MAX_FULL_SHARE_S)


def canary_share(row: RolloutRow, elapsed_s: float, exposure: Exposure) -> float:
    """Return the share (0 to 1) of the new sessions that the target gets as a canary.

    The canary shall get a part of the requests that the target may get, evenly over the rollout. A
    service with few requests so gets enough of them to judge the target. The share never falls,
    which would move sessions back to the base version, and it rises in the second half only, before
    which no session may move to the target.

    Parameters
    ----------
    row
        The rollout.
    elapsed_s
        Seconds since its start.
    exposure
        Limit of the target's requests, and the answers counted so far.
    """
    if row.share and elapsed_s < row.duration_s / 2:
        return row.share
    if exposure.observed_s < MIN_OBSERVED_S or not exposure.service_answers:
        return row.share or CANARY_FRACTION * exposure.allowed_share
    planned_requests = _planned_canary_requests(row, exposure)
    if not row.share:
        share = planned_requests / (exposure.answers_per_s * row.duration_s)
    else:
        canary_end_s = row.duration_s - PLANNED_FULL_SHARE_S - MIN_END_MARGIN_S
        left_s = max(canary_end_s - elapsed_s, MIN_PLANNED_CANARY_S)
        left_requests = planned_requests - exposure.target_requests
        share = left_requests / (exposure.answers_per_s * left_s)
        if share < MIN_SHARE_RAISE * row.share:
            return row.share
    # Rounded, so that not each change of the rate of requests has to be committed.
    return max(row.share, min(MAX_CANARY_SHARE, float(f"{share:.2g}")))


def _planned_canary_requests(row: RolloutRow, exposure: Exposure) -> float:
    """Return how many requests a canary shall get, by the limit and the present rate of answers."""
    usable_requests = exposure.usable_requests(row.duration_s)
    full_share_requests = (PLANNED_FULL_SHARE_S + END_MARGIN_S) * exposure.answers_per_s
    left_by_full_share = (
        USED_END_FRACTION * exposure.allowed_requests(row.duration_s) - full_share_requests
    )
    return min(
        CANARY_FRACTION * usable_requests,
        max(MIN_CANARY_FRACTION * usable_requests, left_by_full_share),
        MAX_CANARY_REQUESTS,
    )


def is_full_share_due(row: RolloutRow, elapsed_s: float, exposure: Exposure) -> bool:
    """Return whether the time has come for the step with all requests, whatever the evidence.

    A target that was suspicious then, and is not any more shortly before the end, would be
    completed without having carried the load of all requests.
    """
    end_s = max(row.duration_s - end_margin_s(row, exposure), ZERO_SHARE_S)
    return elapsed_s >= end_s - full_share_duration_s(row, exposure)


def plan_step(
    row: RolloutRow,
    elapsed_s: float,
    exposure: Exposure,
    is_suspicious: bool = False,
    has_target_servers: bool = True,
) -> RolloutStep:
    """Return the present step of a rollout whose target was not detected as bad.

    The steps are: a share of 0, the canary, all requests on the target (a share of 1), and the end.
    While the target is suspicious, the step with all requests does not begin; once begun, which is
    recorded in ``row.settled``, it lasts until the end, unless a target that has become suspicious
    is about to exceed its limit.

    Parameters
    ----------
    row
        The rollout.
    elapsed_s
        Seconds since its start.
    exposure
        Limit of the target's requests, and the answers counted so far.
    is_suspicious
        Whether the target may be worse than the base version; see `RegressionDetector`.
    has_target_servers
        Whether a server of the target version is known; without one the rollout is not completed.
    """
    # Seconds since the start at which the rollout ends.
    end_s = max(row.duration_s - end_margin_s(row, exposure), ZERO_SHARE_S)
    if elapsed_s >= end_s:
        if is_suspicious or not has_target_servers:
            return RolloutStep(0.0, moves_sessions=False, rolls_back=True)
        return RolloutStep(1.0, moves_sessions=True, completes=True)
    if elapsed_s < ZERO_SHARE_S:
        return RolloutStep(0.0, moves_sessions=False)
    is_near_end = is_full_share_due(row, elapsed_s, exposure)
    max_requests = MAX_SUSPICIOUS_FRACTION * exposure.allowed_requests(row.duration_s)
    if row.settled and is_suspicious and exposure.target_requests >= max_requests:
        return RolloutStep(0.0, moves_sessions=False, rolls_back=True)
    if row.settled or (is_near_end and has_target_servers and not is_suspicious):
        return RolloutStep(1.0, moves_sessions=True)
    return RolloutStep(canary_share(row, elapsed_s, exposure), moves_sessions=False)
