"""Elections of a Raft member: pre-votes, votes and becoming leader.

A term is a numbered period with at most one leader. A voter gives one vote in each term, and a
candidate becomes leader by the votes of a quorum, a majority of the voters. A pre-vote asks whether
a vote would be given, without raising the term, so that a member that was isolated does not force a
working leader to step down. Learners do not vote. An entry is one record of the log; it is
committed once no leader can replace it any more. A save is a numbered change that is durable, which
means safe in a crash, once the caller has reported it. Methods return actions, such as saves and
answers, which the caller executes. An answer is sent once the saves before it are durable. Times
are seconds of the monotonic clock of this host.

A leader lease is the time in which only the current leader may serve. Members therefore refuse
votes for the shortest election timeout after a message of the leader, and a new leader waits until
the lease of the previous one has ended. In a transfer of leadership the leader gives its lease up
and asks one voter to start an election at once, which need not wait for the lease.
"""

from baobabstream.consensus.raft_state import RaftState, Role
from baobabstream.consensus.records import Action, LeaderChanged, VoteState
from baobabstream.wire.consensus_messages import EntryKind, LogEntry, VoteReply, VoteRequest

__all__ = ["Elections"]


class Elections(RaftState):
    """Starts elections, answers vote requests and counts votes."""

    def _campaign(self, now_s: float, pre_vote: bool, transfer: bool = False) -> list[Action]:
        """Start a pre-vote or an election.

        A pre-vote changes no durable state. An election raises the term and saves a vote for
        this member; ``transfer`` says that the previous leader has given up its lease to
        this member.
        """
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        # Empty: no leader is known.
        self.leader_id = ""
        self._vote_replies = {}
        self._vote_request_sent_s = {}
        self._is_transfer_election = transfer
        self._reset_election_timer(now_s)
        actions: list[Action] = []
        if not pre_vote:
            self.vote = VoteState(self.term + 1, self.member.member_id)
            actions.append(self._make_save(vote=self.vote))
            # Number of the save just made; the own vote counts once that save is durable.
            self._own_vote_sequence = self._sequence
        return actions + self._count_votes(now_s)

    def _on_vote_request(self, request: VoteRequest, now_s: float) -> list[Action]:
        """Answer a vote or pre-vote request.

        It is refused if its term is old; if a leader was heard within the shortest election
        timeout, unless that leader gave its lease up for this candidate (``transfer``); if the
        candidate's log is less up to date than this one, since it could then lack committed
        entries; or if this member voted for another candidate in the term. A new vote is saved
        before the answer is sent.

        ``last_index`` and ``last_term`` of the request are those of the candidate's last entry, and
        ``sender`` is its member id. The reply gives this member's term, whether the vote is
        granted, and the seconds since this member heard a leader.
        """
        # A leader has always heard the leader just now.
        leader_contact_age_s = (
            0.0 if self.role is Role.LEADER else now_s - self._last_leader_contact_s
        )
        is_bound_by_lease = (
            leader_contact_age_s < self._timing.election_min_s and not request.transfer
        )
        # A later last term is more up to date, and in the same term the longer log.
        is_up_to_date = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.pre_vote:
            # A pre-vote names the term after the candidate's; it must be above that of this member.
            granted = request.term > self.term and is_up_to_date and not is_bound_by_lease
            return [self._make_answer(VoteReply(self.term, granted, leader_contact_age_s))]
        if request.term < self.term or is_bound_by_lease:
            # False: the vote is not granted.
            return [self._make_answer(VoteReply(self.term, False, leader_contact_age_s))]
        actions: list[Action] = []
        if request.term > self.term:
            # Empty: the leader of the new term is not known yet.
            actions += self._become_follower(now_s, "", request.term)
        # Empty: no vote was given in this term yet.
        granted = is_up_to_date and self.vote.voted_for in ("", request.sender)
        if granted and not self.vote.voted_for:
            self.vote = VoteState(self.term, request.sender)
            self._reset_election_timer(now_s)
            actions.append(self._make_save(vote=self.vote))
        return [*actions, self._make_answer(VoteReply(self.term, granted, leader_contact_age_s))]

    def _on_vote_reply(self, request: VoteRequest, reply: VoteReply, now_s: float) -> list[Action]:
        """Record a reply to this member's current election; others are ignored."""
        expected_role = Role.PRE_CANDIDATE if request.pre_vote else Role.CANDIDATE
        # A pre-vote asks about the next term; an election has raised the term already.
        election_term = self.term + (1 if request.pre_vote else 0)
        if self.role is not expected_role or request.term != election_term:
            return []
        self._vote_replies[request.receiver] = reply
        return self._count_votes(now_s)

    def _count_votes(self, now_s: float) -> list[Action]:
        """Go from pre-vote to election, or become leader, if a quorum granted its votes.

        This member's own vote counts only once it is durable.
        """
        if not self.is_voter or self._own_vote_sequence > self._saved_sequence:
            return []
        voter_ids = {voter.member_id for voter in self.membership.voters}
        granting_replies = [
            reply
            for peer_id, reply in self._vote_replies.items()
            if reply.granted and peer_id in voter_ids
        ]
        # The 1 is this member's own vote.
        if len(granting_replies) + 1 < self._quorum_size():
            return []
        if self.role is Role.PRE_CANDIDATE:
            return self._campaign(now_s, pre_vote=False)
        return self._become_leader(now_s, [reply.leader_age_s for reply in granting_replies])

    def _become_leader(self, now_s: float, leader_ages_s: list[float]) -> list[Action]:
        """Become leader, append the first entry of the term and set when this leader may serve.

        ``leader_ages_s`` holds, for each vote, the seconds since the voter heard the old leader.
        """
        self.role = Role.LEADER
        self.leader_id = self.member.member_id
        self._transfer_target_id = ""
        self._progress = {}
        self._update_peer_progress(now_s)
        # A quorum that renewed the old lease shares a member with the quorum that voted, so the
        # lease counts from no later than the latest contact of these members with the old leader.
        min_leader_age_s = min([*leader_ages_s, now_s - self._last_leader_contact_s])
        # lease_margin is a fraction of lease_s. It allows for a clock of the old leader's host that
        # runs slower than this one, by which that leader's lease would end later.
        wait_s = self._timing.lease_s * (1 + self._timing.lease_margin) - min_leader_age_s
        # The old leader may serve until its lease ends, unless it gave the lease up to this member.
        self._serve_after_s = now_s if self._is_transfer_election else now_s + wait_s
        self._term_start_index = self.log.last_index + 1
        payload = self._leader_entry_payload(self.term)
        entry = LogEntry(self._term_start_index, self.term, EntryKind.COMMAND, payload)
        return [
            self._append_entries((entry,)),
            # True: this member has just become the leader.
            LeaderChanged(self.leader_id, self.term, True),
            *self._advance_commit(now_s),
        ]
