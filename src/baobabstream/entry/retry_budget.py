"""Budget of retries as a fraction of successes."""

__all__ = ["RetryBudget"]

RETRIES_PER_SUCCESS = 0.1
MAX_SAVED_RETRIES = 10.0


class RetryBudget:
    """Grants retries; each success pays a fraction of one.

    Without a budget, retries multiply the load of servers that fail because of their load.
    """

    def __init__(self) -> None:
        self._saved = MAX_SAVED_RETRIES

    def succeeded(self) -> None:
        """Pay in for one success."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + RETRIES_PER_SUCCESS)

    def take(self) -> bool:
        """Take one retry and return whether there was one."""
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True
