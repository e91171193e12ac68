"""Messages and records of log replication between control hosts."""

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
    """What the payload of a log entry is."""

    COMMAND = "command"
    MEMBERSHIP = "membership"


class LogEntry(Struct, frozen=True, array_like=True):
    """One entry of the replicated log; the payload is encoded by the layer above."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


class Member(Struct, frozen=True):
    """A member of the group.

    ``member_id`` names one data folder: it is made together with the folder, so a host that lost
    its disk comes back with another one.
    """

    member_id: str
    host: str


class Membership(Struct, frozen=True):
    """Members that vote and learners that only receive the log."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    @property
    def members(self) -> tuple[Member, ...]:
        """Voters and learners."""
        return self.voters + self.learners

    @property
    def hosts(self) -> tuple[str, ...]:
        """Hosts of all members."""
        return tuple(member.host for member in self.members)


class VoteRequest(Struct, frozen=True, tag="vote"):
    """Asks for a vote, or with ``pre_vote`` whether a vote would be given.

    ``transfer`` is set when the leader gave up its lease to this candidate.
    """

    sender: str
    receiver: str
    term: int
    last_index: int
    last_term: int
    pre_vote: bool = False
    transfer: bool = False


class VoteReply(Struct, frozen=True, tag="vote_reply"):
    """Answer to a vote request; ``leader_age_s`` is the time since the last leader contact."""

    term: int
    granted: bool
    leader_age_s: float = 0.0


class AppendRequest(Struct, frozen=True, tag="append"):
    """Entries after ``previous_index``; without entries it is a heartbeat."""

    sender: str
    receiver: str
    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit_index: int


class AppendReply(Struct, frozen=True, tag="append_reply"):
    """``match_index`` is the last matching entry, or after a refusal the place to try next."""

    term: int
    success: bool
    match_index: int


class SnapshotRequest(Struct, frozen=True, tag="snapshot"):
    """One part of a snapshot that covers the log up to ``index``."""

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
    """``offset`` is the number of bytes held; ``installed`` once the last part is durable."""

    term: int
    offset: int
    installed: bool = False


class TransferRequest(Struct, frozen=True, tag="transfer"):
    """The leader gave up its lease; the receiver starts an election at once."""

    sender: str
    receiver: str
    term: int


class TransferReply(Struct, frozen=True, tag="transfer_reply"):
    """Answer to a transfer request."""

    term: int


class JoinRequest(Struct, frozen=True, tag="join"):
    """A member without a log asks to be admitted, or whether the group exists yet."""

    member: Member


class JoinReply(Struct, frozen=True, tag="join_reply"):
    """Identity of the answering member, whether it knows of a group, and the hosts in it."""

    member: Member
    initialised: bool
    hosts: tuple[str, ...] = ()
