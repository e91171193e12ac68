"""Export and import of KV cache between stand-in engines, as small JSON documents."""

from collections import OrderedDict
from typing import Annotated

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

__all__ = ["KvDocument", "KvStore"]

KEPT_REQUESTS = 1000


class KvDocument(BaseModel):
    """KV cache of one request: which prompt it belongs to and how many tokens it covers."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    request_id: Annotated[str, Field(min_length=1, max_length=200)]
    model: str
    version: str
    prompt_digest: str
    prompt_tokens: Annotated[int, Field(ge=0)]


class KvStore:
    """KV caches of recent requests, exported by ``GET`` and imported by ``POST /v1/kv``."""

    def __init__(self) -> None:
        self._documents: OrderedDict[str, KvDocument] = OrderedDict()

    def add_routes(self, app: web.Application) -> None:
        """Add ``/v1/kv``."""
        app.router.add_get("/v1/kv/{request_id}", self._export)
        app.router.add_post("/v1/kv", self._import)

    def put(self, document: KvDocument) -> None:
        """Keep the KV cache of a request."""
        self._documents[document.request_id] = document
        if len(self._documents) > KEPT_REQUESTS:
            self._documents.popitem(last=False)

    def covers(self, document: KvDocument) -> bool:
        """Return whether the KV cache of this very prompt and version is present."""
        return self._documents.get(document.request_id) == document

    async def _export(self, request: web.Request) -> web.Response:
        document = self._documents.get(request.match_info["request_id"])
        if document is None:
            return web.json_response({"error": {"message": "no such request"}}, status=404)
        return web.json_response(document.model_dump())

    async def _import(self, request: web.Request) -> web.Response:
        try:
            document = KvDocument.model_validate_json(await request.read())
        except ValidationError as error:
            return web.json_response({"error": {"message": str(error)}}, status=400)
        self.put(document)
        return web.json_response({})
