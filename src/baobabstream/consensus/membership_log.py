"""Membership in effect at each log index, and the next change that a group needs.

Voters elect the leader and commit entries; learners only receive the log. A membership names both
and is stored in the log as the payload of an entry; an entry's index is its place in the log. An
entry is committed once no leader can replace it any more. A snapshot is the encoded state that
replaces the entries up to its index. A member belongs to the data folder of a host, so a host that
lost its disk comes back as another member. Changes add or remove one voter at a time, so that the
majorities before and after a change share a member; otherwise both could elect a leader.
"""

from collections.abc import Callable, Iterable, Mapping

from msgspec.msgpack import Decoder, Encoder

from baobabstream.wire.consensus_messages import EntryKind, LogEntry, Member, Membership

__all__ = ["MembershipLog", "decode_membership", "encode_membership", "next_membership"]

_decoder = Decoder(Membership)
_encoder = Encoder()


def encode_membership(membership: Membership) -> bytes:
    """Return the payload of a membership entry."""
    return _encoder.encode(membership)


def decode_membership(payload: bytes) -> Membership:
    """Return the membership in the payload of a membership entry."""
    return _decoder.decode(payload)


class MembershipLog:
    """Memberships by log index; the latest one is in effect, committed or not.

    Earlier ones are kept, since a new leader may replace the entry of a change that is not yet
    committed, and the membership before it is then in effect again.

    Parameters
    ----------
    index, membership
        Index of the latest snapshot, and the membership in effect there.
    """

    def __init__(self, index: int, membership: Membership) -> None:
        # Pairs of an index and the membership in effect from there on, in ascending order.
        self._history = [(index, membership)]

    @property
    def current(self) -> Membership:
        """Membership in effect."""
        return self._history[-1][1]

    @property
    def current_index(self) -> int:
        """Index of the entry or snapshot that contains the membership in effect."""
        return self._history[-1][0]

    def membership_at(self, index: int) -> Membership:
        """Return the membership in effect at an index, not before that of the first snapshot."""
        return next(
            membership
            for start_index, membership in reversed(self._history)
            if start_index <= index
        )

    def replace_from(self, entries: Iterable[LogEntry], first_index: int) -> None:
        """Update the memberships after ``entries`` replaced the log from ``first_index`` on.

        Entries that are not memberships are ignored. The first membership, that of the snapshot,
        always stays.
        """
        while len(self._history) > 1 and self._history[-1][0] >= first_index:
            self._history.pop()
        self._history += [
            (entry.index, decode_membership(entry.payload))
            for entry in entries
            if entry.kind is EntryKind.MEMBERSHIP
        ]

    def reset(self, index: int, membership: Membership) -> None:
        """Replace all memberships by that of a snapshot at ``index``."""
        self._history = [(index, membership)]


def next_membership(
    membership: Membership,
    joiners: Mapping[str, Member],
    has_caught_up: Callable[[str], bool],
    is_silent: Callable[[str], bool] = lambda _: False,
    wanted_voters: int = 0,
) -> Membership | None:
    """Return the membership after the next single-server change, or None if none is needed.

    A single-server change adds or removes at most one voter, or adds a learner.

    Parameters
    ----------
    membership
        Membership in effect; it must be committed.
    joiners
        For each host, the member that asked last to join.
    has_caught_up
        Takes a learner's member id; returns whether it durably stores every entry that is
        committed now.
    is_silent
        Takes a voter's member id; returns whether it has not answered for so long that a learner
        of another host may replace it. By default no voter is silent.
    wanted_voters
        Number of voters to which the group grows and that it keeps, or 0 for no bound, as in a
        group whose settings name every host.

    Notes
    -----
    A new member becomes a learner. Once it has caught up, the voter that its host had before is
    removed, and then the learner is promoted. Removal comes first because the lost voter cannot
    answer: in a group of three, promotion first would need three answers of four voters. A group
    of ``wanted_voters`` replaces a silent voter in the same order, and a larger one only removes
    silent voters.
    """
    # Each return below is one change; the caller commits it and asks again.
    known_member_ids = {member.member_id for member in membership.members}
    for joining_member in joiners.values():
        if joining_member.member_id not in known_member_ids:
            # Replaces an earlier learner of the same host, whose data folder is gone.
            other_learners = tuple(
                learner for learner in membership.learners if learner.host != joining_member.host
            )
            return Membership(membership.voters, (*other_learners, joining_member))
    caught_up_learners = [
        learner for learner in membership.learners if has_caught_up(learner.member_id)
    ]
    for learner in caught_up_learners:
        # Without the former voter of the learner's host, if there is one.
        voters = tuple(voter for voter in membership.voters if voter.host != learner.host)
        if len(voters) < len(membership.voters):
            return Membership(voters, membership.learners)
        if not wanted_voters or len(membership.voters) < wanted_voters:
            remaining_learners = tuple(
                member for member in membership.learners if member != learner
            )
            return Membership((*voters, learner), remaining_learners)
    # A silent voter is removed only if a learner can take its place or there are too many voters.
    if wanted_voters and (caught_up_learners or len(membership.voters) > wanted_voters):
        silent_voter = next(
            (voter for voter in membership.voters if is_silent(voter.member_id)), None
        )
        if silent_voter is not None:
            remaining_voters = tuple(voter for voter in membership.voters if voter != silent_voter)
            return Membership(remaining_voters, membership.learners)
    return None
