"""Chooses models of a route, smallest first, and goes on to a larger one on low confidence."""

from baobabstream.routing.document import Route

__all__ = ["ANY_MODEL", "first_model", "larger_model", "needed_probability"]

ANY_MODEL = "*"
FULL_CONFIDENCE = 100.0
# Probability, by the model's own confidence, at which an answer is kept while servers are idle. A
# larger model costs about a seventh of an answer's value, and its answers are not all right either.
KEEP_PROBABILITY = 0.6
# The same when the larger model's answer would miss the target: a late answer counts for a part
# only, and the work for it makes others late.
KEEP_PROBABILITY_LATE = 0.1
# Parts of the time left to the target that the larger model may take: up to the first, servers
# count as idle; from the second on, the target counts as missed, since estimates lag behind load.
IDLE_STRAIN, FULL_STRAIN = 0.2, 0.7


def first_model(route: Route, asked: str) -> str:
    """Return the model to name to the first server, or the one that the caller asked for.

    Parameters
    ----------
    route
        Route of the request.
    asked
        Model that the caller names.

    Notes
    -----
    A request that may run once only goes to the largest model, since its answer cannot be
    replaced by another one.
    """
    if not route.model_names or asked not in ("", ANY_MODEL):
        return asked
    cascades = route.repeatable and route.max_attempts > 1
    return route.model_names[0] if cascades else route.model_names[-1]


def larger_model(route: Route, model: str, confidence: float, strain: float) -> str | None:
    """Return the model that should answer instead, or None if the answer is kept.

    Parameters
    ----------
    route
        Route of the request.
    model
        Model that has answered.
    confidence
        Its opinion of its answer, 0 to 100.
    strain
        Expected time to the largest model's first event, as a part of the time that is left
        until the route's target.

    Notes
    -----
    The largest model comes next, without the ones in between: what the smallest cannot answer,
    those seldom can, and each model that is tried takes time from the target.
    """
    if model not in route.model_names or model == route.model_names[-1]:
        return None
    kept = confidence >= needed_probability(strain) * FULL_CONFIDENCE
    return None if kept else route.model_names[-1]


def needed_probability(strain: float) -> float:
    """Return the probability at which an answer is kept, which falls as the load rises."""
    eased = min(max((strain - IDLE_STRAIN) / (FULL_STRAIN - IDLE_STRAIN), 0.0), 1.0)
    return KEEP_PROBABILITY + eased * (KEEP_PROBABILITY_LATE - KEEP_PROBABILITY)
