"""Elections of a Raft member: campaigns, votes, and the step to leadership."""

from baobabstream.consensus.raft_state import RaftState, Role
from baobabstream.consensus.records import Action, LeaderChanged, VoteState
from baobabstream.wire.consensus_messages import EntryKind, LogEntry, VoteReply, VoteRequest

__all__ = ["Elections"]


class Elections(RaftState):
    """Campaigns and votes."""

    def _campaign(self, now_s: float, pre_vote: bool, transfer: bool = False) -> list[Action]:
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        self.leader_id = ""
        self._vote_replies = {}
        self._vote_request_sent_s = {}
        self._is_transfer_election = transfer
        self._reset_election_timer(now_s)
        actions: list[Action] = []
        if not pre_vote:
            self.vote = VoteState(self.term + 1, self.member.member_id)
            actions.append(self._make_save(vote=self.vote))
            self._own_vote_sequence = self._sequence
        return actions + self._count_votes(now_s)

    def _on_vote_request(self, request: VoteRequest, now_s: float) -> list[Action]:
        age_s = 0.0 if self.role is Role.LEADER else now_s - self._last_leader_contact_s
        bound = age_s < self._timing.election_min_s and not request.transfer
        current = (request.last_term, request.last_index) >= (
            self.log.last_term,
            self.log.last_index,
        )
        if request.pre_vote:
            granted = request.term > self.term and current and not bound
            return [self._make_answer(VoteReply(self.term, granted, age_s))]
        if request.term < self.term or bound:
            return [self._make_answer(VoteReply(self.term, False, age_s))]
        actions: list[Action] = []
        if request.term > self.term:
            actions += self._become_follower(now_s, "", request.term)
        granted = current and self.vote.voted_for in ("", request.sender)
        if granted and not self.vote.voted_for:
            self.vote = VoteState(self.term, request.sender)
            self._reset_election_timer(now_s)
            actions.append(self._make_save(vote=self.vote))
        return [*actions, self._make_answer(VoteReply(self.term, granted, age_s))]

    def _on_vote_reply(self, request: VoteRequest, reply: VoteReply, now_s: float) -> list[Action]:
        expected = Role.PRE_CANDIDATE if request.pre_vote else Role.CANDIDATE
        term = self.term + (1 if request.pre_vote else 0)
        if self.role is not expected or request.term != term:
            return []
        self._vote_replies[request.receiver] = reply
        return self._count_votes(now_s)

    def _count_votes(self, now_s: float) -> list[Action]:
        if not self.is_voter or self._own_vote_sequence > self._saved_sequence:
            return []
        voters = {item.member_id for item in self.membership.voters}
        granted = [
            reply for peer, reply in self._vote_replies.items() if reply.granted and peer in voters
        ]
        if len(granted) + 1 < self._quorum_size():
            return []
        if self.role is Role.PRE_CANDIDATE:
            return self._campaign(now_s, pre_vote=False)
        return self._become_leader(now_s, [reply.leader_age_s for reply in granted])

    def _become_leader(self, now_s: float, ages_s: list[float]) -> list[Action]:
        self.role = Role.LEADER
        self.leader_id = self.member.member_id
        self._transfer_target_id = ""
        self._progress = {}
        self._update_peer_progress(now_s)
        age_s = min([*ages_s, now_s - self._last_leader_contact_s])
        wait_s = self._timing.lease_s * (1 + self._timing.lease_margin) - age_s
        # The old leader may serve until its lease ends, unless it gave the lease up.
        self._serve_after_s = now_s if self._is_transfer_election else now_s + wait_s
        self._term_start_index = self.log.last_index + 1
        payload = self._leader_entry_payload(self.term)
        entry = LogEntry(self._term_start_index, self.term, EntryKind.COMMAND, payload)
        return [
            self._append_entries((entry,)),
            LeaderChanged(self.leader_id, self.term, True),
            *self._advance_commit(now_s),
        ]
