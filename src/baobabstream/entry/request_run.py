"""Carries out the policy's decisions about one chat request."""

import asyncio
from collections.abc import Awaitable
from math import isfinite

from aiohttp import web

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.backends.engine_client import EngineRequest
from baobabstream.backends.event_scanner import StreamPart
from baobabstream.entry.attempt import Attempt, AttemptEnded, stream_attempt
from baobabstream.entry.caller_stream import CallerLost, CallerStalled
from baobabstream.entry.chat_request import ChatRequest
from baobabstream.entry.delivery import Delivery
from baobabstream.entry.entry_parts import EntryParts
from baobabstream.entry.refusals import LEASE_RETRY_S, Refused
from baobabstream.errors.codes import ResultCode
from baobabstream.policy.decisions import (
    AskTrial,
    Cancel,
    Decision,
    Dispatch,
    GiveUp,
    Refuse,
    Release,
)
from baobabstream.policy.events import (
    AnswerRated,
    AttemptFailed,
    AttemptFinished,
    CallerDisconnected,
    FailureKind,
    FirstToken,
    RequestArrived,
    TokensReceived,
    TrialGranted,
)
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.timeline import EventKind

__all__ = ["RequestRun"]

# The policy needs token rates over fractions of a second; a call per token would cost more than
# the relay of the token.
TOKENS_PER_REPORT = 16

# Failures after which the backend server is known to be alive, since it has answered.
_SURVIVED = (FailureKind.ERROR, FailureKind.REFUSED)

_Item = Decision | AttemptEnded | Exception

_log = get_logger("entry")


