"""Exception for a failed attempt.

An attempt is one dispatch of a caller's request to one backend server; a request may have several.
"""

from baobabstream.policy.events import FailureKind

__all__ = ["AttemptError"]


class AttemptError(Exception):
    """Raised when an attempt fails before its answer is complete.

    Parameters
    ----------
    kind
        Category of the failure.
    detail
        Short description for the event timeline; defaults to the text of ``kind``.
    retry_after_s
        Delay in seconds that the backend server asked for in ``Retry-After``, or None.
    maybe_sent
        Whether some bytes of the request may have reached the backend server. False only if no
        connection was established.
    connection_lost
        Whether the connection broke while the request was in flight, which may mean that the
        backend server crashed.
    """

    def __init__(
        self,
        kind: FailureKind,
        detail: str = "",
        retry_after_s: float | None = None,
        *,
        maybe_sent: bool = True,
        connection_lost: bool = False,
    ) -> None:
        self.kind = kind
        self.detail = detail or kind.value
        self.retry_after_s = retry_after_s
        self.maybe_sent = maybe_sent
        self.connection_lost = connection_lost
        super().__init__(self.detail)
