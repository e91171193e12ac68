"""Serves calls of plain services, which are HTTP services other than chat.

Calls of idempotent routes are retried on other backend servers. Calls of other routes run only
once: the entry first acquires a claim for the caller's idempotency key from the control leader, and
a repeat under the same key gets the stored outcome. A claim is the leader's record that a request
is running or has run; an idempotency key is a text that the caller sends again when it repeats a
request.

A route assigns the requests with a path prefix and certain methods to a service. The lease from the
control leader allows this entry to act on its configuration. The run state in an error response
states whether the call has run; ``RefusedWithRunState`` is the error that carries it. An error with
an empty detail gets the general text of its code.

An attempt is the sending of a call to one backend server. A bill records for its client account
that a call was answered. An idempotent call may run several times with the same effect as once.
The timeline is the event log of this host, and the revision of the configuration a number that
grows with each change.
"""

import time
import uuid
from collections import Counter

from aiohttp import hdrs, web

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.backends.service_client import ServiceAnswer, ServiceCall
from baobabstream.entry.claims import ClaimKey
from baobabstream.entry.entry_context import EntryContext
from baobabstream.entry.idempotency import bill_identity, body_digest, read_idempotency_key
from baobabstream.entry.refusals import RefusedWithRunState
from baobabstream.entry.retry_budget import RetryBudget
from baobabstream.errors.codes import ResultCode, RunState
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.policy.events import FailureKind
from baobabstream.policy.view import ClusterView
from baobabstream.telemetry.timeline import EventKind
from baobabstream.wire.messages import Bill, ClaimAction
from baobabstream.wire.rows import AccountRow, BackendRecord, RouteRow

__all__ = ["PlainHandler", "find_route"]

# Backend servers to which an idempotent call is sent at most.
MAX_ATTEMPTS = 3
# Retry delay in the error response to a call that no server answered.
RETRY_AFTER_S = 1.0
# HTTP statuses after which a retry on another server may succeed.
RETRIED_HTTP_STATUSES = frozenset({502, 503, 504})
# Path segments that a server may resolve to the same or the parent folder.
DOT_SEGMENTS = frozenset({".", ".."})
# Headers of the caller that are sent to the service.
FORWARDED_HEADERS = (hdrs.CONTENT_TYPE, hdrs.ACCEPT, hdrs.ACCEPT_LANGUAGE)


def find_route(view: ClusterView, method: str, path: str) -> RouteRow | None:
    """Return the route of a request, or None if no route has its method and path.

    Of several, it is the one with the longest path prefix; a prefix matches whole segments only. A
    path with dot segments has no route, since the service might resolve them to another route's
    path.
    """
    if not DOT_SEGMENTS.isdisjoint(path.split("/")):
        return None
    matching_routes = [
        row
        for row in view.routes.values()
        if method in row.methods and _has_prefix(path, row.path_prefix)
    ]
    return max(matching_routes, key=lambda row: len(row.path_prefix), default=None)


