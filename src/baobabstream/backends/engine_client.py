"""Streams chat answers from model engines."""

import asyncio
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
    TCPConnector,
)

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.backends.event_scanner import EventScanner, StreamPart
from baobabstream.backends.silence_watch import SilenceWatch
from baobabstream.policy.events import FailureKind

__all__ = ["EngineClient", "EngineLimits", "EngineRequest"]

READ_BUFFER_BYTES = 256 * 1024
_REFUSED_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """A chat request to one engine."""

    url: str
    request_id: str
    attempt: int
    model: str
    version: str
    priority: int
    resume_tokens: int
    body: dict[str, Any] = field(repr=False)

    @property
    def identity(self) -> str:
        """Identity of request and attempt, which the answer must carry."""
        return f"{self.request_id}.{self.attempt}"


@dataclass(frozen=True, slots=True)
class EngineLimits:
    """Time limits in seconds on a connection to a backend server.

    ``idle_connection_s`` is the longest time that a connection stays in the pool without use.
    """

    connect_timeout_s: float = 1.0
    first_byte_timeout_s: float = 30.0
    gap_timeout_s: float = 5.0
    idle_connection_s: float = 15.0


class EngineClient:
    """HTTP client shared by all requests of an entry.

    Parameters
    ----------
    limits
        Time limits on connections.
    """

    def __init__(self, limits: EngineLimits) -> None:
        self._limits = limits
        timeout = ClientTimeout(total=None, sock_connect=limits.connect_timeout_s)
        self._pooled = ClientSession(
            connector=TCPConnector(limit=0, keepalive_timeout=limits.idle_connection_s),
            timeout=timeout,
            read_bufsize=READ_BUFFER_BYTES,
        )
        self._fresh = ClientSession(
            connector=TCPConnector(limit=0, force_close=True), timeout=timeout
        )

    async def stream(
        self, request: EngineRequest, *, new_connection: bool = False
    ) -> AsyncGenerator[StreamPart, None]:
        """Yield an answer's server-sent events as they arrive.

        Parameters
        ----------
        request
            What to send, and where.
        new_connection
            Whether to leave the pooled connections aside.

        Raises
        ------
        AttemptError
            If the engine refuses, fails, stalls or is lost before the answer is whole, or if the
            answer belongs to another request or attempt.
        """
        session = self._fresh if new_connection else self._pooled
        body = request.body | {"model": request.model, "stream": True}
        try:
            async with asyncio.timeout(self._limits.first_byte_timeout_s):
                response = await session.post(
                    f"{request.url}/v1/chat/completions", json=body, headers=_headers(request)
                )
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise AttemptError(FailureKind.CONNECT, sent=False) from error
        except TimeoutError as error:
            raise AttemptError(FailureKind.STALLED, "no answer") from error
        except (ClientError, OSError) as error:
            raise AttemptError(FailureKind.LOST, lost=True) from error
        try:
            _check_head(request, response)
            async for part in self._parts(request, response):
                yield part
        finally:
            if response.content.at_eof():
                response.release()
            else:
                response.close()

    async def _parts(
        self, request: EngineRequest, response: ClientResponse
    ) -> AsyncGenerator[StreamPart, None]:
        scanner = EventScanner(request.request_id, request.attempt)
        reader = response.content
        limits = self._limits
        watch = SilenceWatch(reader, limits.first_byte_timeout_s, limits.gap_timeout_s)
        done = False
        try:
            while not reader.at_eof():
                watch.before_read()
                data = await reader.readany()
                watch.after_read()
                part = scanner.feed(data)
                if part is None:
                    continue
                if done:
                    raise AttemptError(FailureKind.ERROR, "data after the final marker")
                done = part.done
                if not done or part.data:
                    yield part
        except TimeoutError as error:
            raise AttemptError(FailureKind.STALLED, "silent stream") from error
        except (ClientError, OSError) as error:
            raise AttemptError(FailureKind.LOST, lost=True) from error
        finally:
            watch.close()
        if not done:
            raise AttemptError(FailureKind.LOST, "the answer ended without its final marker")
        yield StreamPart(b"", 0, True)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._fresh.close()


def _headers(request: EngineRequest) -> dict[str, str]:
    return {
        "X-Request-Id": request.identity,
        "X-Priority": str(request.priority),
        "X-Model-Version": request.version,
        "X-Resume-Tokens": str(request.resume_tokens),
    }


def _check_head(request: EngineRequest, response: ClientResponse) -> None:
    if response.status != 200:
        kind = FailureKind.REFUSED if response.status in _REFUSED_STATUSES else FailureKind.ERROR
        retry_after = response.headers.get("Retry-After", "")
        retry_after_s = float(retry_after) if retry_after.isdecimal() else None
        raise AttemptError(kind, f"status {response.status}", retry_after_s)
    if response.headers.get("X-Request-Id") != request.identity:
        raise AttemptError(FailureKind.ERROR, "the answer belongs to another request")
    resumed = response.headers.get("X-Resume-Tokens", str(request.resume_tokens))
    if resumed != str(request.resume_tokens):
        raise AttemptError(FailureKind.ERROR, "the engine resumed at another token")
