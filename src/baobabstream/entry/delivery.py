"""Delivers one answer to its caller, complete or streamed, and bills it.

The events of the answer may come from several attempts, one after the other: a dispatch is the
routing policy's decision to send an attempt to a backend server. An attempt that resumes the answer
continues after the tokens delivered by then. With a rating service, a sample of the answers is
rated in the background, which measures the quality of each model version. A bill records the tokens
and the cost of one answer for its client account.

An engine is a backend server that runs a language model. An entry host accepts the requests of
callers; the control hosts store the bills. A block consists of one or more complete events that are
delivered together. A work class is a configured class of requests with its own targets for quality,
latency and cost. The revision of the configuration is a number that grows with each change.

The run state in an error response states whether the request has run: "no", "yes" or "unknown".
``RefusedWithRunState`` is the error that carries it.
"""

import json
import time
from collections.abc import Awaitable
from random import Random

from aiohttp import web

from baobabstream.backends.rating_client import RatingQuestion
from baobabstream.entry.answer import CollectedAnswer, Usage, build_completion, usage_chunk
from baobabstream.entry.caller_stream import CallerStream
from baobabstream.entry.chat_request import ChatRequest
from baobabstream.entry.entry_context import EntryContext
from baobabstream.entry.http_errors import error_body
from baobabstream.entry.refusals import RefusedWithRunState
from baobabstream.entry.sessions import SessionPin
from baobabstream.policy.decisions import Dispatch
from baobabstream.policy.events import AnswerRated
from baobabstream.telemetry.timeline import EventKind
from baobabstream.wire.messages import Bill

__all__ = ["AnswerDelivery"]

# Final event of a stream in the chat-completions format.
DONE_EVENT = b"data: [DONE]\n\n"


