"""Raft as a pure state machine: events and times in, typed actions out."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from baobabstream.consensus.entry_list import EntryList
from baobabstream.consensus.membership_log import (
    MembershipLog,
    encode_membership,
    next_membership,
)
from baobabstream.consensus.records import (
    Action,
    Answer,
    Apply,
    DurableState,
    LeaderChanged,
    Restore,
    Save,
    Snapshot,
    Timing,
    VoteState,
)
from baobabstream.wire.consensus_messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    LogEntry,
    Member,
    Membership,
    SnapshotReply,
    SnapshotRequest,
    TransferReply,
    TransferRequest,
    VoteReply,
    VoteRequest,
)

__all__ = ["RaftCore", "Role"]

# Keeps a part of a snapshot well under the frame limit of 16 MB.
SNAPSHOT_PART_BYTES = 1024 * 1024
# Entries kept behind a snapshot, so that a short outage needs no snapshot transfer.
KEPT_ENTRIES = 1000
# The entries after a snapshot under transfer are dropped once its receiver is silent this long.
TRANSFER_EXPIRY_S = 10.0
# A voter that has not acknowledged an append within this many heartbeats counts as lost.
ANSWER_HEARTBEATS = 5
# A voter that is silent this long gives its place to a learner of another host. Longer than a
# restart of a process, so that a short outage does not change the group.
REPLACE_AFTER_S = 3.0
# A host that asked to join and is silent for this time is not repaired.
JOIN_EXPIRY_S = 5.0

Request = VoteRequest | AppendRequest | SnapshotRequest | TransferRequest
Reply = VoteReply | AppendReply | SnapshotReply | TransferReply


class Role(StrEnum):
    """Part that a member plays in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class _Progress:
    next_index: int
    match_index: int = 0
    sent_s: float = float("-inf")
    acknowledged_s: float = float("-inf")
    commit_sent: int = 0
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0


