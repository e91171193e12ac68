"""One attempt of a chat request on a backend server, run as a task of its own."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from functools import partial

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.backends.engine_client import EngineClient, EngineRequest
from baobabstream.backends.event_scanner import StreamPart
from baobabstream.backends.probe import Prober, ProbeResult
from baobabstream.entry.answer import Answer
from baobabstream.policy.decisions import Dispatch
from baobabstream.policy.events import FailureKind
from baobabstream.telemetry.logs import get_logger

__all__ = ["Attempt", "AttemptEnded", "stream_attempt"]

_log = get_logger("entry")


@dataclass(slots=True)
class Attempt:
    """A running attempt.

    Attributes
    ----------
    offset
        Tokens of the answer that were delivered when the attempt started.
    incarnation
        Incarnation of the backend server, which a loss is reported with.
    tokens
        Tokens received so far.
    unreported_tokens
        Tokens received of which the policy has not been told.
    head
        Events received before the first token.
    collected
        The answer, where it must be rated before it is released.
    """

    dispatch: Dispatch
    offset: int
    incarnation: int
    tokens: int = 0
    unreported_tokens: int = 0
    head: list[bytes] = field(default_factory=list)
    collected: Answer = field(default_factory=Answer)
    task: asyncio.Task[None] | None = None

    @property
    def number(self) -> int:
        """Number of the attempt within the request."""
        return self.dispatch.attempt


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over; ``error`` is None if its answer is whole."""

    attempt: Attempt
    error: AttemptError | None = None


async def stream_attempt(
    attempt: Attempt,
    request: EngineRequest,
    engines: EngineClient,
    prober: Prober,
    deliver: Callable[[Attempt, StreamPart], Awaitable[None] | None],
) -> None:
    """Run an attempt to its end.

    When the connection goes silent, a new one is probed first. If that works, the attempt
    continues once on a new connection to the same backend server, after the tokens received.

    Raises
    ------
    AttemptError
        If the attempt failed.
    """
    resent = False
    while True:
        try:
            await engines.stream(request, partial(deliver, attempt), new_connection=resent)
            return
        except AttemptError as error:
            if error.kind is not FailureKind.STALLED or resent:
                raise
            await _check_server(request, prober, error)
        _log.warning("Connection to %s went silent; using a new one.", request.url)
        resent = True
        request = replace(request, resume_tokens=attempt.offset + attempt.tokens)


async def _check_server(request: EngineRequest, prober: Prober, stalled: AttemptError) -> None:
    result = await prober.probe(request.url)
    if result is ProbeResult.SILENT:
        raise stalled
    if result is ProbeResult.UNREACHABLE:
        raise AttemptError(
            FailureKind.LOST, "the server is unreachable", connection_lost=True
        ) from stalled
