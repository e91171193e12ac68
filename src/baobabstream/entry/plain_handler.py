"""Serves calls of plain services."""

import time
import uuid
from collections import Counter

from aiohttp import hdrs, web

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.backends.service_client import ServiceAnswer, ServiceCall
from baobabstream.entry.claims import ClaimKey
from baobabstream.entry.entry_parts import EntryParts
from baobabstream.entry.idempotency import bill_identity, body_digest, read_key
from baobabstream.entry.refusals import Refused
from baobabstream.entry.retry_budget import RetryBudget
from baobabstream.errors.codes import ResultCode, RunState
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.policy.events import FailureKind
from baobabstream.policy.view import ClusterView
from baobabstream.telemetry.timeline import EventKind
from baobabstream.wire.messages import Bill, ClaimAction
from baobabstream.wire.rows import AccountRow, BackendRecord, RouteRow

__all__ = ["PlainHandler", "find_route"]

MAX_ATTEMPTS = 3
RETRY_AFTER_S = 1.0
# Answers that a retry on another server may improve.
RETRIED_STATUSES = frozenset({502, 503, 504})
DOT_SEGMENTS = frozenset({".", ".."})
FORWARDED_HEADERS = (hdrs.CONTENT_TYPE, hdrs.ACCEPT, hdrs.ACCEPT_LANGUAGE)


def find_route(view: ClusterView, method: str, path: str) -> RouteRow | None:
    """Return the route with the longest path prefix that ends at a segment boundary.

    A path with dot segments has no route: the service might resolve them to another route's path.
    """
    if not DOT_SEGMENTS.isdisjoint(path.split("/")):
        return None
    matching = [
        row
        for row in view.routes.values()
        if method in row.methods and _has_prefix(path, row.path_prefix)
    ]
    return max(matching, key=lambda row: len(row.path_prefix), default=None)


