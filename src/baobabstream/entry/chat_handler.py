"""Serves chat requests and the list of models."""

import uuid
from typing import Any

from aiohttp import web

from baobabstream.entry.chat_request import read_chat_request
from baobabstream.entry.entry_parts import EntryParts
from baobabstream.entry.request_run import RequestRun
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.policy.candidates import account_allows
from baobabstream.telemetry.timeline import EventKind
from baobabstream.wire.rows import AccountRow, VersionState

__all__ = ["ChatHandler"]


class ChatHandler:
    """Handles ``POST /v1/chat/completions`` and ``GET /v1/models``.

    Parameters
    ----------
    parts
        The parts of the entry host.
    """

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handler's paths."""
        router.add_post("/v1/chat/completions", self.chat)
        router.add_get("/v1/models", self.models)
        router.add_get("/v1/models/{model}", self.model)

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Serve one chat request."""
        parts = self._parts
        parts.access.require_ready()
        account = parts.access.authenticate(request)
        raw = await parts.access.read_body(request)
        request_id = uuid.uuid4().hex
        chat = read_chat_request(request, raw, request_id, account, parts.view, parts.sessions)
        detail = f"{account.name} {chat.info.work_class}"
        parts.timeline.emit(EventKind.REQUEST_RECEIVED, request_id, parts.view.revision, detail)
        return await RequestRun(parts, request, chat).run()

    async def models(self, request: web.Request) -> web.StreamResponse:
        """List the models that the caller's account may use."""
        self._parts.access.require_ready()
        names = self._allowed(self._parts.access.authenticate(request))
        return web.json_response({"object": "list", "data": [_document(name) for name in names]})

    async def model(self, request: web.Request) -> web.StreamResponse:
        """Describe one model."""
        self._parts.access.require_ready()
        name = request.match_info["model"]
        if name not in self._allowed(self._parts.access.authenticate(request)):
            raise RequestRefused(ResultCode.UNKNOWN_MODEL, f"model {name[:128]!r}")
        return web.json_response(_document(name))

    def _allowed(self, account: AccountRow) -> list[str]:
        return sorted(
            {
                row.model
                for row in self._parts.view.versions.values()
                if row.state is VersionState.ACTIVE
                and account_allows(account, row.model, row.version)
            }
        )


def _document(model: str) -> dict[str, Any]:
    return {"id": model, "object": "model", "created": 0, "owned_by": "baobabstream"}
