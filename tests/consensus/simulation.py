"""Deterministic simulation of three Raft members under faults.

A schedule runs three cores on a virtual clock over a network that delays, drops and duplicates
messages, with crashes and lost disks, all drawn from one seeded random source. Clients propose
configuration changes and claims, and the safety properties of the log are checked on the way.

A member has an id and belongs to a host; a host that lost its disk comes back with another member.
A term is a numbered period with at most one leader. An entry is one record of the log, committed
once no leader can replace it any more. A save is a numbered change of a member's storage; a sync
makes it durable, which means safe in a crash. A leader lease is the time in which only the current
leader may serve. A configuration change that is accepted raises the revision of the configuration;
a claim gives one request the exclusive right to run an idempotency key until it is released.

Times are seconds of virtual time; each host's own clock has an offset and another rate.
"""

import heapq
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from msgspec.msgpack import Decoder, Encoder

from baobabstream.consensus.core import RaftCore, Role
from baobabstream.consensus.records import Answer, Apply, LeaderChanged, Restore, Save, Timing
from baobabstream.consensus.storage import MemoryStorage
from baobabstream.control.commands import Command, ConfigChange, LeaderStarted, UpdateClaim
from baobabstream.control.state import ConfigState
from baobabstream.control.state_machine import ConfigStateMachine
from baobabstream.errors.codes import ResultCode
from baobabstream.wire.consensus_messages import EntryKind, Member, Membership
from baobabstream.wire.messages import ClaimAction, ClaimRequest
from baobabstream.wire.rows import VersionRow
from consensus.history_checker import ClaimOperation, is_linearizable

__all__ = ["ScheduleOptions", "Simulation", "CompactingCore", "Violation", "run_schedule"]

# Time between two ticks of a core, which let it start elections and end its lease.
TICK_INTERVAL_S = 0.025
# Time after which a member gives up a request to a peer and may send the next one.
CALL_TIMEOUT_S = 0.3
# Time after which a client regards the outcome of its operation as unknown.
OPERATION_TIMEOUT_S = 2.0
# Times of the schedule at which faults stop, clients stop, and the final checks are made.
FAULTS_END_S = 14.0
CLIENTS_END_S = 18.0
END_S = 21.0
# Number of applied entries after which a member makes a snapshot.
SNAPSHOT_ENTRIES = 25
# The rate of each host's clock differs from 1 by at most this fraction; monotonic clocks of real
# hosts differ by less.
CLOCK_DRIFT = 0.005

_encoder = Encoder()
_decoder = Decoder(Command)


class Violation(AssertionError):
    """Raised when a safety property of the log does not hold; the text names the property."""


class CompactingCore(RaftCore):
    """Raft core that keeps few entries before a snapshot and sends snapshots in small parts.

    The short schedules then also cover the transfer of a snapshot in several parts.
    """

    kept_entries = 8
    snapshot_part_bytes = 700


@dataclass(frozen=True)
class ScheduleOptions:
    """Options of a schedule.

    Parameters
    ----------
    core, storage
        Classes of the members; tests pass subclasses with one mechanism switched off.
    lost_disk_keeps_identity
        Whether a host that lost its disk comes back under its old member id, which is a fault.
    drop_probability, duplicate_probability
        Probability from 0 to 1 that a message is lost, or that it is sent twice.
    loses_disks
        Whether hosts may lose their disks.
    injects_random_faults
        Whether crashes, network cuts and lost disks happen at random times.
    """

    core: type[RaftCore] = CompactingCore
    storage: type[MemoryStorage] = MemoryStorage
    lost_disk_keeps_identity: bool = False
    drop_probability: float = 0.05
    duplicate_probability: float = 0.05
    loses_disks: bool = True
    injects_random_faults: bool = True


@dataclass
class _Operation:
    """Operation of a client: a "change" or a "claim", proposed at ``start_s``.

    ``client`` is the number of the client. ``is_recorded`` says whether its outcome, or that it is
    unknown, has been recorded.
    """

    kind: str
    command: Command
    start_s: float
    client: int
    is_recorded: bool = False


