"""HTTP interface of coordination hosts for the platform's operators and backend servers.

Operators store and read the routing configuration, and start and read rollouts. Backend servers
announce themselves by heartbeats and tell when they leave. A rollout moves a service, which is a
group of equivalent backend servers, to another version of their software. aiohttp is the HTTP
library. A result code that a handler's docstring names is raised as an exception, which
``_respond_to_errors`` turns into the response.
"""

from collections.abc import Awaitable, Callable
from typing import Annotated, Any

from aiohttp import web
from msgspec import Meta, Struct
from msgspec.json import Decoder, encode

from baobabstream.coordination.service import CoordinationService
from baobabstream.errors.codes import CODE_TABLE, ResultCode
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.ingress.request_body import CONTROL_BODY_TIMEOUT_S, read_body
from baobabstream.platform.announcement_format import read_announcement, read_departure
from baobabstream.platform.config_format import read_document
from baobabstream.platform.decoding import Identifier, decode
from baobabstream.platform.names import (
    CONFIG_GET_PATH,
    CONFIG_PUT_PATH,
    DEREGISTER_PATH,
    HEARTBEAT_PATH,
    ROLLOUT_GET_PATH,
    ROLLOUT_START_PATH,
)

__all__ = ["operator_application"]

# Limit of configurations, twice what is needed: the platform sends some of up to 4 MiB.
MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
# Memory of a part of a decoded configuration; see `count_json_parts`.
DOCUMENT_PART_BYTES = 60
# Limits of what servers say of themselves, which may list many loaded models, and of other calls.
MAX_ANNOUNCEMENT_BYTES = 256 * 1024
MAX_ORDER_BYTES = 64 * 1024

# Longest rollout, a week in seconds.
MAX_ROLLOUT_S = 7 * 24 * 3600.0

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class _RolloutStart(Struct):
    """JSON body of the call that starts a rollout."""

    service: Identifier
    # Version that the service moves to.
    target: Identifier
    # Planned length of the rollout in seconds.
    duration_s: Annotated[float, Meta(ge=0, le=MAX_ROLLOUT_S)]


_rollout_start_decoder = Decoder(_RolloutStart)


def operator_application(service: CoordinationService) -> web.Application:
    """Return the web application that passes calls to a coordination service."""
    handlers = _OperatorApi(service)
    application = web.Application(middlewares=[_respond_to_errors])
    application.add_routes(
        [
            web.post(CONFIG_PUT_PATH, handlers.put_config),
            web.get(CONFIG_GET_PATH, handlers.get_config),
            web.post(ROLLOUT_START_PATH, handlers.start_rollout),
            web.get(ROLLOUT_GET_PATH, handlers.get_rollout),
            web.post(HEARTBEAT_PATH, handlers.heartbeat),
            web.post(DEREGISTER_PATH, handlers.deregister),
        ]
    )
    return application


@web.middleware
async def _respond_to_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn an exception of this package into an HTTP response with its status and code.

    ``handler`` is the handler of the call. The code is the number of a ``ResultCode``, to which
    ``CODE_TABLE`` assigns the HTTP status. Other exceptions are left to aiohttp.
    """
    try:
        return await handler(request)
    except BaobabstreamError as error:
        status = CODE_TABLE[error.code].http_status
        return _json_response({"error": error.detail, "code": int(error.code)}, status)


class _OperatorApi:
    """Handlers of the HTTP calls.

    Parameters
    ----------
    service
        Coordination service of this host, which carries out the calls.
    """

    def __init__(self, service: CoordinationService) -> None:
        self._service = service

    async def put_config(self, request: web.Request) -> web.Response:
        """Validate and store a configuration; respond with the version that is stored then.

        ``config_text`` is stored unchanged. It is decoded to ``document`` to validate it and to get
        its version, a number that rises with each change. If it is invalid, the result is
        ``CHANGE_INVALID``.
        """
        config_text = await read_body(
            request, MAX_DOCUMENT_BYTES, CONTROL_BODY_TIMEOUT_S, DOCUMENT_PART_BYTES
        )
        document = read_document(config_text)
        stored_version = await self._service.store_document(document.version, config_text)
        return _json_response({"version": stored_version})

    async def get_config(self, _: web.Request) -> web.Response:
        """Respond with the stored configuration text, or with ``NO_LEADER`` if none is stored."""
        config_text = await self._service.read_document()
        if config_text is None:
            # The HTTP status of NO_LEADER is 503, which allows a retry.
            raise BaobabstreamError(ResultCode.NO_LEADER, "no configuration is stored yet")
        return web.Response(body=config_text, content_type="application/json")

    async def start_rollout(self, request: web.Request) -> web.Response:
        """Start a rollout of a service to a target version; respond with an empty object.

        The result is ``CHANGE_INVALID`` if the body cannot be decoded.
        """
        body = await read_body(request, MAX_ORDER_BYTES, CONTROL_BODY_TIMEOUT_S)
        rollout_start = decode(_rollout_start_decoder, body, ResultCode.CHANGE_INVALID)
        await self._service.start_rollout(
            rollout_start.service, rollout_start.target, rollout_start.duration_s
        )
        return _json_response({})

    async def get_rollout(self, request: web.Request) -> web.Response:
        """Respond with state and target version of the last rollout of a service.

        The result is ``NOT_FOUND`` if the service has had no rollout.
        """
        rollout = await self._service.rollout(request.match_info["service"])
        if rollout is None:
            raise BaobabstreamError(ResultCode.NOT_FOUND, "the service has no rollout")
        return _json_response({"state": rollout.state, "target": rollout.target})

    async def heartbeat(self, request: web.Request) -> web.Response:
        """Record the announcement of a backend server; respond with an empty object.

        The result is ``ANNOUNCEMENT_INVALID`` if the body is not a valid announcement.
        """
        body = await read_body(request, MAX_ANNOUNCEMENT_BYTES, CONTROL_BODY_TIMEOUT_S)
        announcement = read_announcement(request.match_info["server_id"], body)
        await self._service.announce(announcement)
        return _json_response({})

    async def deregister(self, request: web.Request) -> web.Response:
        """Record that a backend server has left; respond with an empty object.

        ``born_ms`` is the start time in Unix milliseconds of the process that has left, which
        distinguishes it from a later process of the same server. It is None if the body does not
        tell it or cannot be decoded.
        """
        body = await read_body(request, MAX_ANNOUNCEMENT_BYTES, CONTROL_BODY_TIMEOUT_S)
        born_ms = read_departure(body)
        await self._service.withdraw(request.match_info["server_id"], born_ms)
        return _json_response({})


def _json_response(value: Any, status: int = 200) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(body=encode(value), status=status, content_type="application/json")
