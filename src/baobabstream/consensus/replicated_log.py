"""Replicated log: connects the Raft core with peers, storage and the state machine by asyncio.

The members of a group, one on each control host (a host that keeps the shared state of the
cluster), order commands in one log and apply them. A member id names one data folder, so a host
that lost its disk has another member. A member that is not in the group yet has to be admitted.
Voters elect the leader of each term, a numbered period with at most one leader; learners only
receive the log. A quorum is a majority of the voters. A peer is any other member. An entry is one
record of the log; it is committed once no leader can replace it any more. A proposal is a command
that a caller gave to the leader and whose outcome it awaits. A leader lease is the time in which
only the current leader may serve. A snapshot is the encoded state that replaces old entries. A tick
is a call by which the core acts on the time. A read barrier is a wait after which a read misses no
committed command. A save is a numbered change that storage makes durable, which means safe in a
crash. A heartbeat is a request without entries that the leader sends to each peer at a fixed
interval. A peer task sends the core's requests to one peer. An answer is a reply to a peer's
request.

The Raft core does no input or output. It returns actions, such as to save entries or to apply them,
and this module executes them. All times are seconds of the event loop's clock.
"""

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

# Interval between ticks of a candidate, which retries vote requests, and between checks whether
# leadership was handed over.
CANDIDATE_TICK_S = 0.025
# Longest time between two ticks of other members. Well below the shortest election timeout, so
# that a deadline which changed during the sleep is still met in time.
MAX_TICK_S = 0.1
# Longest sleep of a peer task that has nothing to send, as on a follower, until it is woken.
MAX_PEER_WAIT_S = 1.0
# Shortest sleep of a peer task. Rounding can leave a due time just after the current time, and
# the task would then loop without sleeping.
MIN_PEER_WAIT_S = 0.001
# Longest wait for the reply of a peer, which comes after the peer has synced its disk. Two tries
# must fit into a leader lease.
CALL_TIMEOUT_S = 0.5
# The same for part of a snapshot, which is larger and can take longer to send and to store.
SNAPSHOT_TIMEOUT_S = 2.0
# Wait after a failed call, so that calls to an unreachable peer do not follow without a pause.
RETRY_DELAY_S = 0.05
# A member that hears no leader for this time, which is several election timeouts, asks to join
# again: it may have been replaced while it was away, and then no leader sends to it.
REJOIN_AFTER_S = 3.0
# Time for the successor to catch up and to be elected; after it, a planned stop goes on anyway.
TRANSFER_TIMEOUT_S = 2.0
# Interval between checks of a read barrier. A tenth of a heartbeat interval, so that a read waits
# little longer than the replies of the quorum take.
BARRIER_POLL_S = 0.01

# Roles of a member that asks the voters for their votes.
_CANDIDATE_ROLES = (Role.PRE_CANDIDATE, Role.CANDIDATE)

_log = get_logger("consensus")


@dataclass(frozen=True, slots=True)
class LogOptions:
    """Options of a replicated log.

    Parameters
    ----------
    timing
        Heartbeat, election and lease times.
    snapshot_entries
        Number of applied entries after which a new snapshot is made.
    wanted_voters
        Number of voters to which the group grows and that it keeps, or 0 for no bound, as in a
        group whose settings name every host.
    """

    timing: Timing = field(default_factory=Timing)
    snapshot_entries: int = 2000
    wanted_voters: int = 0


class LogListener(ABC):
    """Receives the events of a log; implemented by its owner."""

    @abstractmethod
    def on_applied(self) -> None:
        """Called after commands were applied or a snapshot was restored."""

    @abstractmethod
    def on_leader_changed(self, change: LeaderChanged) -> None:
        """Called when another leader is known, or this member gained or lost leadership."""

    @abstractmethod
    def on_storage_failed(self, error: StorageError) -> None:
        """Called when the storage failed; must end the process, since no reply may be sent."""


