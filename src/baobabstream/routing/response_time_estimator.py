"""Expected times of answers, as lines over what they grow with."""

from dataclasses import dataclass

__all__ = ["AnswerTimes"]

# Weight that remains of an answer when the next one comes; about the last 40 answers count.
REMEMBERED = 0.975
# Answers after which the line is used; before, only their mean.
MIN_ANSWERS = 6.0
# An answer counts with at most this multiple of the expected time, so that a few very slow answers
# do not make slow answers expected.
MAX_RATIO = 4.0


@dataclass(slots=True)
class _Line:
    """Sums of a weighted least-squares line of seconds over a size."""

    weight: float = 0.0
    sizes: float = 0.0
    sizes_squared: float = 0.0
    seconds: float = 0.0
    products: float = 0.0

    def add(self, size: float, elapsed_s: float) -> None:
        self.weight = self.weight * REMEMBERED + 1.0
        self.sizes = self.sizes * REMEMBERED + size
        self.sizes_squared = self.sizes_squared * REMEMBERED + size * size
        self.seconds = self.seconds * REMEMBERED + elapsed_s
        self.products = self.products * REMEMBERED + size * elapsed_s

    def at(self, size: float) -> float:
        mean_s = self.seconds / self.weight
        spread = self.weight * self.sizes_squared - self.sizes * self.sizes
        if self.weight < MIN_ANSWERS or spread <= 0:
            return mean_s
        slope = (self.weight * self.products - self.sizes * self.seconds) / spread
        start_s = (self.seconds - slope * self.sizes) / self.weight
        if slope < 0 or start_s < 0:
            return mean_s
        return start_s + slope * size


class AnswerTimes:
    """Lines by kind of answer, such as the model that gives it or the route.

    Notes
    -----
    Old answers lose their weight with each new one, so the line follows the load.
    """

    def __init__(self) -> None:
        self._lines: dict[str, _Line] = {}

    def ratio(self, kind: str, size: int, elapsed_s: float, learn: bool = True) -> float:
        """Return a time as a multiple of the expected one, and learn from it.

        Parameters
        ----------
        kind
            Kind of request.
        size
            What the time grows with, such as the prompt tokens to be read, or the requests that
            run at the server.
        elapsed_s
            Time that the answer took.
        learn
            Whether later times are compared with this one too.
        """
        line = self._lines.setdefault(kind, _Line())
        expected_s = line.at(size) if line.weight else elapsed_s
        ratio = elapsed_s / expected_s if expected_s > 0 else 1.0
        if learn:
            line.add(size, expected_s * min(ratio, MAX_RATIO))
        return ratio

    def expected_s(self, kind: str, size: int) -> float:
        """Return the expected time in seconds; 0 before the first answer."""
        line = self._lines.get(kind)
        return line.at(size) if line is not None and line.weight else 0.0
