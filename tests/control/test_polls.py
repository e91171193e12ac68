"""Leases, long polls and the in-force check, with entries behind a slow and lossy network.

An entry is a process that receives the callers' requests; without a lease it may not act on its
configuration. A revision, the number of the last change of the configuration, is in force once
every entry with a live lease has applied it. The registry lists the backend servers that have
announced themselves to the leader; it is warm once all have had time to do so. Evidence is counts
of results, which entries report with their polls. The tests run in simulated time.
"""

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

# Duration of an entry lease, and time after which an announcement of a backend server expires.
LEASE_S = 3.0
ANNOUNCEMENT_EXPIRY_S = 3.0


def make_engine_record(identity: str, incarnation: int = 1) -> BackendRecord:
    """Return the record of a model engine with this identity."""
    return BackendRecord(identity, incarnation, BackendKind.ENGINE, "http://127.0.0.1:1", "zone-1")


class ControlGroup:
    """Control hosts that share one state; one of them leads.

    Attributes
    ----------
    loss_probability
        Probability that a message between an entry and a control host is lost.
    max_delay_s
        Longest delay of a message in seconds.
    waits_for_old_leases
        Whether a new leader assumes that leases of the previous one run for one lease duration.
    polls_answered
        Number of polls that have been answered.
    counted_errors
        Number of errors that entries have reported to the present leader.
    """

    def __init__(self, random: Random, waits_for_old_leases: bool = True) -> None:
        self.random = random
        self.state = ConfigState()
        self.waits_for_old_leases = waits_for_old_leases
        self.loss_probability = 0.0
        self.max_delay_s = 0.002
        self.polls_answered = 0
        self.leader = ""
        self.elect("control-1")

    def elect(self, host: str) -> None:
        """Make a host the leader of the next term, with new soft state."""
        now_s = asyncio.get_running_loop().time()
        self.leader = host
        self.term = getattr(self, "term", 0) + 1
        self.registry = BackendRegistry(
            self.term, ANNOUNCEMENT_EXPIRY_S, now_s, self.state.departed
        )
        self.leases = EntryLeases(LEASE_S, now_s if self.waits_for_old_leases else float("-inf"))
        clock = asyncio.get_running_loop().time
        self.poll_service = PollService(
            self.state, self.registry, self.leases, clock, self._count_errors
        )
        self.evidence_deduplicator = EvidenceDeduplicator()
        self.counted_errors = 0

    def _count_errors(self, request: PollRequest) -> None:
        """Count the errors in the new evidence of a poll."""
        self.counted_errors += sum(
            version_evidence.errors
            for version_evidence in self.evidence_deduplicator.accept(request)
        )

    def commit_change(self) -> int:
        """Commit a change of a class row and return the new revision."""
        operator_revision = self.state.operator_revision
        row = ClassRow("c", 0.5, 1.0, 2.0 + operator_revision)
        outcome = self.state.apply(
            ConfigChange(f"c{operator_revision}", "op", operator_revision, (row,))
        )
        assert outcome.code is ResultCode.OK
        self.poll_service.wake_polls()
        return outcome.revision

    def announce(self, *identities: str) -> None:
        """Announce engines with these identities to the leader."""
        for identity in identities:
            self.registry.announce(make_engine_record(identity), asyncio.get_running_loop().time())
        self.poll_service.wake_polls_after_delay()


class LossyLink:
    """Connection of an entry to one control host, in place of its RPC client."""

    def __init__(self, group: ControlGroup, host: str) -> None:
        self._group = group
        self._host = host

    async def call(self, message: PollRequest, timeout_s: float):
        """Send a poll to the host and return its reply; raise ``PeerError`` if it does not lead."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._transfer()
                control_group = self._group
                if control_group.leader != self._host:
                    raise PeerError(ResultCode.NO_LEADER)
                poll_service, term = control_group.poll_service, control_group.term
                reply = await poll_service.poll(message, term)
                if control_group.poll_service is not poll_service:
                    raise PeerError(ResultCode.NO_LEADER)
                control_group.polls_answered += 1
                await self._transfer()
                return reply
        except TimeoutError as error:
            raise PeerError(ResultCode.PEER_TIMEOUT) from error

    async def _transfer(self) -> None:
        """Delay a message, or lose it, so that the caller's timeout ends the call."""
        # A lost message is delayed for longer than any timeout.
        if self._group.random.random() < self._group.loss_probability:
            await asyncio.sleep(3600)
        await asyncio.sleep(self._group.random.uniform(0, self._group.max_delay_s))


