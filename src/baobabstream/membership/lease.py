"""Lease under which an entry may act on its configuration."""

__all__ = ["Lease"]


class Lease:
    """Lease that each successful poll renews."""

    def __init__(self) -> None:
        self._expires_s = float("-inf")

    def renew(self, sent_s: float, duration_s: float) -> None:
        """Renew from the time at which the poll was sent, which the leader's count follows."""
        self._expires_s = max(self._expires_s, sent_s + duration_s)

    def valid(self, now_s: float) -> bool:
        """Return whether the lease has not expired."""
        return now_s < self._expires_s

    def remaining_s(self, now_s: float) -> float:
        """Return the seconds left, at least 0."""
        return max(0.0, self._expires_s - now_s)
