"""Limits retries to a fraction of the successful calls.

Without a limit, retries multiply the load of servers that fail because of their load. Quantities
are numbers of retries, which may be fractions.
"""

__all__ = ["RetryBudget"]

# Each ten successes allow one retry more.
RETRIES_PER_SUCCESS = 0.1
# Largest budget, which is also the initial one.
MAX_AVAILABLE_RETRIES = 10.0


class RetryBudget:
    """Budget of retries, which each success increases by a fraction of one retry."""

    def __init__(self) -> None:
        self._available_retries = MAX_AVAILABLE_RETRIES

    def record_success(self) -> None:
        """Increase the budget for one successful call."""
        self._available_retries = min(
            MAX_AVAILABLE_RETRIES, self._available_retries + RETRIES_PER_SUCCESS
        )

    def try_acquire(self) -> bool:
        """Spend one retry and return True, or return False if less than one is available."""
        # A retry costs 1.
        if self._available_retries < 1.0:
            return False
        self._available_retries -= 1.0
        return True