class RequestRun:
    """One chat request from its arrival to its last byte.

    Parameters
    ----------
    parts
        The parts of the entry host.
    request
        The caller's HTTP request.
    chat
        The decoded chat request.
    """

    def __init__(self, parts: EntryParts, request: web.Request, chat: ChatRequest) -> None:
        self._parts = parts
        self._chat = chat
        self._info = chat.info
        self._delivery = Delivery(parts, request, chat)
        self._inbox: asyncio.Queue[_Item] = asyncio.Queue()
        self._attempts: dict[int, Attempt] = {}
        self._owner: Attempt | None = None
        self._sent = False
        self._trial_server = ""
        self._tasks: set[asyncio.Task[None]] = set()
        self._finished = False
        # Answers that wait for their rating, by attempt.
        self._held: dict[int, Attempt] = {}
        self._awaits_rating = False

    async def run(self) -> web.StreamResponse:
        """Serve the request.

        Raises
        ------
        Refused
            If the request is refused or given up before the head of an answer was sent.
        """
        decisions = self._parts.decisions
        decisions.open(self._info.request_id, self._inbox)
        try:
            decisions.feed(RequestArrived(self._info))
            while True:
                response = await self._take(await self._inbox.get())
                if response is not None:
                    return response
        except asyncio.CancelledError:
            # aiohttp cancels the handler when the caller closes its connection.
            if not self._finished:
                self._delivery.bill_partial_answer()
            raise
        finally:
            decisions.close(self._info.request_id)
            if not self._finished or self._awaits_rating:
                decisions.feed(CallerDisconnected(self._info.request_id))
            self._end_trial(survived=False)
            await self._stop_tasks()

    async def _take(self, item: _Item) -> web.StreamResponse | None:
        match item:
            case Refuse() | GiveUp():
                return await self._refuse(item)
            case Cancel():
                self._cancel(item.attempt)
            case AskTrial():
                self._start_task(self._ask_trial(item))
            case Dispatch():
                return await self._dispatch(item)
            case AttemptEnded():
                return await self._attempt_ended(item)
            case Release():
                return await self._release(item.attempt)
            case CallerStalled():
                return self._cut()
            case Exception():
                return await self._task_failed(item)
        return None

    async def _dispatch(self, dispatch: Dispatch) -> web.StreamResponse | None:
        # The lease may have expired while the request waited or the process was frozen.
        if not self._parts.access.holds_lease():
            return await self._refuse_without_lease(dispatch)
        record = self._parts.view.backends.get(dispatch.backend_server)
        if record is None:
            self._not_sent(dispatch, "the server has left")
            return None
        # The tokens delivered by now count, not those when the policy decided: the earlier
        # attempt may have delivered more in between.
        offset = (
            0
            if dispatch.rated_before_release
            else self._delivery.offset(dispatch, self._owner is None)
        )
        attempt = Attempt(dispatch, offset, record.incarnation)
        engine_request = EngineRequest(
            record.url,
            self._info.request_id,
            dispatch.attempt,
            dispatch.model,
            dispatch.version,
            dispatch.priority,
            offset,
            self._delivery.engine_body,
        )
        version = f"{dispatch.model}@{dispatch.version}"
        detail = f"{dispatch.backend_server} {version} {dispatch.reason}".rstrip()
        self._emit(EventKind.ATTEMPT_SENT, detail)
        self._attempts[dispatch.attempt] = attempt
        attempt.task = self._start_task(self._run_attempt(attempt, engine_request))
        return None

    def _not_sent(self, dispatch: Dispatch, reason: str) -> None:
        attempt = Attempt(dispatch, 0, 0)
        self._attempts[dispatch.attempt] = attempt
        error = AttemptError(FailureKind.CONNECT, reason, maybe_sent=False)
        self._inbox.put_nowait(AttemptEnded(attempt, error))

    async def _refuse_without_lease(self, dispatch: Dispatch) -> web.StreamResponse | None:
        if self._attempts:
            self._not_sent(dispatch, "the control lease has expired")
            return None
        # The policy counts the attempt as sent; this lets it forget the request.
        self._parts.decisions.feed(CallerDisconnected(self._info.request_id))
        return await self._refuse(
            Refuse(self._info.request_id, ResultCode.LEASE_EXPIRED, LEASE_RETRY_S)
        )

    async def _run_attempt(self, attempt: Attempt, request: EngineRequest) -> None:
        parts = self._parts
        error = None
        try:
            await stream_attempt(attempt, request, parts.engines, parts.prober, self._deliver)
        except AttemptError as failure:
            error = failure
        except CallerStalled as stalled:
            self._inbox.put_nowait(stalled)
            return
        except CallerLost:
            # The handler's task is cancelled when the connection closes.
            return
        if error is not None and error.connection_lost:
            await parts.suspects.report(
                attempt.dispatch.backend_server, attempt.incarnation, self._info.fingerprint
            )
        self._inbox.put_nowait(AttemptEnded(attempt, error))

    def _deliver(self, attempt: Attempt, part: StreamPart) -> Awaitable[None] | None:
        tokens = part.token_count
        if tokens:
            if not attempt.tokens:
                self._first_token(attempt)
            attempt.tokens += tokens
            attempt.unreported_tokens += tokens
            if attempt.unreported_tokens >= TOKENS_PER_REPORT:
                self._report_tokens(attempt)
        if attempt is self._owner:
            return self._delivery.add(part.data, tokens)
        if attempt.dispatch.rated_before_release:
            attempt.collected.add(part.data, tokens)
        elif part.data:
            attempt.head.append(part.data)
        return None

    def _first_token(self, attempt: Attempt) -> None:
        self._emit(EventKind.FIRST_TOKEN, str(attempt.number))
        if not attempt.dispatch.rated_before_release:
            self._own(attempt)
        self._parts.decisions.feed(FirstToken(self._info.request_id, attempt.number))

    def _own(self, attempt: Attempt) -> None:
        """Let an attempt deliver the answer from here on, and cancel all others."""
        if attempt.offset != self._delivery.tokens:
            raise AttemptError(FailureKind.ERROR, "another attempt has delivered these tokens")
        self._owner = attempt
        self._delivery.use(attempt.dispatch, attempt.head if not attempt.offset else [])
        for number in list(self._attempts):
            if number != attempt.number:
                self._cancel(number)

    def _report_tokens(self, attempt: Attempt) -> None:
        if attempt.unreported_tokens:
            event = TokensReceived(self._info.request_id, attempt.number, attempt.unreported_tokens)
            attempt.unreported_tokens = 0
            self._parts.decisions.feed(event)

    async def _attempt_ended(self, ended: AttemptEnded) -> web.StreamResponse | None:
        attempt, error = ended.attempt, ended.error
        if self._attempts.pop(attempt.number, None) is None:
            return None
        self._sent = self._sent or error is None or error.maybe_sent
        self._report_tokens(attempt)
        if attempt.dispatch.backend_server == self._trial_server:
            self._end_trial(survived=error is None or error.kind in _SURVIVED)
        if error is not None:
            self._fail(attempt, error)
            return None
        if attempt is not self._owner and not attempt.dispatch.rated_before_release:
            try:
                self._own(attempt)
            except AttemptError as overtaken:
                self._fail(attempt, overtaken)
                return None
        return await self._whole(attempt)

    def _fail(self, attempt: Attempt, error: AttemptError) -> None:
        if attempt is self._owner:
            self._owner = None
        self._emit(EventKind.ATTEMPT_FAILED, f"{error.kind.value}: {error.detail}")
        self._parts.decisions.feed(
            AttemptFailed(
                self._info.request_id,
                attempt.number,
                error.kind,
                self._delivery.tokens,
                error.retry_after_s,
            )
        )

    async def _whole(self, attempt: Attempt) -> web.StreamResponse | None:
        for number in list(self._attempts):
            self._cancel(number)
        self._parts.decisions.feed(
            AttemptFinished(self._info.request_id, attempt.number, attempt.tokens)
        )
        if attempt.dispatch.rated_before_release:
            self._held[attempt.number] = attempt
            self._awaits_rating = True
            self._start_task(self._rate(attempt))
            return None
        response = await self._finish()
        self._delivery.rate_sample()
        return response

    async def _finish(self) -> web.StreamResponse:
        self._finished = True
        return await self._delivery.finish()

    async def _rate(self, attempt: Attempt) -> None:
        dispatch = attempt.dispatch
        good = await self._delivery.rate(dispatch, attempt.collected)
        request_id = self._info.request_id
        if good is not None:
            self._awaits_rating = False
            event = AnswerRated(request_id, dispatch.model, dispatch.version, good)
            self._parts.decisions.feed(event)
        # An unknown rating is not bad, and a bad answer is better than none if the policy has
        # nothing else to run.
        if good is not False or self._inbox.empty():
            self._inbox.put_nowait(Release(request_id, attempt.number))

    async def _release(self, number: int) -> web.StreamResponse | None:
        attempt = self._held.pop(number, None)
        if attempt is None:
            return None
        for running in list(self._attempts):
            self._cancel(running)
        await self._delivery.release(attempt.dispatch, attempt.collected)
        return await self._finish()

    async def _task_failed(self, failure: Exception) -> web.StreamResponse:
        _log.error("Request %s failed unexpectedly.", self._info.request_id, exc_info=failure)
        refused = Refused(ResultCode.INTERNAL_ERROR, sent=self._may_have_run())
        return await self._delivery.refuse(refused)

    def _may_have_run(self) -> bool:
        return self._sent or any(item.task is not None for item in self._attempts.values())

    async def _refuse(self, decision: Refuse | GiveUp) -> web.StreamResponse:
        self._finished = True
        if self._held and not self._delivery.tokens:
            response = await self._release(next(iter(self._held)))
            assert response is not None
            return response
        sent = self._may_have_run()
        refused = Refused(decision.code, decision.reason, decision.retry_after_s, sent=sent)
        self._emit(EventKind.REQUEST_REFUSED, refused.code.name)
        return await self._delivery.refuse(refused)

    def _cut(self) -> web.StreamResponse:
        _log.warning(
            "%d %s: request %s is cut, its caller does not read.",
            ResultCode.CALLER_STALLED,
            ResultCode.CALLER_STALLED.name,
            self._info.request_id,
        )
        self._emit(EventKind.REQUEST_REFUSED, ResultCode.CALLER_STALLED.name)
        return self._delivery.cut()

    def _cancel(self, number: int) -> None:
        attempt = self._attempts.pop(number, None)
        if attempt is None:
            return
        self._sent = self._sent or attempt.task is not None
        if attempt is self._owner:
            self._owner = None
        self._emit(EventKind.ATTEMPT_CANCELLED, str(number))
        if attempt.dispatch.backend_server == self._trial_server:
            self._end_trial(survived=False)
        if attempt.task is not None and attempt.task is not asyncio.current_task():
            attempt.task.cancel()

    async def _ask_trial(self, decision: AskTrial) -> None:
        event = await self._parts.suspects.ask_trial(
            self._info.fingerprint, self._info.request_id, decision.candidates
        )
        if isinstance(event, TrialGranted):
            self._trial_server = event.backend_server
            if isfinite(event.trial_s):
                self._start_task(self._bound_trial(event.trial_s))
        self._parts.decisions.feed(event)

    async def _bound_trial(self, trial_s: float) -> None:
        """Give the request up when its trial ends; the leader may then grant another one."""
        await asyncio.sleep(trial_s)
        if self._trial_server:
            self._inbox.put_nowait(GiveUp(self._info.request_id, ResultCode.TIMED_OUT))

    def _end_trial(self, *, survived: bool) -> None:
        """End the trial; only a backend server that is seen to have survived clears the suspect."""
        if self._trial_server:
            self._trial_server = ""
            self._parts.suspects.end_trial(
                self._info.fingerprint, self._info.request_id, lost=not survived
            )

    def _start_task(self, work) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_ended)
        return task

    def _task_ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        failure = None if task.cancelled() else task.exception()
        if isinstance(failure, Exception):
            self._inbox.put_nowait(failure)

    async def _stop_tasks(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _emit(self, kind: EventKind, detail: str = "") -> None:
        view = self._parts.view
        self._parts.timeline.emit(kind, self._info.request_id, view.revision, detail)
