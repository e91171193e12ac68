"""Serves chat requests and the list of models.

A model has one or more versions; a version is active while it may serve requests. A work class is a
configured class of requests with its own targets for quality, latency and cost. The timeline is the
event log of this host, and the revision of the configuration a number that grows with each change.
The lease from the control leader allows this entry, a host that accepts the requests of callers, to
act on its configuration.
"""

import uuid
from typing import Any

from aiohttp import web

from baobabstream.entry.chat_request import read_chat_request
from baobabstream.entry.entry_context import EntryContext
from baobabstream.entry.request_execution import RequestExecution
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.policy.candidates import account_allows
from baobabstream.telemetry.timeline import EventKind
from baobabstream.wire.rows import AccountRow, VersionState

__all__ = ["ChatHandler"]

# Memory of a part of a decoded body, and of what is sent on of it; see `count_json_parts`.
CHAT_PART_BYTES = 300


class ChatHandler:
    """Handles ``POST /v1/chat/completions`` and ``GET /v1/models``.

    Parameters
    ----------
    context
        The objects that the request handlers of this entry host share.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def add_routes(self, router: web.UrlDispatcher) -> None:
        """Register the handler's paths."""
        router.add_post("/v1/chat/completions", self.handle_chat)
        router.add_get("/v1/models", self.handle_model_list)
        router.add_get("/v1/models/{model}", self.handle_model)

    async def handle_chat(self, request: web.Request) -> web.StreamResponse:
        """Serve one chat request and return the response that was sent to the caller.

        The lease, the API key and the request itself are checked before the request is written to
        the timeline and run.

        Raises
        ------
        RequestRefused
            With the code of the first check that fails, or of the reason why no answer was sent.
        """
        context = self._context
        context.caller_access.require_ready()
        account = context.caller_access.authenticate(request)
        raw_body = await context.caller_access.read_body(request, CHAT_PART_BYTES)
        request_id = uuid.uuid4().hex
        chat_request = read_chat_request(
            request, raw_body, request_id, account, context.view, context.session_tokens
        )
        detail = f"{account.name} {chat_request.request_info.work_class}"
        context.timeline.emit(EventKind.REQUEST_RECEIVED, request_id, context.view.revision, detail)
        return await RequestExecution(context, request, chat_request).run()

    async def handle_model_list(self, request: web.Request) -> web.StreamResponse:
        """Respond with the models that the caller's account may use."""
        self._context.caller_access.require_ready()
        model_names = self._allowed_models(self._context.caller_access.authenticate(request))
        return web.json_response(
            {"object": "list", "data": [_model_document(model_name) for model_name in model_names]}
        )

    async def handle_model(self, request: web.Request) -> web.StreamResponse:
        """Respond with the description of one model.

        Raises
        ------
        RequestRefused
            ``UNKNOWN_MODEL`` if the model does not exist or the account may not use it.
        """
        self._context.caller_access.require_ready()
        model_name = request.match_info["model"]
        if model_name not in self._allowed_models(
            self._context.caller_access.authenticate(request)
        ):
            # The name is cut to 128 characters, since a path may name a model of any length.
            raise RequestRefused(ResultCode.UNKNOWN_MODEL, f"model {model_name[:128]!r}")
        return web.json_response(_model_document(model_name))

    def _allowed_models(self, account: AccountRow) -> list[str]:
        """Return the sorted names of models with an active version that the account may use.

        ``account`` is the record of the client account, with what it may use.
        """
        return sorted(
            {
                row.model
                for row in self._context.view.versions.values()
                if row.state is VersionState.ACTIVE
                and account_allows(account, row.model, row.version)
            }
        )


def _model_document(model: str) -> dict[str, Any]:
    """Return the description of a model in the chat-completions format.

    The format requires a creation time in Unix seconds. It is not known, so 0 is sent.
    """
    return {"id": model, "object": "model", "created": 0, "owned_by": "baobabstream"}