class AnswerDelivery:
    """Sends the answer of one chat request to its caller.

    Parameters
    ----------
    context
        The objects that the request handlers of this entry host share.
    request
        The caller's HTTP request.
    chat_request
        The decoded chat request.

    Attributes
    ----------
    delivered_tokens
        Number of tokens delivered, or collected for a caller that does not stream.
    engine_body
        Body of the request to the engine, without the fields that differ between attempts.
    """

    def __init__(
        self, context: EntryContext, request: web.Request, chat_request: ChatRequest
    ) -> None:
        self._context = context
        self._request = request
        self._chat_request = chat_request
        self._request_info = chat_request.request_info
        self._stream = CallerStream(request, context.settings.caller_write_timeout_s)
        # Dispatch of the attempt whose answer is delivered.
        self._dispatch: Dispatch | None = None
        # Events received before that attempt was selected, sent with its next block.
        self._leading_events: list[bytes] = []
        self._random: Random = context.random
        # The setting ``rating_sample`` is the share of answers, from 0 to 1, that are rated.
        has_rating_service = context.rating_client is not None
        self._is_rating_sample = (
            has_rating_service and self._random.random() < context.settings.rating_sample
        )
        # A streamed answer is collected only if it is rated after its delivery.
        self._collects_answer = not self._request_info.streaming or self._is_rating_sample
        self._collected_answer = CollectedAnswer()
        self.delivered_tokens = 0
        self.engine_body = chat_request.body.engine_body()

    def prepare_attempt(self, dispatch: Dispatch, no_attempt_delivers: bool) -> int:
        """Return the number of delivered tokens after which an attempt resumes the answer.

        If no attempt is delivering and the caller does not stream, an attempt of another model
        version starts from 0: the collected tokens are discarded, since the caller has received
        nothing.
        """
        is_other_version = self._dispatch is not None and (
            (self._dispatch.model, self._dispatch.version) != (dispatch.model, dispatch.version)
        )
        if no_attempt_delivers and is_other_version and not self._request_info.streaming:
            self._collected_answer = CollectedAnswer()
            self.delivered_tokens = 0
        return self.delivered_tokens

    def select_attempt(self, dispatch: Dispatch, leading_events: list[bytes]) -> None:
        """Take the answer from the attempt of ``dispatch`` from here on.

        ``leading_events`` are the events that it received so far.
        """
        self._dispatch = dispatch
        self._leading_events = leading_events

    def deliver_events(self, data: bytes, token_count: int) -> Awaitable[None] | None:
        """Send or collect ``data``, complete events that carry ``token_count`` tokens.

        The result, unless None, must be awaited before more events are delivered.
        """
        if self._leading_events:
            data = b"".join(self._leading_events) + data
            self._leading_events = []
        self.delivered_tokens += token_count
        if self._collects_answer:
            self._collected_answer.add(data, token_count)
        if not self._request_info.streaming or not data:
            return None
        if self._stream.response is None:
            return self._stream.start(self._response_headers(), data)
        return self._stream.write(data)

    async def release_answer(self, dispatch: Dispatch, answer: CollectedAnswer) -> None:
        """Deliver ``answer``, collected from the attempt of ``dispatch`` until it was rated."""
        self.select_attempt(dispatch, [])
        await self._deliver_and_wait(b"".join(answer.event_blocks), answer.token_count)

    async def _deliver_and_wait(self, data: bytes, token_count: int) -> None:
        """Deliver events and wait until the caller's connection accepts more.

        ``data`` and ``token_count`` are as in ``deliver_events``.
        """
        pending_write = self.deliver_events(data, token_count)
        if pending_write is not None:
            await pending_write

    async def finish(self) -> web.StreamResponse:
        """Bill the answer, then send its last part and return the response.

        The bill comes first, so that no caller receives a complete answer before its bill is sent.
        After ``bill_sync_timeout_s`` seconds the answer is completed even if too few control hosts
        have stored the bill; its delivery then continues in the background.

        ``BILL_STORED`` is written to the timeline in both cases. It means that the wait for the
        bill is over, not that enough control hosts have stored it; the bill sender logs an error if
        they have not. ``ANSWER_FINISHED`` means that the last part was handed to the connection;
        for a caller that does not stream, the HTTP server sends the returned response afterwards.
        """
        if self._leading_events:
            # The attempt ended before another block came, with which the leading events would have
            # been sent. They are delivered on their own, with no further data and no tokens.
            await self._deliver_and_wait(b"", 0)
        bill = self._make_bill()
        await self._context.bill_sender.store(bill, self._context.settings.bill_sync_timeout_s)
        self._emit_timeline_event(EventKind.BILL_STORED, f"{bill.output_tokens} tokens")
        response = await self._send_last_part()
        self._emit_timeline_event(EventKind.ANSWER_FINISHED)
        return response

    def bill_partial_answer(self) -> None:
        """Bill the tokens that a caller received before it closed its connection during a stream.

        All tokens may have been delivered by then, since only the final event waits for the bill.
        Here ``BILL_STORED`` means that the delivery of the bill starts in the background; it does
        not say whether control hosts have stored it.
        """
        if self._request_info.streaming and self.delivered_tokens and self._dispatch is not None:
            timeout_s = self._context.settings.bill_sync_timeout_s
            self._context.background_tasks.start(
                self._context.bill_sender.store(self._make_bill(), timeout_s)
            )
            self._emit_timeline_event(
                EventKind.BILL_STORED, f"{self.delivered_tokens} tokens, the caller has gone"
            )

    async def refuse(self, refusal: RefusedWithRunState) -> web.StreamResponse:
        """End with an error: as an HTTP response, or as the last event of a started stream.

        An HTTP status can no longer be sent once the head of the answer, its status line and
        headers, has been sent. In both cases the caller gets the same error body, with the run
        state of ``refusal``, so that it knows whether a repeat might run the request a second time.

        Raises
        ------
        RefusedWithRunState
            The given error, if the head of the answer was not sent; the HTTP server turns it into a
            response.
        """
        if self._stream.response is None:
            raise refusal
        body = json.dumps(error_body(refusal, refusal.run_state)).encode()
        return await self._stream.finish(b"data: " + body + b"\n\n")

    def abort(self) -> web.StreamResponse:
        """Close the connection of a caller that does not read; return its unfinished response."""
        self._stream.abort()
        assert self._stream.response is not None
        return self._stream.response

    async def rate_answer(self, dispatch: Dispatch, answer: CollectedAnswer) -> bool | None:
        """Return whether the rating service rates an answer as good, None if it is unknown.

        It is unknown without a rating service, or if the service gives no valid rating in time;
        with a service, the timeline event ``ANSWER_RATED`` then says "unknown", else "True" or
        "False". The question is the list of messages of the conversation.
        """
        if self._context.rating_client is None:
            return None
        question = self.engine_body["messages"]
        is_good = await self._context.rating_client.rate(
            RatingQuestion(
                self._request_info.request_id,
                dispatch.model,
                dispatch.version,
                question,
                answer.text(),
            )
        )
        self._emit_timeline_event(
            EventKind.ANSWER_RATED, "unknown" if is_good is None else str(is_good)
        )
        return is_good

    def start_sample_rating(self) -> None:
        """Rate the delivered answer in the background if it belongs to the sample."""
        if self._is_rating_sample and self._dispatch is not None:
            self._context.background_tasks.start(
                self._rate_and_report(self._dispatch, self._collected_answer)
            )

    async def _rate_and_report(self, dispatch: Dispatch, answer: CollectedAnswer) -> None:
        """Rate an answer and report a known rating to the policy."""
        is_good = await self.rate_answer(dispatch, answer)
        if is_good is not None:
            self._context.decision_loop.process_event(
                AnswerRated(
                    self._request_info.request_id, dispatch.model, dispatch.version, is_good
                )
            )

    async def _send_last_part(self) -> web.StreamResponse:
        """Send the complete answer, or the final events of a stream, and return the response.

        A complete answer is only returned here, and sent by the HTTP server. The usage is the
        report of the token counts; a stream has it only if the caller asked for it.
        """
        usage = Usage(self._request_info.prompt_tokens, self.delivered_tokens)
        request_id = self._request_info.request_id
        if not self._request_info.streaming:
            completion = build_completion(self._collected_answer, request_id, usage)
            return web.json_response(completion, headers=self._response_headers())
        if self._stream.response is None:
            # No event was delivered, so the head is sent without a block.
            await self._stream.start(self._response_headers(), b"")
        last_events = b""
        if self._chat_request.body.wants_usage:
            assert self._dispatch is not None
            last_events = usage_chunk(request_id, self._dispatch.model, usage)
        return await self._stream.finish(last_events + DONE_EVENT)

    def _response_headers(self) -> dict[str, str]:
        """Return the headers of the answer, with a session token if the caller asked for one.

        The token binds the next requests of the session to the model version that answered this
        one.
        """
        dispatch = self._dispatch
        assert dispatch is not None
        headers = {
            "X-Request-Id": self._request_info.request_id,
            "X-Model-Version": dispatch.version,
        }
        if self._chat_request.wants_session:
            pin = SessionPin(self._request_info.client_account, dispatch.model, dispatch.version)
            headers["X-Session-Token"] = self._context.session_tokens.issue(pin)
        return headers

    def _make_bill(self) -> Bill:
        """Return the bill for the tokens delivered so far, at the price of the answering version.

        Only output tokens are charged. ``cost_per_1k_tokens`` is the price of 1,000 of them, and
        the cost is in the same unit; it is 0 if the version has been deleted from the
        configuration. ``bill_id`` is the identity under which the request is billed, and
        ``wall_time_ms`` the Unix time in milliseconds.
        """
        dispatch = self._dispatch
        assert dispatch is not None
        version_row = self._context.view.versions.get((dispatch.model, dispatch.version))
        cost_per_1k_tokens = version_row.cost_per_1k_tokens if version_row is not None else 0.0
        return Bill(
            client_account=self._request_info.client_account,
            request_id=self._chat_request.bill_id,
            work_class=self._request_info.work_class,
            model=dispatch.model,
            version=dispatch.version,
            prompt_tokens=self._request_info.prompt_tokens,
            output_tokens=self.delivered_tokens,
            cost=cost_per_1k_tokens * self.delivered_tokens / 1000,
            host=self._context.settings.host,
            wall_time_ms=time.time_ns() // 1_000_000,  # nanoseconds to milliseconds
        )

    def _emit_timeline_event(self, kind: EventKind, detail: str = "") -> None:
        """Write an event of this request to the timeline, the event log of this host.

        The event carries the revision of the configuration; ``detail`` is a text about it.
        """
        view = self._context.view
        self._context.timeline.emit(kind, self._request_info.request_id, view.revision, detail)