class PlainHandler:
    """Handles all requests to plain services, which are those on paths without another handler.

    Parameters
    ----------
    context
        The objects that the request handlers of this entry host share.
    """

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._retry_budget = RetryBudget()
        # Calls in flight by identity of the backend server.
        self._calls_in_flight: Counter[str] = Counter()

    async def handle(self, request: web.Request) -> web.StreamResponse:
        """Serve one call and return the service's answer to the caller.

        The call is billed once it has been answered. The answer is returned when enough control
        hosts have stored the bill, or after ``bill_sync_timeout_s`` seconds; the delivery of the
        bill then continues in the background. ``body_digest`` distinguishes calls by method, path
        with query, and body.

        Raises
        ------
        RequestRefused
            With the code of the reason why the call is refused or failed.
        """
        context = self._context
        context.caller_access.require_ready()
        account = context.caller_access.authenticate(request)
        route = find_route(context.view, request.method, request.path)
        if route is None:
            raise RequestRefused(ResultCode.UNKNOWN_ROUTE)
        if route.service not in account.services:
            raise RequestRefused(ResultCode.SERVICE_NOT_ALLOWED)
        idempotency_key = read_idempotency_key(request)
        if not route.idempotent and not idempotency_key:
            raise RequestRefused(ResultCode.IDEMPOTENCY_KEY_MISSING)
        body = await context.caller_access.read_body(request)
        request_id = uuid.uuid4().hex
        detail = f"{account.name} {route.service}"
        context.timeline.emit(EventKind.REQUEST_RECEIVED, request_id, context.view.revision, detail)
        request_digest = body_digest(request.method.encode(), request.path_qs.encode(), body)
        headers: dict[str, str] = {
            name: request.headers[name] for name in FORWARDED_HEADERS if name in request.headers
        }
        headers["X-Request-Id"] = request_id
        if idempotency_key:
            headers["Idempotency-Key"] = idempotency_key
        call = ServiceCall(
            request.method, request.rel_url.raw_path_qs, headers, body, route.timeout_s
        )
        bill = self._make_bill(
            account, route, bill_identity(idempotency_key, request_digest, request_id)
        )
        if route.idempotent:
            answer = await self._call_with_retries(route, call, account.name)
            await context.bill_sender.store(bill, context.settings.bill_sync_timeout_s)
        else:
            claim_key = ClaimKey(account.name, idempotency_key, request_digest, request_id)
            # A call that may run only once continues after its caller disconnects, so that its
            # outcome is known when the caller repeats the request.
            call_task = context.background_tasks.start(
                self._call_once(route, call, claim_key, bill)
            )
            answer = await context.background_tasks.wait(call_task)
        context.timeline.emit(EventKind.ANSWER_FINISHED, request_id, context.view.revision)
        return _caller_response(answer, request_id)

    async def _call_with_retries(
        self, route: RouteRow, call: ServiceCall, account_name: str
    ) -> ServiceAnswer:
        """Send an idempotent call to one server after another until an answer needs no retry.

        At most ``MAX_ATTEMPTS`` servers are tried, and each retry is spent from the retry budget,
        which limits retries to a fraction of the successful calls. If the servers, the attempts or
        the budget are used up, the last HTTP answer is returned. ``error.maybe_sent`` is whether
        some bytes of a failed attempt may have reached its server.

        Raises
        ------
        RefusedWithRunState
            If no server answered, or the call may not be sent any more.
        """
        tried_servers: set[str] = set()
        was_sent = False
        answer: ServiceAnswer | None = None
        failure: AttemptError | None = None
        while len(tried_servers) < MAX_ATTEMPTS:
            server = self._choose_server(route, tried_servers)
            if server is None or (tried_servers and not self._retry_budget.try_acquire()):
                break
            tried_servers.add(server.identity)
            self._check_permission(route, account_name, was_sent=was_sent)
            try:
                answer = await self._send(server, call, once=False)
            except AttemptError as error:
                failure = error
                was_sent = was_sent or error.maybe_sent
                continue
            was_sent = True
            if answer.http_status not in RETRIED_HTTP_STATUSES:
                self._retry_budget.record_success()
                return answer
        if answer is not None:
            return answer
        raise _failure_error(failure, was_sent)

    async def _call_once(
        self, route: RouteRow, call: ServiceCall, claim_key: ClaimKey, bill: Bill
    ) -> ServiceAnswer:
        """Send a call that may run only once, under its claim, and record the outcome.

        If the claim's request has already finished, its stored answer is returned. After a failure,
        ``NOT_RUN`` releases the claim for a repeat, and ``UNKNOWN`` records that the call may have
        run. After an answer, the bill and the outcome ``FINISH`` are each waited for up to
        ``bill_sync_timeout_s`` seconds; after that the answer is returned nevertheless, and storing
        and recording continue in the background.

        Raises
        ------
        RequestRefused
            If the claim was not granted, or the call failed.
        """
        claim_client = self._context.claim_client
        stored_answer = await claim_client.acquire(claim_key)
        if stored_answer is not None:
            return stored_answer
        try:
            answer = await self._send_to_first_reachable(route, call, claim_key.client_account)
        except RefusedWithRunState as refusal:
            is_unsent = refusal.run_state is RunState.NO
            await claim_client.record_outcome(
                ClaimAction.NOT_RUN if is_unsent else ClaimAction.UNKNOWN, claim_key
            )
            raise
        outcome_task = self._context.background_tasks.start(
            claim_client.record_outcome(ClaimAction.FINISH, claim_key, answer)
        )
        await self._context.bill_sender.store(bill, self._context.settings.bill_sync_timeout_s)
        await self._context.background_tasks.wait(
            outcome_task, self._context.settings.bill_sync_timeout_s
        )
        return answer

    async def _send_to_first_reachable(
        self, route: RouteRow, call: ServiceCall, account_name: str
    ) -> ServiceAnswer:
        """Send a call to the first server to which a connection can be made.

        ``error.maybe_sent`` is False only if no connection was made, so that the call has certainly
        not run and another server may be tried.

        Raises
        ------
        RefusedWithRunState
            If no server could be reached, or the call failed after it was sent.
        """
        tried_servers: set[str] = set()
        while (server := self._choose_server(route, tried_servers)) is not None:
            tried_servers.add(server.identity)
            self._check_permission(route, account_name, was_sent=False)
            try:
                return await self._send(server, call, once=True)
            except AttemptError as error:
                if error.maybe_sent:
                    raise RefusedWithRunState(ResultCode.OUTCOME_UNKNOWN, was_sent=True) from error
        raise RefusedWithRunState(
            ResultCode.NO_BACKEND_SERVER,
            detail="",
            retry_after_s=RETRY_AFTER_S,
            was_sent=False,
        )

    def _check_permission(self, route: RouteRow, account_name: str, *, was_sent: bool) -> None:
        """Check lease and permission of the account again before a call is sent.

        Both may have changed while the call waited. ``was_sent`` states whether an earlier attempt
        of the call may have reached a server; it determines the run state of the error.

        Raises
        ------
        RefusedWithRunState
            If the lease has expired or the account may no longer use the service.
        """
        if not self._context.caller_access.holds_lease():
            raise RefusedWithRunState(
                ResultCode.LEASE_EXPIRED, detail="", retry_after_s=RETRY_AFTER_S, was_sent=was_sent
            )
        account = self._context.view.accounts.get(account_name)
        if account is None or route.service not in account.services:
            raise RefusedWithRunState(ResultCode.SERVICE_NOT_ALLOWED, was_sent=was_sent)

    def _choose_server(self, route: RouteRow, tried_servers: set[str]) -> BackendRecord | None:
        """Return the untried server of the route with the fewest calls in flight, or None.

        ``servers_for`` gives the announced backend servers of the service. Among equal servers,
        those in the entry's own availability zone come first; a random number decides among the
        rest.
        """
        servers = [
            server
            for server in self._context.view.servers_for(route.service)
            if server.identity not in tried_servers
        ]
        own_zone = self._context.settings.availability_zone
        return min(
            servers,
            key=lambda server: (
                self._calls_in_flight[server.identity],
                server.availability_zone != own_zone,
                self._context.random.random(),
            ),
            default=None,
        )

    async def _send(self, server: BackendRecord, call: ServiceCall, *, once: bool) -> ServiceAnswer:
        """Send a call to a server and return its answer.

        ``once`` is True for a call that may run only once.
        """
        self._calls_in_flight[server.identity] += 1
        try:
            return await self._context.service_client.call(server.url, call, at_most_once=once)
        finally:
            self._calls_in_flight[server.identity] -= 1

    def _make_bill(self, account: AccountRow, route: RouteRow, bill_id: str) -> Bill:
        """Return the bill of a call; ``bill_id`` is the identity that it is billed under.

        The format of bills is that of chat requests. For a call, ``model`` holds the service and
        ``version`` the name of the route; it has no work class, no tokens and no cost. The wall
        time is Unix time in milliseconds.
        """
        return Bill(
            client_account=account.name,
            request_id=bill_id,
            work_class="",
            model=f"service/{route.service}",
            version=route.name,
            prompt_tokens=0,
            output_tokens=0,
            cost=0.0,
            host=self._context.settings.host,
            wall_time_ms=time.time_ns() // 1_000_000,  # nanoseconds to milliseconds
        )


