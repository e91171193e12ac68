"""Durable state, settings and actions of the Raft core."""

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
    """Current term and the member voted for in it, or empty."""

    term: int = 0
    voted_for: str = ""


class Snapshot(Struct, frozen=True):
    """State machine bytes that cover the log up to ``index``, with the membership there."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership()
    data: bytes = b""


@dataclass(frozen=True, slots=True)
class DurableState:
    """What a storage holds.

    Parameters
    ----------
    vote
        Term and vote.
    snapshot
        Latest snapshot; index 0 if there is none.
    base_index, base_term
        Position before the first entry that is kept.
    entries
        Entries after the base.
    """

    vote: VoteState = VoteState()
    snapshot: Snapshot = Snapshot()
    base_index: int = 0
    base_term: int = 0
    entries: tuple[LogEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in seconds.

    Parameters
    ----------
    heartbeat_s
        Time between appends to a follower without news.
    election_min_s, election_max_s
        Range of the randomized election timeout.
    lease_s
        Time after which a leader without a quorum of append replies stops serving.
    lease_margin
        Share of ``lease_s`` that a new leader waits longer, for clocks that run at other rates.
    """

    heartbeat_s: float = 0.1
    election_min_s: float = 0.5
    election_max_s: float = 1.0
    lease_s: float = 1.5
    lease_margin: float = 0.02


@dataclass(frozen=True, slots=True)
class Save:
    """Make a change of the durable state; reported back with its sequence number.

    An entry replaces the entry of the same index and all that follow it. A snapshot with
    ``base_index`` drops the entries up to there.
    """

    sequence: int
    vote: VoteState | None = None
    entries: tuple[LogEntry, ...] = ()
    snapshot: Snapshot | None = None
    base_index: int = 0
    base_term: int = 0


@dataclass(frozen=True, slots=True)
class Answer:
    """Reply to a request, once all saves up to a sequence number are durable."""

    message: Struct
    after_sequence: int


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply committed entries in order."""

    entries: tuple[LogEntry, ...]


@dataclass(frozen=True, slots=True)
class Restore:
    """Replace the state machine's state by that of a snapshot."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class LeaderChanged:
    """The known leader or the role of this member changed."""

    leader_id: str
    term: int
    is_leader: bool
    lost_leadership: bool = field(default=False)


Action = Save | Answer | Apply | Restore | LeaderChanged
