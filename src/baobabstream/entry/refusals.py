"""Errors for refused requests, with the run state that this entry knows.

The run state is part of the error response and states whether the request has run: "no", "yes" or
"unknown". The result code table has one row per result code, with the run state that holds for the
code in general; an entry that knows more about a request overrides it.
"""

from baobabstream.errors.codes import CODE_TABLE, ResultCode, RunState
from baobabstream.errors.exceptions import RequestRefused

__all__ = ["LEASE_RETRY_S", "RefusedWithRunState"]

# Retry delay in the error responses of an entry host without a valid lease. The lease comes from
# the control leader and allows the entry to act on its configuration.
LEASE_RETRY_S = 1.0


class RefusedWithRunState(RequestRefused):
    """A request is refused by the routing policy, or after a backend server was tried.

    Parameters
    ----------
    code, detail, retry_after_s
        Result code, short description (by default that of the code), and delay in seconds after
        which a retry may succeed, as in ``BaobabstreamError``.
    was_sent
        Whether a byte of the request may have reached a backend server that could run it.

    Attributes
    ----------
    run_state
        "no" if nothing was sent, whatever the code's row says. Otherwise the run state of the row,
        but "unknown" if that is "no", since a server may have run what it received.
    """

    def __init__(
        self,
        code: ResultCode,
        detail: str = "",
        retry_after_s: float | None = None,
        *,
        was_sent: bool,
    ) -> None:
        super().__init__(code, detail, retry_after_s)
        table_run_state = CODE_TABLE[code].run_state
        if not was_sent:
            self.run_state = RunState.NO
        else:
            self.run_state = RunState.UNKNOWN if table_run_state is RunState.NO else table_run_state
