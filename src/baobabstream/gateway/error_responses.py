"""Answers of requests that get none from a backend server."""

from aiohttp import web

from baobabstream.entry.http_errors import error_body
from baobabstream.errors.codes import CODE_TABLE
from baobabstream.errors.exceptions import BaobabstreamError

__all__ = ["refusal"]

# A caller that comes back this soon finds another server or the load gone; it waits longer by
# itself when it is refused again.
RETRY_AFTER_S = 0.5
NOT_RUN_STATUSES = frozenset({429, 503})


def refusal(error: BaobabstreamError) -> web.Response:
    """Return the final answer for an error, with the time to come back if nothing has run."""
    status = CODE_TABLE[error.code].http_status
    response = web.json_response(error_body(error), status=status)
    if status in NOT_RUN_STATUSES:
        retry_after_s = error.retry_after_s if error.retry_after_s is not None else RETRY_AFTER_S
        response.headers["Retry-After"] = f"{retry_after_s:.2f}"
    return response