def _has_prefix(path: str, prefix: str) -> bool:
    """Return whether a path equals a prefix or continues it after a slash."""
    prefix_without_slash = prefix.rstrip("/")
    return path == prefix_without_slash or path.startswith(f"{prefix_without_slash}/")


def _failure_error(failure: AttemptError | None, was_sent: bool) -> RefusedWithRunState:
    """Return the error for a call that no server answered.

    ``failure`` is the last failure, None if no server was tried. ``was_sent`` states whether any
    part of the call may have reached a server. A failure of kind ``STALLED`` means that the server
    sent no complete answer in time.
    """
    if not was_sent:
        return RefusedWithRunState(
            ResultCode.NO_BACKEND_SERVER,
            detail="",
            retry_after_s=RETRY_AFTER_S,
            was_sent=False,
        )
    is_stalled = failure is not None and failure.kind is FailureKind.STALLED
    code = ResultCode.TIMED_OUT if is_stalled else ResultCode.BACKEND_FAILED
    return RefusedWithRunState(code, detail="", retry_after_s=RETRY_AFTER_S, was_sent=True)


def _caller_response(answer: ServiceAnswer, request_id: str) -> web.Response:
    """Return a service's answer as the response to the caller."""
    headers = {hdrs.CONTENT_TYPE: answer.content_type, "X-Request-Id": request_id}
    return web.Response(body=answer.body, status=answer.http_status, headers=headers)
