"""HTTP responses that the gateway itself gives to requests it can't or may not serve."""

from aiohttp import web

from baobabstream.entry.http_errors import error_body
from baobabstream.errors.codes import CODE_TABLE
from baobabstream.errors.exceptions import BaobabstreamError

__all__ = ["error_response"]

# Seconds sent as ``Retry-After`` if the error names no time. After this time the load is probably
# lower or another server is free. It need not grow with each refusal, since callers that are
# refused again wait longer by themselves.
DEFAULT_RETRY_AFTER_S = 0.5
# HTTP statuses of errors that say that the request has not run: too many requests, and unavailable.
# The caller may therefore send it again.
NOT_RUN_STATUSES = frozenset({429, 503})


def error_response(error: BaobabstreamError) -> web.Response:
    """Return the HTTP response for an error, with ``Retry-After`` if the request has not run.

    The header has the seconds to wait, with two decimals. The status is that of the error's code.
    """
    status = CODE_TABLE[error.code].http_status
    response = web.json_response(error_body(error), status=status)
    if status in NOT_RUN_STATUSES:
        retry_after_s = (
            error.retry_after_s if error.retry_after_s is not None else DEFAULT_RETRY_AFTER_S
        )
        response.headers["Retry-After"] = f"{retry_after_s:.2f}"
    return response
