"""HTTP interface of coordination hosts for the platform's operators and backend servers."""

from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web
from msgspec import Struct
from msgspec.json import Decoder, encode

from baobabstream.coordination.service import CoordinationService
from baobabstream.errors.codes import CODE_TABLE, ResultCode
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.platform.announcement_format import read_announcement, read_departure
from baobabstream.platform.config_format import read_document
from baobabstream.platform.decoding import decode
from baobabstream.platform.names import (
    CONFIG_GET_PATH,
    CONFIG_PUT_PATH,
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    ROLLOUT_GET_PATH,
    ROLLOUT_START_PATH,
)

__all__ = ["operator_application"]

# The platform sends configurations of up to 4 MiB.
MAX_BODY_BYTES = 8 * 1024 * 1024

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class _RolloutStart(Struct):
    service: str
    # Version to move to.
    target: str
    duration_s: float


_rollouts = Decoder(_RolloutStart)


def operator_application(service: CoordinationService) -> web.Application:
    """Return the interface in front of a coordination service."""
    api = _OperatorApi(service)
    application = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[_answer_errors])
    application.add_routes(
        [
            web.post(CONFIG_PUT_PATH, api.put_config),
            web.get(CONFIG_GET_PATH, api.get_config),
            web.post(ROLLOUT_START_PATH, api.start_rollout),
            web.get(ROLLOUT_GET_PATH, api.get_rollout),
            web.post(HEARTBEAT_PATH, api.heartbeat),
            web.post(DEREGISTER_PATH, api.deregister),
        ]
    )
    return application


@web.middleware
async def _answer_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    try:
        return await handler(request)
    except BaobabstreamError as error:
        status = CODE_TABLE[error.code].http_status
        return _json({"error": error.detail, "code": int(error.code)}, status)


class _OperatorApi:
    def __init__(self, service: CoordinationService) -> None:
        self._service = service

    async def put_config(self, request: web.Request) -> web.Response:
        text = await request.read()
        document = read_document(text)
        held = await self._service.store_document(document.version, text)
        return _json({"version": held})

    async def get_config(self, _: web.Request) -> web.Response:
        text = await self._service.read_document()
        if text is None:
            raise BaobabstreamError(ResultCode.NO_LEADER, "no configuration is stored yet")
        return web.Response(body=text, content_type="application/json")

    async def start_rollout(self, request: web.Request) -> web.Response:
        order = decode(_rollouts, await request.read(), ResultCode.CHANGE_INVALID)
        await self._service.start_rollout(order.service, order.target, order.duration_s)
        return _json({})

    async def get_rollout(self, request: web.Request) -> web.Response:
        row = await self._service.rollout(request.match_info["service"])
        if row is None:
            raise BaobabstreamError(ResultCode.NOT_FOUND, "the service has no rollout")
        return _json({"state": row.state, "target": row.target})

    async def heartbeat(self, request: web.Request) -> web.Response:
        row = read_announcement(request.match_info["server_id"], await request.read())
        await self._service.announce(row)
        return _json({})

    async def deregister(self, request: web.Request) -> web.Response:
        born_ms = read_departure(await request.read())
        await self._service.withdraw(request.match_info["server_id"], born_ms)
        return _json({})


def _json(value: Any, status: int = 200) -> web.Response:
    return web.Response(body=encode(value), status=status, content_type="application/json")