class ReplicatedLog(CommandLog):
    """Orders commands over the control hosts by Raft and applies them on this one.

    Parameters
    ----------
    storage
        Durable state of this member.
    machine
        State machine that the committed commands are applied to.
    addresses
        Addresses of the other members. It also names the founders, the first members of a new
        group; the first of them forms the group once all others have answered that they have none.
    codec
        Encodes and authenticates the messages to and from other hosts.
    listener
        Receives applied commands, leader changes and storage failures.
    random
        Source of the random election timeouts.
    options
        Times, snapshot interval and number of voters.

    Attributes
    ----------
    core
        The Raft core of this member.

    Notes
    -----
    ``_pending_proposals`` maps a log index to the term of the command proposed there and the future
    of its outcome.
    ``_peer_tasks`` maps a member id to the event that wakes the task which sends to that peer, and
    to the task itself. ``_last_role`` is the role after the last actions.
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
        # Index 0 means that there is no snapshot.
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
        """Host name of the leader, or empty if none is known."""
        members = self.core.membership.members
        leader_id = self.core.leader_id
        # Also empty if the leader is known but not yet in this member's membership.
        return next((member.host for member in members if member.member_id == leader_id), "")

    @property
    def term(self) -> int:
        """Current term."""
        return self.core.term

    def all_voters_responsive(self) -> bool:
        """Return whether this member leads and each voter has answered recently.

        Recently means within a few heartbeat intervals; the core holds their number.
        A group of at least three voters then keeps a quorum if one of them fails.
        """
        return self.core.all_voters_responsive(self._loop.time())

    @property
    def membership(self) -> Membership:
        """Voters and learners of the log."""
        return self.core.membership

    @property
    def has_caught_up(self) -> bool:
        """Whether the state includes all that was committed when this process started."""
        return self.core.has_caught_up

    def holds_leader_lease(self) -> bool:
        """Return whether this member may serve: it leads and its leader lease has not ended.

        The lease lasts for a fixed time after the latest requests that a quorum has acknowledged
        were sent.
        """
        return self._is_running and self.core.holds_lease(self._loop.time())

    async def start(self) -> None:
        """Start the background tasks; the server that peers connect to must already listen.

        They write to storage, tick the core, ask for admission and send to the peers.
        """
        self._is_running = True
        self._start_task(self._writer.run())
        self._start_task(self._tick())
        admission = Admission(self.core.member, self._addresses, self._codec)
        self._start_task(admission.run(self._needs_admission, self._member_hosts, self._form_group))
        self._update_peer_tasks()

    async def stop(self) -> None:
        """Hand leadership over if this member leads, then stop and close the storage.

        The handover takes at most ``TRANSFER_TIMEOUT_S``. Pending proposals fail.
        """
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
        # Closing blocks until the write in progress ends; None stands for the loop's own threads.
        await self._loop.run_in_executor(None, self._writer.close)
        self._storage.close()

    async def propose(self, command: Any, timeout_s: float) -> Any:
        """Commit a command and return the result of applying it, within ``timeout_s`` seconds.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` if this member does not lead; nothing was proposed. ``CHANGE_UNKNOWN``
            if it is not known whether the command was committed, also after ``timeout_s``.
        """
        if not self.holds_leader_lease():
            raise self._no_leader_error()
        entry, actions = self.core.propose(self._machine.encode_command(command))
        if entry is None:
            raise self._no_leader_error()
        outcome_future: asyncio.Future[Any] = self._loop.create_future()
        self._pending_proposals[entry.index] = (entry.term, outcome_future)
        self._execute(actions)
        try:
            async with asyncio.timeout(timeout_s):
                return await outcome_future
        except TimeoutError as error:
            raise BaobabstreamError(ResultCode.CHANGE_UNKNOWN) from error
        finally:
            self._pending_proposals.pop(entry.index, None)

    async def read_barrier(self, timeout_s: float) -> None:
        """Wait until this member has applied every command that was committed before the call.

        The caller can then read the state without missing any of them.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` if this member does not lead, or a quorum does not confirm it within
            ``timeout_s`` seconds.

        Notes
        -----
        A quorum confirms by replies to messages that were sent after the call. The result
        therefore does not depend on clock rates, nor on a lease that a suspended process could
        wrongly consider valid.
        """
        start_s = self._loop.time()
        deadline_s = start_s + timeout_s
        committed_index = self.core.commit_index
        while True:
            if self.core.role is not Role.LEADER:
                raise self._no_leader_error()
            if (
                self.core.quorum_confirmed_since(start_s)
                and self.core.applied_index >= committed_index
            ):
                return
            if self._loop.time() >= deadline_s:
                raise self._no_leader_error()
            self._wake_peers()
            await asyncio.sleep(BARRIER_POLL_S)

    async def handle(self, sender: str, message: Any) -> Struct:
        """Answer a replication message of the peer host ``sender``, once its saves are durable.

        Raises
        ------
        PeerError
            If the message is for another member, for example for the one that this host had
            before its disk was lost; if its sender is not a control host; or if the log is stopped.
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
        # The number of the last save that the answer must wait for.
        await self._writer.wait_saved(answer.after_sequence)
        return answer.message

    def _leader_entry_payload(self, term: int) -> bytes:
        """Return the encoded command of a leader's first entry of a term."""
        command = self._machine.leader_started(self.core.member.host, term)
        return self._machine.encode_command(command)

    def _no_leader_error(self) -> PeerError:
        """Return a ``NO_LEADER`` error that names the leader to try instead, if it is another."""
        error = PeerError(ResultCode.NO_LEADER)
        error.leader = self.leader if self.leader != self.core.member.host else ""
        return error

    def _execute(self, actions: Sequence[Action]) -> Answer | None:
        """Execute actions of the core in order and return the answer among them, if any.

        The answer is not sent here, since it must wait for its saves. After other actions the tasks
        of the peers are updated and woken, since the core may have new requests for them.
        """
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
            # A pre-candidate has nothing to save, but must ask for votes at once.
            self._wake_peers()
        self._last_role = self.core.role
        return answer

    def _apply(self, entries: Sequence[LogEntry]) -> None:
        """Apply committed entries, and make a snapshot if enough entries follow the last one."""
        for entry in entries:
            if entry.kind is EntryKind.COMMAND:
                outcome = self._machine.apply(self._machine.decode_command(entry.payload))
                self._resolve_proposal(entry, outcome)
            else:
                # The entry is a membership, which is in effect already.
                self._log_membership(self.core.memberships.membership_at(entry.index))
        core = self.core
        if core.applied_index - core.snapshot.index >= self._options.snapshot_entries:
            data = self._machine.snapshot()
            self._execute(core.compact(core.applied_index, data, self._loop.time()))
        self._listener.on_applied()

    def _resolve_proposal(self, entry: LogEntry, outcome: Any) -> None:
        """Give the outcome to the call that proposed this entry.

        If the entry has another term, another leader wrote it, and the call gets
        ``CHANGE_UNKNOWN``.
        """
        # No future (and term 0) if no call on this host waits for the entry at this index.
        term, future = self._pending_proposals.get(entry.index, (0, None))
        if future is None or future.done():
            return
        if term == entry.term:
            future.set_result(outcome)
        else:
            future.set_exception(BaobabstreamError(ResultCode.CHANGE_UNKNOWN))

    def _on_leader_changed(self, change: LeaderChanged) -> None:
        """Fail pending proposals if leadership was lost, and inform the listener.

        Another leader may then replace their entries.
        """
        if change.lost_leadership:
            self._fail_pending_proposals()
        self._listener.on_leader_changed(change)

    def _fail_pending_proposals(self) -> None:
        """Fail pending calls with ``CHANGE_UNKNOWN``: their entries may still be committed."""
        for _, future in self._pending_proposals.values():
            if not future.done():
                future.set_exception(BaobabstreamError(ResultCode.CHANGE_UNKNOWN))

    def _on_saved(self, sequence: int) -> None:
        """Report that the saves up to a sequence number are durable, and execute what follows.

        Requests to peers that waited for these saves are then sent.
        """
        self._execute(self.core.on_saved(sequence, self._loop.time()))
        self._wake_peers()

    def _on_join(self, sender: str, request: JoinRequest) -> JoinReply:
        """Record a request to join and answer with what this member knows of the group.

        The reply names this member, whether it knows of a group, and the hosts of that group.

        A host may ask only for a member of its own; another request is answered but not recorded.
        """
        if sender == request.member.host:
            self.core.record_join_request(request.member, self._loop.time())
        return JoinReply(self.core.member, self.core.has_group, self._member_hosts())

    async def _tick(self) -> None:
        """Call the core's ``tick`` whenever one is due, until cancelled.

        The core has no timers; ticks start elections and end leases.
        """
        while True:
            self._execute(self.core.tick(self._loop.time()))
            await asyncio.sleep(self._tick_wait_s())

    def _tick_wait_s(self) -> float:
        """Return the seconds to the next tick, ``CANDIDATE_TICK_S`` after the core's deadline.

        A peer that heard the lost leader a little later than this member would refuse a pre-vote
        at the deadline itself, and the next pre-vote comes only after another election timeout.
        """
        if self.core.role in _CANDIDATE_ROLES:
            return CANDIDATE_TICK_S
        now_s = self._loop.time()
        return min(self.core.tick_due_s(now_s) + CANDIDATE_TICK_S - now_s, MAX_TICK_S)

    def _peer_wait_s(self, peer: Member) -> float:
        """Return the seconds for which the task of a peer sleeps unless it is woken.

        A candidate asks for votes often; a leader's task sleeps until the next heartbeat is due.
        """
        if self.core.role in _CANDIDATE_ROLES:
            return CANDIDATE_TICK_S
        wait_s = self.core.request_due_s(peer.member_id) - self._loop.time()
        return min(max(wait_s, MIN_PEER_WAIT_S), MAX_PEER_WAIT_S)

    def _member_hosts(self) -> tuple[str, ...]:
        """Return the hosts of all voters and learners."""
        return self.core.membership.hosts

    def _needs_admission(self) -> bool:
        """Return whether this member must ask to join: it is not a member or hears no leader."""
        if self.core.member not in self.core.membership.members:
            return True
        return self.core.leader_contact_age_s(self._loop.time()) > REJOIN_AFTER_S

    def _form_group(self, members: tuple[Member, ...]) -> None:
        """Form a new group of these voters, unless this member already has a group.

        A second group would have another history than the first.
        """
        if not self.core.has_group:
            _log.info("Forming a new group of %d members.", len(members))
            self._execute(self.core.bootstrap(Membership(voters=members)))

    def _update_peer_tasks(self) -> None:
        """Start and stop tasks so that one sends to each peer that has an address."""
        if not self._is_running:
            return
        peers_by_id = {member.member_id: member for member in self.core.peers}
        for member_id in set(self._peer_tasks) - set(peers_by_id):
            _, task = self._peer_tasks.pop(member_id)
            task.cancel()
        for member_id in set(peers_by_id) - set(self._peer_tasks):
            url = self._addresses.url(peers_by_id[member_id].host)
            if url is not None:
                # Set by ``_wake_peers`` to end the sleep of the task.
                wake = asyncio.Event()
                task = self._create_logged_task(
                    self._replicate_to(peers_by_id[member_id], url, wake)
                )
                self._peer_tasks[member_id] = (wake, task)

    def _wake_peers(self) -> None:
        """Wake the tasks of all peers, since the core may have requests for them."""
        for wake, _ in self._peer_tasks.values():
            wake.set()

    async def _replicate_to(self, peer: Member, url: str, wake: asyncio.Event) -> None:
        """Send the core's requests to a peer at ``url`` while it is a peer; one at a time.

        After a failed call the core is asked again for the request that is due then. ``wake`` is
        set when the core may have a request; the task waits for it if there is none.
        """
        client = RpcClient(url, self._codec)
        try:
            # A cancelled call may raise PeerError instead of CancelledError, so the condition also
            # checks whether this task is still needed.
            while self._is_running and peer in self.core.peers:
                wake.clear()
                request = self.core.request_for(peer.member_id, self._loop.time())
                if request is None:
                    await self._wait_for_wakeup(wake, self._peer_wait_s(peer))
                    continue
                sent_s = self._loop.time()
                is_snapshot = isinstance(request, SnapshotRequest)
                timeout_s = SNAPSHOT_TIMEOUT_S if is_snapshot else CALL_TIMEOUT_S
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
        """Wait until the event is set, at most ``limit_s`` seconds."""
        try:
            async with asyncio.timeout(limit_s):
                await wake.wait()
        except TimeoutError:
            pass

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine until ``stop`` cancels it."""
        self._background_tasks.append(self._create_logged_task(coroutine))

    @staticmethod
    def _create_logged_task(coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine as a task whose failure is logged, since nothing awaits its result."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(_log_task_failure)
        return task

    @staticmethod
    def _log_membership(membership: Membership) -> None:
        """Log the member ids after a membership was committed."""
        voter_ids = ", ".join(voter.member_id for voter in membership.voters)
        learner_ids = ", ".join(learner.member_id for learner in membership.learners) or "none"
        _log.info("Members are now %s; learners: %s.", voter_ids, learner_ids)


def _log_task_failure(task: asyncio.Task[None]) -> None:
    """Log the exception of a finished task, if any; a cancelled task has none."""
    if not task.cancelled() and task.exception() is not None:
        _log.error("A background task of the replicated log failed.", exc_info=task.exception())
