"""Steps of a rollout over its duration.

A rollout moves a service from its base version to a target version within a fixed time. It starts
with a share of 0, continues as a canary with a small share of the new sessions, sends all requests
to the target shortly before its deadline, and ends either completed or rolled back. The requests
that the target gets until then, its exposure, are limited.
"""

from dataclasses import dataclass

from baobabstream.wire.coordination_messages import RolloutRow

__all__ = ["CANARY_FRACTION", "Exposure", "RolloutStep", "full_share_duration_s", "plan_step"]

# Duration of the first step, with a share of 0: two exchanges between gateways and coordination
# hosts, in which all hosts learn the open sessions, which keep the base version.
ZERO_SHARE_S = 1.2
# Fraction of the allowed share that the canary gets. A version may be bad in a way that shows late
# or only under load, and the limit of exposure covers the whole rollout. The rest is left for the
# step with all requests, and for sessions that the hash distributes unevenly.
CANARY_FRACTION = 0.45
# A rollout ends this long before its deadline, so that a change of leader does not delay it beyond
# the deadline.
END_MARGIN_S = 0.8
# Bounds of the time with all requests on the target before the end. It lasts long enough to check
# the target's answers under full load, and for most short requests of the base version to end.
MIN_FULL_SHARE_S, MAX_FULL_SHARE_S = 0.4, 2.0
# Fractions of the allowed share and of the allowed extra requests that the plan uses: answers in
# flight are not counted yet, and the rate of requests may fall during the rest of the rollout.
USED_SHARE_FRACTION, USED_EXTRA_FRACTION = 0.85, 0.5


# Log-likelihood ratio against the target above which a rollout does not proceed: odds of five to
# one. A rollout that reaches its end above this ratio is rolled back, since a bad version costs
# more than a second rollout.
SUSPICIOUS_LOG_RATIO = 1.6


@dataclass(frozen=True, slots=True)
class Exposure:
    """Limit of the requests that an unproven version may get, and the answers counted so far.

    Parameters
    ----------
    allowed_share, allowed_extra_requests
        The target may get this share of all requests of the service during a rollout, plus this
        number of requests.
    target_answers
        Answers of the target version since the rollout began.
    service_answers, observed_s
        Answers of all versions of the service that this leader has counted, and the seconds in
        which it counted them.
    """

    allowed_share: float
    allowed_extra_requests: float
    target_answers: int = 0
    service_answers: int = 0
    observed_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """What a rollout does at one time.

    Parameters
    ----------
    share
        Share of the new sessions that the target version gets.
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


def full_share_duration_s(row: RolloutRow, exposure: Exposure) -> float:
    """Return for how many seconds before its end a rollout may send all requests to the target.

    Parameters
    ----------
    row
        The rollout.
    exposure
        Limit of the target's requests, and the answers counted so far.
    """
    answers_per_s = (
        exposure.service_answers / exposure.observed_s if exposure.observed_s > 0 else 0.0
    )
    if answers_per_s <= 0:
        return MIN_FULL_SHARE_S
    expected_answers = answers_per_s * row.duration_s
    allowed_answers = USED_SHARE_FRACTION * exposure.allowed_share * expected_answers
    allowed_answers += USED_EXTRA_FRACTION * exposure.allowed_extra_requests
    remaining_answers = allowed_answers - exposure.target_answers
    # The target gets all requests between the end of the rollout and the deadline as well.
    return min(
        max(remaining_answers / answers_per_s - END_MARGIN_S, MIN_FULL_SHARE_S), MAX_FULL_SHARE_S
    )


def plan_step(
    row: RolloutRow, elapsed_s: float, exposure: Exposure, log_ratio: float = 0.0
) -> RolloutStep:
    """Return the present step of a rollout whose target was not detected as bad.

    Parameters
    ----------
    row
        The rollout.
    elapsed_s
        Seconds since its start.
    exposure
        Limit of the target's requests, and the answers counted so far.
    log_ratio
        Evidence against the target, as a log-likelihood ratio.
    """
    is_suspicious = log_ratio >= SUSPICIOUS_LOG_RATIO
    end_s = max(row.duration_s - END_MARGIN_S, ZERO_SHARE_S)
    if elapsed_s >= end_s:
        if is_suspicious:
            return RolloutStep(0.0, moves_sessions=False, rolls_back=True)
        return RolloutStep(1.0, moves_sessions=True, completes=True)
    if elapsed_s < ZERO_SHARE_S:
        return RolloutStep(0.0, moves_sessions=False)
    is_near_end = elapsed_s >= end_s - full_share_duration_s(row, exposure)
    if row.settled or (is_near_end and not is_suspicious):
        return RolloutStep(1.0, moves_sessions=True)
    return RolloutStep(CANARY_FRACTION * exposure.allowed_share, moves_sessions=False)
