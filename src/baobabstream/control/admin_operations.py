"""Operations of the admin and backend HTTP interfaces, which run on the leader.

Operators' changes are committed as commands to the replicated log. The registry of backend
servers is not replicated; only the departure of a server is committed.

The revision is the number of the last change of the configuration; the operator revision is the
one after the last accepted operator command. A revision is in force once every entry process (a
process that receives the callers' requests) with a lease has applied it. Entry processes learn of
changes by polls, which the leader leaves waiting until something has changed. A fingerprint
identifies requests with equal content: it is suspect if such a request ran on a backend server
when that failed, and quarantined, so that it does not run, after repeated failures. A bill states
the cost of a request; the leader stores bills in its ledger file. An incarnation numbers the
successive processes of a backend server.

An operator's body carries a ``change_id``, which makes a resend recognisable, and the
``base_revision``, the operator revision that the operator has read; only a change of rows must give
it. If it is given and no longer the present one, the command is refused.
"""

import time
from collections.abc import Awaitable, Callable
from functools import partial
from inspect import isawaitable
from typing import Any

from msgspec import ValidationError as RowError
from msgspec import convert, json, to_builtins

from baobabstream.control.admin_errors import encode_error, parse_body, parse_query
from baobabstream.control.admin_models import (
    AnnounceBody,
    BillsQuery,
    ChangeBody,
    InForceQuery,
    LeaveBody,
    ReleaseBody,
    RolloutActionBody,
    VersionActionBody,
)
from baobabstream.control.admin_views import AdminViews
from baobabstream.control.commands import (
    BackendLeft,
    ConfigChange,
    ControlRollout,
    ControlVersion,
    OperatorCommand,
    ReleaseFingerprint,
    RolloutAction,
    VersionAction,
)
from baobabstream.control.group_member import GroupMember
from baobabstream.errors.codes import CODE_TABLE, ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, RequestRefused
from baobabstream.telemetry.timeline import EventKind
from baobabstream.wire.rows import BackendRecord, ConfigRow

__all__ = ["AdminOperations"]

# Takes the body and the operator's name, and returns the JSON document of the answer.
_PostHandler = Callable[[bytes, str], Awaitable[Any]]
# Takes the query string and returns the document of the answer, or an awaitable of it.
_GetHandler = Callable[[str], Any]


