"""What a member of a Raft group keeps, and the steps that all roles share."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from baobabstream.consensus.entry_list import EntryList
from baobabstream.consensus.membership_log import MembershipLog
from baobabstream.consensus.records import (
    Action,
    Answer,
    Apply,
    DurableState,
    LeaderChanged,
    Save,
    Snapshot,
    Timing,
    VoteState,
)
from baobabstream.wire.consensus_messages import (
    AppendReply,
    AppendRequest,
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

__all__ = ["PeerProgress", "RaftState", "Reply", "Request", "Role"]

Request = VoteRequest | AppendRequest | SnapshotRequest | TransferRequest
Reply = VoteReply | AppendReply | SnapshotReply | TransferReply


class Role(StrEnum):
    """Part that a member plays in the current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class PeerProgress:
    """What the leader knows of one peer."""

    next_index: int
    match_index: int = 0
    sent_s: float = float("-inf")
    last_acknowledged_send_s: float = float("-inf")
    sent_commit_index: int = 0
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0


class RaftState(ABC):
    """Durable and volatile state of one member.

    The parameters are those of ``RaftCore``.
    """

    def __init__(
        self,
        member: Member,
        durable: DurableState,
        timing: Timing,
        random: Random,
        now_s: float,
        leader_entry_payload: Callable[[int], bytes],
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
        self.memberships.replace_from(later, durable.snapshot.index + 1)
        self._timing = timing
        self._random = random
        self._leader_entry_payload = leader_entry_payload
        self._sequence = 0
        self._saved_sequence = 0
        self._unsaved_appends: list[tuple[int, int, int]] = []
        self._own_vote_sequence = 0
        self._last_leader_contact_s = now_s
        self._is_transfer_election = False
        self._progress: dict[str, PeerProgress] = {}
        self._vote_replies: dict[str, VoteReply] = {}
        self._vote_request_sent_s: dict[str, float] = {}
        self._join_requests: dict[str, tuple[Member, float]] = {}
        self._incoming_snapshot: tuple[tuple[int, int, str], bytearray] = ((0, 0, ""), bytearray())
        self._term_start_index = 0
        self._serve_after_s = 0.0
        self._transfer_target_id = ""
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
        return tuple(item for item in self.membership.members if item != self.member)

    @property
    def has_group(self) -> bool:
        """Whether this member knows of a group."""
        return bool(self.membership.voters)

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter."""
        return self.member in self.membership.voters

    def _become_follower(self, now_s: float, leader_id: str, term: int = 0) -> list[Action]:
        led = self.role is Role.LEADER
        if led:
            # Its own appends kept the lease alive until now.
            self._last_leader_contact_s = now_s
        self.role = Role.FOLLOWER
        self._transfer_target_id = ""
        actions: list[Action] = []
        if term > self.term:
            self.vote = VoteState(term, "")
            actions.append(self._make_save(vote=self.vote))
        if led or leader_id != self.leader_id:
            actions.append(LeaderChanged(leader_id, self.term, False, led))
        self.leader_id = leader_id
        if led:
            self._reset_election_timer(now_s)
        return actions

    def _reset_election_timer(self, now_s: float) -> None:
        timing = self._timing
        timeout_s = self._random.uniform(timing.election_min_s, timing.election_max_s)
        self._election_deadline_s = now_s + timeout_s

    def _quorum_size(self) -> int:
        return len(self.membership.voters) // 2 + 1

    def _commit_through(self, index: int) -> list[Action]:
        if index <= self.commit_index:
            return []
        self.commit_index = index
        entries = self.log.entries(self.applied_index + 1, index)
        self.applied_index = index
        return [Apply(entries)]

    def _append_entries(self, entries: tuple[LogEntry, ...], vote: VoteState | None = None) -> Save:
        first = entries[0].index
        self.saved_index = min(self.saved_index, first - 1)
        self.log.replace_suffix(entries)
        self.memberships.replace_from(entries, first)
        save = self._make_save(vote=vote, entries=entries)
        self._unsaved_appends.append((self._sequence, entries[-1].index, entries[-1].term))
        return save

    def _make_save(
        self,
        vote: VoteState | None = None,
        entries: tuple[LogEntry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> Save:
        self._sequence += 1
        base = (self.log.base_index, self.log.base_term) if snapshot is not None else (0, 0)
        return Save(self._sequence, vote, entries, snapshot, *base)

    def _make_answer(self, message: Reply) -> Answer:
        return Answer(message, self._sequence)

    @abstractmethod
    def _update_peer_progress(self, now_s: float) -> None:
        """Follow the membership with the progress of its members."""

    @abstractmethod
    def _advance_commit(self, now_s: float) -> list[Action]:
        """Commit what a majority holds durably."""
