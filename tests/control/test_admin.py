"""Admin and backend interfaces of two control hosts over real sockets.

Operators call the admin interface, backend servers the backend interface. A revision of the
configuration is in force once every entry process with a lease has applied it.
"""

import asyncio
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import ContainsAll, Equals, HasLength

from baobabstream.control import admin_api
from baobabstream.control.admin_api import MAX_BACKEND_BODY_BYTES
from baobabstream.control.commands import RecordLoss
from baobabstream.errors.codes import ResultCode
from baobabstream.wire.messages import Bill
from control.local_group import BACKEND_KEY, Group, group

__all__ = ["group"]

# Rows of each kind that operators put; index 2 is the class.
CONFIGURATION_ROWS = (
    {"type": "version", "model": "m", "version": "1", "cost_per_1k_tokens": 1},
    {"type": "version", "model": "m", "version": "2", "cost_per_1k_tokens": 1},
    {"type": "class", "name": "c", "quality": 0.9, "first_token_ms": 1, "total_ms": 2},
    {"type": "route", "name": "x", "service": "waivers", "path_prefix": "/waivers"},
    {"type": "rollout", "name": "r", "model": "m", "from_version": "1", "to_version": "2"},
)
ANNOUNCEMENT = {
    "identity": "e1",
    "incarnation": 1,
    "kind": "engine",
    "url": "http://127.0.0.1:1",
    "availability_zone": "z",
}


async def test_operator_actions_through_a_follower(group: Group) -> None:
    """Guards against an operator action without an HTTP call, or one that followers refuse."""
    client = group.follower
    await client.put_rows("c1", *CONFIGURATION_ROWS)
    for path, count in (("versions", 2), ("classes", 1), ("routes", 1), ("rollouts", 1)):
        assert_that(await client.get(path), HasLength(count))
    statuses_and_states = []
    for action in ("pause", "resume", "withdraw"):
        status, _ = await client.post_action(f"rollouts/{action}", action, name="r")
        statuses_and_states.append((status, (await client.get("rollouts"))[0]["state"]))
    assert_that(statuses_and_states, Equals([(200, "paused"), (200, "loading"), (200, "stopped")]))
    status, first_document = await client.post_action(
        "versions/withdraw", "w", model="m", version="2"
    )
    repeated_response = await client.post_action("versions/withdraw", "w", model="m", version="2")
    assert_that(repeated_response, Equals((200, first_document)))
    status, refusal = await client.post_action("versions/activate", "a", model="m", version="2")
    assert_that((status, refusal["error"]["code"]), Equals((400, ResultCode.CHANGE_INVALID)))
    for incarnation in (1, 2):
        group.daemons[0].member.state.apply(RecordLoss("e", incarnation, ("f",), 0))
    assert_that((await client.get("quarantine"))[0]["losses"], Equals(2))
    assert_that(
        (await client.post_action("quarantine/release", "q", fingerprint="f"))[0], Equals(200)
    )
    assert_that(await client.get("quarantine"), Equals([]))
    members = await client.get("members")
    assert_that(
        [(row["host"], row["membership"]) for row in members],
        Equals([("control-0", "voter"), ("control-1", "none"), ("control-9", "learner")]),
    )
    assert_that(await client.get("status"), ContainsAll(["leader", "entries", "backends"]))
    outdated_response = await client.post_action(
        "versions/stop", "s", model="m", version="1", base_revision=1
    )
    assert_that(outdated_response[0], Equals(409))


@pytest.mark.parametrize(
    ("method", "path", "body", "status", "code"),
    [
        ("GET", "in-force?revision=abc", None, 400, ResultCode.CHANGE_INVALID),
        ("GET", "in-force?wait_s=1e9", None, 400, ResultCode.CHANGE_INVALID),
        ("GET", "in-force?revision=-1", None, 400, ResultCode.CHANGE_INVALID),
        ("GET", "in-force?revision=1&revision=2", None, 400, ResultCode.CHANGE_INVALID),
        ("GET", "bills?limit=0", None, 400, ResultCode.CHANGE_INVALID),
        ("GET", "bills?unknown=1", None, 400, ResultCode.CHANGE_INVALID),
        ("GET", "absent", None, 404, ResultCode.NOT_FOUND),
        ("DELETE", "config", None, 404, ResultCode.NOT_FOUND),
        ("POST", "changes", b"{", 400, ResultCode.CHANGE_INVALID),
        ("POST", "changes", b"\xff\xfe", 400, ResultCode.CHANGE_INVALID),
        (
            "POST",
            "changes",
            {"change_id": "c", "base_revision": 0, "put": [{"type": "?"}]},
            400,
            ResultCode.CHANGE_INVALID,
        ),
        ("POST", "rollouts/pause", {"change_id": "c", "name": "x"}, 404, ResultCode.NOT_FOUND),
        ("POST", "changes", b"x" * 2_000_000, 413, ResultCode.BODY_TOO_LARGE),
    ],
)
async def test_invalid_input_gets_an_error_with_a_result_code(
    group: Group, method: str, path: str, body: Any, status: int, code: ResultCode
) -> None:
    """Guards against invalid input that changes something or gets an error without a code."""
    for client in (group.leader, group.follower):
        response = await client.call(method, path, body)
        assert_that((response[0], response[1]["error"]["code"]), Equals((status, code)))
    assert_that(group.daemons[0].member.state.revision, Equals(0))


