"""Client that calls plain services.

A plain service is a backend server that answers ordinary HTTP requests, as opposed to a model
engine with its streamed answers. A pooled connection is kept open after an answer and used again.

An attempt is one dispatch of a call to one backend server. A method or route is idempotent if a
repeated call has the same effect as a single one.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.backends.strict_http import (
    StrictConnector,
    answer_failure,
    read_body,
)
from baobabstream.policy.events import FailureKind
from baobabstream.resources.memory_budget import MemoryBudget
from baobabstream.resources.process_limits import MAX_RESPONSE_MEMORY_BYTES

__all__ = ["ServiceAnswer", "ServiceCall", "ServiceClient"]

# Header with the identity of a call, which its answer repeats.
REQUEST_ID_HEADER = "X-Request-Id"
# Largest body that is buffered.
MAX_BODY_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A call to a plain service.

    Parameters
    ----------
    method
        HTTP method.
    target
        Path and query of the URL.
    headers, body
        Headers and body of the request.
    timeout_s
        Limit in seconds on the whole call.
    """

    method: str
    target: str
    headers: Mapping[str, str] = field(repr=False)
    body: bytes = field(repr=False)
    timeout_s: float = 30.0


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Complete answer of a plain service; ``body`` is still compressed if the service did so."""

    http_status: int
    content_type: str
    body: bytes = field(repr=False)


class ServiceClient:
    """HTTP client for plain services.

    Parameters
    ----------
    connect_timeout_s
        Limit in seconds on opening a connection.
    idle_connection_s
        Time in seconds after which an unused connection is removed from the pool.

    Notes
    -----
    Calls that may run at most once always use a new connection. The peer may already have closed a
    pooled one, and then it would be unknown whether the call ran. The retries of aiohttp for
    idempotent methods are disabled, since a route may declare GET or PUT as not idempotent.

    An answer should repeat the identity of its call, so that a second copy of an earlier answer on
    the same connection is not taken for it. Servers whose answers name no identity get each call on
    a new connection.
    """

    def __init__(self, connect_timeout_s: float, idle_connection_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        # ``limit=0`` allows any number of connections; ``force_close`` closes each after its
        # answer. Bodies are not decompressed, since they are passed on as they were received.
        self._pooled_session = ClientSession(
            connector=StrictConnector(limit=0, keepalive_timeout=idle_connection_s),
            auto_decompress=False,
        )
        self._unpooled_session = ClientSession(
            connector=StrictConnector(limit=0, force_close=True), auto_decompress=False
        )
        for session in (self._pooled_session, self._unpooled_session):
            session._retry_connection = False  # private attribute of aiohttp
        # Memory for the bodies of all calls.
        self._memory = MemoryBudget(MAX_RESPONSE_MEMORY_BYTES)
        # Base addresses of servers whose answers don't repeat the identity of the call.
        self._urls_without_identity: set[str] = set()

    async def call(self, url: str, call: ServiceCall, *, at_most_once: bool) -> ServiceAnswer:
        """Send a call and return its complete answer.

        Parameters
        ----------
        url
            Base address of the backend server.
        call
            The call to send.
        at_most_once
            Whether the call must not run more than once.

        Raises
        ------
        AttemptError
            If the answer is missing or incomplete; ``maybe_sent`` is False only if no connection
            was opened, so that the call has certainly not run. The kind is ``CONNECT`` then,
            ``STALLED`` after the time limit of the call, ``ERROR`` if the answer is not valid, too
            large or belongs to another call, and ``LOST`` after any other failure.
        """
        is_pooled = not at_most_once and url not in self._urls_without_identity
        session = self._pooled_session if is_pooled else self._unpooled_session
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
                self._check_identity(url, call, response)
                body = await read_body(response, MAX_BODY_BYTES, self._memory)
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise AttemptError(FailureKind.CONNECT, maybe_sent=False) from error
        except TimeoutError as error:
            raise AttemptError(FailureKind.STALLED) from error
        except (ClientError, OSError) as error:
            raise answer_failure(error) from error
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return ServiceAnswer(response.status, content_type, body)

    def _check_identity(self, url: str, call: ServiceCall, response: ClientResponse) -> None:
        """Raise AttemptError if an answer names another call than the one that was sent.

        ``url`` is the base address of the server, which is remembered if the answer names no call.
        """
        answered_id = response.headers.get(REQUEST_ID_HEADER)
        if answered_id is None:
            self._urls_without_identity.add(url)
        elif answered_id != call.headers.get(REQUEST_ID_HEADER):
            response.close()
            raise AttemptError(FailureKind.ERROR, "the answer belongs to another call")

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled_session.close()
        await self._unpooled_session.close()
