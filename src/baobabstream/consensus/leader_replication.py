"""Leader side of replication: requests to peers, commits, the leader lease and repairs.

A peer is any other member. Voters elect the leader and commit entries; a quorum is a majority of
them. Learners only receive the log. A membership names the voters and learners. A term is a
numbered period with at most one leader. An append is a request with log entries, or without any as
a heartbeat; a snapshot is the encoded state that replaces entries which the log no longer has. The
base of the log is the position (index and term) just before its first kept entry. An entry is
committed once no leader can replace it any more; the commit index is the highest index known to be
committed. A committed entry is then applied to the state machine, which holds the shared state.
Durable means: still stored after a crash. To acknowledge a request is to reply to it in the
leader's term, even with a refusal of its entries.

A leader may serve reads and commands only while it holds the leader lease, which a quorum renews by
acknowledging its requests. A repair changes the membership by one member at a time to admit members
that asked to join and to replace voters that are lost. Times are seconds of the monotonic clock of
this host.
"""

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

# Bytes of a snapshot in one request; well below the limit of 16 MB for a message between hosts.
SNAPSHOT_PART_BYTES = 1024 * 1024
# Entries that are kept although a snapshot covers them, so that a member that returns after a
# short outage needs no snapshot transfer.
ENTRIES_KEPT_BEFORE_SNAPSHOT = 1000
# The entries after a snapshot under transfer are kept until its receiver has acknowledged nothing
# for this time.
SNAPSHOT_TRANSFER_EXPIRY_S = 10.0
# Number of heartbeat intervals within which a responsive voter has acknowledged a request.
RESPONSIVE_HEARTBEATS = 5
# A voter that has acknowledged nothing for this time can be replaced by a learner of another
# host. Longer than a restart of a process, so that a short outage does not change the group.
VOTER_REPLACEMENT_DELAY_S = 3.0
# A request to join is ignored after this time unless the host repeats it.
JOIN_REQUEST_EXPIRY_S = 5.0