async def test_backend_calls_are_checked_and_departures_are_final(group: Group) -> None:
    """Guards against calls that use up the memory, or register a departed server again."""
    client = group.follower

    async def post_backend_call(path: str, body: Any, key: str = BACKEND_KEY) -> int:
        """Post a call of a backend server and return the HTTP status."""
        return (await client.call("POST", f"/backend/v1/{path}", body, key))[0]

    departure = {"identity": "e1", "incarnation": 1}
    statuses = [
        await post_backend_call("announce", ANNOUNCEMENT, "wrong"),
        await post_backend_call("announce", b" " * (MAX_BACKEND_BODY_BYTES + 1)),
        await post_backend_call("announce", ANNOUNCEMENT | {"slots": 0}),
        await post_backend_call("announce", ANNOUNCEMENT),
        await post_backend_call("leave", departure),
        await post_backend_call("leave", departure),
        await post_backend_call("announce", ANNOUNCEMENT),
    ]
    assert_that(statuses, Equals([401, 413, 400, 200, 200, 200, 409]))
    assert_that(group.daemons[0].member.state.departed, Equals({"e1": 2}))


async def test_local_health_needs_no_leader(group: Group, monkeypatch) -> None:
    """Guards against a host that does not report its own state while there is no leader."""
    for daemon in group.daemons:
        monkeypatch.setattr(daemon.member.log, "holds_leader_lease", lambda: False)
    local_health = await group.leader.get("local")
    assert_that((local_health["host"], local_health["leads"]), Equals(("control-0", False)))
    status, document = await group.leader.call("GET", "status")
    assert_that((status, document["error"]["code"]), Equals((503, ResultCode.NO_LEADER)))
    assert_that((await group.leader.call("GET", "local", key="wrong"))[0], Equals(401))


async def test_change_whose_answer_is_lost_has_an_unknown_outcome(
    group: Group, monkeypatch
) -> None:
    """Guards against "not run" for a change that the leader may have carried out.

    The leader carries out the forwarded change, but answers after the follower's timeout.
    """
    answer_forwarded = group.daemons[0].admin.answer_forwarded

    async def answer_after_the_timeout(request):
        """Carry out a forwarded call and return the answer after the follower's timeout."""
        reply = await answer_forwarded(request)
        await asyncio.sleep(1.0)
        return reply

    monkeypatch.setattr(group.daemons[0].admin, "answer_forwarded", answer_after_the_timeout)
    monkeypatch.setattr(admin_api, "FORWARD_TIMEOUT_S", 0.3)
    status, document = await group.follower.post_action(
        "changes", "c", base_revision=0, put=[CONFIGURATION_ROWS[2]]
    )
    error = document["error"]
    assert_that((status, error["code"]), Equals((504, ResultCode.CHANGE_UNKNOWN)))
    assert_that(error["ran"], Equals("unknown"))
    assert_that(await group.leader.get("classes"), HasLength(1))


async def test_in_force_waits_for_old_leases_and_readiness_needs_entries(group: Group) -> None:
    """Guards against a new leader that reports a revision in force too early.

    Entry leases of the previous leader may run for one lease duration, and their entry processes
    may not have applied the revision. A revision that does not exist yet is not in force either.
    """
    revision = await group.leader.put_rows("c1", CONFIGURATION_ROWS[2])
    early_answer = await group.leader.get(f"in-force?revision={revision}")
    late_answer = await group.follower.get(f"in-force?revision={revision}&wait_s=3")
    answer_for_future_revision = await group.leader.get(
        f"in-force?revision={revision + 1}&wait_s=0"
    )
    assert_that(
        [answer["in_force"] for answer in (early_answer, late_answer, answer_for_future_revision)],
        Equals([False, True, False]),
    )
    readiness = await group.leader.get("ready")
    assert_that((readiness["ready"], readiness["checks"]["entries"]), Equals((False, False)))


async def test_bills_are_shown_by_page_and_total(group: Group) -> None:
    """Guards against a billing report that lacks bills stored on another control host."""
    bills = tuple(
        Bill("desk", f"r{number}", "c", "m", "1", 1, 2, 0.5, "e", number) for number in range(10)
    )
    await group.daemons[1].member.ledger.put(bills)
    await group.daemons[0].member.ledger_exchange.pull("control-1")
    first_page = await group.follower.get("bills/pages?account=desk&since_ms=2&limit=5")
    second_page = await group.follower.get(
        f"bills/pages?since_ms=2&after={first_page['next_after']}"
    )
    request_ids = [bill["request_id"] for bill in first_page["bills"] + second_page["bills"]]
    assert_that(request_ids, Equals([f"r{number}" for number in range(2, 10)]))
    assert_that((first_page["complete"], second_page["complete"]), Equals((False, True)))
    totals = await group.leader.get("bills/totals")
    assert_that((totals[0]["bills"], totals[0]["cost"]), Equals((10, 5.0)))
    assert_that(await group.leader.get("bills?limit=3"), HasLength(3))
    invalid_offset = first_page["next_after"] + 1
    expected_message = f"after: no page ended at {invalid_offset}"
    response = await group.leader.call("GET", f"bills/pages?after={invalid_offset}")
    assert_that((response[0], response[1]["error"]["message"]), Equals((400, expected_message)))
    assert_that(await group.leader.get("bills/totals"), Equals(totals))