class PlainHandler:
    """Handles all paths that are routed to plain services.

    Parameters
    ----------
    parts
        The parts of the entry host.
    """

    def __init__(self, parts: EntryParts) -> None:
        self._parts = parts
        self._budget = RetryBudget()
        self._in_flight: Counter[str] = Counter()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serve one call."""
        parts = self._parts
        parts.access.require_ready()
        account = parts.access.authenticate(request)
        route = find_route(parts.view, request.method, request.path)
        if route is None:
            raise RequestRefused(ResultCode.UNKNOWN_ROUTE)
        if route.service not in account.services:
            raise RequestRefused(ResultCode.SERVICE_NOT_ALLOWED)
        key = read_key(request)
        if not route.idempotent and not key:
            raise RequestRefused(ResultCode.IDEMPOTENCY_KEY_MISSING)
        body = await parts.access.read_body(request)
        request_id = uuid.uuid4().hex
        detail = f"{account.name} {route.service}"
        parts.timeline.emit(EventKind.REQUEST_RECEIVED, request_id, parts.view.revision, detail)
        digest = body_digest(request.method.encode(), request.path_qs.encode(), body)
        headers: dict[str, str] = {
            name: request.headers[name] for name in FORWARDED_HEADERS if name in request.headers
        }
        headers["X-Request-Id"] = request_id
        if key:
            headers["Idempotency-Key"] = key
        call = ServiceCall(
            request.method, request.rel_url.raw_path_qs, headers, body, route.timeout_s
        )
        bill = self._bill(account, route, bill_identity(key, digest, request_id))
        if route.idempotent:
            answer = await self._retried(route, call, account.name)
            await parts.bills.store(bill, parts.settings.bill_sync_timeout_s)
        else:
            claim = ClaimKey(account.name, key, digest, request_id)
            # A call that may run only once is brought to its end although its caller goes, so
            # that its outcome is known when the caller asks again.
            work = parts.background.start(self._once(route, call, claim, bill))
            answer = await parts.background.wait(work)
        parts.timeline.emit(EventKind.ANSWER_FINISHED, request_id, parts.view.revision)
        return _response(answer, request_id)

    async def _retried(self, route: RouteRow, call: ServiceCall, account: str) -> ServiceAnswer:
        tried: set[str] = set()
        sent = False
        answer: ServiceAnswer | None = None
        failure: AttemptError | None = None
        while len(tried) < MAX_ATTEMPTS:
            server = self._choose(route, tried)
            if server is None or (tried and not self._budget.take()):
                break
            tried.add(server.identity)
            self._check_permission(route, account, sent=sent)
            try:
                answer = await self._send(server, call, once=False)
            except AttemptError as error:
                failure = error
                sent = sent or error.maybe_sent
                continue
            sent = True
            if answer.http_status not in RETRIED_STATUSES:
                self._budget.succeeded()
                return answer
        if answer is not None:
            return answer
        raise _refused(failure, sent)

    async def _once(
        self, route: RouteRow, call: ServiceCall, claim: ClaimKey, bill: Bill
    ) -> ServiceAnswer:
        claims = self._parts.claims
        stored = await claims.take(claim)
        if stored is not None:
            return stored
        try:
            answer = await self._first_reached(route, call, claim.client_account)
        except Refused as refused:
            unsent = refused.run_state is RunState.NO
            await claims.settle(ClaimAction.NOT_RUN if unsent else ClaimAction.UNKNOWN, claim)
            raise
        settled = self._parts.background.start(claims.settle(ClaimAction.FINISH, claim, answer))
        await self._parts.bills.store(bill, self._parts.settings.bill_sync_timeout_s)
        await self._parts.background.wait(settled, self._parts.settings.bill_sync_timeout_s)
        return answer

    async def _first_reached(
        self, route: RouteRow, call: ServiceCall, account: str
    ) -> ServiceAnswer:
        """Send a call to the first server to which a connection can be made."""
        tried: set[str] = set()
        while (server := self._choose(route, tried)) is not None:
            tried.add(server.identity)
            self._check_permission(route, account, sent=False)
            try:
                return await self._send(server, call, once=True)
            except AttemptError as error:
                if error.maybe_sent:
                    raise Refused(ResultCode.OUTCOME_UNKNOWN, sent=True) from error
        raise Refused(ResultCode.NO_BACKEND_SERVER, "", RETRY_AFTER_S, sent=False)

    def _check_permission(self, route: RouteRow, account: str, *, sent: bool) -> None:
        """Check lease and allowance again: both may have changed while the call waited."""
        if not self._parts.access.holds_lease():
            raise Refused(ResultCode.LEASE_EXPIRED, "", RETRY_AFTER_S, sent=sent)
        row = self._parts.view.accounts.get(account)
        if row is None or route.service not in row.services:
            raise Refused(ResultCode.SERVICE_NOT_ALLOWED, sent=sent)

    def _choose(self, route: RouteRow, tried: set[str]) -> BackendRecord | None:
        servers = [
            server
            for server in self._parts.view.servers_for(route.service)
            if server.identity not in tried
        ]
        zone = self._parts.settings.availability_zone
        return min(
            servers,
            key=lambda server: (
                self._in_flight[server.identity],
                server.availability_zone != zone,
                self._parts.random.random(),
            ),
            default=None,
        )

    async def _send(self, server: BackendRecord, call: ServiceCall, *, once: bool) -> ServiceAnswer:
        self._in_flight[server.identity] += 1
        try:
            return await self._parts.services.call(server.url, call, at_most_once=once)
        finally:
            self._in_flight[server.identity] -= 1

    def _bill(self, account: AccountRow, route: RouteRow, identity: str) -> Bill:
        return Bill(
            client_account=account.name,
            request_id=identity,
            work_class="",
            model=f"service/{route.service}",
            version=route.name,
            prompt_tokens=0,
            output_tokens=0,
            cost=0.0,
            host=self._parts.settings.host,
            wall_time_ms=time.time_ns() // 1_000_000,
        )


def _has_prefix(path: str, prefix: str) -> bool:
    bare = prefix.rstrip("/")
    return path == bare or path.startswith(f"{bare}/")


def _refused(failure: AttemptError | None, sent: bool) -> Refused:
    if not sent:
        return Refused(ResultCode.NO_BACKEND_SERVER, "", RETRY_AFTER_S, sent=False)
    stalled = failure is not None and failure.kind is FailureKind.STALLED
    code = ResultCode.TIMED_OUT if stalled else ResultCode.BACKEND_FAILED
    return Refused(code, "", RETRY_AFTER_S, sent=True)


def _response(answer: ServiceAnswer, request_id: str) -> web.Response:
    headers = {hdrs.CONTENT_TYPE: answer.content_type, "X-Request-Id": request_id}
    return web.Response(body=answer.body, status=answer.http_status, headers=headers)
