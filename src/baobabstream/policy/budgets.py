"""Budgets that bound extra attempts, such as retries and hedges, to a fraction of normal work.

A hedge is a second attempt of a request, sent when the first token of the first one is late. A unit
of normal work is whatever the owner of a budget counts, such as a finished attempt.
"""

from dataclasses import dataclass

__all__ = ["AttemptBudget"]


@dataclass(slots=True)
class AttemptBudget:
    """Token bucket that normal work fills and extra attempts drain.

    Attributes
    ----------
    tokens_per_unit
        Tokens that one unit of normal work earns; an extra attempt costs one token.
    max_tokens
        Largest number of tokens that can be saved up.
    tokens
        Tokens available now.

    References
    ----------
    A retry budget as a fraction of requests is described in the Google SRE book, chapter 21,
    "Handling Overload".
    """

    tokens_per_unit: float
    max_tokens: float
    tokens: float = 1.0

    def earn(self) -> None:
        """Add the tokens for one unit of normal work, up to the maximum."""
        self.tokens = min(self.max_tokens, self.tokens + self.tokens_per_unit)

    def try_spend(self) -> bool:
        """Spend one token; return False if less than one is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
