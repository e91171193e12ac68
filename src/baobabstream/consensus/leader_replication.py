"""Replication as the leader does it: progress of the peers, commits, leases and repairs."""

from baobabstream.consensus.membership_log import encode_membership, next_membership
from baobabstream.consensus.raft_state import PeerProgress, RaftState, Request, Role
from baobabstream.consensus.records import Action, Snapshot
from baobabstream.wire.consensus_messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    LogEntry,
    Member,
    Membership,
    SnapshotReply,
    SnapshotRequest,
    TransferRequest,
)

__all__ = ["LeaderReplication"]

# Keeps a part of a snapshot well under the frame limit of 16 MB.
SNAPSHOT_PART_BYTES = 1024 * 1024
# Entries kept behind a snapshot, so that a short outage needs no snapshot transfer.
ENTRIES_KEPT_BEFORE_SNAPSHOT = 1000
# The entries after a snapshot under transfer are dropped once its receiver is silent this long.
SNAPSHOT_TRANSFER_EXPIRY_S = 10.0
# A voter that has not acknowledged an append within this many heartbeats counts as lost.
RESPONSIVE_HEARTBEATS = 5
# A voter that is silent this long gives its place to a learner of another host. Longer than a
# restart of a process, so that a short outage does not change the group.
VOTER_REPLACEMENT_DELAY_S = 3.0
# A host that asked to join and is silent for this time is not repaired.
JOIN_REQUEST_EXPIRY_S = 5.0


