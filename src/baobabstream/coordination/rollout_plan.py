"""The steps of a rollout over its time."""

from dataclasses import dataclass

from baobabstream.wire.coordination_messages import RolloutRow

__all__ = ["CANARY_PART", "Exposure", "RolloutStep", "full_share_s", "planned_step"]

# Time with a share of 0 in which the hosts learn the sessions that are alive and keep the base
# version: two exchanges.
HOLD_S = 1.2
# Part of the allowed share that new sessions on the target version take until shortly before the
# end. A version may be bad in a way that shows late or only under load, and the limit of exposure
# holds for all of the time; the rest is for the end, and for sessions that a hash divides unevenly.
CANARY_PART = 0.45
# A rollout ends this long before its deadline, so that a change of leaders does not miss it.
END_MARGIN_S = 0.8
# Bounds of the time with all requests on the target before the end: enough for a last look at its
# answers under full load, and for most short requests of the base version to end.
LEAST_FULL_S, MOST_FULL_S = 0.4, 2.0
# Parts of the allowed exposure that are used, since answers under way are not counted yet, and the
# rest of the time may see fewer requests than the part before.
USED_SHARE, USED_SLACK = 0.85, 0.5


# Evidence against the target, as a log-likelihood ratio, with which a rollout does not go on: odds
# of five to one. A rollout that ends with it is rolled back, since a bad version costs more than a
# second try.
SUSPICIOUS_LOG_RATIO = 1.6


@dataclass(frozen=True, slots=True)
class Exposure:
    """Limit of the requests that an unproven version may get, and answers counted so far.

    Parameters
    ----------
    limit_share, limit_slack
        Allowed share of all requests of the service during a rollout, and further requests.
    target_answers
        Answers of the target version since the rollout began.
    all_answers, seen_s
        Answers of the service that this leader has counted, and in which time.
    """

    limit_share: float
    limit_slack: float
    target_answers: int = 0
    all_answers: int = 0
    seen_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """Share of the target version, whether sessions move, and whether the rollout ends.

    ``give_up`` tells that it ends with the base version.
    """

    share: float
    settled: bool
    complete: bool = False
    give_up: bool = False


def full_share_s(row: RolloutRow, exposure: Exposure) -> float:
    """Return how long all requests may go to the target before the end of a rollout.

    Parameters
    ----------
    row
        The rollout.
    exposure
        Limit and counts.
    """
    rate = exposure.all_answers / exposure.seen_s if exposure.seen_s > 0 else 0.0
    if rate <= 0:
        return LEAST_FULL_S
    expected_answers = rate * row.duration_s
    allowed = USED_SHARE * exposure.limit_share * expected_answers
    allowed += USED_SLACK * exposure.limit_slack
    left = allowed - exposure.target_answers
    # The target gets all requests after the end as well, until the deadline.
    return min(max(left / rate - END_MARGIN_S, LEAST_FULL_S), MOST_FULL_S)


def planned_step(
    row: RolloutRow, elapsed_s: float, exposure: Exposure, log_ratio: float = 0.0
) -> RolloutStep:
    """Return the step of a rollout that was not found bad, at a time after its start.

    Parameters
    ----------
    row
        The rollout.
    elapsed_s
        Time in seconds since its start.
    exposure
        Limit and counts.
    log_ratio
        Evidence against the target.
    """
    suspicious = log_ratio >= SUSPICIOUS_LOG_RATIO
    end_s = max(row.duration_s - END_MARGIN_S, HOLD_S)
    if elapsed_s >= end_s:
        if suspicious:
            return RolloutStep(0.0, settled=False, give_up=True)
        return RolloutStep(1.0, settled=True, complete=True)
    if elapsed_s < HOLD_S:
        return RolloutStep(0.0, settled=False)
    full = elapsed_s >= end_s - full_share_s(row, exposure)
    if row.settled or (full and not suspicious):
        return RolloutStep(1.0, settled=True)
    return RolloutStep(CANARY_PART * exposure.limit_share, settled=False)
