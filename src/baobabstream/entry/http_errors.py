"""Turns result codes into HTTP answers of the chat-completions format."""

from math import ceil
from typing import Any

from aiohttp import web

from baobabstream.errors.codes import CODE_TABLE
from baobabstream.errors.exceptions import BaobabstreamError

__all__ = ["error_body", "error_response"]


def error_body(error: BaobabstreamError) -> dict[str, Any]:
    """Return the body of an error answer."""
    row = CODE_TABLE[error.code]
    return {
        "error": {
            "message": error.detail,
            "type": error.code.name.lower(),
            "code": int(error.code),
            "ran": row.run_state.value,
            "retry_after_s": error.retry_after_s,
        }
    }


def error_response(error: BaobabstreamError) -> web.Response:
    """Return the HTTP answer for an error, with ``Retry-After`` where a retry helps."""
    headers = {}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, ceil(error.retry_after_s)))
    status = CODE_TABLE[error.code].http_status
    return web.json_response(error_body(error), status=status, headers=headers)
