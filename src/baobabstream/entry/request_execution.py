"""Carries out the policy's decisions about one chat request.

The routing policy decides to which backend server a request is dispatched; each dispatch is an
attempt, and several attempts may run at the same time (hedges) or one after the other. This module
runs the attempts, passes the events of one of them on to the caller, which is called delivering,
and reports to the policy what happens. An attempt that resumes an answer asks the engine to
continue after the tokens that the caller already has.

A suspect is a request that was running when a backend server was lost. It may run only in a trial:
alone on a server that the control leader chooses. The leader clears a suspect, which then runs like
any other request, if the server survives the trial.

An answer with ``rated_before_release`` is sent to the caller, or released, only after the rating
service has rated it or has given no valid rating; until then it is kept.

The lease from the control leader allows this entry to act on its configuration. The run state in an
error response states whether the request has run; ``RefusedWithRunState`` is the error that carries
it. A part of a stream consists of complete events that were received together, with the number of
their tokens. The revision of the configuration is a number that grows with each change.
"""

import asyncio
from collections.abc import Awaitable
from math import isfinite

from aiohttp import web

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.backends.engine_client import EngineRequest
from baobabstream.backends.event_scanner import StreamPart
from baobabstream.entry.attempt import Attempt, AttemptEnded, stream_attempt
from baobabstream.entry.caller_stream import CallerConnectionClosed, CallerStalled
from baobabstream.entry.chat_request import ChatRequest
from baobabstream.entry.delivery import AnswerDelivery
from baobabstream.entry.entry_context import EntryContext
from baobabstream.entry.refusals import LEASE_RETRY_S, RefusedWithRunState
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

__all__ = ["RequestExecution"]

# Number of tokens between two reports to the policy. The policy needs token rates over fractions of
# a second; a report per token would cost more than relaying the token.
TOKENS_PER_REPORT = 16

# Kinds of failure in which the backend server sent an answer, so that it is known to be alive.
_KINDS_FROM_LIVE_SERVER = (FailureKind.ERROR, FailureKind.REFUSED)

# What the inbox of a request holds; the exceptions are failures of its tasks.
_InboxItem = Decision | AttemptEnded | Exception

_log = get_logger("entry")


