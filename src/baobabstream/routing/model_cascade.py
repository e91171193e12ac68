"""Model cascade: the smallest model answers first, and low confidence escalates to the largest.

A route may list several models. Each answer carries the confidence of its model, which is the
probability of a right answer as the model itself states it, from 0 to 100. An answer below the
acceptance threshold is discarded, and the largest model runs the request instead; this is called
escalation.

The latency target of a route is the time after a request's arrival within which its response, or
the first event of a streamed response, should arrive. An attempt is one send of a request to one
backend server.
"""

from baobabstream.routing.document import Route

__all__ = ["ANY_MODEL", "acceptance_threshold", "escalation_model", "initial_model"]

# Value of the model header by which a caller leaves the choice of the model to the gateway.
ANY_MODEL = "*"
# Upper end of the scale on which models report their confidence.
MAX_CONFIDENCE = 100.0
# Least probability of a right answer, as the model states it, at which an answer is accepted while
# servers are idle. It is well below 1, because running the larger model costs about a seventh of
# what an answer is worth, and the larger model gives wrong answers too.
IDLE_ACCEPTANCE_THRESHOLD = 0.6
# The same when the larger model's answer would miss the latency target. It is lower, because a late
# answer counts only in part, and the time that servers spend on it delays other requests.
LATE_ACCEPTANCE_THRESHOLD = 0.1
# Time that the largest model is expected to need for its first event, as a fraction of the time
# left until the latency target. Up to the first value servers count as idle; from the second one on
# the target counts as missed. The second one is below 1 because estimates of the time lag behind a
# rising load.
IDLE_TIME_FRACTION, LATE_TIME_FRACTION = 0.2, 0.7


def initial_model(route: Route, requested_model: str) -> str:
    """Return the model for the first attempt; a model that the caller asked for takes precedence.

    Parameters
    ----------
    route
        Route of the request.
    requested_model
        Model that the caller names; empty or ``ANY_MODEL`` if the gateway chooses.

    Notes
    -----
    A request that may run only once goes to the largest model, since its answer cannot be replaced
    by another one. A route without models returns what the caller asked for, which may be empty.
    """
    if not route.model_names or requested_model not in ("", ANY_MODEL):
        return requested_model
    may_escalate = route.is_repeatable and route.max_attempts > 1
    return route.model_names[0] if may_escalate else route.model_names[-1]


def escalation_model(
    route: Route, model: str, confidence: float, expected_time_fraction: float
) -> str | None:
    """Return the model that should answer instead, or None if the answer is accepted.

    Parameters
    ----------
    route
        Route of the request.
    model
        Model that has answered. An answer of the largest model, or of one that the route does not
        list, is always accepted.
    confidence
        Confidence that the model states with its answer, 0 to 100.
    expected_time_fraction
        Expected time to the largest model's first event, as a fraction of the time that is left
        until the route's latency target.

    Notes
    -----
    Models between the smallest and the largest are skipped: they can seldom answer what the
    smallest cannot, and each model that is tried takes a part of the time until the target.
    """
    if model not in route.model_names or model == route.model_names[-1]:
        return None
    is_accepted = confidence >= acceptance_threshold(expected_time_fraction) * MAX_CONFIDENCE
    return None if is_accepted else route.model_names[-1]


def acceptance_threshold(expected_time_fraction: float) -> float:
    """Return the lowest probability (0 to 1) of a right answer at which an answer is accepted.

    It falls linearly from the idle to the late threshold as ``expected_time_fraction`` (see
    `escalation_model`) rises from ``IDLE_TIME_FRACTION`` to ``LATE_TIME_FRACTION``.
    """
    # Weight of the late threshold in the mean of the two, 0 (idle) to 1 (the target is missed).
    late_weight = min(
        max(
            (expected_time_fraction - IDLE_TIME_FRACTION)
            / (LATE_TIME_FRACTION - IDLE_TIME_FRACTION),
            0.0,
        ),
        1.0,
    )
    return IDLE_ACCEPTANCE_THRESHOLD + late_weight * (
        LATE_ACCEPTANCE_THRESHOLD - IDLE_ACCEPTANCE_THRESHOLD
    )
