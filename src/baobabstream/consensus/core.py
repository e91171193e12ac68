"""Raft as a state machine without input or output.

A group of members agrees on one log. Voters elect a leader for each term, a numbered period with at
most one leader; learners only receive the log. A quorum is a majority of the voters. A pre-vote
asks whether an election could succeed, without raising the term. An entry is one record of the log,
a command or a membership; it is committed once no leader can replace it any more. A leader lease is
the time in which only the current leader may serve; a quorum renews it by acknowledging the
leader's requests, which it sends at least once per heartbeat interval. A transfer hands leadership
to a chosen voter, which starts an election at once. A save is a numbered change that the caller has
to store; it is durable, which means safe in a crash, once the caller has reported it.

The caller passes events with the time of the monotonic clock, in seconds, and executes the actions
that are returned.
"""

from baobabstream.consensus.elections import Elections
from baobabstream.consensus.follower_replication import FollowerReplication
from baobabstream.consensus.leader_replication import LeaderReplication
from baobabstream.consensus.membership_log import encode_membership
from baobabstream.consensus.raft_state import Reply, Request, Role
from baobabstream.consensus.records import Action, VoteState
from baobabstream.wire.consensus_messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    LogEntry,
    Membership,
    SnapshotReply,
    SnapshotRequest,
    TransferReply,
    TransferRequest,
    VoteReply,
    VoteRequest,
)

__all__ = ["RaftCore", "Role"]


