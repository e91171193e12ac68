"""Refusals with the run state that is known at this entry."""

from baobabstream.errors.codes import CODE_TABLE, ResultCode, RunState
from baobabstream.errors.exceptions import RequestRefused

__all__ = ["LEASE_RETRY_S", "Refused"]

# Time after which an entry host without a lease asks its callers to come back.
LEASE_RETRY_S = 1.0


class Refused(RequestRefused):
    """A request is refused after the policy or a backend server was asked.

    Parameters
    ----------
    code, detail, retry_after_s
        As in ``BaobabstreamError``.
    sent
        Whether a byte of the request may have reached a backend server that could run it.

    Attributes
    ----------
    run_state
        "no" only if nothing was sent, whatever the code's table row says.
    """

    def __init__(
        self,
        code: ResultCode,
        detail: str = "",
        retry_after_s: float | None = None,
        *,
        sent: bool,
    ) -> None:
        super().__init__(code, detail, retry_after_s)
        known = CODE_TABLE[code].run_state
        if not sent:
            self.run_state = RunState.NO
        else:
            self.run_state = RunState.UNKNOWN if known is RunState.NO else known