class AdminOperations:
    """Answers authenticated calls on the leader.

    Parameters
    ----------
    member
        The member of the control group that the operations act on.
    """

    def __init__(self, member: GroupMember) -> None:
        self._member = member
        self._views = AdminViews(member)
        self._post_handlers: dict[str, _PostHandler] = {
            "/backend/v1/announce": self._announce,
            "/backend/v1/leave": self._leave,
            "/admin/v1/changes": self._change_rows,
            "/admin/v1/quarantine/release": self._release_fingerprint,
        }
        for version_action in VersionAction:
            path = f"/admin/v1/versions/{version_action.value}"
            self._post_handlers[path] = partial(self._apply_version_action, version_action)
        for rollout_action in RolloutAction:
            path = f"/admin/v1/rollouts/{rollout_action.value}"
            self._post_handlers[path] = partial(self._apply_rollout_action, rollout_action)
        self._get_handlers: dict[str, _GetHandler] = {
            "/admin/v1/config": lambda _: self._views.config(),
            "/admin/v1/status": lambda _: self._views.status(),
            "/admin/v1/members": lambda _: self._views.members(),
            "/admin/v1/ready": lambda _: self._views.readiness(),
            "/admin/v1/bills/totals": lambda _: self._views.bill_totals(),
            "/admin/v1/in-force": self._check_in_force,
            "/admin/v1/bills": self._list_bills,
            "/admin/v1/bills/pages": self._read_bill_page,
        } | {
            # The default value gives each function its own kind instead of the last one.
            f"/admin/v1/{path}": lambda _, kind=kind: self._views.rows(kind)
            for path, kind in (
                ("accounts", "account"),
                ("classes", "class"),
                ("versions", "version"),
                ("rollouts", "rollout"),
                ("routes", "route"),
                ("quarantine", "quarantine"),
            )
        }

    async def answer(
        self, method: str, path_and_query: str, body: bytes, operator: str
    ) -> tuple[int, bytes]:
        """Return HTTP status and JSON body of the answer to a call.

        Parameters
        ----------
        method
            HTTP method.
        path_and_query
            Path with the query string, if any.
        body
            Body of the request.
        operator
            Name of the authenticated operator; empty for a backend server.
        """
        path, _, query = path_and_query.partition("?")
        try:
            if method == "POST" and path in self._post_handlers:
                result = await self._post_handlers[path](body, operator)
            elif method == "GET" and path in self._get_handlers:
                result = self._get_handlers[path](query)
                if isawaitable(result):
                    result = await result
            else:
                raise RequestRefused(ResultCode.NOT_FOUND, f"{method} {path}")
        except BaobabstreamError as error:
            return CODE_TABLE[error.code].http_status, encode_error(error)
        # HTTP status 200: OK.
        return 200, json.encode(result)

    async def _announce(self, body: bytes, _: str) -> dict[str, Any]:
        """Register a backend server and return in how many seconds the announcement expires.

        The polls are woken only if the server is new or changed in more than its load, which
        raises ``urgent_version`` of the registry. Such changes are also written to the timeline.
        """
        announcement = parse_body(AnnounceBody, body, ResultCode.ANNOUNCEMENT_INVALID)
        record = convert(announcement.model_dump(), BackendRecord)
        leadership = self._member.require_leadership()
        previous_urgent_version = leadership.registry.urgent_version
        result_code = leadership.registry.announce(record, time.monotonic())
        if result_code is not ResultCode.OK:
            raise RequestRefused(result_code)
        if leadership.registry.urgent_version != previous_urgent_version:
            self._member.timeline.emit(EventKind.BACKEND_ANNOUNCED, detail=record.identity)
            leadership.poll_service.wake_polls_after_delay()
        return {"expiry_s": self._member.settings.announcement_expiry_s}

    async def _leave(self, body: bytes, _: str) -> dict[str, Any]:
        """Remove a backend server and commit its departure; return an empty document.

        Later announcements of the same incarnation are refused. The registry is changed before the
        commit, so that entry processes stop using the server as soon as possible.
        """
        departure = parse_body(LeaveBody, body, ResultCode.ANNOUNCEMENT_INVALID)
        leadership = self._member.require_leadership()
        result_code = leadership.registry.leave(departure.identity, departure.incarnation)
        if result_code is not ResultCode.OK:
            raise RequestRefused(result_code)
        self._member.timeline.emit(EventKind.BACKEND_GONE, detail=departure.identity)
        leadership.poll_service.wake_polls_after_delay()
        # Committed, so that the next leader and the entry hosts that poll it know the departure.
        await self._member.propose(BackendLeft(departure.identity, departure.incarnation))
        return {}

    async def _change_rows(self, body: bytes, operator: str) -> dict[str, Any]:
        """Commit an operator's change of configuration rows and return the resulting revisions.

        ``put`` of the body holds whole rows, ``delete`` row keys such as ``class/batch``.
        """
        change_body = parse_body(ChangeBody, body, ResultCode.CHANGE_INVALID)
        try:
            rows = convert(change_body.put, tuple[ConfigRow, ...])
        except RowError as error:
            raise RequestRefused(ResultCode.CHANGE_INVALID, str(error)) from error
        deleted_keys = tuple(change_body.delete)
        return await self._propose(
            ConfigChange(
                change_body.change_id, operator, change_body.base_revision, rows, deleted_keys
            )
        )

    async def _apply_version_action(
        self, action: VersionAction, body: bytes, operator: str
    ) -> dict[str, Any]:
        """Commit an operator's action on a model version and return the resulting revisions.

        A stopped version gets no requests until it is activated again; a withdrawal is final.
        """
        action_body = parse_body(VersionActionBody, body, ResultCode.CHANGE_INVALID)
        return await self._propose(
            ControlVersion(
                action_body.change_id,
                operator,
                action_body.model,
                action_body.version,
                action,
                action_body.reason,
                action_body.base_revision,
            )
        )

    async def _apply_rollout_action(
        self, action: RolloutAction, body: bytes, operator: str
    ) -> dict[str, Any]:
        """Commit an operator's action on a rollout and return the resulting revisions.

        A rollout replaces one model version by another. It is paused, resumed or withdrawn; a
        withdrawal returns all traffic to the old version.
        """
        action_body = parse_body(RolloutActionBody, body, ResultCode.CHANGE_INVALID)
        return await self._propose(
            ControlRollout(
                action_body.change_id,
                operator,
                action_body.name,
                action,
                action_body.reason,
                action_body.base_revision,
            )
        )

    async def _release_fingerprint(self, body: bytes, operator: str) -> dict[str, Any]:
        """Commit the release of a suspect or quarantined fingerprint; return the revisions.

        Requests with a released fingerprint run normally again.
        """
        release_body = parse_body(ReleaseBody, body, ResultCode.CHANGE_INVALID)
        return await self._propose(
            ReleaseFingerprint(
                release_body.change_id,
                operator,
                release_body.fingerprint,
                release_body.base_revision,
            )
        )

    async def _propose(self, command: OperatorCommand) -> dict[str, Any]:
        """Commit an operator's command and return the resulting revisions.

        Raises
        ------
        RequestRefused
            If the command was not accepted.
        """
        outcome = await self._member.propose(command)
        if outcome.code is not ResultCode.OK:
            self._member.timeline.emit(EventKind.CHANGE_REFUSED, detail=outcome.detail)
            raise RequestRefused(outcome.code, outcome.detail)
        self._member.timeline.emit(EventKind.CHANGE_ACCEPTED, revision=outcome.revision)
        return {"revision": outcome.revision, "operator_revision": outcome.operator_revision}

    async def _check_in_force(self, query: str) -> dict[str, Any]:
        """Return whether a revision is in force, after waiting for it as long as the query asks.

        ``wait_s`` of the query is that time in seconds. A query without a revision asks for the
        present one. ``lagging`` names the hosts of the entry processes with a lease that have not
        applied it. A revision that does not exist yet is not in force.
        """
        in_force_query = parse_query(InForceQuery, query)
        leadership = self._member.require_leadership()
        revision = (
            self._member.state.revision
            if in_force_query.revision is None
            else in_force_query.revision
        )
        in_force = revision <= self._member.state.revision
        if in_force:
            in_force = await leadership.poll_service.wait_in_force(revision, in_force_query.wait_s)
        # The answer is valid only if this host has led without interruption.
        if self._member.require_leadership() is not leadership:
            raise RequestRefused(ResultCode.NO_LEADER)
        lagging = leadership.leases.lagging(revision, time.monotonic())
        return {"revision": revision, "in_force": in_force, "lagging": lagging}

    async def _list_bills(self, query: str) -> list[Any]:
        """Return a page of bills without the offset of the next page."""
        return (await self._read_bill_page(query))["bills"]

    async def _read_bill_page(self, query: str) -> dict[str, Any]:
        """Return a page of bills, the offset of the next page and whether no more bills follow.

        An offset is a position in bytes in the leader's ledger file. The answer gives that of the
        next page as ``next_after``, which the next query passes as ``after``; 0 means the first
        page. The query also gives the client account (empty for all), the earliest wall time of a
        bill in milliseconds since 1970 (``since_ms``) and the largest number of bills (``limit``).
        """
        bills_query = parse_query(BillsQuery, query)
        page = await self._member.ledger.read_page(
            bills_query.account, bills_query.since_ms, bills_query.after, bills_query.limit
        )
        bills = [to_builtins(bill) for bill in page.bills]
        return {"bills": bills, "next_after": page.next_offset, "complete": page.is_complete}
