"""Client that streams chat answers from model engines.

A model engine is a backend server that runs a language model and streams its answer as server-sent
events. An attempt is one dispatch of a caller's request to one engine. The last event of an answer
is the final event, ``data: [DONE]``, which error texts call the final marker. A pooled connection
is kept open after an answer and used again.

A token is the unit of text that a model generates. An engine resumes an answer if it continues
after a given number of tokens. A connection stalls if it brings no bytes within the time limit. An
entry host accepts the requests of callers and sends them to engines. A part of an answer, or block,
consists of complete events that are delivered together.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientMiddlewareType,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.backends.event_scanner import EventScanner, StreamPart
from baobabstream.backends.read_watchdog import ReadWatchdog
from baobabstream.backends.strict_http import (
    StrictConnector,
    answer_failure,
    discard_answer,
)
from baobabstream.policy.events import FailureKind

__all__ = ["EngineClient", "EngineTimeouts", "EngineRequest"]

# Receives each part of an answer. If it returns an awaitable, the client awaits it before it reads
# on, so that a slow caller slows the engine down.
DeliverCallback = Callable[[StreamPart], Awaitable[None] | None]

# Size of the read buffer of a pooled connection.
READ_BUFFER_BYTES = 256 * 1024
# HTTP statuses that count as a refusal by an overloaded engine; other ones are errors.
_REFUSED_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """A chat request to one engine.

    Parameters
    ----------
    url
        Base address of the engine.
    request_id
        Identity of the caller's request, the same for all its attempts.
    attempt
        Number of the attempt within the request, from 1.
    model, version
        Model and model version that must answer.
    priority
        Priority in the queue of the engine; higher runs first.
    resume_tokens
        Number of tokens of the answer that the caller already has; the engine continues after
        them.
    body
        Body of the chat completion request, without ``model`` and ``stream``.
    """

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
        """Identity of request and attempt, which the answer must repeat."""
        return f"{self.request_id}.{self.attempt}"


@dataclass(frozen=True, slots=True)
class EngineTimeouts:
    """Timeouts of a connection to an engine, in seconds.

    Parameters
    ----------
    connect_timeout_s
        Limit on opening a connection.
    first_byte_timeout_s
        Limit on the time to the head of the answer, its status and headers, and again on the time
        from there to the first token.
    gap_timeout_s
        Limit on the time between two tokens.
    idle_connection_s
        Time after which an unused connection is removed from the pool.
    """

    connect_timeout_s: float = 1.0
    first_byte_timeout_s: float = 30.0
    gap_timeout_s: float = 5.0
    idle_connection_s: float = 15.0


class EngineClient:
    """HTTP client for model engines, shared by all requests of an entry host.

    Parameters
    ----------
    timeouts
        Timeouts of the connections.
    min_block_interval_s
        Returns the minimum time in seconds between two deliveries of one stream; 0 delivers
        without delay. Longer intervals join several tokens into one block. It is a callable, called
        after each block, since the interval may depend on the current load.
    middlewares
        aiohttp middlewares that wrap each request.
    """

    def __init__(
        self,
        timeouts: EngineTimeouts,
        min_block_interval_s: Callable[[], float] = lambda: 0.0,
        middlewares: tuple[ClientMiddlewareType, ...] = (),
    ) -> None:
        self._timeouts = timeouts
        self._min_block_interval_s = min_block_interval_s
        # ``total=None`` sets no limit on the time of a whole answer. ``limit=0`` allows any number
        # of connections; ``force_close`` closes each after its answer.
        timeout = ClientTimeout(total=None, sock_connect=timeouts.connect_timeout_s)
        self._pooled_session = ClientSession(
            connector=StrictConnector(limit=0, keepalive_timeout=timeouts.idle_connection_s),
            timeout=timeout,
            read_bufsize=READ_BUFFER_BYTES,
            middlewares=middlewares,
        )
        self._unpooled_session = ClientSession(
            connector=StrictConnector(limit=0, force_close=True),
            timeout=timeout,
            middlewares=middlewares,
        )

    async def stream(
        self, request: EngineRequest, deliver: DeliverCallback, *, new_connection: bool = False
    ) -> None:
        """Send a request and deliver the events of its answer as they arrive.

        Parameters
        ----------
        request
            The request and the address of its engine.
        deliver
            Called with each part of the answer; an awaitable that it returns is awaited before
            more is read.
        new_connection
            Whether to open a new connection instead of using a pooled one.

        Raises
        ------
        AttemptError
            If the engine refuses the request, fails, stalls or closes the connection before the
            answer is complete, or if the answer belongs to another request or attempt. The kind is
            ``CONNECT`` if no connection was opened, so that the request has certainly not run;
            ``REFUSED`` if the engine is overloaded; ``STALLED`` if it sent nothing in time;
            ``LOST`` if the connection ended, so that the engine may have crashed; else ``ERROR``.
        """
        session = self._unpooled_session if new_connection else self._pooled_session
        body = request.body | {"model": request.model, "stream": True}
        try:
            async with asyncio.timeout(self._timeouts.first_byte_timeout_s):
                response = await session.post(
                    f"{request.url}/v1/chat/completions", json=body, headers=_headers(request)
                )
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            raise AttemptError(FailureKind.CONNECT, maybe_sent=False) from error
        except TimeoutError as error:
            raise AttemptError(FailureKind.STALLED, "no answer") from error
        except (ClientError, OSError) as error:
            raise answer_failure(error) from error
        try:
            _check_head(request, response)
            await self._relay_stream(request, response, deliver)
        finally:
            # Only a connection without unread bytes of this answer may be used again.
            if response.content.at_eof():
                response.release()
            else:
                discard_answer(response)

    async def _relay_stream(
        self, request: EngineRequest, response: ClientResponse, deliver: DeliverCallback
    ) -> None:
        """Read the body of an answer and deliver its events, up to the final event.

        Raises
        ------
        AttemptError
            ``STALLED`` if no token arrives in time, ``LOST`` if the connection ends before the
            final event, ``ERROR`` if the events are not valid.
        """
        scanner = EventScanner(request.request_id, request.attempt)
        reader = response.content
        timeouts = self._timeouts
        watchdog = ReadWatchdog(reader, timeouts.first_byte_timeout_s, timeouts.gap_timeout_s)
        has_ended = False
        try:
            watchdog.start_waiting()
            while not reader.at_eof():
                part = scanner.feed(await reader.readany())
                if part is None:
                    continue
                if has_ended:
                    raise AttemptError(FailureKind.ERROR, "data after the final marker")
                has_ended = part.is_last
                # Bytes without a token, such as comments, are no progress of the answer.
                is_progress = part.token_count > 0 or part.is_last
                if is_progress:
                    watchdog.stop_waiting()
                pending_delivery = deliver(part)
                if pending_delivery is not None:
                    await pending_delivery
                # Events that arrive during the pause are read together and form the next block.
                pause_s = self._min_block_interval_s()
                if pause_s and not has_ended:
                    await asyncio.sleep(pause_s)
                if is_progress:
                    watchdog.start_waiting()
        except TimeoutError as error:
            raise AttemptError(FailureKind.STALLED, "silent stream") from error
        except (ClientError, OSError) as error:
            raise answer_failure(error) from error
        finally:
            watchdog.close()
        if not has_ended:
            raise AttemptError(FailureKind.LOST, "the answer ended without its final marker")

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled_session.close()
        await self._unpooled_session.close()


def _headers(request: EngineRequest) -> dict[str, str]:
    """Return the request headers by which an engine identifies and schedules an attempt.

    They also name the model version that must answer, and the number of tokens after which the
    answer must be resumed.
    """
    return {
        "X-Request-Id": request.identity,
        "X-Priority": str(request.priority),
        "X-Model-Version": request.version,
        "X-Resume-Tokens": str(request.resume_tokens),
    }


def _check_head(request: EngineRequest, response: ClientResponse) -> None:
    """Raise AttemptError unless status and headers are those of an answer to the request.

    The answer must have status 200 and repeat the identity of the attempt. A refusal that names
    another attempt says nothing about whether this one has run. If the answer names the number
    of tokens after which it was resumed, this must be the requested one. Of ``Retry-After``, only
    the form in whole seconds is used.
    """
    answered_id = response.headers.get("X-Request-Id")
    if answered_id is not None and answered_id != request.identity:
        raise AttemptError(FailureKind.ERROR, "the answer belongs to another request")
    if response.status != 200:
        kind = FailureKind.REFUSED if response.status in _REFUSED_STATUSES else FailureKind.ERROR
        retry_after = response.headers.get("Retry-After", "")
        retry_after_s = float(retry_after) if retry_after.isdecimal() else None
        raise AttemptError(kind, f"status {response.status}", retry_after_s)
    if answered_id is None:
        raise AttemptError(FailureKind.ERROR, "the answer names no request")
    resumed_at_token = response.headers.get("X-Resume-Tokens", str(request.resume_tokens))
    if resumed_at_token != str(request.resume_tokens):
        raise AttemptError(FailureKind.ERROR, "the engine resumed at another token")