class Entry:
    """Control session of an entry over lossy links, with the view of the cluster that it builds."""

    def __init__(self, group: ControlGroup, name: str) -> None:
        hosts = [
            ControlPeer(host=f"control-{n}", availability_zone="z", port=n, http_port=n)
            for n in (1, 2)
        ]
        self.view = ClusterView()
        self.view_changes = 0
        codec = WireCodec("test", name, "secret-of-16-bytes")
        self.session = ControlSession(name, "z", hosts, codec, self.view, self._count_view_change)
        self.session.incarnation = 1
        self.session._clients = {host.host: LossyLink(group, host.host) for host in hosts}
        self.task = asyncio.create_task(self.session.run())

    def _count_view_change(self) -> None:
        """Count a change of the view."""
        self.view_changes += 1

    def applied_or_lost_lease(self, revision: int) -> bool:
        """Return whether this entry has applied a revision or may not act at all."""
        now_s = asyncio.get_running_loop().time()
        return self.view.revision >= revision or not self.session.lease.is_valid(now_s)

    async def stop(self) -> None:
        """Stop the polls."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


async def count_false_in_force_reports(seed: int, waits_for_old_leases: bool) -> tuple[int, int]:
    """Return how often "in force" was reported while it was false, and how often at all.

    The configuration changes every 20 steps and at each change of the leader, the leader changes
    every 60 steps. Messages are lost in the first half of each 60 steps, and delayed by up to 0.4 s
    in the first half of each 40. The revision of an entry must never fall.
    """
    random = Random(seed)
    group = ControlGroup(random, waits_for_old_leases)
    entries = [Entry(group, f"entry-{n}") for n in range(4)]
    false_report_count = report_count = 0
    last_revisions = [0] * len(entries)
    for step in range(300):
        if step % 20 == 0:
            revision = group.commit_change()
        if step % 60 == 45:
            # Alternates between control-1 and control-2.
            group.elect(f"control-{1 + step // 60 % 2}")
            revision = group.commit_change()
        group.loss_probability = 0.2 if step % 60 < 30 else 0.0
        group.max_delay_s = 0.4 if step % 40 < 20 else 0.01
        await asyncio.sleep(random.uniform(0, 0.3))
        now_s = asyncio.get_running_loop().time()
        if group.leases.in_force(revision, now_s):
            report_count += 1
            false_report_count += not all(
                entry.applied_or_lost_lease(revision) for entry in entries
            )
        for index, entry in enumerate(entries):
            assert_that(entry.view.revision >= last_revisions[index], Is(True))
            last_revisions[index] = entry.view.revision
    for entry in entries:
        await entry.stop()
    return false_report_count, report_count


@pytest.mark.parametrize("seed", range(4))
async def test_in_force_reports_are_true_and_revisions_never_fall(seed: int) -> None:
    """Guards against a revision reported in force that an entry with a lease has not applied."""
    false_report_count, report_count = await count_false_in_force_reports(seed, True)
    assert_that(false_report_count, Equals(0))
    # Shows that the test has checked enough reports.
    assert_that(report_count, GreaterThan(20))


async def test_in_force_reports_are_false_without_the_wait_for_old_leases() -> None:
    """Shows that the previous test detects a new leader that ignores leases of the old one."""
    counts = [await count_false_in_force_reports(seed, False) for seed in range(4)]
    assert_that(sum(false_report_count for false_report_count, _ in counts), GreaterThan(0))


def test_overlapping_polls_do_not_shorten_a_lease() -> None:
    """Guards against an older poll that arrives later and shortens the lease counted here."""
    leases = EntryLeases(LEASE_S, -LEASE_S)
    leases.renew(EntryLease("entry-1", 1, "z", 5, 10.0))
    leases.renew(EntryLease("entry-1", 1, "z", 4, 9.0))
    assert_that(
        [(lease.applied_revision, lease.expires_s) for lease in leases.live(9.5)],
        Equals([(5, 10.0)]),
    )
    assert_that(leases.in_force(6, 9.5), Is(False))
    assert_that(leases.in_force(6, 10.5), Is(True))


async def test_change_is_applied_within_milliseconds() -> None:
    """Guards against a change that reaches an entry only at the end of a long poll.

    A change that a stopped entry has not applied must come into force when its lease expires.
    """
    group = ControlGroup(Random(1))
    entry = Entry(group, "entry-1")
    # Leases of a previous leader may last until 3 s, before which nothing is in force.
    await asyncio.sleep(5.2)
    started_s = asyncio.get_running_loop().time()
    revision = group.commit_change()
    assert_that(await group.poll_service.wait_in_force(revision, 1.0), Is(True))
    assert_that(asyncio.get_running_loop().time() - started_s, LessThan(0.02))
    await entry.stop()
    unapplied_revision = group.commit_change()
    assert_that(await group.poll_service.wait_in_force(unapplied_revision, 0.5), Is(False))
    assert_that(await group.poll_service.wait_in_force(unapplied_revision, 4.0), Is(True))
    assert_that(asyncio.get_running_loop().time() - started_s, LessThan(3.5))


async def test_evidence_is_counted_once_over_a_lossy_network() -> None:
    """Guards against results that are lost with a poll, or counted twice when it is sent again."""
    group = ControlGroup(Random(7))
    entry = Entry(group, "entry-1")
    await asyncio.sleep(1.0)
    group.loss_probability, group.max_delay_s = 0.3, 0.2
    for step in range(400):
        entry.session.evidence.record_error("m", str(step % 3))
        await asyncio.sleep(0.05)
    group.loss_probability = 0.0
    # Time to repeat the polls that were lost.
    await asyncio.sleep(20.0)
    assert_that(group.counted_errors, Equals(400))
    await entry.stop()


async def test_urgent_evidence_does_not_wait_for_the_poll() -> None:
    """Guards against bad results that reach the leader only at the end of a long poll."""
    group = ControlGroup(Random(1))
    entry = Entry(group, "entry-1")
    await asyncio.sleep(1.03)
    for _ in range(URGENT_BAD_RESULTS):
        entry.session.evidence.record_error("m", "1")
    await asyncio.sleep(0.01)
    assert_that(group.counted_errors, Equals(URGENT_BAD_RESULTS))
    await entry.stop()


async def test_registry_changes_wake_entries_together() -> None:
    """Guards against a rolling restart that wakes every entry once for each backend server."""
    group = ControlGroup(Random(1))
    entry = Entry(group, "entry-1")
    await asyncio.sleep(1.0)
    polls_before = group.polls_answered
    for index in range(100):
        group.announce(f"engine-{index}")
        await asyncio.sleep(0.01)
    assert_that(group.polls_answered - polls_before, LessThan(15))
    await asyncio.sleep(0.15)
    assert_that(len(entry.view.backends), Equals(100))
    await entry.stop()


async def servers_known_after_election(departure_is_recorded: bool) -> tuple[set[str], set[str]]:
    """Return the servers that an entry knows before and after the new leader's registry is warm.

    Of the servers a, b and c, b leaves before the election and only a announces itself to the new
    leader. With ``departure_is_recorded`` the departure of b is in the replicated state.
    """
    group = ControlGroup(Random(1))
    entry = Entry(group, "entry-1")
    group.announce("a", "b", "c")
    await asyncio.sleep(1.0)
    group.registry.leave("b", 1)
    if departure_is_recorded:
        group.state.apply(BackendLeft("b", 1))
    group.elect("control-2")
    group.announce("a")
    await asyncio.sleep(1.5)
    group.announce("a")
    servers_before_warm = set(entry.view.backends)
    await asyncio.sleep(2.5)
    group.announce("a")
    servers_once_warm = set(entry.view.backends)
    await entry.stop()
    return servers_before_warm, servers_once_warm


async def test_new_leader_keeps_servers_but_not_departed_ones() -> None:
    """Guards against an entry that has no servers after an election, or keeps one that left."""
    servers_before_warm, servers_once_warm = await servers_known_after_election(True)
    assert_that(servers_before_warm, Equals({"a", "c"}))
    assert_that(servers_once_warm, Equals({"a"}))


async def test_departed_server_is_kept_without_its_record_in_the_log() -> None:
    """Shows that the previous test detects a departure that is not recorded in the log."""
    servers_before_warm, _ = await servers_known_after_election(False)
    assert_that("b" in servers_before_warm, Is(True))
