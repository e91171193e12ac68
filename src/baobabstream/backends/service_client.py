"""Calls plain services."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    TCPConnector,
)

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.policy.events import FailureKind

__all__ = ["ServiceAnswer", "ServiceCall", "ServiceClient"]


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service; ``target`` is the path with the query."""

    method: str
    target: str
    headers: Mapping[str, str] = field(repr=False)
    body: bytes = field(repr=False)
    timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Answer of a plain service."""

    http_status: int
    content_type: str
    body: bytes = field(repr=False)


class ServiceClient:
    """HTTP client towards plain services.

    Parameters
    ----------
    connect_timeout_s
        Limit on connecting.
    idle_connection_s
        Longest time that a connection stays in the pool without use.

    Notes
    -----
    Calls that may run only once always use a new connection, since a pooled one may already be
    closed by the peer, and then it is not known whether the call ran. aiohttp's own retry of
    idempotent methods is off, since a route may make GET or PUT non-idempotent.
    """

    def __init__(self, connect_timeout_s: float, idle_connection_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._pooled = ClientSession(
            connector=TCPConnector(limit=0, keepalive_timeout=idle_connection_s),
            auto_decompress=False,
        )
        self._fresh = ClientSession(
            connector=TCPConnector(limit=0, force_close=True), auto_decompress=False
        )
        for session in (self._pooled, self._fresh):
            session._retry_connection = False

    async def call(self, url: str, call: ServiceCall, *, once: bool) -> ServiceAnswer:
        """Send a call and return its whole answer.

        Parameters
        ----------
        url
            Address of the backend server.
        call
            What to send.
        once
            Whether the call may run only once.

        Raises
        ------
        AttemptError
            If no whole answer came; ``sent`` tells whether the call may have run.
        """
        session = self._fresh if once else self._pooled
        timeout = ClientTimeout(total=call.timeout_s, sock_connect=self._connect_timeout_s)
        try:
            async with session.request(
                call.method,
                url + call.target,
                headers=call.headers,
                data=call.body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                body = await response.read()
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise AttemptError(FailureKind.CONNECT, sent=False) from error
        except TimeoutError as error:
            raise AttemptError(FailureKind.STALLED) from error
        except (ClientError, OSError) as error:
            raise AttemptError(FailureKind.LOST, lost=True) from error
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return ServiceAnswer(response.status, content_type, body)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._fresh.close()
