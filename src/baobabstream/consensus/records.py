"""Durable state, timing settings and actions of the Raft core.

The Raft core (``core.RaftCore``) decides what one member of the group does. It does no input or
output: it returns actions, which its caller executes in order.

Durable means: still stored after a crash. A term is a numbered period with at most one leader. An
entry is one record of the log, a command or a membership; it is committed once no leader can
replace it any more. A quorum is a majority of the voters, and an append is a request of the leader
with entries to store. A base is the log position (index and term) just before the first entry that
is kept; the entries up to it are covered by a snapshot. Committed commands are applied to the state
machine, which holds the shared state. A membership names the voters and the learners, which receive
the log without a vote.
"""

from dataclasses import dataclass, field

from msgspec import Struct

from baobabstream.wire.consensus_messages import LogEntry, Membership

__all__ = [
    "Action",
    "Answer",
    "Apply",
    "DurableState",
    "LeaderChanged",
    "Restore",
    "Save",
    "Snapshot",
    "Timing",
    "VoteState",
]


class VoteState(Struct, frozen=True):
    """Current term, and the id of the member that this member voted for in it, or empty.

    It is stored so that a restarted member cannot vote twice in one term.
    """

    term: int = 0
    voted_for: str = ""


class Snapshot(Struct, frozen=True):
    """State machine state that replaces the log up to and including ``index``.

    ``term`` is the term of the entry at ``index``, ``membership`` the one in effect there, and
    ``data`` the encoded state of the state machine. Index 0 means that there is no snapshot.
    """

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class DurableState:
    """State of a member that survives a restart.

    Parameters
    ----------
    vote
        Current term and the vote given in it.
    snapshot
        Latest snapshot; index 0 if there is none.
    base_index, base_term
        Index and term of the entry just before the first one in ``entries``; both are 0 if the
        log starts with its first entry.
    entries
        Log entries after the base, with consecutive indexes.
    """

    vote: VoteState = VoteState()
    snapshot: Snapshot = Snapshot()
    base_index: int = 0
    base_term: int = 0
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Timing:
    """Intervals and timeouts of the Raft protocol.

    Parameters
    ----------
    heartbeat_s
        Seconds between appends to a follower that has nothing to receive, and the least time
        between two vote requests to one peer.
    election_min_s, election_max_s
        Range in seconds of the election timeout, the time without a message of a leader after
        which a voter starts an election. It is random, so that two voters rarely start at once.
    lease_s
        Length in seconds of a leader lease, the time in which only the current leader may serve.
        It starts when the latest requests that a quorum acknowledged were sent; at its end the
        leader steps down.
    lease_margin
        Fraction of ``lease_s`` that a new leader waits in addition before it serves, since the
        clocks of two hosts may run at different rates.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1.0
    lease_s: float = 1.5
    lease_margin: float = 0.02


@dataclass(frozen=True, slots=True)
class Save:
    """Action: store a change of the durable state, then report it to ``RaftCore.on_saved``.

    Fields that keep their default leave that part of the state unchanged.

    Parameters
    ----------
    sequence
        Number of this save; saves are numbered from 1 and become durable in this order.
    vote
        New term and vote, or None if unchanged.
    entries
        Consecutive entries. They replace the stored entries from the first index on.
    snapshot
        New snapshot, or None if unchanged.
    base_index, base_term
        With a snapshot, the new base of the log: entries up to ``base_index`` are dropped.
    """

    sequence: int
    vote: VoteState | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None
    base_index: int = 0
    base_term: int = 0


@dataclass(frozen=True, slots=True)
class Answer:
    """Action: send a reply once all saves up to ``after_sequence`` are durable.

    ``message`` is the reply to the request that the core handled. It must not leave earlier, since
    a crash could then undo what it says.
    """

    message: Struct
    after_sequence: int


@dataclass(frozen=True, slots=True)
class Apply:
    """Action: apply committed entries to the state machine, in order."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Restore:
    """Action: replace the state of the state machine by that of a snapshot that the leader sent."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """Action: report that another leader is known, or that this member gained or lost leadership.

    Parameters
    ----------
    leader_id
        Member id of the leader, or empty if none is known.
    term
        Current term.
    is_leader
        Whether this member has just become the leader.
    lost_leadership
        Whether this member was the leader until now.
    """

    leader_id: str
    term: int
    is_leader: bool
    lost_leadership: bool = field(default=False)


Action = Save | Answer | Apply | Restore | LeaderChanged
