"""State of a Raft member, and the state changes that all roles share.

A term is a numbered period with at most one leader. Voters elect the leader; a quorum is a majority
of them. Learners only receive the log. A membership names the voters and learners. A peer is any
other member. An entry is one record of the log, a command or a membership; its index is its place
in the log, counted from 1. It is committed once no leader can replace it any more, and its command
is then applied to the state machine, which holds the shared state. A snapshot is the encoded state
of the state machine; it replaces the entries up to its index. An append is a request of the leader
with entries to store, or without any as a heartbeat. The base of the log is the position (index and
term) just before its first kept entry. A leader lease is the time in which only the current leader
may serve. Saves are the numbered changes that the caller has to store; they are durable, which
means safe in a crash, once the caller has reported them.

The methods return actions (see ``records``) instead of doing input or output. Times are seconds of
the monotonic clock of this host.
"""

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
    """Role of a member in the current term.

    A pre-candidate first asks whether it would get votes, without raising its term, so that a
    member that was isolated does not force a working leader to step down.
    """

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(slots=True)
class PeerProgress:
    """Replication progress of one peer, as the leader knows it.

    Attributes
    ----------
    next_index
        Index of the next entry to send.
    match_index
        Highest index up to which the peer is known to store the leader's log durably; 0 if none
        is known.
    last_send_s
        Time at which the last request was sent; minus infinity if none was.
    last_acknowledged_send_s
        Latest send time of all requests that the peer has acknowledged. A lease counts from
        here, not from the arrival of the reply, since the peer may have answered long before.
    sent_commit_index
        Commit index (the leader's highest committed index) in the last append that was sent.
    snapshot
        Snapshot under transfer to the peer, or None.
    snapshot_offset
        Offset in bytes of the next part of that snapshot.
    """

    next_index: int
    match_index: int = 0
    last_send_s: float = float("-inf")
    last_acknowledged_send_s: float = float("-inf")
    sent_commit_index: int = 0
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0


