"""Follower side of replication: appends and snapshots from the leader.

A term is a numbered period with at most one leader. An append is a request of the leader with log
entries to store; a snapshot replaces entries that the leader has dropped, and is sent in parts. An
entry is committed once no leader can replace it any more; the commit index is the highest index
known to be committed. The base of the log is the position (index and term) just before its first
kept entry; entries up to it are committed and covered by a snapshot. The applied index is that of
the last entry that was handed to the state machine, which holds the shared state. A membership
names the members of the group. A save is a numbered change of the stored state. An answer is sent
once the saves before it are durable, which means safe in a crash. The election timeout is the time
without a message of a leader after which a voter starts an election. Times are seconds of the
monotonic clock of this host.
"""

from baobabstream.consensus.raft_state import RaftState, Role
from baobabstream.consensus.records import Action, Restore, Snapshot
from baobabstream.wire.consensus_messages import (
    AppendReply,
    AppendRequest,
    SnapshotReply,
    SnapshotRequest,
)

__all__ = ["FollowerReplication"]


class FollowerReplication(RaftState):
    """Accepts appends and snapshots from a leader."""

    def leader_contact_age_s(self, now_s: float) -> float:
        """Return the seconds since the last message of a leader; 0 on the leader."""
        return 0.0 if self.role is Role.LEADER else now_s - self._last_leader_contact_s

    def _on_append_request(self, request: AppendRequest, now_s: float) -> list[Action]:
        """Store the entries of an append that this log lacks and adopt its commit index.

        The append is refused if its term is old, or if this log does not contain the entry before
        the new ones, which ``previous_index`` and ``previous_term`` of the request name.

        ``AppendReply`` holds this member's term, whether the append is accepted, and an index:
        that up to which this log equals the leader's, or after a refusal a hint up to which the
        logs may agree.
        """
        if request.term < self.term:
            # Refused, without a hint (0): the sender no longer leads, and learns it from the term.
            return [self._make_answer(AppendReply(self.term, False, 0))]
        actions = self._record_leader_contact(request.sender, now_s)
        previous_index = request.previous_index
        entries = request.entries
        if previous_index < self.log.base_index:
            # Entries up to the base are committed, so they equal those of the leader.
            skipped_count = self.log.base_index - previous_index
            entries = entries[skipped_count:]
            previous_index = self.log.base_index
            if len(request.entries) < skipped_count:
                # All entries are before the base: accepted (True), and nothing to store.
                reply = AppendReply(self.term, True, request.previous_index + len(request.entries))
                return [*actions, self._make_answer(reply)]
        elif self.log.term_at(previous_index) != request.previous_term:
            # Refused (False), with the index at which the leader should try next.
            hint_index = self._conflict_hint(previous_index)
            return [*actions, self._make_answer(AppendReply(self.term, False, hint_index))]
        # Entries that the log has already are left out. A delayed append could otherwise remove
        # later entries that this member has acknowledged.
        first_new_position = next(
            (
                position
                for position, entry in enumerate(entries)
                if self.log.term_at(entry.index) != entry.term
            ),
            len(entries),
        )
        if first_new_position < len(entries):
            actions.append(self._append_entries(entries[first_new_position:]))
        # The log equals the leader's up to here; entries after it may still differ.
        match_index = previous_index + len(entries)
        actions += self._commit_through(min(request.commit_index, match_index))
        # A leader knows what is committed once it has committed an entry of its own term.
        if (
            self.commit_index >= request.commit_index
            and self.log.term_at(request.commit_index) == self.term
        ):
            self.has_caught_up = True
        # True: the append is accepted.
        return [*actions, self._make_answer(AppendReply(self.term, True, match_index))]

    def _conflict_hint(self, previous_index: int) -> int:
        """Return the highest index at which the logs may agree, after a mismatch.

        ``previous_index`` is the index before the leader's entries, at which the terms differ or
        this log has no entry.

        All entries of the conflicting term are skipped, so that the leader needs one try per term.
        """
        if previous_index > self.log.last_index:
            return self.log.last_index
        conflicting_term = self.log.term_at(previous_index)
        index = previous_index
        while index > self.commit_index and self.log.term_at(index) == conflicting_term:
            index -= 1
        return index

    def _on_snapshot_request(self, request: SnapshotRequest, now_s: float) -> list[Action]:
        """Add one part of a snapshot; install the snapshot after its last part.

        The reply gives the number of bytes received, which is where the leader continues. A
        snapshot that covers only entries which are committed here already is not needed and is
        reported as installed.

        ``offset`` is the position in bytes of the part in the snapshot, ``last`` marks the last
        part, and ``index_term`` is the term of the entry at ``index``. ``_incoming_snapshot`` holds
        a key of the snapshot that is received and its bytes so far.
        """
        if request.term < self.term:
            # The sender no longer leads, and learns it from the term; it does not use the offset 0.
            return [self._make_answer(SnapshotReply(self.term, 0))]
        actions = self._record_leader_contact(request.sender, now_s)
        if request.index <= self.commit_index:
            reply = SnapshotReply(self.term, request.offset, installed=True)
            return [*actions, self._make_answer(reply)]
        key = (request.index, request.term, request.sender)
        if self._incoming_snapshot[0] != key:
            self._incoming_snapshot = (key, bytearray())
        data = self._incoming_snapshot[1]
        if request.offset == len(data):
            data.extend(request.data)
        elif request.offset + len(request.data) != len(data):
            # The part neither continues the data nor repeats the last part that was received.
            return [*actions, self._make_answer(SnapshotReply(self.term, len(data)))]
        if not request.last:
            return [*actions, self._make_answer(SnapshotReply(self.term, len(data)))]
        self.snapshot = Snapshot(request.index, request.index_term, request.membership, bytes(data))
        # The key (0, 0, "") stands for no snapshot; no leader sends index 0.
        self._incoming_snapshot = ((0, 0, ""), bytearray())
        actions += self._install_snapshot()
        return [*actions, self._make_answer(SnapshotReply(self.term, len(data), installed=True))]

    def _install_snapshot(self) -> list[Action]:
        """Replace the state by the snapshot; keep the entries after it if the log contains it.

        The snapshot is ``self.snapshot``. It covers only committed entries, so it sets the commit
        index and the applied index.
        """
        snapshot = self.snapshot
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.discard_through(snapshot.index)
            later_entries = tuple(self.log)
        else:
            self.log.reset(snapshot.index, snapshot.term)
            self.saved_index = snapshot.index
            later_entries = ()
        self.saved_index = max(self.saved_index, snapshot.index)
        self.memberships.reset(snapshot.index, snapshot.membership)
        self.memberships.replace_from(later_entries, snapshot.index + 1)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        return [self._make_save(snapshot=snapshot), Restore(snapshot)]

    def _record_leader_contact(self, sender: str, now_s: float) -> list[Action]:
        """Record a message of the current leader and restart the election timeout.

        ``sender`` is the member id of the leader; it becomes the known leader.
        """
        self._last_leader_contact_s = now_s
        self._reset_election_timer(now_s)
        return self._become_follower(now_s, sender) if sender != self.leader_id else []
