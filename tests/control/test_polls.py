"""Leases, long polls and the in-force check, with entries behind a slow and lossy network."""

import asyncio
from random import Random

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, Is, LessThan

from baobabstream.control.commands import BackendLeft, ConfigChange
from baobabstream.control.entry_leases import EntryLease, EntryLeases
from baobabstream.control.evidence_deduplicator import EvidenceDeduplicator
from baobabstream.control.poll_service import PollService
from baobabstream.control.registry import BackendRegistry
from baobabstream.control.state import ConfigState
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.membership.control_session import ControlSession
from baobabstream.membership.evidence import URGENT_BAD_RESULTS
from baobabstream.policy.view import ClusterView
from baobabstream.settings.models import ControlPeer
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.messages import PollRequest
from baobabstream.wire.rows import BackendKind, BackendRecord, ClassRow

pytestmark = pytest.mark.looptime

LEASE_S = 3.0
EXPIRY_S = 3.0


def backend(name: str, incarnation: int = 1) -> BackendRecord:
    return BackendRecord(name, incarnation, BackendKind.ENGINE, "http://127.0.0.1:1", "zone-1")


class Group:
    """Control hosts that share one state; one of them leads."""

    def __init__(self, random: Random, wait_one_lease: bool = True) -> None:
        self.random = random
        self.state = ConfigState()
        self.wait_one_lease = wait_one_lease
        self.loss = 0.0
        self.delay_s = 0.002
        self.polls_answered = 0
        self.leader = ""
        self.elect("control-1")

    def elect(self, host: str) -> None:
        now_s = asyncio.get_running_loop().time()
        self.leader = host
        self.term = getattr(self, "term", 0) + 1
        self.registry = BackendRegistry(self.term, EXPIRY_S, now_s, self.state.departed)
        self.leases = EntryLeases(LEASE_S, now_s if self.wait_one_lease else float("-inf"))
        clock = asyncio.get_running_loop().time
        self.polls = PollService(self.state, self.registry, self.leases, clock, self._take)
        self.pool = EvidenceDeduplicator()
        self.errors = 0

    def _take(self, request: PollRequest) -> None:
        self.errors += sum(item.errors for item in self.pool.accept(request))

    def change(self) -> int:
        revision = self.state.operator_revision
        row = ClassRow("c", 0.5, 1.0, 2.0 + revision)
        outcome = self.state.apply(ConfigChange(f"c{revision}", "op", revision, (row,)))
        assert outcome.code is ResultCode.OK
        self.polls.wake_polls()
        return outcome.revision

    def announce(self, *names: str) -> None:
        for name in names:
            self.registry.announce(backend(name), asyncio.get_running_loop().time())
        self.polls.wake_polls_after_delay()


class Link:
    """Stands for the connection of an entry to one control host."""

    def __init__(self, group: Group, host: str) -> None:
        self._group = group
        self._host = host

    async def call(self, message: PollRequest, timeout_s: float):
        try:
            async with asyncio.timeout(timeout_s):
                await self._transfer()
                group = self._group
                if group.leader != self._host:
                    raise PeerError(ResultCode.NO_LEADER)
                polls, term = group.polls, group.term
                reply = await polls.poll(message, term)
                if group.polls is not polls:
                    raise PeerError(ResultCode.NO_LEADER)
                group.polls_answered += 1
                await self._transfer()
                return reply
        except TimeoutError as error:
            raise PeerError(ResultCode.PEER_TIMEOUT) from error

    async def _transfer(self) -> None:
        if self._group.random.random() < self._group.loss:
            await asyncio.sleep(3600)
        await asyncio.sleep(self._group.random.uniform(0, self._group.delay_s))


class Entry:
    """An entry's session over links to the group."""

    def __init__(self, group: Group, name: str) -> None:
        hosts = [
            ControlPeer(host=f"control-{n}", availability_zone="z", port=n, http_port=n)
            for n in (1, 2)
        ]
        self.view = ClusterView()
        self.changes = 0
        codec = WireCodec("test", name, "secret-of-16-bytes")
        self.session = ControlSession(name, "z", hosts, codec, self.view, self._changed)
        self.session.incarnation = 1
        self.session._clients = {host.host: Link(group, host.host) for host in hosts}
        self.task = asyncio.create_task(self.session.run())

    def _changed(self) -> None:
        self.changes += 1

    def holds(self, revision: int) -> bool:
        now_s = asyncio.get_running_loop().time()
        return self.view.revision >= revision or not self.session.lease.is_valid(now_s)

    async def stop(self) -> None:
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


async def violations_under_faults(seed: int, wait_one_lease: bool) -> tuple[int, int]:
    """Return how often "in force" was false, and how often it was reported."""
    random = Random(seed)
    group = Group(random, wait_one_lease)
    entries = [Entry(group, f"entry-{n}") for n in range(4)]
    false_reports = reports = 0
    lowest = [0] * len(entries)
    for step in range(300):
        if step % 20 == 0:
            revision = group.change()
        if step % 60 == 45:
            group.elect(f"control-{1 + step // 60 % 2}")
            revision = group.change()
        group.loss = 0.2 if step % 60 < 30 else 0.0
        group.delay_s = 0.4 if step % 40 < 20 else 0.01
        await asyncio.sleep(random.uniform(0, 0.3))
        now_s = asyncio.get_running_loop().time()
        if group.leases.in_force(revision, now_s):
            reports += 1
            false_reports += not all(entry.holds(revision) for entry in entries)
        for index, entry in enumerate(entries):
            assert_that(entry.view.revision >= lowest[index], Is(True))
            lowest[index] = entry.view.revision
    for entry in entries:
        await entry.stop()
    return false_reports, reports


