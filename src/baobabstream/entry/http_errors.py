"""Converts result codes into HTTP error responses of the chat-completions format.

The result code table states for each code its HTTP status, whether a retry may succeed, and the run
state: whether a request that ends with it has run.
"""

from math import ceil
from typing import Any

from aiohttp import web

from baobabstream.errors.codes import CODE_TABLE, RunState
from baobabstream.errors.exceptions import BaobabstreamError

__all__ = ["error_body", "error_response"]

# Retry delay reported with a retryable error that has none of its own.
DEFAULT_RETRY_AFTER_S = 1.0


def error_body(error: BaobabstreamError, run_state: RunState | None = None) -> dict[str, Any]:
    """Return the body of an error response.

    ``message`` describes the error, ``type`` is the name of its result code in lower case and
    ``code`` the number of that code. ``ran`` is the run state and ``retry_after_s`` the retry delay
    in seconds, or null. ``param`` is required by the format and not used.

    Parameters
    ----------
    error
        The error to report.
    run_state
        Whether the request has run, if more is known than in the code's row of the table.
    """
    code_row = CODE_TABLE[error.code]
    return {
        "error": {
            "message": error.detail,
            "type": error.code.name.lower(),
            "param": None,
            "code": int(error.code),
            "ran": (run_state or code_row.run_state).value,
            "retry_after_s": _retry_after_s(error),
        }
    }


def error_response(error: BaobabstreamError, run_state: RunState | None = None) -> web.Response:
    """Return the HTTP response for an error, with ``Retry-After`` if the request may be retried.

    ``run_state`` is as in ``error_body``.
    """
    headers = {}
    retry_after_s = _retry_after_s(error)
    if retry_after_s is not None:
        # The header holds whole seconds; 0 would ask for an immediate retry.
        headers["Retry-After"] = str(max(1, ceil(retry_after_s)))
    status = CODE_TABLE[error.code].http_status
    return web.json_response(error_body(error, run_state), status=status, headers=headers)


def _retry_after_s(error: BaobabstreamError) -> float | None:
    """Return the retry delay in seconds to report with an error, or None.

    It is that of the error, else the default if the code table says that a retry may succeed.
    """
    if error.retry_after_s is None and CODE_TABLE[error.code].retryable:
        return DEFAULT_RETRY_AFTER_S
    return error.retry_after_s
