"""Serves one chat request: authenticates, asks the policy, relays the answer, bills it."""

import asyncio
import hashlib
import json
import time
import uuid
from contextlib import aclosing
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from aiohttp import web
from pydantic import ValidationError

from baobabstream.backends.engine_client import AttemptError, EngineRequest, StreamPart
from baobabstream.entry.chat_models import ChatBody
from baobabstream.entry.http_errors import error_body, error_response
from baobabstream.entry.sessions import SessionPin
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, RequestRefused
from baobabstream.policy.decisions import Cancel, Dispatch, GiveUp, Refuse
from baobabstream.policy.events import (
    AttemptFailed,
    AttemptFinished,
    CallerGone,
    FirstToken,
    RequestArrived,
    RequestInfo,
    TokensReceived,
)
from baobabstream.telemetry.timeline import EventKind
from baobabstream.wire.messages import Bill
from baobabstream.wire.rows import AccountRow

if TYPE_CHECKING:
    from baobabstream.entry.daemon import EntryDaemon

__all__ = ["ChatHandler"]

DEFAULT_OUTPUT_TOKENS = 256
BYTES_PER_TOKEN = 4


@dataclass(slots=True)
class _Answer:
    """What has been received of an answer."""

    dispatch: Dispatch | None = None
    tokens: int = 0
    parts: list[bytes] = field(default_factory=list)


