"""Limits retries to a fraction of the successful calls."""

__all__ = ["RetryBudget"]

RETRIES_PER_SUCCESS = 0.1
# Largest budget, which is also the initial one.
MAX_AVAILABLE_RETRIES = 10.0


class RetryBudget:
    """Budget of retries, which each success increases by a fraction of one retry.

    Without a budget, retries multiply the load of servers that fail because of their load.
    """

    def __init__(self) -> None:
        self._available_retries = MAX_AVAILABLE_RETRIES

    def record_success(self) -> None:
        """Increase the budget for one successful call."""
        self._available_retries = min(
            MAX_AVAILABLE_RETRIES, self._available_retries + RETRIES_PER_SUCCESS
        )

    def try_acquire(self) -> bool:
        """Spend one retry and return True, or return False if less than one is available."""
        if self._available_retries < 1.0:
            return False
        self._available_retries -= 1.0
        return True