@pytest.mark.parametrize("seed", range(4))
async def test_in_force_is_true_and_nothing_reverts(seed: int) -> None:
    """Guards against a change reported in force that an entry with a lease does not apply."""
    false_reports, reports = await violations_under_faults(seed, True)
    assert_that(false_reports, Equals(0))
    assert_that(reports, GreaterThan(20))


async def test_in_force_needs_the_wait_after_an_election() -> None:
    """Guards against a check of "in force" that would pass without the wait of a new leader."""
    runs = [await violations_under_faults(seed, False) for seed in range(4)]
    assert_that(sum(false for false, _ in runs), GreaterThan(0))


def test_overlapping_polls_do_not_lower_a_lease() -> None:
    """Guards against an older poll, answered late, that shortens the lease counted here."""
    leases = EntryLeases(LEASE_S, -LEASE_S)
    leases.renew(EntryLease("entry-1", 1, "z", 5, 10.0))
    leases.renew(EntryLease("entry-1", 1, "z", 4, 9.0))
    assert_that([(x.applied_revision, x.expires_s) for x in leases.live(9.5)], Equals([(5, 10.0)]))
    assert_that(leases.in_force(6, 9.5), Is(False))
    assert_that(leases.in_force(6, 10.5), Is(True))


async def test_change_is_applied_within_milliseconds() -> None:
    """Guards against a change that waits for the end of a poll."""
    group = Group(Random(1))
    entry = Entry(group, "entry-1")
    await asyncio.sleep(5.2)
    started_s = asyncio.get_running_loop().time()
    revision = group.change()
    assert_that(await group.polls.wait_in_force(revision, 1.0), Is(True))
    assert_that(asyncio.get_running_loop().time() - started_s, LessThan(0.02))
    await entry.stop()
    lost = group.change()
    assert_that(await group.polls.wait_in_force(lost, 0.5), Is(False))
    assert_that(await group.polls.wait_in_force(lost, 4.0), Is(True))
    assert_that(asyncio.get_running_loop().time() - started_s, LessThan(3.5))


async def test_evidence_is_counted_once_over_a_lossy_network() -> None:
    """Guards against results that are lost with a poll or counted with its copy too."""
    group = Group(Random(7))
    entry = Entry(group, "entry-1")
    await asyncio.sleep(1.0)
    group.loss, group.delay_s = 0.3, 0.2
    for step in range(400):
        entry.session.evidence.record_error("m", str(step % 3))
        await asyncio.sleep(0.05)
    group.loss = 0.0
    await asyncio.sleep(20.0)
    assert_that(group.errors, Equals(400))
    await entry.stop()


async def test_urgent_evidence_does_not_wait_for_the_poll() -> None:
    """Guards against bad results that reach the leader only at the end of a long poll."""
    group = Group(Random(1))
    entry = Entry(group, "entry-1")
    await asyncio.sleep(1.03)
    for _ in range(URGENT_BAD_RESULTS):
        entry.session.evidence.record_error("m", "1")
    await asyncio.sleep(0.01)
    assert_that(group.errors, Equals(URGENT_BAD_RESULTS))
    await entry.stop()


async def test_registry_changes_wake_entries_together() -> None:
    """Guards against a rolling restart that wakes every entry for each backend server."""
    group = Group(Random(1))
    entry = Entry(group, "entry-1")
    await asyncio.sleep(1.0)
    before = group.polls_answered
    for index in range(100):
        group.announce(f"engine-{index}")
        await asyncio.sleep(0.01)
    assert_that(group.polls_answered - before, LessThan(15))
    await asyncio.sleep(0.15)
    assert_that(len(entry.view.backends), Equals(100))
    await entry.stop()


async def kept_after_election(record_departure: bool) -> tuple[set[str], set[str]]:
    """Return the servers an entry knows shortly after an election, and once it is warm."""
    group = Group(Random(1))
    entry = Entry(group, "entry-1")
    group.announce("a", "b", "c")
    await asyncio.sleep(1.0)
    group.registry.leave("b", 1)
    if record_departure:
        group.state.apply(BackendLeft("b", 1))
    group.elect("control-2")
    group.announce("a")
    await asyncio.sleep(1.5)
    group.announce("a")
    early = set(entry.view.backends)
    await asyncio.sleep(2.5)
    group.announce("a")
    late = set(entry.view.backends)
    await entry.stop()
    return early, late


async def test_new_leader_keeps_servers_but_not_departed_ones() -> None:
    """Guards against an empty registry after an election, and work for a server that left."""
    early, late = await kept_after_election(True)
    assert_that(early, Equals({"a", "c"}))
    assert_that(late, Equals({"a"}))


async def test_departed_servers_need_the_record_in_the_log() -> None:
    """Guards against a check of departures that would pass without their record."""
    early, _ = await kept_after_election(False)
    assert_that("b" in early, Is(True))