class ChatHandler:
    """Handles ``POST /v1/chat/completions``.

    Parameters
    ----------
    daemon
        The entry daemon whose parts the handler uses.
    """

    def __init__(self, daemon: "EntryDaemon") -> None:
        self._daemon = daemon

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serve one request."""
        request_id = uuid.uuid4().hex
        try:
            return await self._serve(request, request_id)
        except BaobabstreamError as error:
            self._emit(EventKind.REQUEST_REFUSED, request_id, error.code.name)
            return error_response(error)

    async def _serve(self, request: web.Request, request_id: str) -> web.StreamResponse:
        self._daemon.require_ready()
        account = self._daemon.authenticate(request)
        raw = await self._daemon.read_body(request)
        try:
            body = ChatBody.model_validate_json(raw)
        except ValidationError as error:
            first = error.errors()[0]
            key = ".".join(str(part) for part in first["loc"])
            raise RequestRefused(ResultCode.MALFORMED_BODY, f"{key}: {first['msg']}") from error
        info = self._request_info(request, account, body, raw, request_id)
        self._emit(EventKind.REQUEST_RECEIVED, request_id, f"{account.name} {info.work_class}")
        inbox = self._daemon.decisions.open(request_id)
        try:
            self._daemon.decisions.feed(RequestArrived(info))
            return await self._run(request, info, body, inbox)
        finally:
            self._daemon.decisions.close(request_id)

    def _request_info(
        self,
        request: web.Request,
        account: AccountRow,
        body: ChatBody,
        raw: bytes,
        request_id: str,
    ) -> RequestInfo:
        work_class = request.headers.get("X-Work-Class") or account.default_class
        if work_class not in self._daemon.view.classes:
            raise RequestRefused(ResultCode.UNKNOWN_CLASS, f"class {work_class!r}")
        model = "" if body.model in ("", "auto") else body.model
        pinned_version = ""
        token = request.headers.get("X-Session-Token", "")
        if token and token != "new":
            pin = self._daemon.sessions.read(token, account.name)
            model, pinned_version = pin.model, pin.version
        output_tokens = body.max_tokens or body.max_completion_tokens or DEFAULT_OUTPUT_TOKENS
        digest = hashlib.sha256(account.name.encode() + b"\0" + raw).hexdigest()
        return RequestInfo(
            request_id=request_id,
            client_account=account.name,
            work_class=work_class,
            model=model,
            pinned_version=pinned_version,
            prompt_tokens=len(raw) // BYTES_PER_TOKEN,
            expected_output_tokens=output_tokens,
            fingerprint=digest,
            streaming=body.stream,
        )

    async def _run(
        self,
        request: web.Request,
        info: RequestInfo,
        body: ChatBody,
        inbox: asyncio.Queue[Any],
    ) -> web.StreamResponse:
        answer = _Answer()
        response: web.StreamResponse | None = None
        try:
            while True:
                decision = await inbox.get()
                match decision:
                    case Refuse() | GiveUp():
                        error = RequestRefused(
                            decision.code, decision.reason, decision.retry_after_s
                        )
                        if response is None:
                            raise error
                        await response.write(b"data: " + _json(error_body(error)) + b"\n\n")
                        return response
                    case Cancel():
                        continue
                    case Dispatch():
                        answer.dispatch = decision
                        if info.streaming and response is None:
                            response = self._stream_response(request, info, decision)
                        finished = await self._attempt(request, info, body, answer, response)
                        if finished:
                            return await self._finish(request, info, answer, response)
        except asyncio.CancelledError:
            self._daemon.decisions.feed(CallerGone(info.request_id))
            raise

    async def _attempt(
        self,
        request: web.Request,
        info: RequestInfo,
        body: ChatBody,
        answer: _Answer,
        response: web.StreamResponse | None,
    ) -> bool:
        dispatch = answer.dispatch
        assert dispatch is not None
        record = self._daemon.view.backends.get(dispatch.backend_server)
        url = record.url if record is not None else "http://127.0.0.1:1"
        detail = f"{dispatch.backend_server} {dispatch.model}@{dispatch.version}"
        self._emit(EventKind.ATTEMPT_SENT, info.request_id, detail)
        engine_request = EngineRequest(
            url,
            info.request_id,
            dispatch.attempt,
            dispatch.model,
            dispatch.version,
            dispatch.priority,
            dispatch.resume_tokens,
            body.model_dump(exclude_none=True),
        )
        try:
            async with aclosing(self._daemon.engines.stream(engine_request)) as parts:
                async for part in parts:
                    await self._take(request, info, answer, part, response)
        except AttemptError as error:
            self._emit(EventKind.ATTEMPT_FAILED, info.request_id, error.kind.value)
            failed = AttemptFailed(
                info.request_id, dispatch.attempt, error.kind, answer.tokens, error.retry_after_s
            )
            self._daemon.decisions.feed(failed)
            return False
        self._daemon.decisions.feed(
            AttemptFinished(info.request_id, dispatch.attempt, answer.tokens)
        )
        return True

    async def _take(
        self,
        request: web.Request,
        info: RequestInfo,
        answer: _Answer,
        part: StreamPart,
        response: web.StreamResponse | None,
    ) -> None:
        assert answer.dispatch is not None
        attempt = answer.dispatch.attempt
        if part.tokens and not answer.tokens:
            self._emit(EventKind.FIRST_TOKEN, info.request_id)
            self._daemon.decisions.feed(FirstToken(info.request_id, attempt))
        answer.tokens += part.tokens
        if part.done:
            return
        self._daemon.decisions.feed(TokensReceived(info.request_id, attempt, part.tokens))
        if response is None:
            answer.parts.append(part.data)
            return
        if not response.prepared:
            await response.prepare(request)
        await response.write(part.data)

    def _stream_response(
        self, request: web.Request, info: RequestInfo, dispatch: Dispatch
    ) -> web.StreamResponse:
        headers = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        return web.StreamResponse(headers=headers | self._headers(request, info, dispatch))

    def _headers(
        self, request: web.Request, info: RequestInfo, dispatch: Dispatch
    ) -> dict[str, str]:
        headers = {"X-Request-Id": info.request_id, "X-Model-Version": dispatch.version}
        if request.headers.get("X-Session-Token"):
            pin = SessionPin(info.client_account, dispatch.model, dispatch.version)
            headers["X-Session-Token"] = self._daemon.sessions.issue(pin)
        return headers

    async def _finish(
        self,
        request: web.Request,
        info: RequestInfo,
        answer: _Answer,
        response: web.StreamResponse | None,
    ) -> web.StreamResponse:
        assert answer.dispatch is not None
        bill = self._bill(request, info, answer)
        await self._daemon.bills.store(bill, self._daemon.settings.bill_sync_timeout_s)
        self._emit(EventKind.BILL_STORED, info.request_id, f"{bill.output_tokens} tokens")
        self._emit(EventKind.ANSWER_FINISHED, info.request_id)
        if response is None:
            headers = self._headers(request, info, answer.dispatch)
            return web.json_response(_join(answer, info), headers=headers)
        if not response.prepared:
            await response.prepare(request)
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    def _bill(self, request: web.Request, info: RequestInfo, answer: _Answer) -> Bill:
        dispatch = answer.dispatch
        assert dispatch is not None
        row = self._daemon.view.versions.get((dispatch.model, dispatch.version))
        price = row.cost_per_1k_tokens if row is not None else 0.0
        return Bill(
            client_account=info.client_account,
            request_id=request.headers.get("Idempotency-Key") or info.request_id,
            work_class=info.work_class,
            model=dispatch.model,
            version=dispatch.version,
            prompt_tokens=info.prompt_tokens,
            output_tokens=answer.tokens,
            cost=price * answer.tokens / 1000,
            host=self._daemon.settings.host,
            wall_time_ms=time.time_ns() // 1_000_000,
        )

    def _emit(self, kind: EventKind, request_id: str, detail: str = "") -> None:
        revision = self._daemon.view.revision
        self._daemon.timeline.emit(kind, request_id, revision, detail)


def _json(value: Any) -> bytes:
    return json.dumps(value).encode()


def _join(answer: _Answer, info: RequestInfo) -> dict[str, Any]:
    """Return a whole chat completion made from the streamed parts."""
    chunks = [json.loads(part.removeprefix(b"data: ")) for part in answer.parts]
    choices = [chunk["choices"][0] for chunk in chunks if chunk.get("choices")]
    text = "".join(choice["delta"].get("content") or "" for choice in choices)
    last = chunks[-1] if chunks else {}
    return {
        "id": last.get("id", info.request_id),
        "object": "chat.completion",
        "created": last.get("created", int(time.time())),
        "model": last.get("model", ""),
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": choices[-1].get("finish_reason") if choices else "stop",
            }
        ],
        "usage": {
            "prompt_tokens": info.prompt_tokens,
            "completion_tokens": answer.tokens,
            "total_tokens": info.prompt_tokens + answer.tokens,
        },
    }