class RaftCore(Elections, LeaderReplication, FollowerReplication):
    """One member of a Raft group.

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
        Time of the start. This member gives no vote until the shortest election timeout has
        passed, since it may have confirmed a leader's lease just before it stopped.
    leader_entry_payload
        Takes a term; returns the command payload of the first entry that a leader appends in it.

    Notes
    -----
    Saves are numbered and must become durable in order; the caller reports them by ``on_saved``.
    Each answer names the save that it waits for. The caller gets the requests to peers from
    ``request_for``, which returns none that depends on an unfinished save.

    References
    ----------
    Ongaro, "Consensus: Bridging Theory and Practice", 2014, for pre-vote, check-quorum (a leader
    that no quorum acknowledges steps down), leases, leadership transfer and single-server
    membership changes (each adds or removes at most one voter).
    """

    def bootstrap(self, membership: Membership) -> list[Action]:
        """Form a new group by writing its membership as entry 1 in term 1.

        The log of this member must be empty. No vote is given in term 1, which has no leader: the
        members elect the first one in a later term.
        """
        assert self.log.last_index == 0
        # Term 1, with no vote given in it.
        self.vote = VoteState(1, "")
        # Index 1, term 1.
        entry = LogEntry(1, 1, EntryKind.MEMBERSHIP, encode_membership(membership))
        return [self._append_entries((entry,), self.vote)]

    def tick(self, now_s: float) -> list[Action]:
        """Do what is due at this time.

        A leader whose lease has ended steps down. A leader with a valid lease makes the next
        change of the membership that is needed. A voter whose election timeout has passed starts
        a pre-vote.
        """
        if self.role is Role.LEADER:
            if self.lease_end_s() <= now_s:
                # Empty: no new leader is known.
                return self._become_follower(now_s, "")
            return self._repair_membership(now_s) if self._may_need_repair() else []
        if now_s >= self._election_deadline_s and self.is_voter:
            # Empty: no leader is known.
            self.leader_id = ""
            return self._campaign(now_s, pre_vote=True)
        return []

    def tick_due_s(self, now_s: float) -> float:
        """Return when the next tick may have an effect, if no event comes before.

        A time of the monotonic clock in seconds, infinite if there is none. A deadline in the past,
        such as the election time of a learner, counts as none.
        """
        deadline_s = self.lease_end_s() if self.role is Role.LEADER else self._election_deadline_s
        return deadline_s if deadline_s > now_s else float("inf")

    def request_due_s(self, peer_id: str) -> float:
        """Return when ``request_for`` may give a request to a peer, if no event comes before.

        ``peer_id`` is a member id. The result is the time of the leader's next heartbeat, or
        infinite on other members. Requests of candidates also wait for a save, so their time is not
        known.
        """
        progress = self._progress.get(peer_id)
        if self.role is Role.LEADER and progress is not None:
            return progress.last_send_s + self._timing.heartbeat_s
        return float("inf")

    def on_saved(self, sequence: int, now_s: float) -> list[Action]:
        """Record that all saves up to a sequence number are durable.

        A candidate then counts its own vote, and a leader commits the entries that this allows.
        """
        self._saved_sequence = sequence
        # Each item is the number of a save, and the index and term of its last entry.
        while self._unsaved_appends and self._unsaved_appends[0][0] <= sequence:
            _, index, term = self._unsaved_appends.pop(0)
            # A later append may have replaced this entry.
            if self.log.term_at(index) == term:
                self.saved_index = max(self.saved_index, index)
        if self.role is Role.CANDIDATE:
            return self._count_votes(now_s)
        return self._advance_commit(now_s) if self.role is Role.LEADER else []

    def propose(self, payload: bytes) -> tuple[LogEntry | None, list[Action]]:
        """Append a command to the log of the leader.

        ``payload`` is the encoded command. Returns the entry, or None if this member does not lead
        or is handing leadership over, and the actions.
        """
        if self.role is not Role.LEADER or self._transfer_target_id:
            return None, []
        entry = LogEntry(self.log.last_index + 1, self.term, EntryKind.COMMAND, payload)
        return entry, [self._append_entries((entry,))]

    def handle(self, request: Request, now_s: float) -> list[Action]:
        """Handle a request from a peer; the last action is the answer.

        A request of a higher term, or of the leader of the term in which this member is a candidate
        or pre-candidate, makes it a follower of the sender. Vote requests have their own rules. A
        transfer request also makes a voter start an election at once, unless its term is old.
        """
        actions: list[Action] = []
        if isinstance(request, VoteRequest):
            return self._on_vote_request(request, now_s)
        if request.term > self.term or (
            request.term == self.term
            and self.role in (Role.CANDIDATE, Role.PRE_CANDIDATE)
            and not isinstance(request, TransferRequest)
        ):
            actions += self._become_follower(now_s, request.sender, request.term)
        match request:
            case AppendRequest():
                return actions + self._on_append_request(request, now_s)
            case SnapshotRequest():
                return actions + self._on_snapshot_request(request, now_s)
            case TransferRequest():
                if request.term == self.term and self.is_voter:
                    actions += self._campaign(now_s, pre_vote=False, transfer=True)
                return [*actions, self._make_answer(TransferReply(self.term))]

    def request_for(self, peer_id: str, now_s: float) -> Request | None:
        """Return the request to send to a peer now, or None.

        Parameters
        ----------
        peer_id
            Member id of the peer.
        now_s
            Current time; the request counts as sent at this time.

        Notes
        -----
        A candidate asks each voter that has not replied, at most once per heartbeat interval, and
        only after the vote for itself is durable. The vote request names this member's last entry,
        so that the voter can tell whether this log is as up to date as its own.
        """
        if self.role is Role.LEADER and peer_id in self._progress:
            return self._next_leader_request(peer_id, now_s)
        if self.role not in (Role.CANDIDATE, Role.PRE_CANDIDATE) or peer_id in self._vote_replies:
            return None
        voter_ids = {voter.member_id for voter in self.membership.voters}
        is_due = (
            now_s
            >= self._vote_request_sent_s.get(peer_id, float("-inf")) + self._timing.heartbeat_s
        )
        if peer_id not in voter_ids or not is_due or self._own_vote_sequence > self._saved_sequence:
            return None
        self._vote_request_sent_s[peer_id] = now_s
        pre_vote = self.role is Role.PRE_CANDIDATE
        # A pre-vote asks about the next term; an election has raised the term already.
        return VoteRequest(
            self.member.member_id,
            peer_id,
            self.term + (1 if pre_vote else 0),
            self.log.last_index,
            self.log.last_term,
            pre_vote,
            self._is_transfer_election,
        )

    def handle_reply(
        self, request: Request, reply: Reply, sent_s: float, now_s: float
    ) -> list[Action]:
        """Handle a peer's reply to a request that was sent at ``sent_s``.

        Both times are seconds. A reply with a higher term makes this member a follower, unless it
        grants a vote.
        """
        if reply.term > self.term and not (isinstance(reply, VoteReply) and reply.granted):
            # Empty: the leader of the higher term is not known.
            return self._become_follower(now_s, "", reply.term)
        match request, reply:
            case VoteRequest(), VoteReply():
                return self._on_vote_reply(request, reply, now_s)
            case AppendRequest(), AppendReply():
                return self._on_append_reply(request, reply, sent_s, now_s)
            case SnapshotRequest(), SnapshotReply():
                self._on_snapshot_reply(request, reply, sent_s)
        return []
