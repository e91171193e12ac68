"""Delivers one answer to its caller, whole or streamed, and bills it."""

import json
import time
from collections.abc import Awaitable
from random import Random

from aiohttp import web

from baobabstream.backends.rating_client import RatingQuestion
from baobabstream.entry.answer import Answer, Usage, join_answer, usage_chunk
from baobabstream.entry.caller_stream import CallerStream
from baobabstream.entry.chat_request import ChatRequest
from baobabstream.entry.entry_parts import EntryParts
from baobabstream.entry.http_errors import error_body
from baobabstream.entry.refusals import Refused
from baobabstream.entry.sessions import SessionPin
from baobabstream.policy.decisions import Dispatch
from baobabstream.policy.events import AnswerRated
from baobabstream.telemetry.timeline import EventKind
from baobabstream.wire.messages import Bill

__all__ = ["Delivery"]

DONE_EVENT = b"data: [DONE]\n\n"


class Delivery:
    """The caller's side of one chat request.

    Parameters
    ----------
    parts
        The parts of the entry host.
    request
        The caller's HTTP request.
    chat
        The decoded chat request.

    Attributes
    ----------
    tokens
        Tokens delivered, or collected for a caller that does not stream.
    """

    def __init__(self, parts: EntryParts, request: web.Request, chat: ChatRequest) -> None:
        self._parts = parts
        self._request = request
        self._chat = chat
        self._info = chat.info
        self._stream = CallerStream(request, parts.settings.caller_write_timeout_s)
        self._dispatch: Dispatch | None = None
        self._head: list[bytes] = []
        self._random: Random = parts.random
        # A streamed answer is kept only where it may be rated afterwards.
        rating = parts.ratings is not None
        self._sampled = rating and self._random.random() < parts.settings.rating_sample
        self._keeps = not self._info.streaming or self._sampled
        self._answer = Answer()
        self.tokens = 0
        self.engine_body = chat.body.engine_body()

    def offset(self, dispatch: Dispatch, idle: bool) -> int:
        """Return the token at which an attempt starts.

        A collected answer of which the caller has nothing starts anew on another version.
        """
        other_version = self._dispatch is not None and (
            (self._dispatch.model, self._dispatch.version) != (dispatch.model, dispatch.version)
        )
        if idle and other_version and not self._info.streaming:
            self._answer = Answer()
            self.tokens = 0
        return self.tokens

    def use(self, dispatch: Dispatch, head: list[bytes]) -> None:
        """Take the answer from an attempt; ``head`` are its events before the first token."""
        self._dispatch = dispatch
        self._head = head

    def add(self, data: bytes, tokens: int) -> Awaitable[None] | None:
        """Deliver whole events; what is returned must be awaited before more is added."""
        if self._head:
            data = b"".join(self._head) + data
            self._head = []
        self.tokens += tokens
        if self._keeps:
            self._answer.add(data, tokens)
        if not self._info.streaming or not data:
            return None
        if self._stream.response is None:
            return self._stream.start(self._headers(), data)
        return self._stream.write(data)

    async def release(self, dispatch: Dispatch, answer: Answer) -> None:
        """Deliver a collected answer."""
        self.use(dispatch, [])
        await self._add(b"".join(answer.parts), answer.tokens)

    async def _add(self, data: bytes, tokens: int) -> None:
        waiting = self.add(data, tokens)
        if waiting is not None:
            await waiting

    async def finish(self) -> web.StreamResponse:
        """Bill the answer, then release its last part."""
        if self._head:
            await self._add(b"", 0)
        bill = self._bill()
        await self._parts.bills.store(bill, self._parts.settings.bill_sync_timeout_s)
        self._emit(EventKind.BILL_STORED, f"{bill.output_tokens} tokens")
        response = await self._release_last_part()
        self._emit(EventKind.ANSWER_FINISHED)
        return response

    def bill_partial_answer(self) -> None:
        """Bill what a caller got that closed its connection in the middle of a stream.

        All tokens may have been delivered by then; only the final marker waits for the bill.
        """
        if self._info.streaming and self.tokens and self._dispatch is not None:
            timeout_s = self._parts.settings.bill_sync_timeout_s
            self._parts.background.start(self._parts.bills.store(self._bill(), timeout_s))
            self._emit(EventKind.BILL_STORED, f"{self.tokens} tokens, the caller has gone")

    async def refuse(self, refused: Refused) -> web.StreamResponse:
        """End with an error: as an HTTP answer, or as the last event of a begun stream."""
        if self._stream.response is None:
            raise refused
        body = json.dumps(error_body(refused, refused.run_state)).encode()
        return await self._stream.finish(b"data: " + body + b"\n\n")

    def cut(self) -> web.StreamResponse:
        """Close the connection of a caller that does not read."""
        self._stream.cut()
        assert self._stream.response is not None
        return self._stream.response

    async def rate(self, dispatch: Dispatch, answer: Answer) -> bool | None:
        """Return the rating service's judgement of an answer, None if it is not known."""
        if self._parts.ratings is None:
            return None
        question = self.engine_body["messages"]
        good = await self._parts.ratings.rate(
            RatingQuestion(
                self._info.request_id, dispatch.model, dispatch.version, question, answer.text()
            )
        )
        self._emit(EventKind.ANSWER_RATED, "unknown" if good is None else str(good))
        return good

    def rate_sample(self) -> None:
        """Rate the delivered answer in the background if it is part of the sample."""
        if self._sampled and self._dispatch is not None:
            self._parts.background.start(self._rate_later(self._dispatch, self._answer))

    async def _rate_later(self, dispatch: Dispatch, answer: Answer) -> None:
        good = await self.rate(dispatch, answer)
        if good is not None:
            self._parts.decisions.feed(
                AnswerRated(self._info.request_id, dispatch.model, dispatch.version, good)
            )

    async def _release_last_part(self) -> web.StreamResponse:
        usage = Usage(self._info.prompt_tokens, self.tokens)
        request_id = self._info.request_id
        if not self._info.streaming:
            document = join_answer(self._answer, request_id, usage)
            return web.json_response(document, headers=self._headers())
        if self._stream.response is None:
            await self._stream.start(self._headers(), b"")
        last = b""
        if self._chat.body.wants_usage:
            assert self._dispatch is not None
            last = usage_chunk(request_id, self._dispatch.model, usage)
        return await self._stream.finish(last + DONE_EVENT)

    def _headers(self) -> dict[str, str]:
        dispatch = self._dispatch
        assert dispatch is not None
        headers = {"X-Request-Id": self._info.request_id, "X-Model-Version": dispatch.version}
        if self._chat.wants_session:
            pin = SessionPin(self._info.client_account, dispatch.model, dispatch.version)
            headers["X-Session-Token"] = self._parts.sessions.issue(pin)
        return headers

    def _bill(self) -> Bill:
        dispatch = self._dispatch
        assert dispatch is not None
        row = self._parts.view.versions.get((dispatch.model, dispatch.version))
        price = row.cost_per_1k_tokens if row is not None else 0.0
        return Bill(
            client_account=self._info.client_account,
            request_id=self._chat.bill_id,
            work_class=self._info.work_class,
            model=dispatch.model,
            version=dispatch.version,
            prompt_tokens=self._info.prompt_tokens,
            output_tokens=self.tokens,
            cost=price * self.tokens / 1000,
            host=self._parts.settings.host,
            wall_time_ms=time.time_ns() // 1_000_000,
        )

    def _emit(self, kind: EventKind, detail: str = "") -> None:
        view = self._parts.view
        self._parts.timeline.emit(kind, self._info.request_id, view.revision, detail)
