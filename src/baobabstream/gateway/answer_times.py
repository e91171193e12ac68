"""Expected time to the first part of an answer, learned per kind of request."""

__all__ = ["AnswerTimes"]

# Weight of the newest answer; about the last ten answers count.
NEWEST_WEIGHT = 0.1
# An answer moves the expectation by at most this factor of it, so that a few very slow answers
# do not make slow answers expected.
MAX_RATIO = 3.0


class AnswerTimes:
    """Exponential averages by route and model."""

    def __init__(self) -> None:
        self._expected_s: dict[tuple[str, str], float] = {}

    def ratio(self, route: str, model: str, elapsed_s: float) -> float:
        """Return a time as a multiple of the expected one, and learn from it."""
        key = (route, model)
        expected_s = self._expected_s.get(key)
        if expected_s is None or expected_s <= 0:
            self._expected_s[key] = elapsed_s
            return 1.0
        ratio = elapsed_s / expected_s
        self._expected_s[key] = expected_s * (1 + NEWEST_WEIGHT * (min(ratio, MAX_RATIO) - 1))
        return ratio

    def expected_s(self, route: str, model: str, default_s: float) -> float:
        """Return the expected time, or a default before the first answer."""
        return self._expected_s.get((route, model), default_s)
