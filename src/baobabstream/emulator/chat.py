"""Chat requests of the stand-in engine, with the faults that it can show."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from baobabstream.emulator.answers import (
    BAD_MARK,
    ChunkWriter,
    answer_word,
    prefix_digests,
    prompt_seed,
    prompt_tokens,
)
from baobabstream.emulator.batching import ContinuousBatch, Sequence
from baobabstream.emulator.engine_options import EngineOptions
from baobabstream.emulator.faults import Faults, FaultSwitch
from baobabstream.emulator.kv_store import KvDocument, KvStore
from baobabstream.emulator.orders import OrderDesk
from baobabstream.emulator.prefix_cache import PrefixCache
from baobabstream.telemetry.timeline import EventKind, TimelineWriter
from baobabstream.wire.rows import LoadedVersion

__all__ = ["ChatStreams"]

DEFAULT_TOKENS = 32


@dataclass(frozen=True, slots=True)
class _Prompt:
    """What the engine keeps of a request."""

    request_id: str
    model: str
    version: str
    messages: list[dict[str, Any]]
    seed: int
    start_token: int
    end_token: int
    priority: int
    bad: bool = False

    @property
    def label(self) -> str:
        return f"{self.model}@{self.version}"


class ChatStreams:
    """Handles ``POST /v1/chat/completions``.

    Parameters
    ----------
    options
        Options of the engine.
    batch, cache, kv_store, orders, faults, timeline
        Parts of the engine.
    crash
        Called for a prompt with the crash marker.
    """

    def __init__(
        self,
        options: EngineOptions,
        batch: ContinuousBatch,
        cache: PrefixCache,
        kv_store: KvStore,
        orders: OrderDesk,
        faults: FaultSwitch,
        timeline: TimelineWriter,
        crash: Callable[[], object],
    ) -> None:
        self._options = options
        self._batch = batch
        self._cache = cache
        self._kv_store = kv_store
        self._orders = orders
        self._faults = faults
        self._timeline = timeline
        self._crash = crash
        self._previous: _Prompt | None = None

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serve one request."""
        body = await request.json()
        prompt = self._read(request, body)
        if LoadedVersion(prompt.model, prompt.version) not in self._orders.loaded:
            error = {"message": f"{prompt.label} is not loaded"}
            return web.json_response({"error": error}, status=404)
        faults = self._faults.take()
        if self._faults.happens(faults.error_share):
            return web.json_response({"error": {"message": "emulated fault"}}, status=500)
        request_id = _identity(prompt)
        self._timeline.emit(EventKind.ENGINE_REQUEST_STARTED, request_id, detail=prompt.label)
        marker = self._options.crash_marker
        if marker and marker in str(prompt.messages):
            self._crash()
        sequence = Sequence(
            prompt.priority, self._uncached_tokens(prompt), prompt.start_token, prompt.end_token
        )
        try:
            await asyncio.sleep(self._options.first_token_s * faults.slow_factor + faults.late_s)
            self._batch.submit(sequence)
            response = await self._send(request, prompt, sequence, faults)
        finally:
            self._batch.cancel(sequence)
        self._timeline.emit(EventKind.ENGINE_REQUEST_FINISHED, request_id, detail=prompt.label)
        return response

    def _read(self, request: web.Request, body: dict[str, Any]) -> _Prompt:
        headers = request.headers
        version = headers.get("X-Model-Version", "")
        label = f"{body['model']}@{version}"
        bad_share = max(self._faults.faults.bad_share, self._options.bad_shares.get(label, 0.0))
        messages = body["messages"]
        return _Prompt(
            headers.get("X-Request-Id", ""),
            body["model"],
            version,
            messages,
            prompt_seed(messages),
            int(headers.get("X-Resume-Tokens", "0")),
            body.get("max_tokens") or body.get("max_completion_tokens") or DEFAULT_TOKENS,
            int(headers.get("X-Priority", "0")),
            self._faults.happens(bad_share),
        )

    def _uncached_tokens(self, prompt: _Prompt) -> int:
        digests = prefix_digests(prompt.messages)
        sizes = [prompt_tokens([message]) for message in prompt.messages]
        total = sum(sizes)
        document = KvDocument(
            request_id=_identity(prompt) or "unnamed",
            model=prompt.model,
            version=prompt.version,
            prompt_digest=digests[-1],
            prompt_tokens=total,
        )
        cached = self._cache.cached_tokens(prompt.label, digests, sizes)
        if self._kv_store.covers(document):
            cached = total
        now_s = asyncio.get_running_loop().time()
        self._cache.store(prompt.label, digests, sizes, now_s)
        self._kv_store.put(document)
        return total - cached

    async def _send(
        self, request: web.Request, prompt: _Prompt, sequence: Sequence, faults: Faults
    ) -> web.StreamResponse:
        shown = prompt
        if faults.crossed and self._previous is not None:
            shown = self._previous
        self._previous = prompt
        headers = {
            "Content-Type": "text/event-stream",
            "X-Request-Id": shown.request_id,
            "X-Resume-Tokens": str(prompt.start_token),
        }
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        writer = ChunkWriter(shown.request_id, shown.label)
        sent: list[bytes] = []
        while (index := await sequence.tokens.get()) is not None:
            if len(sent) == faults.stall_after_tokens:
                await asyncio.Event().wait()
            if len(sent) == faults.cut_after_tokens:
                self._cut(request)
                return response
            word = f"{BAD_MARK} " if shown.bad else answer_word(shown.seed, index)
            sent.append(writer.chunk(index, word, index == prompt.end_token - 1))
            await response.write(sent[-1])
        await response.write(b"data: [DONE]\n\n")
        if faults.doubled:
            await response.write(b"".join(sent) + b"data: [DONE]\n\n")
        return response

    def _cut(self, request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()


def _identity(prompt: _Prompt) -> str:
    """Return the request's identity without the number of the attempt."""
    return prompt.request_id.partition(".")[0]
