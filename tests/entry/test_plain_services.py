"""Plain services: routes, retries, and claims of calls that may run only once."""

import asyncio

from baobabstream.entry.plain_handler import find_route
from baobabstream.errors.codes import ResultCode
from baobabstream.wire.messages import ClaimState
from baobabstream.wire.rows import AccountRow, BackendKind
from entry_harness import FakeServer, free_port, harness, until

KEYED = {"Idempotency-Key": "k1"}


def service(identity: str, name: str, **faults) -> FakeServer:
    return FakeServer(identity, BackendKind.SERVICE, service=name, **faults)


async def call(entry, path, method="POST", headers=None, body=b"sign"):
    async with entry.session.request(
        method, entry.url + path, data=body, headers=headers or {}
    ) as response:
        return response.status, await response.json()


def claim(entry):
    return next(iter(entry.control.claims.claims.values()))


async def test_idempotent_call_is_retried_elsewhere_and_billed() -> None:
    """Guards against a lost call that another server could answer, and unbilled plain calls."""
    bad, good = service("a", "notes", stop="abort"), service("b", "notes")
    async with harness(bad, good) as entry:
        for _ in range(4):
            status, document = await call(entry, "/notes/1?x=%2F", "GET", body=b"")
            assert (status, document["by"]) == (200, "b")
        bills = entry.control.bills["control-0"]
        assert [bill.model for bill in bills] == ["service/notes"] * 4


async def test_routes_and_allowance() -> None:
    """Guards against calls on services that the account may not use, and on partial prefixes."""
    async with harness(service("a", "notes")) as entry:
        for path, code in (
            ("/closed", ResultCode.SERVICE_NOT_ALLOWED),
            ("/notesX", ResultCode.UNKNOWN_ROUTE),
            ("/waivers", ResultCode.IDEMPOTENCY_KEY_MISSING),
        ):
            _, document = await call(entry, path)
            assert (document["error"]["code"], document["error"]["ran"]) == (code, "no")
        assert find_route(entry.daemon.view, "GET", "/notes/1") is not None
        assert find_route(entry.daemon.view, "GET", "/notes/../waivers") is None


async def test_finished_call_is_replayed_and_not_run_again() -> None:
    """Guards against a second run of a call that finished, under the same key."""
    server = service("a", "waivers")
    async with harness(server) as entry:
        first = await call(entry, "/waivers", headers=KEYED)
        await until(lambda: claim(entry).state is ClaimState.FINISHED)
        assert await call(entry, "/waivers", headers=KEYED) == first
        _, document = await call(entry, "/waivers", headers=KEYED, body=b"other")
        assert document["error"]["code"] == ResultCode.IDEMPOTENCY_KEY_REUSED
        assert len(server.seen) == 1


async def test_lost_call_is_unknown_and_not_run_again() -> None:
    """Guards against a repeat of a call whose outcome is not known."""
    lost, other = service("a", "waivers", stop="abort"), service("b", "waivers", stop="abort")
    async with harness(lost, other) as entry:
        for _ in range(2):
            _, document = await call(entry, "/waivers", headers=KEYED)
            error = document["error"]
            assert (error["code"], error["ran"]) == (ResultCode.OUTCOME_UNKNOWN, "unknown")
        assert len(lost.seen) + len(other.seen) == 1


async def test_unsent_call_is_not_run_and_may_be_repeated() -> None:
    """Guards against a claim that blocks a call which was never sent."""
    unreachable = service("a", "waivers", url=f"http://127.0.0.1:{free_port()}")
    async with harness() as entry:
        for backends in ({}, {"a": unreachable.record()}):
            entry.control.backends = backends
            await until(lambda: entry.daemon.view.backends.keys() == entry.control.backends.keys())
            _, document = await call(entry, "/waivers", headers=KEYED)
            error = document["error"]
            assert (error["code"], error["ran"]) == (ResultCode.NO_BACKEND_SERVER, "no")
            assert claim(entry).state is ClaimState.NOT_RUN


async def test_caller_that_goes_leaves_a_settled_claim() -> None:
    """Guards against an outcome that is lost because the caller went."""
    server = service("a", "waivers")
    server.gate.clear()
    async with harness(server) as entry:
        task = asyncio.create_task(call(entry, "/waivers", headers=KEYED))
        await until(lambda: server.seen)
        _, document = await call(entry, "/waivers", headers=KEYED)
        assert document["error"]["code"] == ResultCode.REQUEST_IN_PROGRESS
        task.cancel()
        server.gate.set()
        await until(lambda: claim(entry).state is ClaimState.FINISHED)
        assert await call(entry, "/waivers", headers=KEYED) == (200, {"by": "a", "run": 1})


async def test_nothing_is_sent_without_a_claim() -> None:
    """Guards against a run that no claim records, while there is no leader."""
    server = service("a", "waivers")
    async with harness(server) as entry:
        entry.control.leader = False
        _, document = await call(entry, "/waivers", headers=KEYED)
        assert document["error"]["code"] == ResultCode.CLAIM_UNAVAILABLE
        assert not server.seen
        entry.control.leader = True


async def test_lease_that_lapses_while_the_claim_is_taken_stops_the_call() -> None:
    """Guards against calls that an entry sends on permissions that may have been revoked."""
    server = service("a", "waivers")
    async with harness(server) as entry:

        async def lapse() -> None:
            entry.daemon.caller_access.holds_lease = lambda: False

        entry.control.on_claim = lapse
        _, document = await call(entry, "/waivers", headers=KEYED)
        error = document["error"]
        assert (error["code"], error["ran"]) == (ResultCode.LEASE_EXPIRED, "no")
        await until(lambda: claim(entry).state is ClaimState.NOT_RUN)
        assert not server.seen


async def test_allowance_that_is_revoked_while_the_claim_is_taken_stops_the_call() -> None:
    """Guards against calls on a service that the account may no longer use."""
    server = service("a", "waivers")
    async with harness(server) as entry:

        async def revoke() -> None:
            account = entry.daemon.view.accounts["desk"]
            entry.control.put(AccountRow("desk", account.key_digest, services=("notes",)))
            await until(lambda: entry.daemon.view.revision == entry.control.revision)

        entry.control.on_claim = revoke
        _, document = await call(entry, "/waivers", headers=KEYED)
        error = document["error"]
        assert (error["code"], error["ran"]) == (ResultCode.SERVICE_NOT_ALLOWED, "no")
        assert claim(entry).state is ClaimState.NOT_RUN
        assert not server.seen
