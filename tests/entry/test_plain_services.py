"""Plain services: routes, retries, and claims of calls that may run only once.

A claim records at the control leader that a call with an idempotency key is running or has run.
"""

import asyncio

from baobabstream.entry.plain_handler import find_route
from baobabstream.errors.codes import ResultCode
from baobabstream.wire.messages import ClaimState
from baobabstream.wire.rows import AccountRow, BackendKind
from entry_harness import FakeServer, free_port, running_entry, wait_until

KEY_HEADERS = {"Idempotency-Key": "k1"}


def make_service(identity: str, name: str, **faults) -> FakeServer:
    """Return a fake plain server of a service, with the given faults."""
    return FakeServer(identity, BackendKind.SERVICE, service=name, **faults)


async def call_service(entry, path, method="POST", headers=None, body=b"sign"):
    """Send a call to the entry; return the status and the decoded body of the response."""
    async with entry.session.request(
        method, entry.url + path, data=body, headers=headers or {}
    ) as response:
        return response.status, await response.json()


def first_claim(entry):
    """Return the first claim that the fake leader has recorded."""
    return next(iter(entry.control.claims.claims.values()))


async def test_idempotent_call_is_retried_elsewhere_and_billed() -> None:
    """Guards against failed calls that another server could answer, and unbilled calls."""
    failing_server, working_server = make_service("a", "notes", fault="abort"), make_service(
        "b", "notes"
    )
    async with running_entry(failing_server, working_server) as entry:
        for _ in range(4):
            status, document = await call_service(entry, "/notes/1?x=%2F", "GET", body=b"")
            assert (status, document["by"]) == (200, "b")
        bills = entry.control.bills["control-0"]
        assert [bill.model for bill in bills] == ["service/notes"] * 4


async def test_route_matching_and_allowed_services() -> None:
    """Guards against calls of services that the account may not use, and partial prefixes."""
    async with running_entry(make_service("a", "notes")) as entry:
        for path, expected_code in (
            ("/closed", ResultCode.SERVICE_NOT_ALLOWED),
            ("/notesX", ResultCode.UNKNOWN_ROUTE),
            ("/waivers", ResultCode.IDEMPOTENCY_KEY_MISSING),
        ):
            _, document = await call_service(entry, path)
            assert (document["error"]["code"], document["error"]["ran"]) == (expected_code, "no")
        assert find_route(entry.daemon.view, "GET", "/notes/1") is not None
        assert find_route(entry.daemon.view, "GET", "/notes/../waivers") is None


async def test_finished_call_is_replayed_and_not_run_again() -> None:
    """Guards against a second run of a finished call under the same idempotency key."""
    server = make_service("a", "waivers")
    async with running_entry(server) as entry:
        first_reply = await call_service(entry, "/waivers", headers=KEY_HEADERS)
        await wait_until(lambda: first_claim(entry).state is ClaimState.FINISHED)
        assert await call_service(entry, "/waivers", headers=KEY_HEADERS) == first_reply
        _, document = await call_service(entry, "/waivers", headers=KEY_HEADERS, body=b"other")
        assert document["error"]["code"] == ResultCode.IDEMPOTENCY_KEY_REUSED
        assert len(server.received_headers) == 1


async def test_call_with_unknown_outcome_is_not_run_again() -> None:
    """Guards against a repeat of a call whose outcome is unknown."""
    failing_server, other_server = make_service("a", "waivers", fault="abort"), make_service(
        "b", "waivers", fault="abort"
    )
    async with running_entry(failing_server, other_server) as entry:
        for _ in range(2):
            _, document = await call_service(entry, "/waivers", headers=KEY_HEADERS)
            error = document["error"]
            assert (error["code"], error["ran"]) == (ResultCode.OUTCOME_UNKNOWN, "unknown")
        assert len(failing_server.received_headers) + len(other_server.received_headers) == 1


async def test_unsent_call_has_run_state_no_and_may_be_repeated() -> None:
    """Guards against a claim that blocks a call that was never sent."""
    unreachable_server = make_service("a", "waivers", url=f"http://127.0.0.1:{free_port()}")
    async with running_entry() as entry:
        for backends in ({}, {"a": unreachable_server.record()}):
            entry.control.backends = backends
            await wait_until(
                lambda: entry.daemon.view.backends.keys() == entry.control.backends.keys()
            )
            _, document = await call_service(entry, "/waivers", headers=KEY_HEADERS)
            error = document["error"]
            assert (error["code"], error["ran"]) == (ResultCode.NO_BACKEND_SERVER, "no")
            assert first_claim(entry).state is ClaimState.NOT_RUN


async def test_outcome_is_recorded_after_the_caller_disconnects() -> None:
    """Guards against an outcome that is lost because the caller disconnected."""
    server = make_service("a", "waivers")
    server.may_answer.clear()
    async with running_entry(server) as entry:
        call_task = asyncio.create_task(call_service(entry, "/waivers", headers=KEY_HEADERS))
        await wait_until(lambda: server.received_headers)
        _, document = await call_service(entry, "/waivers", headers=KEY_HEADERS)
        assert document["error"]["code"] == ResultCode.REQUEST_IN_PROGRESS
        call_task.cancel()
        server.may_answer.set()
        await wait_until(lambda: first_claim(entry).state is ClaimState.FINISHED)
        assert await call_service(entry, "/waivers", headers=KEY_HEADERS) == (
            200,
            {"by": "a", "run": 1},
        )


async def test_call_is_not_sent_without_a_claim() -> None:
    """Guards against a call that runs without a claim while there is no leader."""
    server = make_service("a", "waivers")
    async with running_entry(server) as entry:
        entry.control.has_leader = False
        _, document = await call_service(entry, "/waivers", headers=KEY_HEADERS)
        assert document["error"]["code"] == ResultCode.CLAIM_UNAVAILABLE
        assert not server.received_headers
        entry.control.has_leader = True


async def test_lease_expiring_while_the_claim_is_acquired_stops_the_call() -> None:
    """Guards against calls sent with permissions that may have been revoked."""
    server = make_service("a", "waivers")
    async with running_entry(server) as entry:

        async def expire_lease() -> None:
            """Let the lease expire while the claim is applied."""
            entry.daemon.caller_access.holds_lease = lambda: False

        entry.control.on_claim = expire_lease
        _, document = await call_service(entry, "/waivers", headers=KEY_HEADERS)
        error = document["error"]
        assert (error["code"], error["ran"]) == (ResultCode.LEASE_EXPIRED, "no")
        await wait_until(lambda: first_claim(entry).state is ClaimState.NOT_RUN)
        assert not server.received_headers


async def test_service_revoked_while_the_claim_is_acquired_stops_the_call() -> None:
    """Guards against calls of a service that the account may no longer use."""
    server = make_service("a", "waivers")
    async with running_entry(server) as entry:

        async def revoke_service() -> None:
            """Remove the service from the account while the claim is applied."""
            account = entry.daemon.view.accounts["desk"]
            entry.control.put_row(AccountRow("desk", account.key_digest, services=("notes",)))
            await wait_until(lambda: entry.daemon.view.revision == entry.control.revision)

        entry.control.on_claim = revoke_service
        _, document = await call_service(entry, "/waivers", headers=KEY_HEADERS)
        error = document["error"]
        assert (error["code"], error["ran"]) == (ResultCode.SERVICE_NOT_ALLOWED, "no")
        assert first_claim(entry).state is ClaimState.NOT_RUN
        assert not server.received_headers
