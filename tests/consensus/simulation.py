"""Deterministic group of Raft cores: virtual clock, faulty network, crashes and lost disks."""

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

__all__ = ["Options", "Simulation", "CompactingCore", "Violation", "run_schedule"]

TICK_S = 0.025
CALL_TIMEOUT_S = 0.3
OPERATION_TIMEOUT_S = 2.0
FAULTS_END_S = 14.0
CLIENTS_END_S = 18.0
END_S = 21.0
SNAPSHOT_ENTRIES = 25
# Monotonic clocks of hosts run at rates that differ by less than this.
CLOCK_DRIFT = 0.005

_encoder = Encoder()
_decoder = Decoder(Command)


class Violation(AssertionError):
    """A property of the log does not hold."""


class CompactingCore(RaftCore):
    """Core that compacts early and sends snapshots in several parts."""

    kept_entries = 8
    snapshot_part_bytes = 700


@dataclass(frozen=True)
class Options:
    """What a schedule consists of; mechanisms are switched off by other classes or flags."""

    core: type[RaftCore] = CompactingCore
    storage: type[MemoryStorage] = MemoryStorage
    lost_disk_keeps_identity: bool = False
    drop: float = 0.05
    duplicate: float = 0.05
    disk_losses: bool = True
    random_faults: bool = True


@dataclass
class _Operation:
    kind: str
    command: Command
    start_s: float
    client: int
    settled: bool = False


@dataclass
class _Node:
    host: str
    storage: MemoryStorage
    clock_offset_s: float
    clock_rate: float
    core: RaftCore | None = None
    state: ConfigState = field(default_factory=ConfigState)
    incarnation: int = 0
    in_flight: dict[str, int] = field(default_factory=dict)
    answers: list[tuple[Answer, Callable]] = field(default_factory=list)
    saved: int = 0
    next_sync_s: float = 0.0
    pending: dict[int, tuple[int, _Operation]] = field(default_factory=dict)