class RequestExecution:
    """One chat request from its arrival to its last byte.

    Parameters
    ----------
    context
        The objects that the request handlers of this entry host share.
    request
        The caller's HTTP request.
    chat_request
        The decoded chat request.
    """

    def __init__(
        self, context: EntryContext, request: web.Request, chat_request: ChatRequest
    ) -> None:
        self._context = context
        self._chat_request = chat_request
        self._request_info = chat_request.request_info
        self._delivery = AnswerDelivery(context, request, chat_request)
        # Decisions of the policy, ends of attempts and failures of tasks, in order of arrival.
        self._inbox: asyncio.Queue[_InboxItem] = asyncio.Queue()
        # Running attempts by number, and those whose end has not been processed.
        self._attempts: dict[int, Attempt] = {}
        # Attempt whose events are passed on to the caller.
        self._delivering_attempt: Attempt | None = None
        # Whether an attempt that is no longer running may have reached a backend server.
        self._has_sent_attempt = False
        # Identity of the backend server on which a trial is running, or empty.
        self._trial_server = ""
        self._tasks: set[asyncio.Task[None]] = set()
        # Whether the request was refused or its answer is being completed.
        self._is_finished = False
        # Finished attempts whose answers wait for their rating, by number.
        self._unreleased_attempts: dict[int, Attempt] = {}
        # Whether the policy still waits for the rating of an answer.
        self._awaits_rating = False

    async def run(self) -> web.StreamResponse:
        """Serve the request and return the response that was sent to the caller.

        Raises
        ------
        RefusedWithRunState
            If the request is refused or given up before the head of an answer was sent.
        """
        decision_loop = self._context.decision_loop
        decision_loop.register_inbox(self._request_info.request_id, self._inbox)
        try:
            decision_loop.process_event(RequestArrived(self._request_info))
            while True:
                response = await self._process_item(await self._inbox.get())
                if response is not None:
                    return response
        except asyncio.CancelledError:
            # aiohttp cancels the handler when the caller closes its connection.
            if not self._is_finished:
                self._delivery.bill_partial_answer()
            raise
        finally:
            decision_loop.unregister_inbox(self._request_info.request_id)
            # This event makes the policy discard a request that it still keeps: one that has not
            # ended by a decision or an answer, or whose rating it waits for. It is also sent if the
            # caller is still connected.
            if not self._is_finished or self._awaits_rating:
                decision_loop.process_event(CallerDisconnected(self._request_info.request_id))
            self._end_trial(server_survived=False)
            await self._stop_tasks()

    async def _process_item(self, inbox_item: _InboxItem) -> web.StreamResponse | None:
        """Process an inbox item; return the response once the request has ended, else None.

        ``Refuse`` ends a request that was not dispatched, ``GiveUp`` one that was; ``AskTrial``
        asks the control leader for a trial; ``Release`` sends a kept answer. ``Dispatch`` starts an
        attempt and ``Cancel`` ends one. ``CallerStalled`` means that the caller reads nothing while
        its write buffer is full; any other exception is an unexpected failure of a task.
        """
        match inbox_item:
            case Refuse() | GiveUp():
                return await self._refuse(inbox_item)
            case Cancel():
                self._cancel(inbox_item.attempt)
            case AskTrial():
                self._start_task(self._ask_trial(inbox_item))
            case Dispatch():
                return await self._dispatch(inbox_item)
            case AttemptEnded():
                return await self._handle_attempt_ended(inbox_item)
            case Release():
                return await self._release_answer(inbox_item.attempt)
            case CallerStalled():
                return self._abort_connection()
            case Exception():
                return await self._refuse_after_task_failure(inbox_item)
        return None

    async def _dispatch(self, dispatch: Dispatch) -> web.StreamResponse | None:
        """Start an attempt, unless the lease has expired or the backend server has left.

        Returns the response if the request is refused for the lease, else None. The attempt resumes
        after ``token_offset`` tokens; an answer that is rated before its release starts from 0. The
        priority of the dispatch is that in the queue of the engine; higher runs first.
        """
        # The lease may have expired while the request waited or the process was frozen.
        if not self._context.caller_access.holds_lease():
            return await self._refuse_without_lease(dispatch)
        server_record = self._context.view.backends.get(dispatch.backend_server)
        if server_record is None:
            self._report_not_sent(dispatch, "the server has left")
            return None
        # The attempt resumes after the tokens delivered by now, not after those delivered when the
        # policy decided: the earlier attempt may have delivered more in between.
        token_offset = (
            0
            if dispatch.rated_before_release
            else self._delivery.prepare_attempt(dispatch, self._delivering_attempt is None)
        )
        attempt = Attempt(dispatch, token_offset, server_record.incarnation)
        engine_request = EngineRequest(
            server_record.url,
            self._request_info.request_id,
            dispatch.attempt,
            dispatch.model,
            dispatch.version,
            dispatch.priority,
            token_offset,
            self._delivery.engine_body,
        )
        version = f"{dispatch.model}@{dispatch.version}"
        detail = f"{dispatch.backend_server} {version} {dispatch.reason}".rstrip()
        self._emit_timeline_event(EventKind.ATTEMPT_SENT, detail)
        self._attempts[dispatch.attempt] = attempt
        attempt.task = self._start_task(self._run_attempt(attempt, engine_request))
        return None

    def _report_not_sent(self, dispatch: Dispatch, reason: str) -> None:
        """Report an attempt as failed and never sent, with the error text ``reason``.

        The kind ``CONNECT`` is that of a failure before anything reached a server.
        """
        # Token offset and incarnation are not used for an attempt that was not sent.
        attempt = Attempt(dispatch, 0, 0)
        self._attempts[dispatch.attempt] = attempt
        error = AttemptError(FailureKind.CONNECT, reason, maybe_sent=False)
        self._inbox.put_nowait(AttemptEnded(attempt, error))

    async def _refuse_without_lease(self, dispatch: Dispatch) -> web.StreamResponse | None:
        """Refuse a dispatch that may not be sent because the control lease has expired.

        While other attempts run, only this attempt fails, and None is returned. Otherwise the whole
        request is refused, and the response is returned.
        """
        if self._attempts:
            self._report_not_sent(dispatch, "the control lease has expired")
            return None
        # The policy counts the attempt as sent; this event makes it discard the request.
        self._context.decision_loop.process_event(CallerDisconnected(self._request_info.request_id))
        return await self._refuse(
            Refuse(self._request_info.request_id, ResultCode.LEASE_EXPIRED, LEASE_RETRY_S)
        )

    async def _run_attempt(self, attempt: Attempt, request: EngineRequest) -> None:
        """Run an attempt and put its end into the inbox.

        If the connection was lost, the control leader is informed first: the caller might otherwise
        repeat a request that crashes servers before the leader knows it as a suspect. The leader
        recognises it by its fingerprint, a digest of account and content. The incarnation, a number
        that changes with each start of a server, names the process that was lost.
        """
        context = self._context
        error = None
        try:
            await stream_attempt(
                attempt, request, context.engine_client, context.prober, self._deliver
            )
        except AttemptError as failure:
            error = failure
        except CallerStalled as stall:
            self._inbox.put_nowait(stall)
            return
        except CallerConnectionClosed:
            # The handler's task is cancelled when the connection closes.
            return
        if error is not None and error.connection_lost:
            await context.suspect_reporter.report_loss(
                attempt.dispatch.backend_server, attempt.incarnation, self._request_info.fingerprint
            )
        self._inbox.put_nowait(AttemptEnded(attempt, error))

    def _deliver(self, attempt: Attempt, part: StreamPart) -> Awaitable[None] | None:
        """Process events received by an attempt: count their tokens, and deliver or keep them.

        The events of an attempt that is not delivering are kept until its first token makes it the
        delivering one, or until its complete answer is rated. The result, unless None, must be
        awaited before the next events are received.
        """
        token_count = part.token_count
        if token_count:
            if not attempt.received_tokens:
                self._handle_first_token(attempt)
            attempt.received_tokens += token_count
            attempt.unreported_tokens += token_count
            if attempt.unreported_tokens >= TOKENS_PER_REPORT:
                self._report_tokens(attempt)
        if attempt is self._delivering_attempt:
            return self._delivery.deliver_events(part.data, token_count)
        if attempt.dispatch.rated_before_release:
            attempt.unreleased_answer.add(part.data, token_count)
        elif part.data:
            attempt.leading_events.append(part.data)
        return None

    def _handle_first_token(self, attempt: Attempt) -> None:
        """Report the first token of an attempt; let it deliver unless its answer is rated first."""
        self._emit_timeline_event(EventKind.FIRST_TOKEN, str(attempt.number))
        if not attempt.dispatch.rated_before_release:
            self._select_attempt(attempt)
        self._context.decision_loop.process_event(
            FirstToken(self._request_info.request_id, attempt.number)
        )

    def _select_attempt(self, attempt: Attempt) -> None:
        """Let an attempt deliver the answer from here on, and cancel all others.

        The events that a resumed attempt received before its first token are dropped, since the
        caller already has those of an earlier attempt.

        Raises
        ------
        AttemptError
            If tokens were delivered since the attempt started, so that it would repeat them.
        """
        if attempt.token_offset != self._delivery.delivered_tokens:
            raise AttemptError(FailureKind.ERROR, "another attempt has delivered these tokens")
        self._delivering_attempt = attempt
        self._delivery.select_attempt(
            attempt.dispatch, attempt.leading_events if not attempt.token_offset else []
        )
        for attempt_number in list(self._attempts):
            if attempt_number != attempt.number:
                self._cancel(attempt_number)

    def _report_tokens(self, attempt: Attempt) -> None:
        """Report the tokens received since the last report to the policy."""
        if attempt.unreported_tokens:
            event = TokensReceived(
                self._request_info.request_id, attempt.number, attempt.unreported_tokens
            )
            attempt.unreported_tokens = 0
            self._context.decision_loop.process_event(event)

    async def _handle_attempt_ended(self, attempt_end: AttemptEnded) -> web.StreamResponse | None:
        """Process the end of an attempt; return the response if it completes the request.

        Attempts that were cancelled before are ignored. An attempt that ended without a token is
        not delivering yet, and is selected here. ``error.maybe_sent`` is whether some bytes of the
        request may have reached the server. A trial on the server ends with the attempt.
        """
        attempt, error = attempt_end.attempt, attempt_end.error
        if self._attempts.pop(attempt.number, None) is None:
            return None
        self._has_sent_attempt = self._has_sent_attempt or error is None or error.maybe_sent
        self._report_tokens(attempt)
        if attempt.dispatch.backend_server == self._trial_server:
            self._end_trial(server_survived=error is None or error.kind in _KINDS_FROM_LIVE_SERVER)
        if error is not None:
            self._report_failure(attempt, error)
            return None
        if attempt is not self._delivering_attempt and not attempt.dispatch.rated_before_release:
            try:
                self._select_attempt(attempt)
            except AttemptError as conflict:
                self._report_failure(attempt, conflict)
                return None
        return await self._handle_complete_answer(attempt)

    def _report_failure(self, attempt: Attempt, error: AttemptError) -> None:
        """Report a failed attempt to the policy, which decides whether another one is sent.

        The event holds the kind of the failure, the number of tokens that were delivered, or
        collected for a caller that does not stream, and the delay in seconds that the backend
        server asked for, or None.
        """
        if attempt is self._delivering_attempt:
            self._delivering_attempt = None
        self._emit_timeline_event(EventKind.ATTEMPT_FAILED, f"{error.kind.value}: {error.detail}")
        self._context.decision_loop.process_event(
            AttemptFailed(
                self._request_info.request_id,
                attempt.number,
                error.kind,
                self._delivery.delivered_tokens,
                error.retry_after_s,
            )
        )

    async def _handle_complete_answer(self, attempt: Attempt) -> web.StreamResponse | None:
        """Cancel all other attempts and finish the request with this attempt's complete answer.

        An answer that must be rated first is kept, and None is returned. Else the response is
        returned, and the answer may be rated afterwards as part of a sample.
        """
        for attempt_number in list(self._attempts):
            self._cancel(attempt_number)
        self._context.decision_loop.process_event(
            AttemptFinished(self._request_info.request_id, attempt.number, attempt.received_tokens)
        )
        if attempt.dispatch.rated_before_release:
            self._unreleased_attempts[attempt.number] = attempt
            self._awaits_rating = True
            self._start_task(self._rate_answer(attempt))
            return None
        response = await self._finish()
        self._delivery.start_sample_rating()
        return response

    async def _finish(self) -> web.StreamResponse:
        """Bill the answer, send its last part and return the response.

        ``_is_finished`` is set first, so that a cancellation from here on does not bill a partial
        answer: ``finish`` bills the whole one.
        """
        self._is_finished = True
        return await self._delivery.finish()

    async def _rate_answer(self, attempt: Attempt) -> None:
        """Rate a kept answer, report its rating to the policy and release it unless it is bad.

        The rating is None if the rating service gave no valid one in time.
        """
        dispatch = attempt.dispatch
        is_good = await self._delivery.rate_answer(dispatch, attempt.unreleased_answer)
        request_id = self._request_info.request_id
        if is_good is not None:
            self._awaits_rating = False
            event = AnswerRated(request_id, dispatch.model, dispatch.version, is_good)
            self._context.decision_loop.process_event(event)
        # An answer with an unknown rating is released. A bad answer is released only if the policy
        # has decided nothing else, since it is better than no answer.
        if is_good is not False or self._inbox.empty():
            self._inbox.put_nowait(Release(request_id, attempt.number))

    async def _release_answer(self, attempt_number: int) -> web.StreamResponse | None:
        """Send the kept answer of an attempt and return the response, or None if none is kept.

        All running attempts are cancelled, since they are not needed any more.
        """
        attempt = self._unreleased_attempts.pop(attempt_number, None)
        if attempt is None:
            return None
        for running_number in list(self._attempts):
            self._cancel(running_number)
        await self._delivery.release_answer(attempt.dispatch, attempt.unreleased_answer)
        return await self._finish()

    async def _refuse_after_task_failure(self, failure: Exception) -> web.StreamResponse:
        """End the request with ``INTERNAL_ERROR`` after an unexpected exception in a task.

        ``run`` then tells the policy to discard the request.
        """
        _log.error(
            "Request %s failed unexpectedly.", self._request_info.request_id, exc_info=failure
        )
        refusal = RefusedWithRunState(
            ResultCode.INTERNAL_ERROR, was_sent=self._may_have_reached_server()
        )
        return await self._delivery.refuse(refusal)

    def _may_have_reached_server(self) -> bool:
        """Return whether a backend server may have received any part of the request."""
        return self._has_sent_attempt or any(
            attempt.task is not None for attempt in self._attempts.values()
        )

    async def _refuse(self, decision: Refuse | GiveUp) -> web.StreamResponse:
        """End the request with the result code of the decision and the run state known here.

        If an answer is kept for its rating and nothing was delivered, that answer is sent instead.
        """
        self._is_finished = True
        if self._unreleased_attempts and not self._delivery.delivered_tokens:
            response = await self._release_answer(next(iter(self._unreleased_attempts)))
            assert response is not None
            return response
        was_sent = self._may_have_reached_server()
        refusal = RefusedWithRunState(
            decision.code, decision.reason, decision.retry_after_s, was_sent=was_sent
        )
        self._emit_timeline_event(EventKind.REQUEST_REFUSED, refusal.code.name)
        return await self._delivery.refuse(refusal)

    def _abort_connection(self) -> web.StreamResponse:
        """End a request whose caller does not read its answer; return its unfinished response.

        The log line begins with the number and the name of the result code. No bill is sent here.
        """
        _log.warning(
            "%d %s: connection of request %s is closed because its caller does not read.",
            ResultCode.CALLER_STALLED,
            ResultCode.CALLER_STALLED.name,
            self._request_info.request_id,
        )
        self._emit_timeline_event(EventKind.REQUEST_REFUSED, ResultCode.CALLER_STALLED.name)
        return self._delivery.abort()

    def _cancel(self, attempt_number: int) -> None:
        """Cancel the running attempt with a number; unknown numbers are ignored.

        A trial on its backend server ends without clearing the suspect. The current task is not
        cancelled, since it may be the one that calls this.
        """
        attempt = self._attempts.pop(attempt_number, None)
        if attempt is None:
            return
        self._has_sent_attempt = self._has_sent_attempt or attempt.task is not None
        if attempt is self._delivering_attempt:
            self._delivering_attempt = None
        self._emit_timeline_event(EventKind.ATTEMPT_CANCELLED, str(attempt_number))
        if attempt.dispatch.backend_server == self._trial_server:
            self._end_trial(server_survived=False)
        if attempt.task is not None and attempt.task is not asyncio.current_task():
            attempt.task.cancel()

    async def _ask_trial(self, decision: AskTrial) -> None:
        """Ask the control leader for a trial and report its reply to the policy.

        ``decision.candidates`` are the identities of the backend servers of which the leader may
        choose one. The trial may be limited to ``trial_s`` seconds; an infinite number means no
        limit.
        """
        event = await self._context.suspect_reporter.ask_trial(
            self._request_info.fingerprint, self._request_info.request_id, decision.candidates
        )
        if isinstance(event, TrialGranted):
            self._trial_server = event.backend_server
            if isfinite(event.trial_s):
                self._start_task(self._limit_trial(event.trial_s))
        self._context.decision_loop.process_event(event)

    async def _limit_trial(self, trial_s: float) -> None:
        """Give the request up after ``trial_s`` seconds if its trial is still running.

        From then on the leader may grant another trial, and a suspect must run alone on its server.
        ``TIMED_OUT`` is the result code that the caller gets.
        """
        await asyncio.sleep(trial_s)
        if self._trial_server:
            self._inbox.put_nowait(GiveUp(self._request_info.request_id, ResultCode.TIMED_OUT))

    def _end_trial(self, *, server_survived: bool) -> None:
        """End the trial, if one is running.

        The leader clears the suspect only if the backend server is known to have survived.
        """
        if self._trial_server:
            self._trial_server = ""
            self._context.suspect_reporter.end_trial(
                self._request_info.fingerprint,
                self._request_info.request_id,
                was_server_lost=not server_survived,
            )

    def _start_task(self, coroutine) -> asyncio.Task[None]:
        """Run a coroutine as a task of this request and return the task.

        An exception in it ends the request; all tasks are cancelled when the request ends.
        """
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_done)
        return task

    def _handle_task_done(self, task: asyncio.Task[None]) -> None:
        """Put the exception of a task that failed into the inbox."""
        self._tasks.discard(task)
        failure = None if task.cancelled() else task.exception()
        if isinstance(failure, Exception):
            self._inbox.put_nowait(failure)

    async def _stop_tasks(self) -> None:
        """Cancel all tasks of this request and wait until they have ended."""
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def _emit_timeline_event(self, kind: EventKind, detail: str = "") -> None:
        """Write an event of this request to the timeline, the event log of this host.

        The event carries the revision of the configuration; ``detail`` is a text about it.
        """
        view = self._context.view
        self._context.timeline.emit(kind, self._request_info.request_id, view.revision, detail)
