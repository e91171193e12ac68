"""HTTP responses that the gateway itself gives to requests it can't or may not serve."""

from aiohttp import web

from baobabstream.entry.http_errors import error_body
from baobabstream.errors.codes import CODE_TABLE
from baobabstream.errors.exceptions import BaobabstreamError

__all__ = ["error_response"]

# Sent as Retry-After if the error names no time. A caller that retries after this time finds
# another server or a lower load; callers back off by themselves when they are refused again.
DEFAULT_RETRY_AFTER_S = 0.5
# Statuses with which the gateway says that a request has not run.
NOT_RUN_STATUSES = frozenset({429, 503})


def error_response(error: BaobabstreamError) -> web.Response:
    """Return the HTTP response for an error, with ``Retry-After`` if the request has not run."""
    status = CODE_TABLE[error.code].http_status
    response = web.json_response(error_body(error), status=status)
    if status in NOT_RUN_STATUSES:
        retry_after_s = (
            error.retry_after_s if error.retry_after_s is not None else DEFAULT_RETRY_AFTER_S
        )
        response.headers["Retry-After"] = f"{retry_after_s:.2f}"
    return response