class LeaderReplication(RaftState):
    """Sends the log to the peers, commits entries and repairs the membership.

    Attributes
    ----------
    wanted_voters
        Number of voters to which the group grows and that it keeps, or 0 for no bound, as in a
        group whose settings name every host.
    kept_entries
        Number of entries before a snapshot that are kept in the log.
    snapshot_part_bytes
        Largest number of bytes of a snapshot in one request.

    Notes
    -----
    Attributes of the base class that the methods use most:

    ``_progress``: by member id of a peer, what the leader knows of it: the index of the next entry
    to send (``next_index``), the highest index that it is known to store (``match_index``), send
    times in seconds, and the snapshot that it is receiving.
    ``_term_start_index``: index of this leader's first entry of its term.
    ``_serve_after_s``: time at which the lease of the previous leader is over.
    ``_transfer_target_id``: member id of the voter that takes over leadership, or empty.
    ``saved_index``: highest index up to which this member's own log is durable.
    ``memberships.current_index``: index of the entry with the membership in effect.
    """

    kept_entries = ENTRIES_KEPT_BEFORE_SNAPSHOT
    snapshot_part_bytes = SNAPSHOT_PART_BYTES
    wanted_voters = 0

    def lease_end_s(self) -> float:
        """Return the time at which the leader lease ends.

        It counts from the time at which the latest requests that a quorum acknowledged were sent.
        """
        # This member itself needs no request and counts as acknowledging at any time. If it is the
        # only voter, its lease never ends.
        send_times_s = [
            (
                self._progress[voter.member_id].last_acknowledged_send_s
                if voter != self.member
                else float("inf")
            )
            for voter in self.membership.voters
        ]
        # With the latest first, a quorum has acknowledged requests sent at or after this one.
        return sorted(send_times_s, reverse=True)[self._quorum_size() - 1] + self._timing.lease_s

    def all_voters_responsive(self, now_s: float) -> bool:
        """Return whether this member leads and every other voter is responsive.

        A responsive voter has acknowledged a request sent within the last
        ``RESPONSIVE_HEARTBEATS`` heartbeat intervals.
        """
        since_s = now_s - RESPONSIVE_HEARTBEATS * self._timing.heartbeat_s
        return self.role is Role.LEADER and all(
            self._progress[voter.member_id].last_acknowledged_send_s >= since_s
            for voter in self.membership.voters
            if voter != self.member
        )

    def quorum_confirmed_since(self, since_s: float) -> bool:
        """Return whether a quorum has acknowledged requests that were sent after ``since_s``.

        False until an entry of this leader's own term is applied: before that, it does not know
        which entries earlier leaders have committed.
        """
        return (
            self.role is Role.LEADER
            and self.applied_index >= self._term_start_index
            and self.lease_end_s() - self._timing.lease_s > since_s
        )

    def holds_lease(self, now_s: float) -> bool:
        """Return whether this leader may serve reads and commands now.

        It may not before it has applied an entry of its own term, before the lease of the previous
        leader is over, after its own lease, or while it hands leadership over.
        """
        return (
            self.role is Role.LEADER
            and not self._transfer_target_id
            and self.applied_index >= self._term_start_index
            and self._serve_after_s <= now_s < self.lease_end_s()
        )

    def start_leadership_transfer(self) -> bool:
        """Start to hand leadership to the voter that stores most of the log.

        The leader then accepts no command and gives up its lease, and it tells the voter to start
        an election once that stores the whole log. Returns False if this member does not lead or
        there is no other voter.
        """
        other_voters = [voter for voter in self.membership.voters if voter != self.member]
        if self.role is not Role.LEADER or not other_voters:
            return False
        successor = max(other_voters, key=lambda voter: self._progress[voter.member_id].match_index)
        self._transfer_target_id = successor.member_id
        return True

    def record_join_request(self, member: Member, now_s: float) -> None:
        """Record that a member asks to be admitted to the group.

        The request replaces an earlier request of the same host.
        """
        self._join_requests[member.host] = (member, now_s)

    def _update_peer_progress(self, now_s: float) -> None:
        """Add and remove progress records so that there is one for each peer.

        A new record assumes that the peer has the whole log; the first refusal corrects it.
        """
        peer_ids = {peer.member_id for peer in self.peers}
        for peer_id in set(self._progress) - peer_ids:
            del self._progress[peer_id]
        for peer_id in peer_ids - set(self._progress):
            # ``next_index`` is the index after the last entry. The peer counts as having
            # acknowledged a request now, so that a new leader has the time of one lease to get the
            # first replies before it steps down.
            self._progress[peer_id] = PeerProgress(
                self.log.last_index + 1, last_acknowledged_send_s=now_s
            )

    def _next_leader_request(self, peer_id: str, now_s: float) -> Request | None:
        """Return the request to send now to the peer with this member id, or None.

        It is a transfer request to the chosen successor once it stores the whole log, part of a
        snapshot if the next entry is no longer in the log, or an append. A transfer request, and an
        append without new entries or commit index, waits until the next heartbeat is due.
        """
        progress = self._progress[peer_id]
        is_heartbeat_due = now_s >= progress.last_send_s + self._timing.heartbeat_s
        if (
            peer_id == self._transfer_target_id
            and progress.match_index == self.log.last_index
            and is_heartbeat_due
        ):
            progress.last_send_s = now_s
            return TransferRequest(self.member.member_id, peer_id, self.term)
        # The peer accepts entries only if it has the entry before them with the same term.
        previous_term = self.log.term_at(progress.next_index - 1)
        if previous_term is None:
            return self._next_snapshot_request(peer_id, progress, now_s)
        progress.snapshot = None
        has_new_entries = progress.next_index <= self.log.last_index
        if not (
            is_heartbeat_due or has_new_entries or progress.sent_commit_index < self.commit_index
        ):
            return None
        progress.last_send_s = now_s
        progress.sent_commit_index = self.commit_index
        return AppendRequest(
            self.member.member_id,
            peer_id,
            self.term,
            progress.next_index - 1,
            previous_term,
            self.log.batch(progress.next_index),
            self.commit_index,
        )

    def _next_snapshot_request(
        self, peer_id: str, progress: PeerProgress, now_s: float
    ) -> SnapshotRequest:
        """Return the next part of the snapshot under transfer, or the first part of a new one.

        ``progress`` is the record of the peer with the member id ``peer_id``. Newer snapshots made
        during the transfer are ignored, since the parts must belong together.
        """
        if progress.snapshot is None:
            progress.snapshot = self.snapshot
            progress.snapshot_offset = 0
        snapshot = progress.snapshot
        start = progress.snapshot_offset  # bytes
        part = snapshot.data[start : start + self.snapshot_part_bytes]
        progress.last_send_s = now_s
        return SnapshotRequest(
            self.member.member_id,
            peer_id,
            self.term,
            snapshot.index,
            snapshot.term,
            snapshot.membership,
            start,
            part,
            start + len(part) >= len(snapshot.data),  # whether this is the last part
        )

    def _on_append_reply(
        self, request: AppendRequest, reply: AppendReply, sent_s: float, now_s: float
    ) -> list[Action]:
        """Record a reply to an append that was sent at ``sent_s``, and commit what it allows.

        A refusal also confirms the leader, but makes it send earlier entries next.
        """
        progress = self._progress.get(request.receiver)
        if self.role is not Role.LEADER or request.term != self.term or progress is None:
            return []
        if reply.term != self.term:
            return []
        progress.last_acknowledged_send_s = max(progress.last_acknowledged_send_s, sent_s)
        if not reply.success:
            # After a refusal match_index is a hint where the logs may agree.
            retry_index = min(request.previous_index, reply.match_index + 1)
            # Not before the entries known to match, and never before index 1, the first entry.
            progress.next_index = max(progress.match_index + 1, retry_index, 1)
            return []
        progress.match_index = max(progress.match_index, reply.match_index)
        progress.next_index = progress.match_index + 1
        return self._advance_commit(now_s)

    def _on_snapshot_reply(
        self, request: SnapshotRequest, reply: SnapshotReply, sent_s: float
    ) -> None:
        """Record a reply to part of a snapshot that was sent at ``sent_s``.

        After the last part the peer gets the entries that follow the snapshot.
        """
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
        """Commit the entries that a quorum stores durably.

        A leader steps down once the change that removed it from the voters is committed.
        """
        match_indexes = sorted(
            (
                self.saved_index
                if voter == self.member
                else self._progress[voter.member_id].match_index
            )
            for voter in self.membership.voters
        )
        # In ascending order, a quorum stores at least the entries up to this one.
        index = match_indexes[len(match_indexes) - self._quorum_size()]
        # A later leader may still replace an entry of an earlier term, even if a quorum stores it,
        # so such entries are committed only together with one of this term.
        if index <= self.commit_index or self.log.term_at(index) != self.term:
            return []
        actions = self._commit_through(index)
        if not self.is_voter and self.memberships.current_index <= self.commit_index:
            # Empty: no new leader is known.
            actions += self._become_follower(now_s, "")
        return actions

    def _transferring_snapshot_indexes(self, now_s: float) -> list[int]:
        """Return the indexes of the snapshots under transfer to peers that still answer.

        The entries after these indexes are sent to the peers next, so they must stay in the log.
        """
        oldest_acknowledged_s = now_s - SNAPSHOT_TRANSFER_EXPIRY_S
        return [
            progress.snapshot.index
            for progress in self._progress.values()
            if progress.snapshot is not None
            and progress.last_acknowledged_send_s > oldest_acknowledged_s
        ]

    def compact(self, index: int, data: bytes, now_s: float) -> list[Action]:
        """Adopt a snapshot of the state machine at an applied index and drop old entries.

        ``data`` is the encoded state. The last ``kept_entries`` entries before the index stay, and
        all entries that follow a snapshot under transfer. A snapshot that is not newer than the
        last one is ignored.
        """
        term = self.log.term_at(index)
        if index <= self.snapshot.index or index > self.applied_index or term is None:
            return []
        self.snapshot = Snapshot(index, term, self.memberships.membership_at(index), data)
        new_base_index = min(
            [index - self.kept_entries, *self._transferring_snapshot_indexes(now_s)]
        )
        self.log.discard_through(max(self.log.base_index, new_base_index))
        return [self._make_save(snapshot=self.snapshot)]

    def _repair_membership(self, now_s: float) -> list[Action]:
        """Make the next single-server change that the group needs, if the last one is committed.

        A single-server change adds or removes at most one voter, or adds a learner. Only one change
        may be under way, since the majorities before and after two changes need not share a member.
        A leader also waits until it has committed an entry of its own term, for only then are all
        earlier changes known to be committed.
        """
        is_membership_committed = self.memberships.current_index <= self.commit_index
        if (
            self.commit_index < self._term_start_index
            or not is_membership_committed
            or self._transfer_target_id
        ):
            return []
        joiners = {
            host: member
            for host, (member, requested_s) in self._join_requests.items()
            if requested_s + JOIN_REQUEST_EXPIRY_S > now_s
        }
        membership = next_membership(
            self.membership,
            joiners,
            self.learner_caught_up,
            lambda member_id: self._is_silent(member_id, now_s),
            self.wanted_voters,
        )
        # None if no change is needed.
        return self.change_membership(membership, now_s) if membership is not None else []

    def _may_need_repair(self) -> bool:
        """Return whether a request to join, a learner or a surplus voter may need a change.

        There are surplus voters if the group has more of them than ``wanted_voters``, unless that
        is 0, which means no bound.
        """
        has_surplus_voters = 0 < self.wanted_voters < len(self.membership.voters)
        return bool(self._join_requests or self.membership.learners or has_surplus_voters)

    def _is_silent(self, member_id: str, now_s: float) -> bool:
        """Return whether a voter has acknowledged nothing for so long that it can be replaced.

        This member itself is never silent. The limit is ``VOTER_REPLACEMENT_DELAY_S``.
        """
        if member_id == self.member.member_id:
            return False
        return (
            self._progress[member_id].last_acknowledged_send_s < now_s - VOTER_REPLACEMENT_DELAY_S
        )

    def learner_caught_up(self, member_id: str) -> bool:
        """Return whether a learner durably stores every entry that is committed now."""
        return self._progress[member_id].match_index >= self.commit_index

    def change_membership(self, membership: Membership, now_s: float) -> list[Action]:
        """Append a membership that differs by one member; the previous change must be committed.

        It is in effect at once, so new peers get requests from now on.
        """
        payload = encode_membership(membership)
        entry = LogEntry(self.log.last_index + 1, self.term, EntryKind.MEMBERSHIP, payload)
        actions: list[Action] = [self._append_entries((entry,))]
        self._update_peer_progress(now_s)
        return actions