class LeaderReplication(RaftState):
    """What a leader sends, commits and repairs.

    Attributes
    ----------
    wanted_voters
        Number of voters that the group keeps, or 0 if each host of the settings has a vote.
    """

    kept_entries = ENTRIES_KEPT_BEFORE_SNAPSHOT
    snapshot_part_bytes = SNAPSHOT_PART_BYTES
    wanted_voters = 0

    def lease_end_s(self) -> float:
        """Return when the leader lease ends, counted from when the appends were sent."""
        times = [
            (
                self._progress[item.member_id].last_acknowledged_send_s
                if item != self.member
                else float("inf")
            )
            for item in self.membership.voters
        ]
        return sorted(times, reverse=True)[self._quorum_size() - 1] + self._timing.lease_s

    def all_voters_responsive(self, now_s: float) -> bool:
        """Return whether this member leads and each voter has acknowledged an append lately."""
        since_s = now_s - RESPONSIVE_HEARTBEATS * self._timing.heartbeat_s
        return self.role is Role.LEADER and all(
            self._progress[item.member_id].last_acknowledged_send_s >= since_s
            for item in self.membership.voters
            if item != self.member
        )

    def quorum_confirmed_since(self, since_s: float) -> bool:
        """Return whether a quorum has acknowledged appends of this leader sent after a time.

        True only once an entry of this leader's own term is applied, since what its predecessors
        committed is not known before.
        """
        return (
            self.role is Role.LEADER
            and self.applied_index >= self._term_start_index
            and self.lease_end_s() - self._timing.lease_s > since_s
        )

    def holds_lease(self, now_s: float) -> bool:
        """Return whether this member may answer for the group."""
        return (
            self.role is Role.LEADER
            and not self._transfer_target_id
            and self.applied_index >= self._term_start_index
            and self._serve_after_s <= now_s < self.lease_end_s()
        )

    def start_leadership_transfer(self) -> bool:
        """Start to hand leadership to the most advanced voter; no command is accepted then."""
        others = [item for item in self.membership.voters if item != self.member]
        if self.role is not Role.LEADER or not others:
            return False
        best = max(others, key=lambda item: self._progress[item.member_id].match_index)
        self._transfer_target_id = best.member_id
        return True

    def record_join_request(self, member: Member, now_s: float) -> None:
        """Note that a member without a log asks to be admitted."""
        self._join_requests[member.host] = (member, now_s)

    def _update_peer_progress(self, now_s: float) -> None:
        ids = {item.member_id for item in self.peers}
        for peer in set(self._progress) - ids:
            del self._progress[peer]
        for peer in ids - set(self._progress):
            # A new leader has one lease to hear from a quorum.
            self._progress[peer] = PeerProgress(
                self.log.last_index + 1, last_acknowledged_send_s=now_s
            )

    def _next_leader_request(self, peer: str, now_s: float) -> Request | None:
        progress = self._progress[peer]
        due = now_s >= progress.sent_s + self._timing.heartbeat_s
        if peer == self._transfer_target_id and progress.match_index == self.log.last_index and due:
            progress.sent_s = now_s
            return TransferRequest(self.member.member_id, peer, self.term)
        previous_term = self.log.term_at(progress.next_index - 1)
        if previous_term is None:
            return self._next_snapshot_request(peer, progress, now_s)
        progress.snapshot = None
        news = progress.next_index <= self.log.last_index
        if not (due or news or progress.sent_commit_index < self.commit_index):
            return None
        progress.sent_s = now_s
        progress.sent_commit_index = self.commit_index
        return AppendRequest(
            self.member.member_id,
            peer,
            self.term,
            progress.next_index - 1,
            previous_term,
            self.log.batch(progress.next_index),
            self.commit_index,
        )

    def _next_snapshot_request(
        self, peer: str, progress: PeerProgress, now_s: float
    ) -> SnapshotRequest:
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
        progress.last_acknowledged_send_s = max(progress.last_acknowledged_send_s, sent_s)
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
        progress.last_acknowledged_send_s = max(progress.last_acknowledged_send_s, sent_s)
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
        index = matches[len(matches) - self._quorum_size()]
        # Entries of earlier terms are committed only together with one of this term.
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return []
        actions = self._commit_through(index)
        if not self.is_voter and self.memberships.current_index <= self.commit_index:
            actions += self._become_follower(now_s, "")
        return actions

    def _transferring_snapshot_indexes(self, now_s: float) -> list[int]:
        """Return positions of snapshots under way; the entries after them are still needed."""
        recent_s = now_s - SNAPSHOT_TRANSFER_EXPIRY_S
        return [
            item.snapshot.index
            for item in self._progress.values()
            if item.snapshot is not None and item.last_acknowledged_send_s > recent_s
        ]

    def compact(self, index: int, data: bytes, now_s: float) -> list[Action]:
        """Keep a snapshot of the state machine at an applied index."""
        term = self.log.term_at(index)
        if index <= self.snapshot.index or index > self.applied_index or term is None:
            return []
        self.snapshot = Snapshot(index, term, self.memberships.membership_at(index), data)
        kept_from = min([index - self.kept_entries, *self._transferring_snapshot_indexes(now_s)])
        self.log.discard_through(max(self.log.base_index, kept_from))
        return [self._make_save(snapshot=self.snapshot)]

    def _repair_membership(self, now_s: float) -> list[Action]:
        settled = self.memberships.current_index <= self.commit_index
        if self.commit_index < self._term_start_index or not settled or self._transfer_target_id:
            return []
        joiners = {
            host: member
            for host, (member, asked_s) in self._join_requests.items()
            if asked_s + JOIN_REQUEST_EXPIRY_S > now_s
        }
        membership = next_membership(
            self.membership,
            joiners,
            self.learner_caught_up,
            lambda member_id: self._is_silent(member_id, now_s),
            self.wanted_voters,
        )
        return self.change_membership(membership, now_s) if membership is not None else []

    def _may_need_repair(self) -> bool:
        crowded = 0 < self.wanted_voters < len(self.membership.voters)
        return bool(self._join_requests or self.membership.learners or crowded)

    def _is_silent(self, member_id: str, now_s: float) -> bool:
        if member_id == self.member.member_id:
            return False
        return (
            self._progress[member_id].last_acknowledged_send_s < now_s - VOTER_REPLACEMENT_DELAY_S
        )

    def learner_caught_up(self, member_id: str) -> bool:
        """Return whether a learner durably holds everything that is committed now."""
        return self._progress[member_id].match_index >= self.commit_index

    def change_membership(self, membership: Membership, now_s: float) -> list[Action]:
        """Append a single-server change; the last one must be committed."""
        payload = encode_membership(membership)
        entry = LogEntry(self.log.last_index + 1, self.term, EntryKind.MEMBERSHIP, payload)
        actions: list[Action] = [self._append_entries((entry,))]
        self._update_peer_progress(now_s)
        return actions
