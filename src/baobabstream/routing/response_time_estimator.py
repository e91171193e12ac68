"""Estimates response times with a linear fit over the size of the work.

Past responses are grouped into series, for instance one series for each model. Each series has a
weighted least-squares fit of the response time over a size, such as the number of prompt tokens.
The slowdown of a response is its time as a multiple of the time that the fit predicts for its size.
"""

from dataclasses import dataclass

from baobabstream.routing.stable_hashing import short_key

__all__ = ["ResponseTimeEstimator"]

# Factor by which the weight of all earlier responses is reduced with each new one. The sum of the
# weights tends to 1 / (1 - 0.975) = 40, so mostly the last 40 responses count.
WEIGHT_DECAY = 0.975
# Sum of weights from which the fitted line is used; below it, that is with fewer than about six
# responses, a line is too uncertain and the mean time is used.
MIN_FIT_WEIGHT = 6.0
# Slower responses are added to the fit with this multiple of the expected time, so that a few very
# slow responses raise the estimate only a little.
MAX_LEARNED_SLOWDOWN = 4.0

# Most series that are remembered; a deployment has some tens of models and routes.
MAX_SERIES = 1000


@dataclass(slots=True)
class _LinearFit:
    """Weighted sums for a least-squares line of seconds over a size.

    ``sum_weights`` is the sum of the weights of all responses. The other sums are weighted sums of
    the sizes, their squares, the response times in seconds, and the products of size and seconds.
    """

    sum_weights: float = 0.0
    sum_sizes: float = 0.0
    sum_squared_sizes: float = 0.0
    sum_seconds: float = 0.0
    sum_products: float = 0.0

    def add(self, size: float, elapsed_s: float) -> None:
        """Add a response of weight 1 after reducing the weight of all earlier ones.

        ``size`` is the size of its work, ``elapsed_s`` its time in seconds.
        """
        self.sum_weights = self.sum_weights * WEIGHT_DECAY + 1.0
        self.sum_sizes = self.sum_sizes * WEIGHT_DECAY + size
        self.sum_squared_sizes = self.sum_squared_sizes * WEIGHT_DECAY + size * size
        self.sum_seconds = self.sum_seconds * WEIGHT_DECAY + elapsed_s
        self.sum_products = self.sum_products * WEIGHT_DECAY + size * elapsed_s

    def predict_s(self, size: float) -> float:
        """Return the expected seconds for a size.

        This is the mean time if there are too few responses, if all have the same size, or if the
        line has a negative slope or intercept, which random variation of the times can cause but
        the true times cannot have. At least one response must have been added.
        """
        mean_s = self.sum_seconds / self.sum_weights
        # Determinant of the normal equations of the fit; 0 if all sizes are equal.
        determinant = self.sum_weights * self.sum_squared_sizes - self.sum_sizes * self.sum_sizes
        if self.sum_weights < MIN_FIT_WEIGHT or determinant <= 0:
            return mean_s
        # Seconds for each unit of size.
        slope = (
            self.sum_weights * self.sum_products - self.sum_sizes * self.sum_seconds
        ) / determinant
        intercept_s = (self.sum_seconds - slope * self.sum_sizes) / self.sum_weights
        if slope < 0 or intercept_s < 0:
            return mean_s
        return intercept_s + slope * size


class ResponseTimeEstimator:
    """Expected response times of several series of responses.

    Notes
    -----
    The weight of old responses decays with each new one, so the estimate adapts to the load.
    """

    def __init__(self) -> None:
        # By name of the series, the one that was updated last at the end. Callers name models.
        self._fits: dict[str, _LinearFit] = {}

    def slowdown(
        self, series: str, size: int, elapsed_s: float, updates_estimate: bool = True
    ) -> float:
        """Return a response time as a multiple of the expected one, and update the estimate.

        The first response of a series has a slowdown of 1, as there is nothing to compare it with.

        Parameters
        ----------
        series
            Name of the group of comparable responses, such as a model or a route.
        size
            Quantity that the time grows with, such as the prompt tokens to be processed, or the
            requests that run at the server.
        elapsed_s
            Response time in seconds.
        updates_estimate
            Whether the response contributes to later estimates.
        """
        key = short_key(series)
        self._fits[key] = fit = self._fits.pop(key, None) or _LinearFit()
        if len(self._fits) > MAX_SERIES:
            del self._fits[next(iter(self._fits))]
        expected_s = fit.predict_s(size) if fit.sum_weights else elapsed_s
        slowdown = elapsed_s / expected_s if expected_s > 0 else 1.0
        if updates_estimate:
            fit.add(size, expected_s * min(slowdown, MAX_LEARNED_SLOWDOWN))
        return slowdown

    def expected_s(self, series: str, size: int) -> float:
        """Return the expected time in seconds; 0 before the first response of the series.

        ``series`` and ``size`` are those of `slowdown`.
        """
        fit = self._fits.get(short_key(series))
        return fit.predict_s(size) if fit is not None and fit.sum_weights else 0.0