class RaftCore:
    """One member of a Raft group.

    Parameters
    ----------
    member
        This member.
    durable
        What its storage held at the start.
    timing
        Heartbeat, election and lease times.
    random
        Source of the election timeouts.
    now_s
        Time of the start. Until one election timeout later no vote is given, since this member
        may have confirmed a leader's lease just before it stopped.
    first_payload
        Returns the command payload of a leader's first entry of a term.

    Notes
    -----
    Saves are numbered and must become durable in order; ``saved`` reports them. Answers name the
    save that they wait for. Requests to peers are pulled by ``request_for``, which gives none
    that depends on an unfinished save.

    References
    ----------
    Ongaro, "Consensus: Bridging Theory and Practice", 2014, for pre-vote, check-quorum, leases,
    leadership transfer and single-server membership changes.
    """

    kept_entries = KEPT_ENTRIES
    wanted_voters = 0
    snapshot_part_bytes = SNAPSHOT_PART_BYTES

    def __init__(
        self,
        member: Member,
        durable: DurableState,
        timing: Timing,
        random: Random,
        now_s: float,
        first_payload: Callable[[int], bytes],
    ) -> None:
        self.member = member
        self.role = Role.FOLLOWER
        self.leader_id = ""
        self.vote = durable.vote
        self.snapshot = durable.snapshot
        self.log = EntryList(durable.base_index, durable.base_term, durable.entries)
        self.commit_index = durable.snapshot.index
        self.applied_index = durable.snapshot.index
        self.saved_index = self.log.last_index
        self.memberships = MembershipLog(durable.snapshot.index, durable.snapshot.membership)
        later = [entry for entry in self.log if entry.index > durable.snapshot.index]
        self.memberships.put(later, durable.snapshot.index + 1)
        self._timing = timing
        self._random = random
        self._first_payload = first_payload
        self._sequence = 0
        self._saved_sequence = 0
        self._unsaved: list[tuple[int, int, int]] = []
        self._vote_sequence = 0
        self._contact_s = now_s
        self._transfer_allowed = False
        self._progress: dict[str, _Progress] = {}
        self._votes: dict[str, VoteReply] = {}
        self._asked_s: dict[str, float] = {}
        self._joiners: dict[str, tuple[Member, float]] = {}
        self._incoming: tuple[tuple[int, int, str], bytearray] = ((0, 0, ""), bytearray())
        self._first_index = 0
        self._serve_after_s = 0.0
        self._transfer_to = ""
        self._reset_election_timer(now_s)

    @property
    def term(self) -> int:
        """Current term."""
        return self.vote.term

    @property
    def membership(self) -> Membership:
        """Membership in effect."""
        return self.memberships.current

    @property
    def peers(self) -> tuple[Member, ...]:
        """Other members, learners included."""
        members = self.membership.voters + self.membership.learners
        return tuple(item for item in members if item != self.member)

    @property
    def initialised(self) -> bool:
        """Whether this member knows of a group."""
        return bool(self.membership.voters)

    @property
    def votes_itself(self) -> bool:
        """Whether this member is a voter."""
        return self.member in self.membership.voters

    def bootstrap(self, membership: Membership) -> list[Action]:
        """Form a new group; only for a member whose log is empty."""
        assert self.log.last_index == 0
        self.vote = VoteState(1, "")
        entry = LogEntry(1, 1, EntryKind.MEMBERSHIP, encode_membership(membership))
        return [self._append((entry,), self.vote)]

    def tick(self, now_s: float) -> list[Action]:
        """Let time pass."""
        if self.role is Role.LEADER:
            if self.lease_end_s() <= now_s:
                return self._follow(now_s, "")
            return self._repair(now_s) if self._may_need_repair() else []
        if now_s >= self._election_s and self.votes_itself:
            self.leader_id = ""
            return self._campaign(now_s, pre_vote=True)
        return []

    def tick_due_s(self, now_s: float) -> float:
        """Return when the next tick may have an effect, if no event comes before.

        A deadline in the past, such as the election time of a learner, counts as none.
        """
        deadline_s = self.lease_end_s() if self.role is Role.LEADER else self._election_s
        return deadline_s if deadline_s > now_s else float("inf")

    def request_due_s(self, peer: str) -> float:
        """Return when ``request_for`` may give a request to a peer, if no event comes before.

        Requests of candidates also wait for a save, so their time is not known.
        """
        progress = self._progress.get(peer)
        if self.role is Role.LEADER and progress is not None:
            return progress.sent_s + self._timing.heartbeat_s
        return float("inf")

    def saved(self, sequence: int, now_s: float) -> list[Action]:
        """Note that all saves up to a sequence number are durable."""
        self._saved_sequence = sequence
        while self._unsaved and self._unsaved[0][0] <= sequence:
            _, index, term = self._unsaved.pop(0)
            if self.log.term_at(index) == term:
                self.saved_index = max(self.saved_index, index)
        if self.role is Role.CANDIDATE:
            return self._count_votes(now_s)
        return self._advance_commit(now_s) if self.role is Role.LEADER else []

    def propose(self, payload: bytes) -> tuple[LogEntry | None, list[Action]]:
        """Append a command on the leader; gives None on other members."""
        if self.role is not Role.LEADER or self._transfer_to:
            return None, []
        entry = LogEntry(self.log.last_index + 1, self.term, EntryKind.COMMAND, payload)
        return entry, [self._append((entry,))]

    def join(self, member: Member, now_s: float) -> None:
        """Note that a member without a log asks to be admitted."""
        self._joiners[member.host] = (member, now_s)

    def transfer(self) -> bool:
        """Start to hand leadership to the most advanced voter; no command is accepted then."""
        others = [item for item in self.membership.voters if item != self.member]
        if self.role is not Role.LEADER or not others:
            return False
        best = max(others, key=lambda item: self._progress[item.member_id].match_index)
        self._transfer_to = best.member_id
        return True

    def lease_end_s(self) -> float:
        """Return when the leader lease ends, counted from when the appends were sent."""
        times = [
            self._progress[item.member_id].acknowledged_s if item != self.member else float("inf")
            for item in self.membership.voters
        ]
        return sorted(times, reverse=True)[self._quorum() - 1] + self._timing.lease_s

    def confirmed_since(self, since_s: float) -> bool:
        """Return whether a quorum has acknowledged appends of this leader sent after a time.

        True only once an entry of this leader's own term is applied, since what its predecessors
        committed is not known before.
        """
        return (
            self.role is Role.LEADER
            and self.applied_index >= self._first_index
            and self.lease_end_s() - self._timing.lease_s > since_s
        )

    def contact_age_s(self, now_s: float) -> float:
        """Return the time since this member heard a leader; 0 on the leader."""
        return 0.0 if self.role is Role.LEADER else now_s - self._contact_s

    def voters_answer(self, now_s: float) -> bool:
        """Return whether this member leads and each voter has acknowledged an append lately."""
        since_s = now_s - ANSWER_HEARTBEATS * self._timing.heartbeat_s
        return self.role is Role.LEADER and all(
            self._progress[item.member_id].acknowledged_s >= since_s
            for item in self.membership.voters
            if item != self.member
        )

    def holds_lease(self, now_s: float) -> bool:
        """Return whether this member may answer for the group."""
        return (
            self.role is Role.LEADER
            and not self._transfer_to
            and self.applied_index >= self._first_index
            and self._serve_after_s <= now_s < self.lease_end_s()
        )

    def handle(self, request: Request, now_s: float) -> list[Action]:
        """Handle a request of a peer; the last action is the answer."""
        actions: list[Action] = []
        if isinstance(request, VoteRequest):
            return self._on_vote(request, now_s)
        if request.term > self.term or (
            request.term == self.term
            and self.role in (Role.CANDIDATE, Role.PRE_CANDIDATE)
            and not isinstance(request, TransferRequest)
        ):
            actions += self._follow(now_s, request.sender, request.term)
        match request:
            case AppendRequest():
                return actions + self._on_append(request, now_s)
            case SnapshotRequest():
                return actions + self._on_snapshot(request, now_s)
            case TransferRequest():
                if request.term == self.term and self.votes_itself:
                    actions += self._campaign(now_s, pre_vote=False, transfer=True)
                return [*actions, self._answer(TransferReply(self.term))]

    def request_for(self, peer: str, now_s: float) -> Request | None:
        """Return the request to send to a peer now, if any."""
        if self.role is Role.LEADER and peer in self._progress:
            return self._leader_request(peer, now_s)
        if self.role not in (Role.CANDIDATE, Role.PRE_CANDIDATE) or peer in self._votes:
            return None
        voters = {item.member_id for item in self.membership.voters}
        due = now_s >= self._asked_s.get(peer, float("-inf")) + self._timing.heartbeat_s
        if peer not in voters or not due or self._vote_sequence > self._saved_sequence:
            return None
        self._asked_s[peer] = now_s
        pre_vote = self.role is Role.PRE_CANDIDATE
        return VoteRequest(
            self.member.member_id,
            peer,
            self.term + (1 if pre_vote else 0),
            self.log.last_index,
            self.log.last_term,
            pre_vote,
            self._transfer_allowed,
        )

    def handle_reply(
        self, request: Request, reply: Reply, sent_s: float, now_s: float
    ) -> list[Action]:
        """Handle a peer's reply to a request that was sent at ``sent_s``."""
        if reply.term > self.term and not (isinstance(reply, VoteReply) and reply.granted):
            return self._follow(now_s, "", reply.term)
        match request, reply:
            case VoteRequest(), VoteReply():
                return self._on_vote_reply(request, reply, now_s)
            case AppendRequest(), AppendReply():
                return self._on_append_reply(request, reply, sent_s, now_s)
            case SnapshotRequest(), SnapshotReply():
                self._on_snapshot_reply(request, reply, sent_s)
        return []

    def compact(self, index: int, data: bytes, now_s: float) -> list[Action]:
        """Keep a snapshot of the state machine at an applied index."""
        term = self.log.term_at(index)
        if index <= self.snapshot.index or index > self.applied_index or term is None:
            return []
        self.snapshot = Snapshot(index, term, self.memberships.at(index), data)
        kept_from = min([index - self.kept_entries, *self._transferred_indexes(now_s)])
        self.log.drop_to(max(self.log.base_index, kept_from))
        return [self._save(snapshot=self.snapshot)]

    def _transferred_indexes(self, now_s: float) -> list[int]:
        """Return positions of snapshots under way; the entries after them are still needed."""
        recent_s = now_s - TRANSFER_EXPIRY_S
        return [
            item.snapshot.index
            for item in self._progress.values()
            if item.snapshot is not None and item.acknowledged_s > recent_s
        ]

    # Elections

    def _campaign(self, now_s: float, pre_vote: bool, transfer: bool = False) -> list[Action]:
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        self.leader_id = ""
        self._votes = {}
        self._asked_s = {}
        self._transfer_allowed = transfer
        self._reset_election_timer(now_s)
        actions: list[Action] = []
        if not pre_vote:
            self.vote = VoteState(self.term + 1, self.member.member_id)
            actions.append(self._save(vote=self.vote))
            self._vote_sequence = self._sequence
        return actions + self._count_votes(now_s)

    def _on_vote(self, request: VoteRequest, now_s: float) -> list[Action]:
        age_s = 0.0 if self.role is Role.LEADER else now_s - self._contact_s
        bound = age_s < self._timing.election_min_s and not request.transfer
        current = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.pre_vote:
            granted = request.term > self.term and current and not bound
            return [self._answer(VoteReply(self.term, granted, age_s))]
        if request.term < self.term or bound:
            return [self._answer(VoteReply(self.term, False, age_s))]
        actions: list[Action] = []
        if request.term > self.term:
            actions += self._follow(now_s, "", request.term)
        granted = current and self.vote.voted_for in ("", request.sender)
        if granted and not self.vote.voted_for:
            self.vote = VoteState(self.term, request.sender)
            self._reset_election_timer(now_s)
            actions.append(self._save(vote=self.vote))
        return [*actions, self._answer(VoteReply(self.term, granted, age_s))]

    def _on_vote_reply(self, request: VoteRequest, reply: VoteReply, now_s: float) -> list[Action]:
        expected = Role.PRE_CANDIDATE if request.pre_vote else Role.CANDIDATE
        term = self.term + (1 if request.pre_vote else 0)
        if self.role is not expected or request.term != term:
            return []
        self._votes[request.receiver] = reply
        return self._count_votes(now_s)

    def _count_votes(self, now_s: float) -> list[Action]:
        if not self.votes_itself or self._vote_sequence > self._saved_sequence:
            return []
        voters = {item.member_id for item in self.membership.voters}
        granted = [reply for peer, reply in self._votes.items() if reply.granted and peer in voters]
        if len(granted) + 1 < self._quorum():
            return []
        if self.role is Role.PRE_CANDIDATE:
            return self._campaign(now_s, pre_vote=False)
        return self._lead(now_s, [reply.leader_age_s for reply in granted])

    def _lead(self, now_s: float, ages_s: list[float]) -> list[Action]:
        self.role = Role.LEADER
        self.leader_id = self.member.member_id
        self._transfer_to = ""
        self._progress = {}
        self._track_peers(now_s)
        age_s = min([*ages_s, now_s - self._contact_s])
        wait_s = self._timing.lease_s * (1 + self._timing.lease_margin) - age_s
        # The old leader may serve until its lease ends, unless it gave the lease up.
        self._serve_after_s = now_s if self._transfer_allowed else now_s + wait_s
        self._first_index = self.log.last_index + 1
        payload = self._first_payload(self.term)
        entry = LogEntry(self._first_index, self.term, EntryKind.COMMAND, payload)
        return [
            self._append((entry,)),
            LeaderChanged(self.leader_id, self.term, True),
            *self._advance_commit(now_s),
        ]

    def _follow(self, now_s: float, leader_id: str, term: int = 0) -> list[Action]:
        led = self.role is Role.LEADER
        if led:
            # Its own appends kept the lease alive until now.
            self._contact_s = now_s
        self.role = Role.FOLLOWER
        self._transfer_to = ""
        actions: list[Action] = []
        if term > self.term:
            self.vote = VoteState(term, "")
            actions.append(self._save(vote=self.vote))
        if led or leader_id != self.leader_id:
            actions.append(LeaderChanged(leader_id, self.term, False, led))
        self.leader_id = leader_id
        if led:
            self._reset_election_timer(now_s)
        return actions

    def _reset_election_timer(self, now_s: float) -> None:
        timing = self._timing
        timeout_s = self._random.uniform(timing.election_min_s, timing.election_max_s)
        self._election_s = now_s + timeout_s

    def _quorum(self) -> int:
        return len(self.membership.voters) // 2 + 1

    # Replication on the leader

    def _track_peers(self, now_s: float) -> None:
        ids = {item.member_id for item in self.peers}
        for peer in set(self._progress) - ids:
            del self._progress[peer]
        for peer in ids - set(self._progress):
            # A new leader has one lease to hear from a quorum.
            self._progress[peer] = _Progress(self.log.last_index + 1, acknowledged_s=now_s)

    def _leader_request(self, peer: str, now_s: float) -> Request | None:
        progress = self._progress[peer]
        due = now_s >= progress.sent_s + self._timing.heartbeat_s
        if peer == self._transfer_to and progress.match_index == self.log.last_index and due:
            progress.sent_s = now_s
            return TransferRequest(self.member.member_id, peer, self.term)
        previous_term = self.log.term_at(progress.next_index - 1)
        if previous_term is None:
            return self._snapshot_part(peer, progress, now_s)
        progress.snapshot = None
        news = progress.next_index <= self.log.last_index
        if not (due or news or progress.commit_sent < self.commit_index):
            return None
        progress.sent_s = now_s
        progress.commit_sent = self.commit_index
        return AppendRequest(
            self.member.member_id,
            peer,
            self.term,
            progress.next_index - 1,
            previous_term,
            self.log.batch(progress.next_index),
            self.commit_index,
        )

    def _snapshot_part(self, peer: str, progress: _Progress, now_s: float) -> SnapshotRequest:
        if progress.snapshot is None:
            progress.snapshot = self.snapshot
            progress.snapshot_offset = 0
        snapshot = progress.snapshot
        start = progress.snapshot_offset
        part = snapshot.data[start : start + self.snapshot_part_bytes]
        progress.sent_s = now_s
        return SnapshotRequest(
            self.member.member_id,
            peer,
            self.term,
            snapshot.index,
            snapshot.term,
            snapshot.membership,
            start,
            part,
            start + len(part) >= len(snapshot.data),
        )

    def _on_append_reply(
        self, request: AppendRequest, reply: AppendReply, sent_s: float, now_s: float
    ) -> list[Action]:
        progress = self._progress.get(request.receiver)
        if self.role is not Role.LEADER or request.term != self.term or progress is None:
            return []
        if reply.term != self.term:
            return []
        progress.acknowledged_s = max(progress.acknowledged_s, sent_s)
        if not reply.success:
            lower = min(request.previous_index, reply.match_index + 1)
            progress.next_index = max(progress.match_index + 1, lower, 1)
            return []
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = progress.match_index + 1
        return self._advance_commit(now_s)

    def _on_snapshot_reply(
        self, request: SnapshotRequest, reply: SnapshotReply, sent_s: float
    ) -> None:
        progress = self._progress.get(request.receiver)
        if self.role is not Role.LEADER or request.term != self.term or progress is None:
            return
        progress.acknowledged_s = max(progress.acknowledged_s, sent_s)
        if reply.installed:
            progress.match_index = max(progress.match_index, request.index)
            progress.next_index = progress.match_index + 1
            progress.snapshot = None
        elif progress.snapshot is not None and request.index == progress.snapshot.index:
            progress.snapshot_offset = reply.offset

    def _advance_commit(self, now_s: float) -> list[Action]:
        matches = sorted(
            self.saved_index if item == self.member else self._progress[item.member_id].match_index
            for item in self.membership.voters
        )
        index = matches[len(matches) - self._quorum()]
        # Entries of earlier terms are committed only together with one of this term.
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return []
        actions = self._commit(index)
        if not self.votes_itself and self.memberships.current_index <= self.commit_index:
            actions += self._follow(now_s, "")
        return actions

    def _commit(self, index: int) -> list[Action]:
        if index <= self.commit_index:
            return []
        self.commit_index = index
        entries = self.log.entries(self.applied_index + 1, index)
        self.applied_index = index
        return [Apply(entries)]

    def _repair(self, now_s: float) -> list[Action]:
        settled = self.memberships.current_index <= self.commit_index
        if self.commit_index < self._first_index or not settled or self._transfer_to:
            return []
        joiners = {
            host: member
            for host, (member, asked_s) in self._joiners.items()
            if asked_s + JOIN_EXPIRY_S > now_s
        }
        membership = next_membership(
            self.membership,
            joiners,
            self.learner_caught_up,
            lambda member_id: self._silent(member_id, now_s),
            self.wanted_voters,
        )
        return self.change_membership(membership, now_s) if membership is not None else []

    def _may_need_repair(self) -> bool:
        crowded = 0 < self.wanted_voters < len(self.membership.voters)
        return bool(self._joiners or self.membership.learners or crowded)

    def _silent(self, member_id: str, now_s: float) -> bool:
        if member_id == self.member.member_id:
            return False
        return self._progress[member_id].acknowledged_s < now_s - REPLACE_AFTER_S

    def learner_caught_up(self, member_id: str) -> bool:
        """Return whether a learner durably holds everything that is committed now."""
        return self._progress[member_id].match_index >= self.commit_index

    def change_membership(self, membership: Membership, now_s: float) -> list[Action]:
        """Append a single-server change; the last one must be committed."""
        payload = encode_membership(membership)
        entry = LogEntry(self.log.last_index + 1, self.term, EntryKind.MEMBERSHIP, payload)
        actions: list[Action] = [self._append((entry,))]
        self._track_peers(now_s)
        return actions

    # Replication on a follower

    def _on_append(self, request: AppendRequest, now_s: float) -> list[Action]:
        if request.term < self.term:
            return [self._answer(AppendReply(self.term, False, 0))]
        actions = self._heard_from(request.sender, now_s)
        previous = request.previous_index
        entries = request.entries
        if previous < self.log.base_index:
            # What lies before the base is committed and therefore equal.
            skipped = self.log.base_index - previous
            entries = entries[skipped:]
            previous = self.log.base_index
            if len(request.entries) < skipped:
                reply = AppendReply(self.term, True, request.previous_index + len(request.entries))
                return [*actions, self._answer(reply)]
        elif self.log.term_at(previous) != request.previous_term:
            hint = self._conflict_hint(previous)
            return [*actions, self._answer(AppendReply(self.term, False, hint))]
        new = next(
            (n for n, entry in enumerate(entries) if self.log.term_at(entry.index) != entry.term),
            len(entries),
        )
        if new < len(entries):
            actions.append(self._append(entries[new:]))
        match = previous + len(entries)
        actions += self._commit(min(request.commit_index, match))
        return [*actions, self._answer(AppendReply(self.term, True, match))]

    def _conflict_hint(self, previous: int) -> int:
        if previous > self.log.last_index:
            return self.log.last_index
        term = self.log.term_at(previous)
        index = previous
        while index > self.commit_index and self.log.term_at(index) == term:
            index -= 1
        return index

    def _on_snapshot(self, request: SnapshotRequest, now_s: float) -> list[Action]:
        if request.term < self.term:
            return [self._answer(SnapshotReply(self.term, 0))]
        actions = self._heard_from(request.sender, now_s)
        if request.index <= self.commit_index:
            reply = SnapshotReply(self.term, request.offset, installed=True)
            return [*actions, self._answer(reply)]
        key = (request.index, request.term, request.sender)
        if self._incoming[0] != key:
            self._incoming = (key, bytearray())
        data = self._incoming[1]
        if request.offset == len(data):
            data.extend(request.data)
        elif request.offset + len(request.data) != len(data):
            return [*actions, self._answer(SnapshotReply(self.term, len(data)))]
        if not request.last:
            return [*actions, self._answer(SnapshotReply(self.term, len(data)))]
        self.snapshot = Snapshot(request.index, request.index_term, request.membership, bytes(data))
        self._incoming = ((0, 0, ""), bytearray())
        actions += self._install()
        return [*actions, self._answer(SnapshotReply(self.term, len(data), installed=True))]

    def _install(self) -> list[Action]:
        snapshot = self.snapshot
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.drop_to(snapshot.index)
            later = tuple(self.log)
        else:
            self.log.reset(snapshot.index, snapshot.term)
            self.saved_index = snapshot.index
            later = ()
        self.saved_index = max(self.saved_index, snapshot.index)
        self.memberships.reset(snapshot.index, snapshot.membership)
        self.memberships.put(later, snapshot.index + 1)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        return [self._save(snapshot=snapshot), Restore(snapshot)]

    def _heard_from(self, sender: str, now_s: float) -> list[Action]:
        self._contact_s = now_s
        self._reset_election_timer(now_s)
        return self._follow(now_s, sender) if sender != self.leader_id else []

    # Saves

    def _append(self, entries: tuple[LogEntry, ...], vote: VoteState | None = None) -> Save:
        first = entries[0].index
        self.saved_index = min(self.saved_index, first - 1)
        self.log.put(entries)
        self.memberships.put(entries, first)
        save = self._save(vote=vote, entries=entries)
        self._unsaved.append((self._sequence, entries[-1].index, entries[-1].term))
        return save

    def _save(
        self,
        vote: VoteState | None = None,
        entries: tuple[LogEntry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> Save:
        self._sequence += 1
        base = (self.log.base_index, self.log.base_term) if snapshot is not None else (0, 0)
        return Save(self._sequence, vote, entries, snapshot, *base)

    def _answer(self, message: Reply) -> Answer:
        return Answer(message, self._sequence)
