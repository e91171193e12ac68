"""Serves chat requests and the list of models."""

import uuid
from typing import TYPE_CHECKING, Any

from aiohttp import web

from baobabstream.entry.chat_request import read_chat_request
from baobabstream.entry.request_run import RequestRun
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.policy.candidates import account_allows
from baobabstream.telemetry.timeline import EventKind
from baobabstream.wire.rows import AccountRow, VersionState

if TYPE_CHECKING:
    from baobabstream.entry.daemon import EntryDaemon

__all__ = ["ChatHandler"]


class ChatHandler:
    """Handles ``POST /v1/chat/completions`` and ``GET /v1/models``.

    Parameters
    ----------
    daemon
        The entry daemon whose parts the handler uses.
    """

    def __init__(self, daemon: "EntryDaemon") -> None:
        self._daemon = daemon

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handler's paths."""
        router.add_post("/v1/chat/completions", self.chat)
        router.add_get("/v1/models", self.models)
        router.add_get("/v1/models/{model}", self.model)

    async def chat(self, request: web.Request) -> web.StreamResponse:
        """Serve one chat request."""
        daemon = self._daemon
        daemon.require_ready()
        account = daemon.authenticate(request)
        raw = await daemon.read_body(request)
        request_id = uuid.uuid4().hex
        chat = read_chat_request(request, raw, request_id, account, daemon.view, daemon.sessions)
        detail = f"{account.name} {chat.info.work_class}"
        daemon.timeline.emit(EventKind.REQUEST_RECEIVED, request_id, daemon.view.revision, detail)
        return await RequestRun(daemon, request, chat).run()

    async def models(self, request: web.Request) -> web.StreamResponse:
        """List the models that the caller's account may use."""
        self._daemon.require_ready()
        names = self._allowed(self._daemon.authenticate(request))
        return web.json_response({"object": "list", "data": [_document(name) for name in names]})

    async def model(self, request: web.Request) -> web.StreamResponse:
        """Describe one model."""
        self._daemon.require_ready()
        name = request.match_info["model"]
        if name not in self._allowed(self._daemon.authenticate(request)):
            raise RequestRefused(ResultCode.UNKNOWN_MODEL, f"model {name[:128]!r}")
        return web.json_response(_document(name))

    def _allowed(self, account: AccountRow) -> list[str]:
        return sorted(
            {
                row.model
                for row in self._daemon.view.versions.values()
                if row.state is VersionState.ACTIVE
                and account_allows(account, row.model, row.version)
            }
        )


def _document(model: str) -> dict[str, Any]:
    return {"id": model, "object": "model", "created": 0, "owned_by": "baobabstream"}
