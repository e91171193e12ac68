"""Commands of the replicated log."""

from msgspec import Struct

from baobabstream.wire.messages import ClaimRequest
from baobabstream.wire.rows import ConfigRow, RolloutState, VersionState

__all__ = [
    "AdvanceRollout",
    "Command",
    "ConfigChange",
    "LeaderStarted",
    "RecordLoss",
    "SetVersionState",
    "UpdateClaim",
]


class ConfigChange(Struct, frozen=True, tag="change"):
    """An operator's change: rows to put and keys to delete, all or nothing.

    ``change_id`` identifies the change, so that a resend returns the first outcome.
    ``base_revision`` is the operator revision that the change was based on.
    """

    change_id: str
    operator: str
    base_revision: int
    put: tuple[ConfigRow, ...] = ()
    delete: tuple[str, ...] = ()


class SetVersionState(Struct, frozen=True, tag="version_state"):
    """Stops a version on pooled evidence."""

    model: str
    version: str
    state: VersionState
    reason: str


class AdvanceRollout(Struct, frozen=True, tag="advance"):
    """Moves a roll-out from an expected state and step to the next."""

    name: str
    expected_state: RolloutState
    expected_step: int
    state: RolloutState
    step: int
    share: float
    reason: str = ""


class UpdateClaim(Struct, frozen=True, tag="claim"):
    """Claims, finishes or releases a non-idempotent request at a wall time."""

    request: ClaimRequest
    wall_time_ms: int


class RecordLoss(Struct, frozen=True, tag="loss"):
    """A backend server was lost while it ran the fingerprinted requests."""

    backend_server: str
    incarnation: int
    fingerprints: tuple[str, ...]
    wall_time_ms: int


class LeaderStarted(Struct, frozen=True, tag="leader"):
    """A new leader's first entry; commits entries of earlier terms."""

    host: str
    term: int


Command = ConfigChange | SetVersionState | AdvanceRollout | UpdateClaim | RecordLoss | LeaderStarted
