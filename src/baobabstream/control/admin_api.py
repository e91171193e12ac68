"""HTTP interface of a control host for operators and backend servers.

Operators call paths below ``/admin/v1`` with an operator key, backend servers call paths below
``/backend/v1`` with the backend key. Only the leader of the control hosts answers; the others
forward the call to it. Each host answers ``/admin/v1/local`` and ``/healthz`` itself.

A follower is a control host that does not lead. A backend server is a model engine or a plain
service; it announces itself at regular intervals. An engine's prefix cache holds its results for
the beginnings of earlier prompts.
A revision of the configuration is in force once every entry process (a process that receives the
callers' requests) that holds a lease has applied it.
"""

import hmac

from aiohttp import web

from baobabstream.control.admin_errors import error_response
from baobabstream.control.admin_local import local_health
from baobabstream.control.admin_models import MAX_IN_FORCE_WAIT_S
from baobabstream.control.admin_operations import AdminOperations
from baobabstream.control.group_member import GroupMember
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, PeerError, RequestRefused
from baobabstream.ingress.request_body import CONTROL_BODY_TIMEOUT_S, read_body
from baobabstream.wire.messages import ForwardReply, ForwardRequest

__all__ = ["AdminApi"]

MAX_ADMIN_BODY_BYTES = 1024 * 1024
# Limit for announcements of backend servers, which list at most 256 loaded model versions, 256
# adapters (additional weights for a model) and 1,024 events of the prefix cache.
MAX_BACKEND_BODY_BYTES = 256 * 1024
# Memory of a part of a decoded body, or of the error about it; see `count_json_parts`.
ADMIN_PART_BYTES = 600
# Time limit for the leader's answer to a forwarded call.
FORWARD_TIMEOUT_S = 3.0
# Errors of a connection that may have failed after the call was sent, so that it is not known
# whether the leader carried it out.
_UNKNOWN_OUTCOME_CODES = (ResultCode.PEER_TIMEOUT, ResultCode.PEER_UNREACHABLE)


class AdminApi:
    """Routes of ``/admin/v1`` and ``/backend/v1``.

    A host that does not lead forwards calls to the leader, except those of its own health.

    Parameters
    ----------
    member
        The member of the control group that the routes act on.
    """

    def __init__(self, member: GroupMember) -> None:
        self._member = member
        self._operations = AdminOperations(member)

    def application(self) -> web.Application:
        """Return the aiohttp application with the routes of this interface."""
        app = web.Application()
        app.router.add_get("/admin/v1/local", self._handle_local)
        app.router.add_route("*", "/admin/v1/{tail:.*}", self._handle_admin_call)
        app.router.add_route("*", "/backend/v1/{tail:.*}", self._handle_backend_call)
        app.router.add_get("/healthz", self._handle_health)
        return app

    async def answer_forwarded(self, request: ForwardRequest) -> ForwardReply:
        """Answer a call that another control host has authenticated and forwarded."""
        status, body = await self._operations.answer(
            request.method, request.path, request.body, request.operator
        )
        return ForwardReply(status, body)

    async def _handle_health(self, _: web.Request) -> web.Response:
        """Answer that this host runs; needs no key."""
        return web.json_response({"host": self._member.settings.host})

    async def _handle_local(self, request: web.Request) -> web.Response:
        """Answer an operator with the health of this host, also without a leader."""
        if self._authenticated_operator(request) is None:
            return error_response(RequestRefused(ResultCode.OPERATOR_UNAUTHENTICATED))
        return web.json_response(local_health(self._member))

    async def _handle_admin_call(self, request: web.Request) -> web.Response:
        """Answer a call below ``/admin/v1`` if it carries an operator's key."""
        operator = self._authenticated_operator(request)
        if operator is None:
            return error_response(RequestRefused(ResultCode.OPERATOR_UNAUTHENTICATED))
        return await self._read_and_answer(request, operator, MAX_ADMIN_BODY_BYTES)

    async def _handle_backend_call(self, request: web.Request) -> web.Response:
        """Answer a call below ``/backend/v1`` if it carries the key of the backend servers."""
        key = _bearer_key(request)
        expected_key = self._member.settings.backend_key.get_secret_value()
        # The comparison takes the same time for any key, so that its duration reveals nothing.
        if not hmac.compare_digest(key, expected_key.encode()):
            return error_response(RequestRefused(ResultCode.ANNOUNCEMENT_UNAUTHENTICATED))
        # The operator's name is empty, since a backend server makes the call.
        return await self._read_and_answer(request, "", MAX_BACKEND_BODY_BYTES)

    def _authenticated_operator(self, request: web.Request) -> str | None:
        """Return the name of the operator whose key a request carries, or None if there is none."""
        key = _bearer_key(request)
        names_and_keys = self._member.settings.operator_keys.items()
        matching_names = (
            name
            for name, operator_key in names_and_keys
            if hmac.compare_digest(operator_key.get_secret_value().encode(), key)
        )
        return next(matching_names, None)

    async def _read_and_answer(
        self, request: web.Request, operator: str, limit_bytes: int
    ) -> web.Response:
        """Read the body of an authenticated request and answer it.

        Parameters
        ----------
        request
            HTTP request whose key has been checked.
        operator
            Name of the authenticated operator; empty for a backend server.
        limit_bytes
            Size in bytes of the largest body that is accepted.
        """
        try:
            body = await read_body(request, limit_bytes, CONTROL_BODY_TIMEOUT_S, ADMIN_PART_BYTES)
            status, answer = await self._answer_or_forward(request, body, operator)
        except BaobabstreamError as error:
            return error_response(error)
        return web.Response(status=status, body=answer, content_type="application/json")

    async def _answer_or_forward(
        self, request: web.Request, body: bytes, operator: str
    ) -> tuple[int, bytes]:
        """Return status and JSON body of a call, which a follower forwards to the leader.

        Raises
        ------
        RequestRefused
            ``CHANGE_UNKNOWN`` if the leader may have carried out a forwarded POST.
        PeerError
            If a forwarded GET failed, or a forwarded call was not carried out.
        """
        path_and_query = request.path_qs
        if self._member.leads:
            return await self._operations.answer(request.method, path_and_query, body, operator)
        # The leader may delay the answer to this path until a revision is in force, up to
        # ``MAX_IN_FORCE_WAIT_S``.
        may_wait = request.path == "/admin/v1/in-force"
        timeout_s = FORWARD_TIMEOUT_S + (MAX_IN_FORCE_WAIT_S if may_wait else 0.0)
        forward_request = ForwardRequest(request.method, path_and_query, body, operator)
        try:
            reply = await self._member.forward_to_leader(forward_request, timeout_s)
        except PeerError as error:
            if request.method == "GET" or error.code not in _UNKNOWN_OUTCOME_CODES:
                raise
            raise RequestRefused(ResultCode.CHANGE_UNKNOWN, error.detail) from error
        return reply.http_status, reply.body


def _bearer_key(request: web.Request) -> bytes:
    """Return the key of the ``Authorization: Bearer`` header, or empty bytes without a header."""
    key = request.headers.get("Authorization", "").removeprefix("Bearer ")
    # aiohttp decodes bytes that are not UTF-8 to surrogates; this restores the bytes.
    return key.encode("utf-8", "surrogateescape")