class Simulation:
    """One schedule, fully determined by its seed and options."""

    def __init__(self, seed: int, options: Options) -> None:
        self.random = Random(seed)
        self._fault_interval_s = self.random.choice([1.0, 2.0, 6.0])
        self.options = options
        self.now_s = 0.0
        self.accepted_count = 0
        self.repairs = 0
        self.lost_disks = 0
        self.leaders: dict[int, str] = {}
        self._order = count()
        self._events: list[tuple[float, int, Callable]] = []
        self._cut: set[tuple[str, str]] = set()
        self._identities = count(1)
        self._calls = count(1)
        self._changes = count(1)
        self._requests = count(1)
        self._committed: dict[int, tuple[int, bytes]] = {}
        self._outcomes: dict[str, object] = {}
        self._accepted_base: dict[int, str] = {}
        self._acknowledged_revision = 0
        self._claims: dict[str, list[ClaimOperation]] = defaultdict(list)
        self._repairing = ""
        self._proposed_at: dict[str, int] = {}
        self._resend: dict[int, ConfigChange] = {}
        self.nodes = {host: self._make_node(host) for host in ("a", "b", "c")}

    @property
    def claim_count(self) -> int:
        """Number of claim calls in the history."""
        return sum(len(history) for history in self._claims.values())

    # Schedule

    def run(self) -> None:
        """Run to the end and check all properties."""
        for node in self.nodes.values():
            self._start(node)
        first = self.nodes["a"]
        members = tuple(node.storage.member for node in self.nodes.values())
        self._run(first, first.core.bootstrap(Membership(voters=members)))
        for client in range(3):
            self.at(0.5, lambda client=client: self._client(client))
        if self.options.random_faults:
            self.at(1.5, self._fault)
        self.at(FAULTS_END_S, self._heal_all)
        while self._events and self._events[0][0] < END_S:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self._check_end()

    def at(self, delay_s: float, action: Callable) -> None:
        """Run an action after a delay."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._order), action))

    def _fault(self) -> None:
        if self.now_s >= FAULTS_END_S:
            return
        node = self.random.choice(list(self.nodes.values()))
        others = [host for host in self.nodes if host != node.host]
        length_s = self.random.uniform(0.2, 3.0)
        kind = self.random.choice(["crash", "cut", "one_way", "link", "disk", "disk"])
        if kind == "crash" and node.core is not None:
            self.crash(node)
            self.at(length_s, lambda: self._start(node))
        elif kind == "disk" and self.options.disk_losses and self._complete():
            self._lose_disk(node)
        elif kind in ("cut", "one_way", "link"):
            into = {(host, node.host) for host in others}
            out = {(node.host, host) for host in others}
            both = {(node.host, others[0]), (others[0], node.host)}
            lost = {"cut": into | out, "one_way": self.random.choice([into, out]), "link": both}
            self._cut |= lost[kind]
            self.at(length_s, lambda: self._cut.difference_update(lost[kind]))
        self.at(self.random.uniform(0.1, 1.0) * self._fault_interval_s, self._fault)

    def _heal_all(self) -> None:
        self._cut.clear()
        self.options = Options(
            self.options.core, self.options.storage, drop=0.0, duplicate=0.0, disk_losses=False
        )
        for node in self.nodes.values():
            self._start(node)

    def isolate(self, host: str, start_s: float, length_s: float) -> None:
        """Cut a host off in both directions for a time."""
        links = {(host, other) for other in self.nodes} | {(other, host) for other in self.nodes}
        self.at(start_s, lambda: self._cut.update(links))
        self.at(start_s + length_s, lambda: self._cut.difference_update(links))

    def crash(self, node: _Node) -> None:
        """Stop a node and lose what it had not synced."""
        node.core = None
        node.incarnation += 1
        node.storage.crash()
        self._forget_pending(node)

    def _lose_disk(self, node: _Node) -> None:
        self.crash(node)
        self.lost_disks += 1
        member = node.storage.member
        if not self.options.lost_disk_keeps_identity:
            member = Member(f"{node.host}#{next(self._identities)}", node.host)
        node.storage = self.options.storage(member)
        self._repairing = node.host
        self.at(0.3, lambda: self._start(node))

    def _complete(self) -> bool:
        """Return whether every current identity is a voter, committed on the leader."""
        identities = {node.storage.member for node in self.nodes.values()}
        return any(
            core.role is Role.LEADER
            and core.memberships.current_index <= core.commit_index
            and core.commit_index >= core._term_start_index
            and set(core.membership.voters) == identities
            and core.holds_lease(self._clock(node))
            for node in self.nodes.values()
            if (core := node.core) is not None
        )

    def _check_repair(self) -> None:
        if not self._repairing or not self._complete():
            return
        repaired = self._repairing
        self._repairing = ""
        self.repairs += 1
        if self.options.disk_losses and self.random.random() < 0.5:
            others = [node for host, node in self.nodes.items() if host != repaired]
            self._lose_disk(self.random.choice(others))

    # Nodes

    def _make_node(self, host: str) -> _Node:
        storage = self.options.storage(Member(f"{host}#{next(self._identities)}", host))
        rate = self.random.uniform(1 - CLOCK_DRIFT, 1 + CLOCK_DRIFT)
        return _Node(host, storage, self.random.uniform(0, 1000), rate)

    def _clock(self, node: _Node) -> float:
        return node.clock_offset_s + self.now_s * node.clock_rate

    def _start(self, node: _Node) -> None:
        if node.core is not None:
            return
        node.state = ConfigState()
        node.in_flight, node.answers, node.saved = {}, [], 0
        node.core = self.options.core(
            node.storage.member,
            node.storage.load(),
            Timing(),
            self.random,
            self._clock(node),
            lambda term: _encoder.encode(LeaderStarted(node.host, term)),
        )
        if node.core.snapshot.index:
            ConfigStateMachine(node.state).restore(node.core.snapshot.data)
        self._tick(node, node.incarnation)

    def _tick(self, node: _Node, incarnation: int) -> None:
        if node.incarnation != incarnation:
            return
        self._run(node, node.core.tick(self._clock(node)))
        if node.core is None:
            return
        members = node.core.membership.voters + node.core.membership.learners
        if node.storage.member not in members and node.storage.member.host == self._repairing:
            for other in self.nodes.values():
                if other.core is not None and (node.host, other.host) not in self._cut:
                    other.core.record_join_request(node.storage.member, self._clock(other))
        self._check_leases()
        self._check_repair()
        self.at(TICK_S, lambda: self._tick(node, incarnation))

    def _run(self, node: _Node, actions: list, answer_to: Callable | None = None) -> None:
        for action in actions:
            match action:
                case Save():
                    self._note_promotion(node, action)
                    node.storage.write([action])
                    delay_s = self.random.choice([0.0005, 0.002, 0.02])
                    node.next_sync_s = max(node.next_sync_s, self.now_s + delay_s)
                    step = self._guarded(node, lambda save=action: self._sync(node, save))
                    self.at(node.next_sync_s - self.now_s, step)
                case Apply():
                    for entry in action.entries:
                        self._apply(node, entry)
                    core = node.core
                    if core.applied_index - core.snapshot.index >= SNAPSHOT_ENTRIES:
                        data = ConfigStateMachine(node.state).snapshot()
                        self._run(node, core.compact(core.applied_index, data, self._clock(node)))
                case Restore():
                    ConfigStateMachine(node.state).restore(action.snapshot.data)
                case LeaderChanged():
                    self._on_leader(node, action)
                case Answer():
                    node.answers.append((action, answer_to))
        self._flush_answers(node)
        self._pump(node)

    def _guarded(self, node: _Node, action: Callable) -> Callable:
        incarnation = node.incarnation
        return lambda *args: action(*args) if node.incarnation == incarnation else None

    def _sync(self, node: _Node, save: Save) -> None:
        node.storage.sync(1)
        node.saved = save.sequence
        self._run(node, node.core.on_saved(save.sequence, self._clock(node)))

    def _flush_answers(self, node: _Node) -> None:
        ready = [item for item in node.answers if item[0].after_sequence <= node.saved]
        node.answers = [item for item in node.answers if item[0].after_sequence > node.saved]
        for answer, reply in ready:
            reply(answer.message)

    def _pump(self, node: _Node) -> None:
        for peer in node.core.peers:
            if peer.member_id in node.in_flight:
                continue
            request = node.core.request_for(peer.member_id, self._clock(node))
            if request is not None:
                self._call(node, peer, request)

    # Network

    def _call(self, node: _Node, peer: Member, request) -> None:
        call, sent_s, target = next(self._calls), self._clock(node), self.nodes[peer.host]
        node.in_flight[peer.member_id] = call

        def finish() -> None:
            if node.in_flight.get(peer.member_id) == call:
                del node.in_flight[peer.member_id]
                self._pump(node)

        def on_reply(reply) -> None:
            now_s = self._clock(node)
            self._run(node, node.core.handle_reply(request, reply, sent_s, now_s))
            finish()

        def on_request() -> None:
            if target.core is None or target.storage.member.member_id != peer.member_id:
                return
            handled = target.core.handle(request, self._clock(target))
            step = self._guarded(node, on_reply)
            self._run(target, handled, lambda reply: self._send(target, node, step, reply))

        self._send(node, target, on_request)
        self.at(CALL_TIMEOUT_S, self._guarded(node, finish))

    def _send(self, source: _Node, target: _Node, action: Callable, *arguments) -> None:
        copies = 1 + (self.random.random() < self.options.duplicate)
        for _ in range(copies):
            if self.random.random() < self.options.drop:
                continue
            delay_s = self.random.choice([0.001, 0.003, 0.003, 0.05, self.random.uniform(0, 0.4)])
            if self.now_s >= FAULTS_END_S:
                delay_s = 0.002
            incarnation = target.incarnation

            def deliver(incarnation=incarnation) -> None:
                cut = (source.host, target.host) in self._cut
                if not cut and target.core is not None and target.incarnation == incarnation:
                    action(*arguments)

            self.at(delay_s, deliver)

    # Clients

    def _client(self, client: int) -> None:
        if self.now_s < CLIENTS_END_S:
            self.at(self.random.uniform(0.02, 0.12), lambda: self._client(client))
        serving = [
            node
            for node in self.nodes.values()
            if node.core is not None and node.core.holds_lease(self._clock(node))
        ]
        if not serving:
            return
        node = self.random.choice(serving)
        if client == 2:
            self._propose_claim(node, client)
        else:
            self._propose_change(node, client)

    def _propose_change(self, node: _Node, client: int) -> None:
        if node.state.revision < self._acknowledged_revision:
            raise Violation(f"{node.host} served revision {node.state.revision} after a later one")
        change = self._resend.pop(client, None)
        if change is None:
            number = next(self._changes)
            row = VersionRow("small", str(number % 7), float(number))
            change = ConfigChange(f"c{number}", "o", node.state.operator_revision, (row,))
        self._propose(node, _Operation("change", change, self.now_s, client))

    def _propose_claim(self, node: _Node, client: int) -> None:
        action = self.random.choice([ClaimAction.CLAIM, ClaimAction.CLAIM, ClaimAction.NOT_RUN])
        request = ClaimRequest(
            action,
            "desk",
            f"key-{int(self.now_s)}",
            body_digest="d",
            request_id=f"r{self.random.randrange(3)}",
            host="entry",
        )
        self._propose(node, _Operation("claim", UpdateClaim(request, 0), self.now_s, client))

    def _propose(self, node: _Node, operation: _Operation) -> None:
        entry, actions = node.core.propose(_encoder.encode(operation.command))
        if entry is None:
            return
        node.pending[entry.index] = (entry.term, operation)
        self.at(OPERATION_TIMEOUT_S, lambda: self._settle(operation, None))
        self._run(node, actions)

    def _settle(self, operation: _Operation, outcome) -> None:
        if operation.settled:
            return
        operation.settled = True
        if operation.kind == "claim":
            request = operation.command.request
            action = "claim" if request.action is ClaimAction.CLAIM else "release"
            result = ResultCode(outcome.claim.code).name if outcome is not None else None
            end_s = self.now_s if outcome is not None else float("inf")
            record = ClaimOperation(action, request.request_id, operation.start_s, end_s, result)
            self._claims[request.idempotency_key].append(record)
        elif outcome is None:
            self._resend[operation.client] = operation.command
        elif outcome.code is ResultCode.OK:
            self.accepted_count += 1
            self._acknowledged_revision = max(self._acknowledged_revision, outcome.revision)

    def _forget_pending(self, node: _Node) -> None:
        for _, operation in node.pending.values():
            self._settle(operation, None)
        node.pending.clear()

    # Properties

    def _apply(self, node: _Node, entry) -> None:
        known = self._committed.setdefault(entry.index, (entry.term, entry.payload))
        if known != (entry.term, entry.payload):
            raise Violation(f"state machine safety: index {entry.index} differs on {node.host}")
        if entry.kind is not EntryKind.COMMAND:
            return
        command = _decoder.decode(entry.payload)
        outcome = node.state.apply(command)
        if isinstance(command, ConfigChange) and outcome.code is ResultCode.OK:
            if self._outcomes.setdefault(command.change_id, outcome) != outcome:
                raise Violation(f"change {command.change_id} got a second outcome")
            owner = self._accepted_base.setdefault(command.base_revision, command.change_id)
            if owner != command.change_id:
                raise Violation(f"two changes on base {command.base_revision} were accepted")
        term, operation = node.pending.pop(entry.index, (0, None))
        if operation is not None:
            self._settle(operation, outcome if term == entry.term else None)

    def _on_leader(self, node: _Node, change: LeaderChanged) -> None:
        if change.lost_leadership:
            self._forget_pending(node)
        if not change.is_leader:
            return
        identity = f"{node.storage.member.member_id}/{node.incarnation}"
        if self.leaders.setdefault(change.term, identity) != identity:
            raise Violation(f"election safety: two leaders in term {change.term}")
        log = node.core.log
        for index, (term, _) in self._committed.items():
            if index > log.base_index and log.term_at(index) != term:
                raise Violation(f"leader completeness: {node.host} lacks index {index}")

    def _check_leases(self) -> None:
        holders = [
            node.host
            for node in self.nodes.values()
            if node.core is not None and node.core.holds_lease(self._clock(node))
        ]
        if len(holders) > 1:
            raise Violation(f"leader leases of {holders} overlap")

    def _note_promotion(self, node: _Node, save: Save) -> None:
        if node.core.role is not Role.LEADER:
            return
        for entry in save.entries:
            if entry.kind is not EntryKind.MEMBERSHIP or entry.index == 1:
                continue
            voters = set(node.core.memberships.membership_at(entry.index).voters)
            for member in voters - set(node.core.memberships.membership_at(entry.index - 1).voters):
                held = self.nodes[member.host].storage.load()
                last = held.base_index + len(held.entries)
                if last < node.core.commit_index:
                    raise Violation(f"{member.member_id} was promoted before it caught up")

    def _check_end(self) -> None:
        cores = [node.core for node in self.nodes.values()]
        for left in cores:
            for right in cores:
                self._check_matching(left.log, right.log)
        if len({core.applied_index for core in cores}) > 1 or not self._complete():
            raise Violation("the group did not converge after the faults ended")
        states = [ConfigStateMachine(node.state).snapshot() for node in self.nodes.values()]
        if len(set(states)) > 1:
            raise Violation("the states differ")
        for key, history in self._claims.items():
            if not is_linearizable(history):
                raise Violation(f"claim {key} is not linearizable")

    @staticmethod
    def _check_matching(left, right) -> None:
        first = max(left.base_index, right.base_index) + 1
        last = min(left.last_index, right.last_index)
        same = [n for n in range(first, last + 1) if left.term_at(n) == right.term_at(n)]
        if same and left.entries(first, same[-1]) != right.entries(first, same[-1]):
            raise Violation("log matching")


def run_schedule(seed: int, options: Options) -> Simulation:
    """Run one schedule; raises Violation."""
    simulation = Simulation(seed, options)
    simulation.run()
    return simulation
