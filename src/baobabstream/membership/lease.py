"""Lease during which an entry may serve requests by its copy of the configuration.

An entry is a host that accepts requests of clients. It polls the leader of the control hosts for
changes of the configuration. Once its lease has expired it refuses requests: the leader may then
assume that the entry no longer uses an older configuration.
"""

__all__ = ["Lease"]


class Lease:
    """Lease that each successful poll of the leader renews; there is none before the first poll."""

    def __init__(self) -> None:
        # Time of the event loop in seconds; initially before any other time.
        self._expires_s = float("-inf")

    def renew(self, sent_s: float, duration_s: float) -> None:
        """Extend the lease after a successful poll; never shortens it.

        The duration counts from the sending of the poll. The leader counts it from the receipt of
        the poll, which is later, so the lease expires here first.

        Parameters
        ----------
        sent_s
            Time of the event loop in seconds at which the poll was sent.
        duration_s
            Duration of the lease in seconds.
        """
        self._expires_s = max(self._expires_s, sent_s + duration_s)

    def is_valid(self, now_s: float) -> bool:
        """Return whether the lease has not expired at a time of the event loop, in seconds."""
        return now_s < self._expires_s

    def remaining_s(self, now_s: float) -> float:
        """Return the seconds from a time of the event loop until the lease expires, at least 0."""
        return max(0.0, self._expires_s - now_s)
