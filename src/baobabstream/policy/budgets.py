"""Budgets that bound extra attempts to a fraction of ordinary work."""

from dataclasses import dataclass

__all__ = ["AttemptBudget"]


@dataclass(slots=True)
class AttemptBudget:
    """Tokens that ordinary work earns and extra attempts spend.

    Attributes
    ----------
    fraction
        Extra attempts per unit of ordinary work.
    cap
        Most tokens that can be saved up.

    References
    ----------
    A retry budget as a fraction of requests is described in the Google SRE book, chapter 21,
    "Handling Overload".
    """

    tokens_per_unit: float
    max_tokens: float
    tokens: float = 1.0

    def earn(self) -> None:
        """Count one unit of ordinary work."""
        self.tokens = min(self.max_tokens, self.tokens + self.tokens_per_unit)

    def try_spend(self) -> bool:
        """Spend one token if there is one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
