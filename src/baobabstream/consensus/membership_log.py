"""Membership in effect at each log index, and the next change that a group needs.

Voters elect the leader and commit entries; learners only receive the log. Changes add or remove
one voter at a time, so that the majorities before and after a change share a member.
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

    Parameters
    ----------
    index, membership
        Index of the latest snapshot, and the membership in effect there.
    """

    def __init__(self, index: int, membership: Membership) -> None:
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
        """Return the membership in effect at an index."""
        return next(item for position, item in reversed(self._history) if position <= index)

    def replace_from(self, entries: Iterable[LogEntry], first_index: int) -> None:
        """Update the memberships after ``entries`` replaced the log from ``first_index`` on."""
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

    Parameters
    ----------
    membership
        Membership in effect; it must be committed.
    joiners
        For each host, the member that asked last to join.
    has_caught_up
        Takes a learner's member id; returns whether it stores every entry committed now.
    is_silent
        Takes a voter's member id; returns whether it has not answered for so long that a learner
        of another host may replace it.
    wanted_voters
        Number of voters that the group keeps, or 0 if each host of the settings has a vote.

    Notes
    -----
    A new member becomes a learner. Once it has caught up, the voter that its host had before is
    removed, and then the learner is promoted. Removal comes first because the lost voter cannot
    answer: in a group of three, promotion first would need three answers of four voters. A group
    of ``wanted_voters`` replaces a silent voter in the same order, and a larger one only removes
    silent voters.
    """
    known_member_ids = {member.member_id for member in membership.members}
    for joining_member in joiners.values():
        if joining_member.member_id not in known_member_ids:
            other_learners = tuple(
                item for item in membership.learners if item.host != joining_member.host
            )
            return Membership(membership.voters, (*other_learners, joining_member))
    caught_up_learners = [item for item in membership.learners if has_caught_up(item.member_id)]
    for learner in caught_up_learners:
        voters = tuple(item for item in membership.voters if item.host != learner.host)
        if len(voters) < len(membership.voters):
            return Membership(voters, membership.learners)
        if not wanted_voters or len(membership.voters) < wanted_voters:
            remaining_learners = tuple(item for item in membership.learners if item != learner)
            return Membership((*voters, learner), remaining_learners)
    if wanted_voters and (caught_up_learners or len(membership.voters) > wanted_voters):
        silent_voter = next((item for item in membership.voters if is_silent(item.member_id)), None)
        if silent_voter is not None:
            remaining_voters = tuple(item for item in membership.voters if item != silent_voter)
            return Membership(remaining_voters, membership.learners)
    return None
