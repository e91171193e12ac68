"""One attempt of a chat request on a backend server, run as a task of its own.

An attempt is one dispatch of the request by the routing policy; attempts are numbered from 1.
Several may run at the same time. One of them is selected to deliver the answer, that is, its events
are passed on to the caller. An attempt that resumes an answer asks the engine to continue after the
tokens that the caller already has. An engine is a backend server that runs a language model. A part
of a stream, or block, consists of complete events that were received together, with the number of
their tokens.
"""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from functools import partial

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.backends.engine_client import EngineClient, EngineRequest
from baobabstream.backends.event_scanner import StreamPart
from baobabstream.backends.probe import Prober, ProbeResult
from baobabstream.entry.answer import CollectedAnswer
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
    dispatch
        The policy's decision to send the attempt.
    token_offset
        Number of tokens of the answer that were delivered when the attempt started; it resumes
        after them.
    incarnation
        Incarnation of the backend server: a number that changes with each start of its process. A
        loss of the server is reported with it.
    received_tokens
        Number of tokens received so far.
    unreported_tokens
        Number of received tokens that have not been reported to the policy.
    leading_events
        Blocks of events received before the attempt was selected to deliver the answer.
    unreleased_answer
        The answer received so far, if the rating service must rate it before the caller gets it;
        else empty.
    task
        Task that runs the attempt, or None if the attempt was never sent.
    """

    dispatch: Dispatch
    token_offset: int
    incarnation: int
    received_tokens: int = 0
    unreported_tokens: int = 0
    leading_events: list[bytes] = field(default_factory=list)
    unreleased_answer: CollectedAnswer = field(default_factory=CollectedAnswer)
    task: asyncio.Task[None] | None = None

    @property
    def number(self) -> int:
        """Number of the attempt within the request."""
        return self.dispatch.attempt


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The end of an attempt; ``error`` is why it failed, or None if its answer is complete."""

    attempt: Attempt
    error: AttemptError | None = None


async def stream_attempt(
    attempt: Attempt,
    request: EngineRequest,
    engine_client: EngineClient,
    prober: Prober,
    deliver: Callable[[Attempt, StreamPart], Awaitable[None] | None],
) -> None:
    """Run an attempt until its answer is complete.

    When the connection stalls, that is, brings no data within the time limit, the backend server is
    probed on a new connection. If it answers, only the connection is at fault, and the attempt is
    resumed once, on a new connection and after the tokens received.

    Parameters
    ----------
    attempt
        The attempt; ``deliver`` counts its tokens.
    request
        What is sent to the engine.
    engine_client
        Client for engines.
    prober
        Checks whether a backend server answers on a new connection.
    deliver
        Called with the attempt and each block of events; the result, unless None, is awaited
        before the next block is read.

    Raises
    ------
    AttemptError
        If the attempt failed.
    """
    has_reconnected = False
    while True:
        try:
            await engine_client.stream(
                request, partial(deliver, attempt), new_connection=has_reconnected
            )
            return
        except AttemptError as error:
            if error.kind is not FailureKind.STALLED or has_reconnected:
                raise
            await _require_live_server(request, prober, error)
        _log.warning(
            "No data from %s within the time limit; resuming on a new connection.", request.url
        )
        has_reconnected = True
        request = replace(request, resume_tokens=attempt.token_offset + attempt.received_tokens)


async def _require_live_server(
    request: EngineRequest, prober: Prober, stall_error: AttemptError
) -> None:
    """Probe the backend server of a stalled connection; return if it answers.

    The probe result is ``SILENT`` if the server accepts a connection but does not answer in time,
    and ``UNREACHABLE`` if no connection can be opened. An unreachable server may have crashed, so
    that the error is one of a lost connection.

    Raises
    ------
    AttemptError
        ``stall_error`` if the probe gets no answer in time either, a lost connection if the
        server is unreachable.
    """
    probe_result = await prober.probe(request.url)
    if probe_result is ProbeResult.SILENT:
        raise stall_error
    if probe_result is ProbeResult.UNREACHABLE:
        raise AttemptError(
            FailureKind.LOST, "the server is unreachable", connection_lost=True
        ) from stall_error
