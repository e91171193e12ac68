"""Tests a group of three replicated logs over real sockets and files.

The logs replicate the configuration of the control hosts. Each accepted configuration change raises
the revision by one and names as its base the operator revision that it was made on. The leader
lease is the time in which only the current leader may serve. Times are seconds.
"""

import asyncio
import shutil
from collections.abc import Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

import pytest

from baobabstream.consensus.address_book import FixedAddresses
from baobabstream.consensus.file_storage import FileStorage
from baobabstream.consensus.records import LeaderChanged
from baobabstream.consensus.replicated_log import LogListener, LogOptions, ReplicatedLog
from baobabstream.control.commands import ConfigChange
from baobabstream.control.state import ConfigState
from baobabstream.control.state_machine import ConfigStateMachine
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, StorageError
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.rows import VersionRow
from baobabstream.wire.rpc_server import RpcServer
from free_ports import free_ports

HOSTS = ("a", "b", "c")
# Longest wait for a condition.
WAIT_LIMIT_S = 8.0


class _RecordingListener(LogListener):
    """Counts applied events and records the terms in which its member became leader."""

    def __init__(self) -> None:
        self.applied_count = 0
        self.elected_terms: list[int] = []

    def on_applied(self) -> None:
        self.applied_count += 1

    def on_leader_changed(self, change: LeaderChanged) -> None:
        if change.is_leader:
            self.elected_terms.append(change.term)

    def on_storage_failed(self, error: StorageError) -> None:
        raise AssertionError(error)


class Group:
    """Three members in this process; each can be stopped and started.

    ``folder`` has one folder with the files of each host. ``urls``, ``logs``, ``states`` and
    ``recorders`` hold by host its address, its running log, the configuration that it applied and
    its listener.
    """

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        ports = free_ports(len(HOSTS))
        self.urls = {
            host: f"tcp://127.0.0.1:{port}" for host, port in zip(HOSTS, ports, strict=True)
        }
        self.logs: dict[str, ReplicatedLog] = {}
        self.states: dict[str, ConfigState] = {}
        self.recorders: dict[str, _RecordingListener] = {}
        self._servers: dict[str, RpcServer] = {}

    async def start(self, host: str) -> None:
        """Start a member from its files; it makes a snapshot after every 10 applied entries."""
        self.states[host] = state = ConfigState()
        self.recorders[host] = recorder = _RecordingListener()
        # Cluster name, own host, and the secret that all hosts share.
        codec = WireCodec("demo", host, "0123456789abcdef")
        storage = FileStorage(self.folder / host, "demo", host)
        log = ReplicatedLog(
            storage,
            ConfigStateMachine(state),
            FixedAddresses(self.urls),
            codec,
            recorder,
            Random(host),
            LogOptions(snapshot_entries=10),
        )
        self._servers[host] = RpcServer(self.urls[host], codec, log.handle)
        self.logs[host] = log
        await log.start()

    async def stop(self, host: str) -> None:
        """Stop a member; a leader hands leadership over first."""
        log = self.logs.pop(host)
        await log.stop()
        await self._servers.pop(host).close()

    async def leader(self) -> str:
        """Wait until a member holds the leader lease and return its host."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while True:
                serving = [host for host, log in self.logs.items() if log.holds_leader_lease()]
                if serving:
                    return serving[0]
                await asyncio.sleep(0.02)

    async def change(self, number: int):
        """Commit a configuration change through the leader and return its outcome."""
        host = await self.leader()
        base = self.states[host].operator_revision
        # Version ``number`` of the model "small", with a cost of 1.0 per 1000 tokens.
        row = VersionRow("small", str(number), 1.0)
        # Change id, operator, base revision and new rows; wait at most 2 s.
        return await self.logs[host].propose(ConfigChange(f"c{number}", "o", base, (row,)), 2.0)

    async def equal_states(self) -> None:
        """Wait until all running members have the same state."""
        await self.until(
            lambda: len({ConfigStateMachine(self.states[h]).snapshot() for h in self.logs}) == 1
        )

    @staticmethod
    async def until(condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not condition():  # noqa: ASYNC110 - the log has no event for each condition
                await asyncio.sleep(0.02)


@asynccontextmanager
async def running_group(folder: Path):
    """Start three members, and at the end stop those that still run."""
    group = Group(folder)
    for host in HOSTS:
        await group.start(host)
    try:
        yield group
    finally:
        for host in list(group.logs):
            await group.stop(host)


async def test_changes_reach_all_and_survive_a_handover_and_restarts(tmp_path):
    """Guards against changes that are lost by a planned stop, a restart or a snapshot.

    25 changes make at least two snapshots; the 26th is made while the former leader is stopped.
    """
    async with running_group(tmp_path) as group:
        for number in range(25):
            assert (await group.change(number)).code is ResultCode.OK
        first = await group.leader()
        follower = next(host for host in HOSTS if host != first)
        with pytest.raises(BaobabstreamError) as caught:
            # An empty change on base revision 0; wait at most 1 s.
            await group.logs[follower].propose(ConfigChange("x", "o", 0), 1.0)
        assert caught.value.code is ResultCode.NO_LEADER
        stopped_s = asyncio.get_running_loop().time()
        await group.stop(first)
        assert await group.leader() != first
        # The successor starts its election at once, without waiting for an election timeout.
        assert asyncio.get_running_loop().time() - stopped_s < 1.0
        assert (await group.change(25)).code is ResultCode.OK
        await group.start(first)
        await group.equal_states()
        assert group.states[first].revision == 26
        assert group.recorders[first].applied_count > 0


async def test_lost_disk_is_repaired_under_a_new_identity(tmp_path):
    """Guards against a vote of a member that lost its log, and against an incomplete repair.

    The host comes back as a new member that replaces the lost one. The third host then stops, so
    a change needs the new member.
    """
    async with running_group(tmp_path) as group:
        for number in range(25):
            await group.change(number)
        leader = await group.leader()
        wiped_host, other_host = (host for host in HOSTS if host != leader)
        lost_member = group.logs[wiped_host].core.member
        await group.stop(wiped_host)
        shutil.rmtree(tmp_path / wiped_host)
        await group.start(wiped_host)
        core = group.logs[leader].core
        await group.until(lambda: group.logs[wiped_host].core.member in core.membership.voters)
        assert lost_member not in group.logs[leader].core.membership.voters
        await group.stop(other_host)
        assert (await group.change(99)).code is ResultCode.OK
        await group.equal_states()


async def test_minority_does_not_serve(tmp_path):
    """Guards against replies of a leader that a quorum, two of three members, no longer confirms.

    The change was proposed before the lease ended, so its outcome is unknown.
    """
    async with running_group(tmp_path) as group:
        await group.change(1)
        leader = await group.leader()
        log = group.logs[leader]
        for host in [host for host in HOSTS if host != leader]:
            await group.stop(host)
        # 3 s are longer than the lease of 1.5 s, so that the lease ends during the call.
        outcome = asyncio.create_task(group.logs[leader].propose(ConfigChange("x", "o", 0), 3.0))
        with pytest.raises(BaobabstreamError) as caught:
            await outcome
        assert caught.value.code is ResultCode.CHANGE_UNKNOWN
        assert not log.holds_leader_lease()
