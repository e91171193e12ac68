"""HTTP interface of a control host for operators and backend servers."""

import hmac

from aiohttp import web

from baobabstream.control.admin_errors import error_response
from baobabstream.control.admin_local import local_answer
from baobabstream.control.admin_models import MAX_IN_FORCE_WAIT_S
from baobabstream.control.admin_operations import AdminOperations
from baobabstream.control.group_member import GroupMember
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, PeerError, RequestRefused
from baobabstream.wire.messages import ForwardReply, ForwardRequest

__all__ = ["AdminApi"]

MAX_ADMIN_BODY_BYTES = 1024 * 1024
# An announcement names at most 256 loaded versions and 1,024 cache events.
MAX_BACKEND_BODY_BYTES = 256 * 1024
FORWARD_TIMEOUT_S = 3.0
# A connection that fails after the call was sent leaves open whether the leader carried it out.
_MAY_HAVE_RUN = (ResultCode.PEER_TIMEOUT, ResultCode.PEER_UNREACHABLE)


class AdminApi:
    """Routes of ``/admin/v1`` and ``/backend/v1``.

    A host that does not lead forwards calls to the leader, except reads of its own health below
    ``/admin/v1/local``.

    Parameters
    ----------
    member
        The member of the control group that the routes act on.
    """

    def __init__(self, member: GroupMember) -> None:
        self._member = member
        self._operations = AdminOperations(member)

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=MAX_ADMIN_BODY_BYTES)
        app.router.add_get("/admin/v1/local", self._local)
        app.router.add_route("*", "/admin/v1/{tail:.*}", self._admin)
        app.router.add_route("*", "/backend/v1/{tail:.*}", self._backend)
        app.router.add_get("/healthz", self._health)
        return app

    async def answer_forwarded(self, request: ForwardRequest) -> ForwardReply:
        """Answer a call that another control host has authenticated and forwarded."""
        status, body = await self._operations.answer(
            request.method, request.path, request.body, request.operator
        )
        return ForwardReply(status, body)

    async def _health(self, _: web.Request) -> web.Response:
        return web.json_response({"host": self._member.settings.host})

    async def _local(self, request: web.Request) -> web.Response:
        if self._operator(request) is None:
            return error_response(RequestRefused(ResultCode.OPERATOR_UNAUTHENTICATED))
        return web.json_response(local_answer(self._member))

    async def _admin(self, request: web.Request) -> web.Response:
        operator = self._operator(request)
        if operator is None:
            return error_response(RequestRefused(ResultCode.OPERATOR_UNAUTHENTICATED))
        return await self._serve(request, operator, MAX_ADMIN_BODY_BYTES)

    async def _backend(self, request: web.Request) -> web.Response:
        key = _bearer(request)
        expected = self._member.settings.backend_key.get_secret_value()
        if not hmac.compare_digest(key, expected.encode()):
            return error_response(RequestRefused(ResultCode.ANNOUNCEMENT_UNAUTHENTICATED))
        return await self._serve(request, "", MAX_BACKEND_BODY_BYTES)

    def _operator(self, request: web.Request) -> str | None:
        key = _bearer(request)
        keys = self._member.settings.operator_keys.items()
        matches = (
            name
            for name, value in keys
            if hmac.compare_digest(value.get_secret_value().encode(), key)
        )
        return next(matches, None)

    async def _serve(self, request: web.Request, operator: str, limit_bytes: int) -> web.Response:
        try:
            body = await _read(request, limit_bytes)
            status, answer = await self._answer(request, body, operator)
        except BaobabstreamError as error:
            return error_response(error)
        return web.Response(status=status, body=answer, content_type="application/json")

    async def _answer(self, request: web.Request, body: bytes, operator: str) -> tuple[int, bytes]:
        path = request.path_qs
        if self._member.leads:
            return await self._operations.answer(request.method, path, body, operator)
        # The leader may hold a wait for a change to come in force.
        waits = request.path == "/admin/v1/in-force"
        timeout_s = FORWARD_TIMEOUT_S + (MAX_IN_FORCE_WAIT_S if waits else 0.0)
        forwarded = ForwardRequest(request.method, path, body, operator)
        try:
            reply = await self._member.forward(forwarded, timeout_s)
        except PeerError as error:
            if request.method == "GET" or error.code not in _MAY_HAVE_RUN:
                raise
            raise RequestRefused(ResultCode.CHANGE_UNKNOWN, error.detail) from error
        return reply.http_status, reply.body


async def _read(request: web.Request, limit_bytes: int) -> bytes:
    length = request.content_length
    if length is not None and length > limit_bytes:
        raise RequestRefused(ResultCode.BODY_TOO_LARGE)
    try:
        body = await request.read()
    except web.HTTPRequestEntityTooLarge as error:
        raise RequestRefused(ResultCode.BODY_TOO_LARGE) from error
    if len(body) > limit_bytes:
        raise RequestRefused(ResultCode.BODY_TOO_LARGE)
    return body


def _bearer(request: web.Request) -> bytes:
    value = request.headers.get("Authorization", "").removeprefix("Bearer ")
    # aiohttp keeps bytes that are not UTF-8 as surrogates.
    return value.encode("utf-8", "surrogateescape")
