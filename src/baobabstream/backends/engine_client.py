"""Streams chat answers from model engines."""

from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientMiddlewareType, ClientSession, ClientTimeout, TCPConnector

from baobabstream.policy.events import FailureKind

__all__ = ["AttemptError", "EngineClient", "EngineRequest", "StreamPart"]

SSE_PREFIX = b"data: "
SSE_DONE = b"[DONE]"


class AttemptError(Exception):
    """An attempt on a backend server failed.

    Parameters
    ----------
    kind
        Why it failed.
    retry_after_s
        Seconds after which the backend server wants to be asked again, or None.
    """

    def __init__(self, kind: FailureKind, retry_after_s: float | None = None) -> None:
        self.kind = kind
        self.retry_after_s = retry_after_s
        super().__init__(kind.value)


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


@dataclass(frozen=True, slots=True)
class StreamPart:
    """Server-sent events as received, and how many of them carry tokens."""

    data: bytes
    tokens: int
    done: bool


class EngineClient:
    """HTTP client shared by all requests of an entry.

    Parameters
    ----------
    connect_timeout_s, first_byte_timeout_s, gap_timeout_s
        Limits on connecting, on the first byte and on the gap between bytes.
    idle_connection_s
        Longest time that a connection stays in the pool without use.
    middlewares
        Client middlewares that see each call.
    """

    def __init__(
        self,
        connect_timeout_s: float,
        first_byte_timeout_s: float,
        gap_timeout_s: float,
        idle_connection_s: float,
        middlewares: tuple[ClientMiddlewareType, ...] = (),
    ) -> None:
        connector = TCPConnector(limit=0, keepalive_timeout=idle_connection_s)
        timeout = ClientTimeout(total=None, sock_connect=connect_timeout_s, sock_read=gap_timeout_s)
        self._first_byte_timeout_s = first_byte_timeout_s
        self.session = ClientSession(connector=connector, timeout=timeout, middlewares=middlewares)

    async def stream(self, request: EngineRequest) -> AsyncGenerator[StreamPart, None]:
        """Yield an answer's server-sent events as they arrive.

        Raises
        ------
        AttemptError
            If the engine refuses, fails, stalls or is lost before the answer is whole.
        """
        headers = {
            "X-Request-Id": f"{request.request_id}.{request.attempt}",
            "X-Priority": str(request.priority),
            "X-Model-Version": request.version,
            "X-Resume-Tokens": str(request.resume_tokens),
        }
        body = request.body | {"model": request.model, "stream": True}
        try:
            async with self.session.post(
                f"{request.url}/v1/chat/completions", json=body, headers=headers
            ) as response:
                if response.status != 200:
                    raise _status_error(response.status, response.headers.get("Retry-After"))
                done = False
                async for line in response.content:
                    if not line.startswith(SSE_PREFIX):
                        continue
                    done = line[len(SSE_PREFIX) :].strip() == SSE_DONE
                    yield StreamPart(line + b"\n", 0 if done else 1, done)
                if not done:
                    raise AttemptError(FailureKind.LOST)
        except TimeoutError as error:
            raise AttemptError(FailureKind.STALLED) from error
        except ClientError as error:
            raise AttemptError(FailureKind.LOST) from error

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def _status_error(status: int, retry_after: str | None) -> AttemptError:
    retry_after_s = float(retry_after) if retry_after and retry_after.isdigit() else None
    kind = FailureKind.REFUSED if status in (429, 503) else FailureKind.ERROR
    return AttemptError(kind, retry_after_s)
