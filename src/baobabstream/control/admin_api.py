"""HTTP interface of a control host for operators and backend servers."""

import asyncio
import hmac
from typing import TYPE_CHECKING, Any

from aiohttp import web
from msgspec import ValidationError as RowError
from msgspec import convert, json, to_builtins
from pydantic import ValidationError

from baobabstream.control.admin_models import AnnounceBody, ChangeBody, LeaveBody
from baobabstream.control.commands import ConfigChange
from baobabstream.errors.codes import CODE_TABLE, ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, RequestRefused
from baobabstream.telemetry.timeline import EventKind
from baobabstream.wire.messages import ForwardReply, ForwardRequest
from baobabstream.wire.rows import BackendRecord, ConfigRow

if TYPE_CHECKING:
    from baobabstream.control.daemon import ControlDaemon

__all__ = ["AdminApi"]

MAX_ADMIN_BODY_BYTES = 1024 * 1024
PROPOSE_TIMEOUT_S = 2.0


class AdminApi:
    """Routes of ``/admin/v1`` and ``/backend/v1``.

    A host that does not lead forwards calls to the leader.

    Parameters
    ----------
    daemon
        The control daemon that the routes act on.
    """

    def __init__(self, daemon: "ControlDaemon") -> None:
        self._daemon = daemon

    def application(self) -> web.Application:
        """Return the aiohttp application."""
        app = web.Application(client_max_size=MAX_ADMIN_BODY_BYTES)
        app.router.add_route("*", "/admin/v1/{tail:.*}", self._admin)
        app.router.add_route("*", "/backend/v1/{tail:.*}", self._backend)
        app.router.add_get("/healthz", self._health)
        return app

    async def answer_forwarded(self, request: ForwardRequest) -> ForwardReply:
        """Answer a call that another control host has authenticated and forwarded."""
        status, body = await self._answer(
            request.method, request.path, request.body, request.operator
        )
        return ForwardReply(status, body)

    async def _health(self, _: web.Request) -> web.Response:
        return web.json_response({"host": self._daemon.settings.host})

    async def _admin(self, request: web.Request) -> web.Response:
        operator = self._operator(request)
        if operator is None:
            return _error_response(RequestRefused(ResultCode.OPERATOR_UNAUTHENTICATED))
        return await self._serve(request, operator)

    async def _backend(self, request: web.Request) -> web.Response:
        expected = self._daemon.settings.backend_key.get_secret_value()
        if not hmac.compare_digest(_bearer(request).encode(), expected.encode()):
            return _error_response(RequestRefused(ResultCode.ANNOUNCEMENT_UNAUTHENTICATED))
        return await self._serve(request, "")

    def _operator(self, request: web.Request) -> str | None:
        key = _bearer(request).encode()
        keys = self._daemon.settings.operator_keys.items()
        matches = (
            name
            for name, value in keys
            if hmac.compare_digest(value.get_secret_value().encode(), key)
        )
        return next(matches, None)

    async def _serve(self, request: web.Request, operator: str) -> web.Response:
        body = await request.read()
        path = request.path_qs
        try:
            if self._daemon.leads:
                status, answer = await self._answer(request.method, path, body, operator)
            else:
                forwarded = ForwardRequest(request.method, path, body, operator)
                reply = await self._daemon.forward(forwarded)
                status, answer = reply.http_status, reply.body
        except BaobabstreamError as error:
            return _error_response(error)
        return web.Response(status=status, body=answer, content_type="application/json")

    async def _answer(
        self, method: str, path: str, body: bytes, operator: str
    ) -> tuple[int, bytes]:
        path, _, query = path.partition("?")
        result: Any
        try:
            match method, path:
                case "POST", "/backend/v1/announce":
                    result = self._announce(_parse(AnnounceBody, body))
                case "POST", "/backend/v1/leave":
                    result = self._leave(_parse(LeaveBody, body))
                case "POST", "/admin/v1/changes":
                    result = await self._change(_parse(ChangeBody, body), operator)
                case "GET", "/admin/v1/config":
                    result = self._config()
                case "GET", "/admin/v1/status":
                    result = self._status()
                case "GET", "/admin/v1/in-force":
                    result = await self._in_force(query)
                case "GET", "/admin/v1/bills":
                    result = [to_builtins(bill) for bill in self._daemon.ledger.bills()]
                case _:
                    raise RequestRefused(ResultCode.NOT_FOUND, path)
        except BaobabstreamError as error:
            return CODE_TABLE[error.code].http_status, json.encode(_error_body(error))
        return 200, json.encode(result)

    def _announce(self, body: AnnounceBody) -> dict[str, Any]:
        record = convert(body.model_dump(), BackendRecord)
        version = self._daemon.registry.version
        code = self._daemon.registry.announce(record, asyncio.get_running_loop().time())
        if code is not ResultCode.OK:
            raise RequestRefused(code)
        if self._daemon.registry.version != version:
            self._daemon.timeline.emit(EventKind.BACKEND_ANNOUNCED, detail=record.identity)
            self._daemon.polls.notify()
        return {"expiry_s": self._daemon.settings.announcement_expiry_s}

    def _leave(self, body: LeaveBody) -> dict[str, Any]:
        code = self._daemon.registry.leave(body.identity, body.incarnation)
        if code is not ResultCode.OK:
            raise RequestRefused(code)
        self._daemon.timeline.emit(EventKind.BACKEND_GONE, detail=body.identity)
        self._daemon.polls.notify()
        return {}

    async def _change(self, body: ChangeBody, operator: str) -> dict[str, Any]:
        try:
            rows = convert(body.put, tuple[ConfigRow, ...])
        except RowError as error:
            raise RequestRefused(ResultCode.CHANGE_INVALID, str(error)) from error
        change = ConfigChange(
            body.change_id, operator, body.base_revision, rows, tuple(body.delete)
        )
        outcome = await self._daemon.log.propose(change, PROPOSE_TIMEOUT_S)
        if outcome.code is not ResultCode.OK:
            self._daemon.timeline.emit(EventKind.CHANGE_REFUSED, detail=outcome.detail)
            raise RequestRefused(outcome.code, outcome.detail)
        self._daemon.timeline.emit(EventKind.CHANGE_ACCEPTED, revision=outcome.revision)
        self._daemon.polls.notify()
        return {"revision": outcome.revision, "operator_revision": outcome.operator_revision}

    async def _in_force(self, query: str) -> dict[str, Any]:
        fields = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        revision = int(fields.get("revision", self._daemon.state.revision))
        now_s = asyncio.get_running_loop().time()
        return {
            "revision": revision,
            "in_force": self._daemon.leases.in_force(revision, now_s),
        }

    def _config(self) -> dict[str, Any]:
        state = self._daemon.state
        rows = [to_builtins(entry) for entry in state.rows.values() if entry.row is not None]
        return {
            "revision": state.revision,
            "operator_revision": state.operator_revision,
            "rows": rows,
        }

    def _status(self) -> dict[str, Any]:
        daemon = self._daemon
        now_s = asyncio.get_running_loop().time()
        return {
            "leader": daemon.log.leader,
            "term": daemon.log.term,
            "revision": daemon.state.revision,
            "entries": [to_builtins(lease) for lease in daemon.leases.live(now_s)],
            "backends": [to_builtins(record) for record in daemon.registry.records()],
            "bills": len(daemon.ledger),
        }


def _parse(model, body: bytes):
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        code = ResultCode.CHANGE_INVALID if model is ChangeBody else ResultCode.ANNOUNCEMENT_INVALID
        first = error.errors()[0]
        key = ".".join(str(part) for part in first["loc"])
        raise RequestRefused(code, f"{key}: {first['msg']}") from error


def _bearer(request: web.Request) -> str:
    return request.headers.get("Authorization", "").removeprefix("Bearer ")


def _error_body(error: BaobabstreamError) -> dict[str, Any]:
    row = CODE_TABLE[error.code]
    return {
        "error": {
            "code": int(error.code),
            "name": error.code.name,
            "message": error.detail,
            "ran": row.run_state.value,
            "retry_after_s": error.retry_after_s,
        }
    }


def _error_response(error: BaobabstreamError) -> web.Response:
    return web.json_response(_error_body(error), status=CODE_TABLE[error.code].http_status)
