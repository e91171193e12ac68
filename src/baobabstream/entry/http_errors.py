"""Turns result codes into HTTP answers of the chat-completions format."""

from math import ceil
from typing import Any

from aiohttp import web

from baobabstream.errors.codes import CODE_TABLE, RunState
from baobabstream.errors.exceptions import BaobabstreamError

__all__ = ["error_body", "error_response"]

DEFAULT_RETRY_AFTER_S = 1.0


def error_body(error: BaobabstreamError, run_state: RunState | None = None) -> dict[str, Any]:
    """Return the body of an error answer.

    Parameters
    ----------
    error
        What is answered.
    run_state
        Whether the request has run, where more is known than the code's table says.
    """
    row = CODE_TABLE[error.code]
    return {
        "error": {
            "message": error.detail,
            "type": error.code.name.lower(),
            "param": None,
            "code": int(error.code),
            "ran": (run_state or row.run_state).value,
            "retry_after_s": _retry_after_s(error),
        }
    }


def error_response(error: BaobabstreamError, run_state: RunState | None = None) -> web.Response:
    """Return the HTTP answer for an error, with ``Retry-After`` where a retry helps."""
    headers = {}
    retry_after_s = _retry_after_s(error)
    if retry_after_s is not None:
        headers["Retry-After"] = str(max(1, ceil(retry_after_s)))
    status = CODE_TABLE[error.code].http_status
    return web.json_response(error_body(error, run_state), status=status, headers=headers)


def _retry_after_s(error: BaobabstreamError) -> float | None:
    if error.retry_after_s is None and CODE_TABLE[error.code].retryable:
        return DEFAULT_RETRY_AFTER_S
    return error.retry_after_s
