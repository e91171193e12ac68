"""Checks whether a caller may be served now: lease, API key and limits of the body.

An entry is a host that accepts the HTTP requests of callers. It may act on its copy of the
configuration only while its lease from the control leader is valid; without one, the copy may be
out of date. A row is one record of the configuration; that of a client account holds what the
account may use. Each ``RequestRefused`` carries a result code, and a retry delay in seconds if one
is given.
"""

import hashlib
from collections.abc import Callable

from aiohttp import web

from baobabstream.entry.refusals import LEASE_RETRY_S
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.ingress.request_body import read_body
from baobabstream.policy.view import ClusterView
from baobabstream.wire.rows import AccountRow

__all__ = ["CallerAccess"]


class CallerAccess:
    """Checks that every kind of request must pass before it is processed.

    Parameters
    ----------
    view
        Configuration as last received from the control leader.
    holds_lease
        Returns whether the lease of this entry is valid now; also kept as an attribute for handlers
        that check the lease again later.
    max_body_bytes
        Limit on the size of a body.
    body_timeout_s
        Longest time that reading a body may take, in seconds.
    """

    def __init__(
        self,
        view: ClusterView,
        holds_lease: Callable[[], bool],
        max_body_bytes: int,
        body_timeout_s: float,
    ) -> None:
        self._view = view
        self._max_body_bytes = max_body_bytes
        self._body_timeout_s = body_timeout_s
        self.holds_lease = holds_lease

    def require_ready(self) -> None:
        """Raise RequestRefused with ``LEASE_EXPIRED`` unless this entry holds a valid lease."""
        if not self.holds_lease():
            raise RequestRefused(ResultCode.LEASE_EXPIRED, retry_after_s=LEASE_RETRY_S)

    def authenticate(self, request: web.Request) -> AccountRow:
        """Return the client account whose API key a request carries as bearer token.

        The configuration holds only the SHA-256 digest of each key, not the key itself;
        ``accounts_by_key`` has the account by the hexadecimal form of this digest.

        Raises
        ------
        RequestRefused
            ``UNAUTHENTICATED`` if the key is missing or unknown.
        """
        api_key = request.headers.get("Authorization", "").removeprefix("Bearer ")
        key_digest = hashlib.sha256(api_key.encode()).hexdigest()
        account = self._view.accounts_by_key.get(key_digest)
        if not api_key or account is None:
            raise RequestRefused(ResultCode.UNAUTHENTICATED)
        return account

    async def read_body(self, request: web.Request, json_part_bytes: int = 0) -> bytes:
        """Return the body of a request; ``json_part_bytes`` is that of the function `read_body`.

        Raises
        ------
        RequestRefused
            As the function `read_body`.
        """
        return await read_body(request, self._max_body_bytes, self._body_timeout_s, json_part_bytes)
