"""Messages and records of log replication between control or coordination hosts.

The protocol is Raft, by which the members of a consensus group agree on the entries of a log.

A term is the number of an election period, in which at most one leader is elected. A log index
counts entries from 1. ``sender`` and ``receiver`` are member ids. An entry is committed once a
majority of the voters has stored it. The lease is the time for which a leader may serve without
contact to a majority. A snapshot is the application state after an entry, which replaces the log up
to that entry.
"""

from enum import StrEnum

from msgspec import Struct

__all__ = [
    "AppendReply",
    "AppendRequest",
    "EntryKind",
    "JoinReply",
    "JoinRequest",
    "LogEntry",
    "Member",
    "Membership",
    "SnapshotReply",
    "SnapshotRequest",
    "TransferReply",
    "TransferRequest",
    "VoteReply",
    "VoteRequest",
]


class EntryKind(StrEnum):
    """Content of a log entry: an application command or a new membership of the group."""

    COMMAND = "command"
    MEMBERSHIP = "membership"


class LogEntry(Struct, frozen=True, array_like=True):
    """One entry of the replicated log; the payload is encoded according to ``kind``."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


class Member(Struct, frozen=True):
    """A member of the consensus group.

    ``member_id`` identifies one data folder and is generated with it. A host that has lost its disk
    therefore returns as a new member.
    """

    member_id: str
    host: str


class Membership(Struct, frozen=True):
    """Members of the group: voters, and learners, which receive the log without a vote."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """All members, voters first."""
        return self.voters + self.learners

    @property
    def hosts(self) -> tuple[str, ...]:
        """Host names of all members, voters first."""
        return tuple(member.host for member in self.members)


class VoteRequest(Struct, frozen=True, tag="vote"):
    """Asks for a vote, or with ``pre_vote`` whether a vote would be granted.

    The pre-vote changes no term, so that a member that cannot win does not disturb the leader.
    ``last_index`` and ``last_term`` belong to the last log entry of the candidate. ``transfer`` is
    set if the leader has given up its lease in favour of this candidate.
    """

    sender: str
    receiver: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False


class VoteReply(Struct, frozen=True, tag="vote_reply"):
    """Answer to a vote request; ``term`` is the current term of the voter.

    ``leader_age_s`` is the time in seconds since the voter last heard from a leader. A new leader
    computes from the times of its voters when the lease of the old leader ends, and waits until
    then before it serves; 0 makes it wait longest.
    """

    term: int
    granted: bool
    leader_age_s: float = 0.0


class AppendRequest(Struct, frozen=True, tag="append"):
    """Entries that follow ``previous_index``; without entries it is a heartbeat.

    ``previous_term`` is the term of the entry at ``previous_index``. ``commit_index`` is the index
    of the last entry that the leader has committed.
    """

    sender: str
    receiver: str
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int


class AppendReply(Struct, frozen=True, tag="append_reply"):
    """Answer to an append request; ``term`` is the current term of the member that answers.

    On success, ``match_index`` is the index of the last entry that matches the leader's log. After
    a refusal it is the index after which the leader continues to send entries.
    """

    term: int
    success: bool
    match_index: int


class SnapshotRequest(Struct, frozen=True, tag="snapshot"):
    """One part of a snapshot that replaces the log through ``index``.

    ``term`` is the current term of the leader, ``index_term`` the term of the entry at ``index``,
    ``membership`` the group at that entry. ``offset`` is the position of ``data`` in the snapshot
    in bytes; ``last`` marks the last part.
    """

    sender: str
    receiver: str
    term: int
    index: int
    index_term: int
    membership: Membership
    offset: int
    data: bytes
    last: bool


class SnapshotReply(Struct, frozen=True, tag="snapshot_reply"):
    """Answer to a snapshot request; ``term`` is the current term of the member that answers.

    ``offset`` is the number of bytes that the receiver has. ``installed`` is true once the whole
    snapshot is in place, so that no further part is needed.
    """

    term: int
    offset: int
    installed: bool = False


class TransferRequest(Struct, frozen=True, tag="transfer"):
    """Asks the receiver to start an election at once; the leader has given up its lease.

    The receiver need therefore not wait for the end of the lease before it serves as leader.
    """

    sender: str
    receiver: str
    term: int


class TransferReply(Struct, frozen=True, tag="transfer_reply"):
    """Answer to a transfer request, with the current term of the member that answers."""

    term: int


class JoinRequest(Struct, frozen=True, tag="join"):
    """Asks for admission of a member without a log, and whether a group exists already."""

    member: Member


class JoinReply(Struct, frozen=True, tag="join_reply"):
    """Answer to a join request.

    ``member`` is the member that answers. ``initialised`` says whether it belongs to or knows of a
    group, in which case no new one may be formed, and ``hosts`` are the hosts of that group.
    """

    member: Member
    initialised: bool
    hosts: tuple[str, ...] = ()
