"""Asyncio shell of the Raft core: peers, storage, proposals and the state machine."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Coroutine, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from msgspec import Struct

from baobabstream.consensus.address_book import AddressBook
from baobabstream.consensus.admission import Admission
from baobabstream.consensus.command_log import CommandLog
from baobabstream.consensus.core import RaftCore, Role
from baobabstream.consensus.records import (
    Action,
    Answer,
    Apply,
    LeaderChanged,
    Restore,
    Save,
    Timing,
)
from baobabstream.consensus.state_machine import StateMachine
from baobabstream.consensus.storage import LogStorage
from baobabstream.consensus.storage_writer import StorageWriter
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, PeerError, StorageError
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.consensus_messages import (
    EntryKind,
    JoinReply,
    JoinRequest,
    LogEntry,
    Member,
    Membership,
    SnapshotRequest,
)
from baobabstream.wire.rpc import RpcClient

__all__ = ["LogListener", "LogOptions", "ReplicatedLog"]

# Interval of candidates, which retry votes, and of the wait for a hand-over.
CANDIDATE_TICK_S = 0.025
# Longest time between two ticks of other members. Well under the shortest election timeout, so a
# deadline is seen in time even if a later contact moved it.
MAX_TICK_S = 0.1
# Peer tasks of a follower have nothing to send until they are woken.
MAX_PEER_WAIT_S = 1.0
# Keeps a due time that rounding puts just ahead of the clock from turning the wait into a spin.
MIN_PEER_WAIT_S = 0.001
# A reply waits for the peer's sync; half a second keeps two tries within a leader lease.
CALL_TIMEOUT_S = 0.5
SNAPSHOT_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.05
# Several election timeouts; a member that was replaced while it was away gets no leader's message.
REJOIN_AFTER_S = 3.0
# Covers catching up the successor and its election; a planned stop goes on without it.
TRANSFER_TIMEOUT_S = 2.0
# A tenth of a heartbeat, so that a read waits little longer than the quorum's answers.
BARRIER_POLL_S = 0.01

_CANDIDATE_ROLES = (Role.PRE_CANDIDATE, Role.CANDIDATE)

_log = get_logger("consensus")


@dataclass(frozen=True, slots=True)
class LogOptions:
    """Times, the number of applied entries after which a snapshot is taken, and the group's size.

    ``wanted_voters`` is the number of voters to which a group that admits unknown hosts grows, or
    0 for no bound.
    """

    timing: Timing = field(default_factory=Timing)
    snapshot_entries: int = 2000
    wanted_voters: int = 0


class LogListener(ABC):
    """What the owner of a log wants to hear about."""

    @abstractmethod
    def on_applied(self) -> None:
        """Note that commands were applied or a snapshot was restored."""

    @abstractmethod
    def on_leader_changed(self, change: LeaderChanged) -> None:
        """Note that another leader is known, or that this member leads or stopped leading."""

    @abstractmethod
    def on_storage_failed(self, error: StorageError) -> None:
        """End the process: nothing may be answered any more."""


class ReplicatedLog(CommandLog):
    """Orders commands over the control hosts and applies them here.

    Parameters
    ----------
    storage
        Durable state of this member.
    machine
        State that the commands build.
    addresses
        Finds the other members. The first founder forms a new group once all founders answer
        that they have no log.
    codec
        Codec of this cluster.
    listener
        Told about applied commands, leader changes and failures.
    random
        Source of the election timeouts.
    options
        Times and snapshot interval.
    """

    def __init__(
        self,
        storage: LogStorage,
        machine: StateMachine,
        addresses: AddressBook,
        codec: WireCodec,
        listener: LogListener,
        random: Random,
        options: LogOptions,
    ) -> None:
        self._storage = storage
        self._machine = machine
        self._addresses = addresses
        self._codec = codec
        self._listener = listener
        self._options = options
        self._loop = asyncio.get_running_loop()
        self.core = RaftCore(
            storage.member,
            storage.load(),
            options.timing,
            random,
            self._loop.time(),
            self._leader_entry_payload,
        )
        self.core.wanted_voters = options.wanted_voters
        if self.core.snapshot.index > 0:
            machine.restore(self.core.snapshot.data)
        self._writer = StorageWriter(storage, self._on_saved, listener.on_storage_failed)
        self._pending_proposals: dict[int, tuple[int, asyncio.Future[Any]]] = {}
        self._peer_tasks: dict[str, tuple[asyncio.Event, asyncio.Task[None]]] = {}
        self._background_tasks: list[asyncio.Task[None]] = []
        self._is_running = False
        self._last_role = self.core.role

    @property
    def leader(self) -> str:
        """Host name of the leader, or empty."""
        members = self.core.membership.members
        leader_id = self.core.leader_id
        return next((item.host for item in members if item.member_id == leader_id), "")

    @property
    def term(self) -> int:
        """Current term."""
        return self.core.term

    def all_voters_responsive(self) -> bool:
        """Return whether this member leads and each voter has answered lately."""
        return self.core.all_voters_responsive(self._loop.time())

    @property
    def membership(self) -> Membership:
        """Voters and learners of the log."""
        return self.core.membership

    def holds_leader_lease(self) -> bool:
        """Return whether this member leads and a quorum has confirmed it recently."""
        return self._is_running and self.core.holds_lease(self._loop.time())

    async def start(self) -> None:
        """Start to take part; the listener for peers must be open."""
        self._is_running = True
        self._start_task(self._writer.run())
        self._start_task(self._tick())
        admission = Admission(self.core.member, self._addresses, self._codec)
        self._start_task(admission.run(self._needs_admission, self._member_hosts, self._form_group))
        self._update_peer_tasks()

    async def stop(self) -> None:
        """Hand leadership over, then stop."""
        if self.core.start_leadership_transfer():
            deadline_s = self._loop.time() + TRANSFER_TIMEOUT_S
            while self.core.role is Role.LEADER and self._loop.time() < deadline_s:
                self._wake_peers()
                await asyncio.sleep(CANDIDATE_TICK_S)
        self._is_running = False
        tasks = [*self._background_tasks, *(task for _, task in self._peer_tasks.values())]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._fail_pending_proposals()
        await self._loop.run_in_executor(None, self._writer.close)
        self._storage.close()

    async def propose(self, command: Any, timeout_s: float) -> Any:
        """Commit a command and return what applying it gave."""
        if not self.holds_leader_lease():
            raise self._no_leader_error()
        entry, actions = self.core.propose(self._machine.encode_command(command))
        if entry is None:
            raise self._no_leader_error()
        outcome: asyncio.Future[Any] = self._loop.create_future()
        self._pending_proposals[entry.index] = (entry.term, outcome)
        self._execute(actions)
        try:
            async with asyncio.timeout(timeout_s):
                return await outcome
        except TimeoutError as error:
            raise BaobabstreamError(ResultCode.CHANGE_UNKNOWN) from error
        finally:
            self._pending_proposals.pop(entry.index, None)

    async def read_barrier(self, timeout_s: float) -> None:
        """Wait until this member has applied every command that was committed before the call.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` if this member does not lead, or a quorum does not confirm it in time.

        Notes
        -----
        The confirmation is by messages that were sent after the call, so it does not depend on
        clock rates or on a lease that a suspended process could take for valid.
        """
        began_s = self._loop.time()
        deadline_s = began_s + timeout_s
        index = self.core.commit_index
        while True:
            if self.core.role is not Role.LEADER:
                raise self._no_leader_error()
            if self.core.quorum_confirmed_since(began_s) and self.core.applied_index >= index:
                return
            if self._loop.time() >= deadline_s:
                raise self._no_leader_error()
            self._wake_peers()
            await asyncio.sleep(BARRIER_POLL_S)

    async def handle(self, sender: str, message: Any) -> Struct:
        """Answer a replication message of a peer.

        Raises
        ------
        PeerError
            If the message is for another member, for example one whose disk was lost, or its
            sender is not a control host.
        """
        if not self._is_running or not self._addresses.admits(sender):
            raise PeerError(ResultCode.PEER_UNREACHABLE, "this member takes no part in the log")
        if isinstance(message, JoinRequest):
            return self._on_join(sender, message)
        if message.receiver != self.core.member.member_id:
            detail = f"this member is {self.core.member.member_id}"
            raise PeerError(ResultCode.DATA_FOLDER_FOREIGN, detail)
        answer = self._execute(self.core.handle(message, self._loop.time()))
        assert answer is not None
        await self._writer.wait_saved(answer.after_sequence)
        return answer.message

    def _leader_entry_payload(self, term: int) -> bytes:
        command = self._machine.leader_started(self.core.member.host, term)
        return self._machine.encode_command(command)

    def _no_leader_error(self) -> PeerError:
        error = PeerError(ResultCode.NO_LEADER)
        error.leader = self.leader if self.leader != self.core.member.host else ""
        return error

    def _execute(self, actions: Sequence[Action]) -> Answer | None:
        answer = None
        for action in actions:
            match action:
                case Save():
                    self._writer.submit(action)
                case Apply():
                    self._apply(action.entries)
                case Restore():
                    self._machine.restore(action.snapshot.data)
                    self._listener.on_applied()
                case LeaderChanged():
                    self._on_leader_changed(action)
                case Answer():
                    answer = action
        if any(not isinstance(action, Answer) for action in actions):
            self._update_peer_tasks()
            self._wake_peers()
        elif self.core.role is not self._last_role:
            # A candidate that has nothing to save yet asks for votes at once.
            self._wake_peers()
        self._last_role = self.core.role
        return answer

    def _apply(self, entries: Sequence[LogEntry]) -> None:
        for entry in entries:
            if entry.kind is EntryKind.COMMAND:
                outcome = self._machine.apply(self._machine.decode_command(entry.payload))
                self._resolve_proposal(entry, outcome)
            else:
                self._log_membership(self.core.memberships.membership_at(entry.index))
        core = self.core
        if core.applied_index - core.snapshot.index >= self._options.snapshot_entries:
            data = self._machine.snapshot()
            self._execute(core.compact(core.applied_index, data, self._loop.time()))
        self._listener.on_applied()

    def _resolve_proposal(self, entry: LogEntry, outcome: Any) -> None:
        term, future = self._pending_proposals.get(entry.index, (0, None))
        if future is None or future.done():
            return
        if term == entry.term:
            future.set_result(outcome)
        else:
            future.set_exception(BaobabstreamError(ResultCode.CHANGE_UNKNOWN))

    def _on_leader_changed(self, change: LeaderChanged) -> None:
        if change.lost_leadership:
            self._fail_pending_proposals()
        self._listener.on_leader_changed(change)

    def _fail_pending_proposals(self) -> None:
        for _, future in self._pending_proposals.values():
            if not future.done():
                future.set_exception(BaobabstreamError(ResultCode.CHANGE_UNKNOWN))

    def _on_saved(self, sequence: int) -> None:
        self._execute(self.core.on_saved(sequence, self._loop.time()))
        self._wake_peers()

    def _on_join(self, sender: str, request: JoinRequest) -> JoinReply:
        if sender == request.member.host:
            self.core.record_join_request(request.member, self._loop.time())
        return JoinReply(self.core.member, self.core.has_group, self._member_hosts())

    async def _tick(self) -> None:
        while True:
            self._execute(self.core.tick(self._loop.time()))
            await asyncio.sleep(self._tick_wait_s())

    def _tick_wait_s(self) -> float:
        """Return the time to the next tick: just after the deadline of the core, within bounds.

        A peer that heard the lost leader a little later refuses a pre-vote at the deadline itself,
        and the next one comes only after another election timeout.
        """
        if self.core.role in _CANDIDATE_ROLES:
            return CANDIDATE_TICK_S
        now_s = self._loop.time()
        return min(self.core.tick_due_s(now_s) + CANDIDATE_TICK_S - now_s, MAX_TICK_S)

    def _peer_wait_s(self, peer: Member) -> float:
        """Return the time after which a peer may need a request without being woken for it."""
        if self.core.role in _CANDIDATE_ROLES:
            return CANDIDATE_TICK_S
        wait_s = self.core.request_due_s(peer.member_id) - self._loop.time()
        return min(max(wait_s, MIN_PEER_WAIT_S), MAX_PEER_WAIT_S)

    def _member_hosts(self) -> tuple[str, ...]:
        return self.core.membership.hosts

    def _needs_admission(self) -> bool:
        if self.core.member not in self.core.membership.members:
            return True
        return self.core.leader_contact_age_s(self._loop.time()) > REJOIN_AFTER_S

    def _form_group(self, members: tuple[Member, ...]) -> None:
        if not self.core.has_group:
            _log.info("Forming a new group of %d members.", len(members))
            self._execute(self.core.bootstrap(Membership(voters=members)))

    def _update_peer_tasks(self) -> None:
        if not self._is_running:
            return
        wanted = {member.member_id: member for member in self.core.peers}
        for member_id in set(self._peer_tasks) - set(wanted):
            _, task = self._peer_tasks.pop(member_id)
            task.cancel()
        for member_id in set(wanted) - set(self._peer_tasks):
            url = self._addresses.url(wanted[member_id].host)
            if url is not None:
                wake = asyncio.Event()
                task = self._create_logged_task(self._replicate_to(wanted[member_id], url, wake))
                self._peer_tasks[member_id] = (wake, task)

    def _wake_peers(self) -> None:
        for wake, _ in self._peer_tasks.values():
            wake.set()

    async def _replicate_to(self, peer: Member, url: str, wake: asyncio.Event) -> None:
        client = RpcClient(url, self._codec)
        try:
            # A cancelled call may end as PeerError, so the loop checks whether it is still wanted.
            while self._is_running and peer in self.core.peers:
                wake.clear()
                request = self.core.request_for(peer.member_id, self._loop.time())
                if request is None:
                    await self._wait_for_wakeup(wake, self._peer_wait_s(peer))
                    continue
                sent_s = self._loop.time()
                large = isinstance(request, SnapshotRequest)
                timeout_s = SNAPSHOT_TIMEOUT_S if large else CALL_TIMEOUT_S
                try:
                    reply = await client.call(request, timeout_s)
                except PeerError as error:
                    _log.debug("Call to %s failed: %s.", peer.member_id, error)
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                now_s = self._loop.time()
                self._execute(self.core.handle_reply(request, reply, sent_s, now_s))
        finally:
            client.close()

    @staticmethod
    async def _wait_for_wakeup(wake: asyncio.Event, limit_s: float) -> None:
        try:
            async with asyncio.timeout(limit_s):
                await wake.wait()
        except TimeoutError:
            pass

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        self._background_tasks.append(self._create_logged_task(work))

    @staticmethod
    def _create_logged_task(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.create_task(work)
        task.add_done_callback(_log_task_failure)
        return task

    @staticmethod
    def _log_membership(membership: Membership) -> None:
        voters = ", ".join(item.member_id for item in membership.voters)
        learners = ", ".join(item.member_id for item in membership.learners) or "none"
        _log.info("Members are now %s; learners: %s.", voters, learners)


def _log_task_failure(task: asyncio.Task[None]) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error("A task of the log failed.", exc_info=task.exception())
