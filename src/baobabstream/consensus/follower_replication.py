"""Replication as a follower does it: appends and snapshots of a leader."""

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
    """What a follower takes from a leader."""

    def leader_contact_age_s(self, now_s: float) -> float:
        """Return the time since this member heard a leader; 0 on the leader."""
        return 0.0 if self.role is Role.LEADER else now_s - self._last_leader_contact_s

    def _on_append_request(self, request: AppendRequest, now_s: float) -> list[Action]:
        if request.term < self.term:
            return [self._make_answer(AppendReply(self.term, False, 0))]
        actions = self._record_leader_contact(request.sender, now_s)
        previous = request.previous_index
        entries = request.entries
        if previous < self.log.base_index:
            # What lies before the base is committed and therefore equal.
            skipped = self.log.base_index - previous
            entries = entries[skipped:]
            previous = self.log.base_index
            if len(request.entries) < skipped:
                reply = AppendReply(self.term, True, request.previous_index + len(request.entries))
                return [*actions, self._make_answer(reply)]
        elif self.log.term_at(previous) != request.previous_term:
            hint = self._conflict_hint(previous)
            return [*actions, self._make_answer(AppendReply(self.term, False, hint))]
        new = next(
            (n for n, entry in enumerate(entries) if self.log.term_at(entry.index) != entry.term),
            len(entries),
        )
        if new < len(entries):
            actions.append(self._append_entries(entries[new:]))
        match = previous + len(entries)
        actions += self._commit_through(min(request.commit_index, match))
        return [*actions, self._make_answer(AppendReply(self.term, True, match))]

    def _conflict_hint(self, previous: int) -> int:
        if previous > self.log.last_index:
            return self.log.last_index
        term = self.log.term_at(previous)
        index = previous
        while index > self.commit_index and self.log.term_at(index) == term:
            index -= 1
        return index

    def _on_snapshot_request(self, request: SnapshotRequest, now_s: float) -> list[Action]:
        if request.term < self.term:
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
            return [*actions, self._make_answer(SnapshotReply(self.term, len(data)))]
        if not request.last:
            return [*actions, self._make_answer(SnapshotReply(self.term, len(data)))]
        self.snapshot = Snapshot(request.index, request.index_term, request.membership, bytes(data))
        self._incoming_snapshot = ((0, 0, ""), bytearray())
        actions += self._install_snapshot()
        return [*actions, self._make_answer(SnapshotReply(self.term, len(data), installed=True))]

    def _install_snapshot(self) -> list[Action]:
        snapshot = self.snapshot
        if self.log.term_at(snapshot.index) == snapshot.term:
            self.log.discard_through(snapshot.index)
            later = tuple(self.log)
        else:
            self.log.reset(snapshot.index, snapshot.term)
            self.saved_index = snapshot.index
            later = ()
        self.saved_index = max(self.saved_index, snapshot.index)
        self.memberships.reset(snapshot.index, snapshot.membership)
        self.memberships.replace_from(later, snapshot.index + 1)
        self.commit_index = snapshot.index
        self.applied_index = snapshot.index
        return [self._make_save(snapshot=snapshot), Restore(snapshot)]

    def _record_leader_contact(self, sender: str, now_s: float) -> list[Action]:
        self._last_leader_contact_s = now_s
        self._reset_election_timer(now_s)
        return self._become_follower(now_s, sender) if sender != self.leader_id else []
