"""Failure of an attempt on a backend server."""

from baobabstream.policy.events import FailureKind

__all__ = ["AttemptError"]


class AttemptError(Exception):
    """An attempt on a backend server failed.

    Parameters
    ----------
    kind
        Why it failed.
    detail
        What happened, in a few words for the event timeline.
    retry_after_s
        Seconds after which the backend server wants to be asked again, or None.
    sent
        Whether a byte of the request may have reached the backend server.
    lost
        Whether the connection was lost while the request was in flight.
    """

    def __init__(
        self,
        kind: FailureKind,
        detail: str = "",
        retry_after_s: float | None = None,
        *,
        sent: bool = True,
        lost: bool = False,
    ) -> None:
        self.kind = kind
        self.detail = detail or kind.value
        self.retry_after_s = retry_after_s
        self.sent = sent
        self.lost = lost
        super().__init__(self.detail)