class RaftState(ABC):
    """Durable and volatile state of one member.

    Parameters
    ----------
    member
        This member.
    durable
        State that was loaded from its storage.
    timing
        Heartbeat, election and lease times.
    random
        Source of the election timeouts.
    now_s
        Time of the start.
    leader_entry_payload
        Takes a term; returns the command payload of the first entry that a leader appends in it.

    Attributes
    ----------
    role
        Role of this member in the current term.
    leader_id
        Member id of the leader, or empty if none is known.
    vote, snapshot, log
        The durable state with all changes, including those that are not stored yet.
    commit_index
        Highest index that is known to be committed.
    applied_index
        Highest index whose entry was handed to the state machine.
    saved_index
        Highest index up to which this member's log is stored durably.
    has_caught_up
        Whether this process has applied all that a leader had committed at some time since its
        start. Until then its state is that of its disk, and may be older than what it was before.
    memberships
        Memberships that the log and the snapshot contain, by index.

    Notes
    -----
    Private attributes that subclasses use:

    ``_sequence``, ``_saved_sequence``, ``_own_vote_sequence``: number of the last save, of the
    last save that is durable, and of the save with this member's vote for itself.
    ``_unsaved_appends``: for each addition of entries to this member's log that is not yet
    durable, the number of its save, and the index and term of its last entry.
    ``_last_leader_contact_s``: time of the last message of a leader, at first the start time.
    ``_election_deadline_s``: time at which this member starts an election.
    ``_is_transfer_election``: whether the old leader has given up its lease to this candidate.
    ``_progress``, ``_vote_replies``, ``_vote_request_sent_s``: by member id of the peer, its
    replication progress, its vote reply and the time of the last vote request to it. The first is
    used by a leader, the others by a candidate.
    ``_join_requests``: by host, the member that asked last to join and the time of its request.
    ``_incoming_snapshot``: the snapshot that a leader is sending, as a key (index of the snapshot,
    term of the leader, member id of the leader) and the bytes received so far.
    ``_term_start_index``: if this member leads, index of this leader's first entry of its term.
    ``_serve_after_s``: time at which this leader may serve, when the previous lease is over.
    ``_transfer_target_id``: member id of the voter that takes over leadership, or empty.
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
        self.has_caught_up = False
        self.memberships = MembershipLog(durable.snapshot.index, durable.snapshot.membership)
        # The log may keep entries that the snapshot covers; their memberships are older.
        later_entries = [entry for entry in self.log if entry.index > durable.snapshot.index]
        self.memberships.replace_from(later_entries, durable.snapshot.index + 1)
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
        # The key (0, 0, "") stands for no snapshot; no leader sends index 0.
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
        """Latest membership in the log; it is in effect even before it is committed."""
        return self.memberships.current

    @property
    def peers(self) -> tuple[Member, ...]:
        """All members but this one, learners included."""
        return tuple(peer for peer in self.membership.members if peer != self.member)

    @property
    def has_group(self) -> bool:
        """Whether the log or snapshot of this member names the voters of a group.

        False for a member that is new or has lost its disk, until it receives the log.
        """
        return bool(self.membership.voters)

    @property
    def is_voter(self) -> bool:
        """Whether this member is a voter in the membership in effect."""
        return self.member in self.membership.voters

    def _become_follower(self, now_s: float, leader_id: str, term: int = 0) -> list[Action]:
        """Become a follower of a leader, or of none if ``leader_id`` is empty.

        A ``term`` above the current one is adopted and saved with no vote given in it yet; any
        other is ignored, so the default 0 keeps the term.
        """
        was_leader = self.role is Role.LEADER
        if was_leader:
            # The lease of this leader may have been valid until now, and the time of contact was
            # not updated while it led. Members that vote for a successor, this one included, must
            # therefore count the old leader as heard until now.
            self._last_leader_contact_s = now_s
        self.role = Role.FOLLOWER
        self._transfer_target_id = ""
        actions: list[Action] = []
        if term > self.term:
            # Empty: no vote was given in this term.
            self.vote = VoteState(term, "")
            actions.append(self._make_save(vote=self.vote))
        if was_leader or leader_id != self.leader_id:
            # False: this member has not become the leader. ``was_leader``: it lost leadership.
            actions.append(LeaderChanged(leader_id, self.term, False, was_leader))
        self.leader_id = leader_id
        if was_leader:
            self._reset_election_timer(now_s)
        return actions

    def _reset_election_timer(self, now_s: float) -> None:
        """Set the election deadline to a new random timeout from now.

        The timeout is random so that two voters rarely start an election at the same time.
        """
        timing = self._timing
        timeout_s = self._random.uniform(timing.election_min_s, timing.election_max_s)
        self._election_deadline_s = now_s + timeout_s

    def _quorum_size(self) -> int:
        """Return the number of voters that form a majority of all voters."""
        return len(self.membership.voters) // 2 + 1

    def _commit_through(self, index: int) -> list[Action]:
        """Commit and apply the entries up to ``index``; do nothing if they are committed already.

        The log must contain them.
        """
        if index <= self.commit_index:
            return []
        self.commit_index = index
        # A leader has applied all earlier entries once it has committed one of its own term.
        if self.role is Role.LEADER:
            self.has_caught_up = True
        entries = self.log.entries(self.applied_index + 1, index)
        self.applied_index = index
        return [Apply(entries)]

    def _append_entries(self, entries: tuple[LogEntry, ...], vote: VoteState | None = None) -> Save:
        """Replace the log from the first index of ``entries`` on and return the save.

        ``entries`` must not be empty. ``vote`` is stored by the same save if it is given.
        """
        first_index = entries[0].index
        self.saved_index = min(self.saved_index, first_index - 1)
        self.log.replace_suffix(entries)
        self.memberships.replace_from(entries, first_index)
        save = self._make_save(vote=vote, entries=entries)
        self._unsaved_appends.append((self._sequence, entries[-1].index, entries[-1].term))
        return save

    def _make_save(
        self,
        vote: VoteState | None = None,
        entries: tuple[LogEntry, ...] = (),
        snapshot: Snapshot | None = None,
    ) -> Save:
        """Return a save with the next sequence number; a snapshot also saves the log's base."""
        self._sequence += 1
        # Without a snapshot the base is not saved, and the 0s have no meaning.
        base_position = (
            (self.log.base_index, self.log.base_term) if snapshot is not None else (0, 0)
        )
        return Save(self._sequence, vote, entries, snapshot, *base_position)

    def _make_answer(self, message: Reply) -> Answer:
        """Return an answer that waits for all saves made so far.

        A crash after the answer can then undo nothing that it says.
        """
        return Answer(message, self._sequence)

    @abstractmethod
    def _update_peer_progress(self, now_s: float) -> None:
        """Add and remove progress records so that there is one for each peer."""

    @abstractmethod
    def _advance_commit(self, now_s: float) -> list[Action]:
        """Commit the entries that a quorum stores durably."""