@dataclass
class _Node:
    """One host of the group.

    Attributes
    ----------
    host, storage
        Name of the host, and the storage of its current member.
    clock_offset_s, clock_rate
        The host's clock shows the offset plus the rate times the virtual time.
    core
        Raft core, or None while the host is stopped.
    state
        State machine.
    incarnation
        Number of crashes so far; events of an earlier incarnation are ignored.
    calls_in_flight
        By member id of a peer, the number of the call that waits for its reply.
    waiting_answers
        Answers that wait for a save, with the function that sends the message.
    saved_sequence
        Sequence number of the last save that is durable.
    next_sync_s
        Virtual time at which the last written save becomes durable.
    pending_operations
        By log index, the term and operation of the command proposed there.
    """

    host: str
    storage: MemoryStorage
    clock_offset_s: float
    clock_rate: float
    core: RaftCore | None = None
    state: ConfigState = field(default_factory=ConfigState)
    incarnation: int = 0
    calls_in_flight: dict[str, int] = field(default_factory=dict)
    waiting_answers: list[tuple[Answer, Callable]] = field(default_factory=list)
    saved_sequence: int = 0
    next_sync_s: float = 0.0
    pending_operations: dict[int, tuple[int, _Operation]] = field(default_factory=dict)


class Simulation:
    """One schedule, fully determined by its seed and options.

    Attributes
    ----------
    accepted_count
        Number of accepted configuration changes.
    repair_count, lost_disk_count
        Number of completed membership repairs and of lost disks.
    leader_by_term
        Member id and incarnation of the leader of each term.
    nodes
        Hosts by name.
    """

    def __init__(self, seed: int, options: ScheduleOptions) -> None:
        self.random = Random(seed)
        # Longest time between two faults; some schedules have many and some have few.
        self._fault_interval_s = self.random.choice([1.0, 2.0, 6.0])
        self.options = options
        self.now_s = 0.0
        self.accepted_count = 0
        self.repair_count = 0
        self.lost_disk_count = 0
        self.leader_by_term: dict[int, str] = {}
        # Events at the same time run in the order in which they were scheduled.
        self._event_numbers = count()
        # Heap of pending events: time, number and action.
        self._events: list[tuple[float, int, Callable]] = []
        # Pairs of source and target host between which no message is delivered.
        self._cut_links: set[tuple[str, str]] = set()
        # Numbers for the ids of members, calls, changes and requests.
        self._identity_numbers = count(1)
        self._call_numbers = count(1)
        self._change_numbers = count(1)
        self._request_numbers = count(1)
        # Term and payload by index, of each entry that some host applied.
        self._committed: dict[int, tuple[int, bytes]] = {}
        # The outcome with which each change was accepted; it must not be accepted with another.
        self._outcome_by_change_id: dict[str, object] = {}
        # By base revision, the id of the one change that was accepted on it.
        self._accepted_change_by_base: dict[int, str] = {}
        # Highest revision that a client was told; no leader may serve an earlier one.
        self._acknowledged_revision = 0
        # By idempotency key, the operations on its claim.
        self._claim_histories: dict[str, list[ClaimOperation]] = defaultdict(list)
        # Host that lost its disk and whose new member is not yet a voter, or empty.
        self._host_under_repair = ""
        self._proposed_at: dict[str, int] = {}
        # By client, the change whose outcome is unknown; it is proposed again with the same id.
        self._changes_to_resend: dict[int, ConfigChange] = {}
        self.nodes = {host: self._make_node(host) for host in ("a", "b", "c")}

    @property
    def claim_count(self) -> int:
        """Number of claim calls in the history."""
        return sum(len(history) for history in self._claim_histories.values())

    # Schedule

    def run(self) -> None:
        """Run the schedule to its end and check all properties."""
        for node in self.nodes.values():
            self._start(node)
        first_node = self.nodes["a"]
        members = tuple(node.storage.member for node in self.nodes.values())
        self._execute(first_node, first_node.core.bootstrap(Membership(voters=members)))
        # The first operations come after 0.5 s, the first fault after 1.5 s.
        for client in range(3):
            self.schedule_after(0.5, lambda client=client: self._run_client(client))
        if self.options.injects_random_faults:
            self.schedule_after(1.5, self._inject_fault)
        self.schedule_after(FAULTS_END_S, self._end_faults)
        while self._events and self._events[0][0] < END_S:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self._check_end()

    def schedule_after(self, delay_s: float, action: Callable) -> None:
        """Run an action ``delay_s`` seconds of virtual time from now."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._event_numbers), action))

    def _inject_fault(self) -> None:
        """Inject a random fault of a random host, and schedule the next one.

        "cut" isolates the host in both directions, "one_way" in one, and "link" cuts it off from
        one other host; "disk" stands twice in the list, so that it is drawn twice as often. A fault
        that is not possible now is left out.
        """
        if self.now_s >= FAULTS_END_S:
            return
        node = self.random.choice(list(self.nodes.values()))
        other_hosts = [host for host in self.nodes if host != node.host]
        duration_s = self.random.uniform(0.2, 3.0)
        fault_kind = self.random.choice(["crash", "cut", "one_way", "link", "disk", "disk"])
        if fault_kind == "crash" and node.core is not None:
            self.crash(node)
            self.schedule_after(duration_s, lambda: self._start(node))
        elif fault_kind == "disk" and self.options.loses_disks and self._is_group_complete():
            self._lose_disk(node)
        elif fault_kind in ("cut", "one_way", "link"):
            incoming_links = {(host, node.host) for host in other_hosts}
            outgoing_links = {(node.host, host) for host in other_hosts}
            link_to_other = {(node.host, other_hosts[0]), (other_hosts[0], node.host)}
            links_by_fault = {
                "cut": incoming_links | outgoing_links,
                "one_way": self.random.choice([incoming_links, outgoing_links]),
                "link": link_to_other,
            }
            self._cut_links |= links_by_fault[fault_kind]
            self.schedule_after(
                duration_s, lambda: self._cut_links.difference_update(links_by_fault[fault_kind])
            )
        self.schedule_after(
            self.random.uniform(0.1, 1.0) * self._fault_interval_s, self._inject_fault
        )

    def _end_faults(self) -> None:
        """Restore the network, stop message loss, and start all stopped hosts.

        The group must then converge, which ``_check_end`` checks.
        """
        self._cut_links.clear()
        self.options = ScheduleOptions(
            self.options.core,
            self.options.storage,
            drop_probability=0.0,
            duplicate_probability=0.0,
            loses_disks=False,
        )
        for node in self.nodes.values():
            self._start(node)

    def isolate(self, host: str, start_s: float, duration_s: float) -> None:
        """Cut a host off in both directions, ``start_s`` seconds from now, for ``duration_s``."""
        links = {(host, other) for other in self.nodes} | {(other, host) for other in self.nodes}
        self.schedule_after(start_s, lambda: self._cut_links.update(links))
        self.schedule_after(start_s + duration_s, lambda: self._cut_links.difference_update(links))

    def crash(self, node: _Node) -> None:
        """Stop a host; writes that were not synced are lost."""
        node.core = None
        node.incarnation += 1
        node.storage.crash()
        self._drop_pending(node)

    def _lose_disk(self, node: _Node) -> None:
        """Crash a host and restart it with an empty storage, normally under a new member id."""
        self.crash(node)
        self.lost_disk_count += 1
        member = node.storage.member
        if not self.options.lost_disk_keeps_identity:
            member = Member(f"{node.host}#{next(self._identity_numbers)}", node.host)
        node.storage = self.options.storage(member)
        self._host_under_repair = node.host
        # The host is back after 0.3 s.
        self.schedule_after(0.3, lambda: self._start(node))

    def _is_group_complete(self) -> bool:
        """Return whether the voters are exactly the current members of all hosts.

        A leader that holds the lease must have committed this membership.
        """
        current_members = {node.storage.member for node in self.nodes.values()}
        return any(
            core.role is Role.LEADER
            and core.memberships.current_index <= core.commit_index
            and core.commit_index >= core._term_start_index
            and set(core.membership.voters) == current_members
            and core.holds_lease(self._clock(node))
            for node in self.nodes.values()
            if (core := node.core) is not None
        )

    def _check_repair_end(self) -> None:
        """Count a completed repair; half of the time another host then loses its disk.

        A repair is complete when the new member of the host that lost its disk is a voter. A disk
        lost just after it shows whether that member stores all committed entries.
        """
        if not self._host_under_repair or not self._is_group_complete():
            return
        repaired_host = self._host_under_repair
        self._host_under_repair = ""
        self.repair_count += 1
        if self.options.loses_disks and self.random.random() < 0.5:
            other_nodes = [node for host, node in self.nodes.items() if host != repaired_host]
            self._lose_disk(self.random.choice(other_nodes))

    # Nodes

    def _make_node(self, host: str) -> _Node:
        """Return a stopped host with an empty storage and a random clock."""
        storage = self.options.storage(Member(f"{host}#{next(self._identity_numbers)}", host))
        clock_rate = self.random.uniform(1 - CLOCK_DRIFT, 1 + CLOCK_DRIFT)
        # The clock starts at a random time in seconds: times of two hosts cannot be compared.
        return _Node(host, storage, self.random.uniform(0, 1000), clock_rate)

    def _clock(self, node: _Node) -> float:
        """Return the time that the clock of a host shows now, in seconds."""
        return node.clock_offset_s + self.now_s * node.clock_rate

    def _start(self, node: _Node) -> None:
        """Start a stopped host from its storage."""
        if node.core is not None:
            return
        node.state = ConfigState()
        node.calls_in_flight, node.waiting_answers, node.saved_sequence = {}, [], 0
        node.core = self.options.core(
            node.storage.member,
            node.storage.load(),
            Timing(),
            self.random,
            self._clock(node),
            lambda term: _encoder.encode(LeaderStarted(node.host, term)),
        )
        # Index 0 means that there is no snapshot.
        if node.core.snapshot.index:
            ConfigStateMachine(node.state).restore(node.core.snapshot.data)
        self._tick(node, node.incarnation)

    def _tick(self, node: _Node, incarnation: int) -> None:
        """Tick the core, let a member with an empty disk ask to join, and check properties.

        Schedules the next tick, unless the host has crashed since ``incarnation``.
        """
        if node.incarnation != incarnation:
            return
        self._execute(node, node.core.tick(self._clock(node)))
        if node.core is None:
            return
        members = node.core.membership.voters + node.core.membership.learners
        if (
            node.storage.member not in members
            and node.storage.member.host == self._host_under_repair
        ):
            for other in self.nodes.values():
                if other.core is not None and (node.host, other.host) not in self._cut_links:
                    other.core.record_join_request(node.storage.member, self._clock(other))
        self._check_leases()
        self._check_repair_end()
        self.schedule_after(TICK_INTERVAL_S, lambda: self._tick(node, incarnation))

    def _execute(self, node: _Node, actions: list, answer_to: Callable | None = None) -> None:
        """Execute actions of a core; ``answer_to`` sends the answer to a request among them."""
        for action in actions:
            match action:
                case Save():
                    self._check_promotion(node, action)
                    node.storage.write([action])
                    # A sync takes one of these times; a save is durable after the one before it.
                    delay_s = self.random.choice([0.0005, 0.002, 0.02])
                    node.next_sync_s = max(node.next_sync_s, self.now_s + delay_s)
                    guarded_action = self._for_this_incarnation(
                        node, lambda save=action: self._sync(node, save)
                    )
                    self.schedule_after(node.next_sync_s - self.now_s, guarded_action)
                case Apply():
                    for entry in action.entries:
                        self._apply(node, entry)
                    core = node.core
                    if core.applied_index - core.snapshot.index >= SNAPSHOT_ENTRIES:
                        data = ConfigStateMachine(node.state).snapshot()
                        self._execute(
                            node, core.compact(core.applied_index, data, self._clock(node))
                        )
                case Restore():
                    ConfigStateMachine(node.state).restore(action.snapshot.data)
                case LeaderChanged():
                    self._on_leader_changed(node, action)
                case Answer():
                    node.waiting_answers.append((action, answer_to))
        self._flush_answers(node)
        self._send_due_requests(node)

    def _for_this_incarnation(self, node: _Node, action: Callable) -> Callable:
        """Return a function that runs the action unless the host has crashed in the meantime."""
        incarnation = node.incarnation
        return lambda *args: action(*args) if node.incarnation == incarnation else None

    def _sync(self, node: _Node, save: Save) -> None:
        """Make the oldest written save durable and report it to the core."""
        node.storage.sync(1)  # the number of saves
        node.saved_sequence = save.sequence
        self._execute(node, node.core.on_saved(save.sequence, self._clock(node)))

    def _flush_answers(self, node: _Node) -> None:
        """Send the answers whose saves are durable."""
        # Item 0 of each pair is the answer, item 1 the function that sends it.
        due_answers = [
            item for item in node.waiting_answers if item[0].after_sequence <= node.saved_sequence
        ]
        node.waiting_answers = [
            item for item in node.waiting_answers if item[0].after_sequence > node.saved_sequence
        ]
        for answer, send_reply in due_answers:
            send_reply(answer.message)

    def _send_due_requests(self, node: _Node) -> None:
        """Send the requests of the core to peers without a call in flight."""
        for peer in node.core.peers:
            if peer.member_id in node.calls_in_flight:
                continue
            request = node.core.request_for(peer.member_id, self._clock(node))
            if request is not None:
                self._call(node, peer, request)

    # Network

    def _call(self, node: _Node, peer: Member, request) -> None:
        """Send a request to a peer and pass its reply to the core.

        The next request to the peer may follow after the reply, or after ``CALL_TIMEOUT_S``. The
        peer does not answer if it is stopped or now has another member id.
        """
        call_number, sent_s, target = (
            next(self._call_numbers),
            self._clock(node),
            self.nodes[peer.host],
        )
        node.calls_in_flight[peer.member_id] = call_number

        def finish() -> None:
            if node.calls_in_flight.get(peer.member_id) == call_number:
                del node.calls_in_flight[peer.member_id]
                self._send_due_requests(node)

        def on_reply(reply) -> None:
            now_s = self._clock(node)
            self._execute(node, node.core.handle_reply(request, reply, sent_s, now_s))
            finish()

        def on_request() -> None:
            if target.core is None or target.storage.member.member_id != peer.member_id:
                return
            request_actions = target.core.handle(request, self._clock(target))
            guarded_action = self._for_this_incarnation(node, on_reply)
            self._execute(
                target,
                request_actions,
                lambda reply: self._send(target, node, guarded_action, reply),
            )

        self._send(node, target, on_request)
        self.schedule_after(CALL_TIMEOUT_S, self._for_this_incarnation(node, finish))

    def _send(self, source: _Node, target: _Node, action: Callable, *arguments) -> None:
        """Deliver a message to ``target`` by calling ``action`` there; it may be lost or copied."""
        # 1 or 2 copies; True counts as 1.
        copy_count = 1 + (self.random.random() < self.options.duplicate_probability)
        for _ in range(copy_count):
            if self.random.random() < self.options.drop_probability:
                continue
            # Seconds; the long delays let messages overtake others and calls time out.
            delay_s = self.random.choice([0.001, 0.003, 0.003, 0.05, self.random.uniform(0, 0.4)])
            if self.now_s >= FAULTS_END_S:
                delay_s = 0.002
            incarnation = target.incarnation

            def deliver(incarnation=incarnation) -> None:
                is_cut = (source.host, target.host) in self._cut_links
                if not is_cut and target.core is not None and target.incarnation == incarnation:
                    action(*arguments)

            self.schedule_after(delay_s, deliver)

    # Clients

    def _run_client(self, client: int) -> None:
        """Let a client propose one operation to a serving leader, and schedule its next one.

        Client 2 proposes claims, the others configuration changes.
        """
        if self.now_s < CLIENTS_END_S:
            self.schedule_after(self.random.uniform(0.02, 0.12), lambda: self._run_client(client))
        serving_nodes = [
            node
            for node in self.nodes.values()
            if node.core is not None and node.core.holds_lease(self._clock(node))
        ]
        if not serving_nodes:
            return
        node = self.random.choice(serving_nodes)
        if client == 2:
            self._propose_claim(node, client)
        else:
            self._propose_change(node, client)

    def _propose_change(self, node: _Node, client: int) -> None:
        """Propose a new change, or again the one whose outcome this client does not know.

        A leader that serves must know every change that a client was told of.
        """
        if node.state.revision < self._acknowledged_revision:
            raise Violation(f"{node.host} served revision {node.state.revision} after a later one")
        change = self._changes_to_resend.pop(client, None)
        if change is None:
            number = next(self._change_numbers)
            # One of 7 versions of the model "small", with the number as cost per 1000 tokens.
            row = VersionRow("small", str(number % 7), float(number))
            # Change id, operator, base revision and new rows.
            change = ConfigChange(f"c{number}", "o", node.state.operator_revision, (row,))
        self._propose(node, _Operation("change", change, self.now_s, client))

    def _propose_claim(self, node: _Node, client: int) -> None:
        """Propose to claim or to release an idempotency key for one of three requests.

        The key changes every second, which keeps the history of each one short.
        """
        # Claims are drawn twice as often as releases. "desk" is the client account.
        action = self.random.choice([ClaimAction.CLAIM, ClaimAction.CLAIM, ClaimAction.NOT_RUN])
        request = ClaimRequest(
            action,
            "desk",
            f"key-{int(self.now_s)}",
            body_digest="d",
            request_id=f"r{self.random.randrange(3)}",
            host="entry",
        )
        # Wall time 0 milliseconds: the simulation does not use it.
        self._propose(node, _Operation("claim", UpdateClaim(request, 0), self.now_s, client))

    def _propose(self, node: _Node, operation: _Operation) -> None:
        """Propose the command of an operation; its outcome is unknown after a timeout."""
        entry, actions = node.core.propose(_encoder.encode(operation.command))
        if entry is None:
            return
        node.pending_operations[entry.index] = (entry.term, operation)
        self.schedule_after(OPERATION_TIMEOUT_S, lambda: self._record_outcome(operation, None))
        self._execute(node, actions)

    def _record_outcome(self, operation: _Operation, outcome) -> None:
        """Record the outcome of an operation once; None means that it is unknown."""
        if operation.is_recorded:
            return
        operation.is_recorded = True
        if operation.kind == "claim":
            request = operation.command.request
            action = "claim" if request.action is ClaimAction.CLAIM else "release"
            result = ResultCode(outcome.claim.code).name if outcome is not None else None
            end_s = self.now_s if outcome is not None else float("inf")
            record = ClaimOperation(action, request.request_id, operation.start_s, end_s, result)
            self._claim_histories[request.idempotency_key].append(record)
        elif outcome is None:
            self._changes_to_resend[operation.client] = operation.command
        elif outcome.code is ResultCode.OK:
            self.accepted_count += 1
            self._acknowledged_revision = max(self._acknowledged_revision, outcome.revision)

    def _drop_pending(self, node: _Node) -> None:
        """Record that the outcome of all pending operations of a host is unknown."""
        for _, operation in node.pending_operations.values():
            self._record_outcome(operation, None)
        node.pending_operations.clear()

    # Properties

    def _apply(self, node: _Node, entry) -> None:
        """Apply a committed entry and check that all hosts apply the same entries and outcomes."""
        committed = self._committed.setdefault(entry.index, (entry.term, entry.payload))
        if committed != (entry.term, entry.payload):
            raise Violation(f"state machine safety: index {entry.index} differs on {node.host}")
        if entry.kind is not EntryKind.COMMAND:
            return
        command = _decoder.decode(entry.payload)
        outcome = node.state.apply(command)
        if isinstance(command, ConfigChange) and outcome.code is ResultCode.OK:
            if self._outcome_by_change_id.setdefault(command.change_id, outcome) != outcome:
                raise Violation(f"change {command.change_id} got a second outcome")
            accepted_change_id = self._accepted_change_by_base.setdefault(
                command.base_revision, command.change_id
            )
            if accepted_change_id != command.change_id:
                raise Violation(f"two changes on base {command.base_revision} were accepted")
        # No operation (and term 0) if no client proposed a command at this index on this host. An
        # entry of another term was written by another leader.
        term, operation = node.pending_operations.pop(entry.index, (0, None))
        if operation is not None:
            self._record_outcome(operation, outcome if term == entry.term else None)

    def _on_leader_changed(self, node: _Node, change: LeaderChanged) -> None:
        """Check that a new leader is the only one of its term and has all committed entries."""
        if change.lost_leadership:
            self._drop_pending(node)
        if not change.is_leader:
            return
        identity = f"{node.storage.member.member_id}/{node.incarnation}"
        if self.leader_by_term.setdefault(change.term, identity) != identity:
            raise Violation(f"election safety: two leaders in term {change.term}")
        log = node.core.log
        for index, (term, _) in self._committed.items():
            if index > log.base_index and log.term_at(index) != term:
                raise Violation(f"leader completeness: {node.host} lacks index {index}")

    def _check_leases(self) -> None:
        """Check that at most one host holds the leader lease."""
        lease_holders = [
            node.host
            for node in self.nodes.values()
            if node.core is not None and node.core.holds_lease(self._clock(node))
        ]
        if len(lease_holders) > 1:
            raise Violation(f"leader leases of {lease_holders} overlap")

    def _check_promotion(self, node: _Node, save: Save) -> None:
        """Check that a member that becomes a voter stores all entries committed by the leader."""
        if node.core.role is not Role.LEADER:
            return
        for entry in save.entries:
            # Entry 1 is the membership with which the group began.
            if entry.kind is not EntryKind.MEMBERSHIP or entry.index == 1:
                continue
            voters = set(node.core.memberships.membership_at(entry.index).voters)
            for member in voters - set(node.core.memberships.membership_at(entry.index - 1).voters):
                stored = self.nodes[member.host].storage.load()
                last_stored_index = stored.base_index + len(stored.entries)
                if last_stored_index < node.core.commit_index:
                    raise Violation(f"{member.member_id} was promoted before it caught up")

    def _check_end(self) -> None:
        """Check the logs, states and claim histories after all faults have ended."""
        cores = [node.core for node in self.nodes.values()]
        for left_core in cores:
            for right_core in cores:
                self._check_matching(left_core.log, right_core.log)
        if len({core.applied_index for core in cores}) > 1 or not self._is_group_complete():
            raise Violation("the group did not converge after the faults ended")
        states = [ConfigStateMachine(node.state).snapshot() for node in self.nodes.values()]
        if len(set(states)) > 1:
            raise Violation("the states differ")
        for key, history in self._claim_histories.items():
            if not is_linearizable(history):
                raise Violation(f"claim {key} is not linearizable")

    @staticmethod
    def _check_matching(left_log, right_log) -> None:
        """Check that two logs are equal up to the last index at which their terms agree."""
        first = max(left_log.base_index, right_log.base_index) + 1
        last = min(left_log.last_index, right_log.last_index)
        equal_term_indexes = [
            n for n in range(first, last + 1) if left_log.term_at(n) == right_log.term_at(n)
        ]
        if equal_term_indexes and left_log.entries(
            first, equal_term_indexes[-1]
        ) != right_log.entries(first, equal_term_indexes[-1]):
            raise Violation("log matching")


def run_schedule(seed: int, options: ScheduleOptions) -> Simulation:
    """Run one schedule and return it; raises Violation if a property does not hold."""
    simulation = Simulation(seed, options)
    simulation.run()
    return simulation
