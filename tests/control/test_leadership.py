"""Components of the control leader, with entry sessions that poll over real sockets.

An entry is a process that receives the callers' requests; with each poll it renews its lease,
without which it may not act on its configuration. A revision is in force once every entry with a
lease has applied it. The epoch identifies an instance of the registry of backend servers.
"""

import asyncio
import time
from collections.abc import Callable

import pytest
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from baobabstream.control.commands import AdvanceRollout, ConfigChange
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.membership.control_session import ControlSession
from baobabstream.policy.view import ClusterView
from baobabstream.telemetry.timeline import EventKind
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.messages import ClaimAction, ClaimRequest, ClaimState, PollRequest
from baobabstream.wire.rows import RolloutRow, RolloutState, VersionRow, VersionState
from control.local_group import ENTRY_LEASE_S, Group, group

__all__ = ["group"]


class Entry:
    """Control session of an entry process, with the view of the cluster that it builds."""

    def __init__(self, group: Group, incarnation: int) -> None:
        settings = group.daemons[0].settings
        secret = settings.peer_secret.get_secret_value()
        codec = WireCodec(settings.cluster, "entry-1", secret)
        self.view = ClusterView()
        self._changed = asyncio.Event()
        self.session = ControlSession(
            "entry-1", "z0", settings.control, codec, self.view, self._changed.set
        )
        self.session.incarnation = incarnation

    async def __aenter__(self) -> "Entry":
        self._task = asyncio.create_task(self.session.run())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.session.close()

    async def wait(self, condition: Callable[[], bool], timeout_s: float) -> None:
        """Wait until a condition on the view holds; raise ``TimeoutError`` after ``timeout_s``."""
        async with asyncio.timeout(timeout_s):
            while not condition():
                self._changed.clear()
                await self._changed.wait()


def make_poll(group: Group, wait_ms: int, epoch: int = 0) -> PollRequest:
    """Return a poll that waits ``wait_ms`` for changes after the present revision.

    ``epoch`` is the registry instance that the entry knows.
    """
    revision = group.daemons[0].member.state.revision
    return PollRequest("entry-1", 1, "z0", revision, epoch, 0, wait_ms)


async def test_poll_is_not_answered_after_the_leader_lease_is_lost(
    group: Group, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an entry lease granted by a host that no longer leads.

    A poll is waiting when the leader lease ends. When the host leads again, it must start with a
    new registry and assume that leases of another leader may still run.
    """
    member = group.daemons[0].member
    entry = Entry(group, 1)
    old_leadership = member.require_leadership()
    old_epoch = old_leadership.registry.epoch
    pending_poll = asyncio.create_task(
        entry.session.call_host("control-0", make_poll(group, 500, old_epoch), 2.0)
    )
    await asyncio.sleep(0.1)
    with monkeypatch.context() as patch:
        patch.setattr(member.log, "holds_leader_lease", lambda: False)
        with ExpectedException(PeerError, ".*NO_LEADER.*"):
            await pending_poll
    await asyncio.sleep(0.1)
    new_leadership = member.require_leadership()
    assert_that(
        (new_leadership is old_leadership, new_leadership.registry.epoch == old_epoch),
        Equals((False, False)),
    )
    assert_that(new_leadership.leases.in_force(0, time.monotonic()), Is(False))
    assert_that(new_leadership.leases.in_force(0, time.monotonic() + ENTRY_LEASE_S), Is(True))
    entry.session.close()


async def test_claims_of_a_restarted_entry_become_unknown(group: Group) -> None:
    """Guards against a claim that stays open, or can be claimed again, when its entry restarts."""
    member = group.daemons[0].member
    first_claim = ClaimRequest(
        ClaimAction.CLAIM, "desk", "key", "b", "r1", "entry-1", incarnation=1
    )
    async with Entry(group, 1) as entry:
        reply = await entry.session.call_host("control-0", first_claim, 1.0)
        assert_that(ResultCode(reply.code), Is(ResultCode.OK))
        # Longer than the entry lease; the polls of the running process keep its claim open.
        await asyncio.sleep(0.6)
        assert_that(len(member.state.claims.open_keys), Equals(1))
    async with Entry(group, 2) as restarted_entry:
        # Time for the first poll of the new process and for the next check of the leader.
        await asyncio.sleep(0.8)
        second_claim = ClaimRequest(
            ClaimAction.CLAIM, "desk", "key", "b", "r2", "entry-1", incarnation=2
        )
        reply = await restarted_entry.session.call_host("control-0", second_claim, 1.0)
    assert_that(reply.state, Is(ClaimState.UNKNOWN))
    assert_that(ResultCode(reply.code), Is(ResultCode.OUTCOME_UNKNOWN))


async def test_errors_of_an_entry_stop_a_version_within_two_seconds(group: Group) -> None:
    """Guards against a bad version that keeps its traffic until an operator acts."""
    member = group.daemons[0].member
    rows = (VersionRow("m", "1", 1.0), VersionRow("m", "2", 1.0), RolloutRow("r", "m", "1", "2"))
    member.state.apply(ConfigChange("c", "op", 0, rows))
    # From state LOADING and step 0 to state RUNNING, step 0 and half of the traffic.
    start_traffic = AdvanceRollout("r", RolloutState.LOADING, 0, RolloutState.RUNNING, 0, 0.5)
    member.state.apply(start_traffic)
    member.handle_log_change()
    async with Entry(group, 1) as entry:
        await entry.wait(lambda: "r" in entry.view.rollouts, 5)
        evidence = entry.session.evidence
        for _ in range(10):
            for version in ("1", "2"):
                for _ in range(20):
                    evidence.record_success("m", version)
            await asyncio.sleep(0.1)
        started_s = time.monotonic()
        for _ in range(20):
            evidence.record_error("m", "2")
            evidence.record_success("m", "1")
            await asyncio.sleep(0.02)
        version_rows = entry.view.versions
        await entry.wait(lambda: version_rows["m", "2"].state is VersionState.STOPPED, 5)
        assert_that(time.monotonic() - started_s, LessThan(2.0))
        rollout = entry.view.rollouts["r"]
    assert_that((rollout.state, rollout.share), Equals((RolloutState.STOPPED, 0.0)))


async def test_each_accepted_change_is_recorded_once_it_is_in_force(
    group: Group, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against changes whose time in force is recorded only if a client asks for it.

    A repeated stop of a version changes nothing and must not add an event.
    """
    member = group.daemons[0].member
    events: list[tuple[EventKind, int]] = []

    def record(kind: EventKind, request_id: str = "", revision: int = 0, detail: str = "") -> None:
        events.append((kind, revision))

    monkeypatch.setattr(member.timeline, "emit", record)
    async with Entry(group, 1) as entry:
        row = {"type": "version", "model": "m", "version": "1", "cost_per_1k_tokens": 1.0}
        revisions = [
            await group.leader.put_rows(f"c{number}", row | {"cost_per_1k_tokens": float(number)})
            for number in range(3)
        ]
        await group.leader.post_action("versions/stop", "s", model="m", version="1")
        await group.leader.post_action("versions/stop", "s", model="m", version="1")
        revisions.append(revisions[-1] + 1)
        await entry.wait(lambda: entry.view.revision == revisions[-1], 5)
        async with asyncio.timeout(5):
            while (EventKind.CHANGE_IN_FORCE, revisions[-1]) not in events:
                await asyncio.sleep(0.01)
        await group.leader.get(f"in-force?revision={revisions[-1]}")
    revisions_in_force = [
        revision for kind, revision in events if kind is EventKind.CHANGE_IN_FORCE
    ]
    assert_that(revisions_in_force, Equals(revisions))
