"""Commands of the replicated log."""

from enum import StrEnum

from msgspec import Struct

from baobabstream.wire.messages import ClaimRequest, TrialEnd, TrialRequest
from baobabstream.wire.rows import ConfigRow, RolloutState, VersionState

__all__ = [
    "AdvanceRollout",
    "BackendLeft",
    "Command",
    "ConfigChange",
    "ControlRollout",
    "ControlVersion",
    "EndTrial",
    "EntryGone",
    "LeaderStarted",
    "OperatorCommand",
    "RecordLoss",
    "ReleaseFingerprint",
    "RolloutAction",
    "SetVersionState",
    "StartTrial",
    "UpdateClaim",
    "VersionAction",
]


class VersionAction(StrEnum):
    """What an operator does to a version; a withdrawal is final."""

    ACTIVATE = "activate"
    STOP = "stop"
    WITHDRAW = "withdraw"


class RolloutAction(StrEnum):
    """What an operator does to a rollout; a withdrawal returns traffic to the old version."""

    PAUSE = "pause"
    RESUME = "resume"
    WITHDRAW = "withdraw"


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


class ControlVersion(Struct, frozen=True, tag="control_version"):
    """An operator's action on a version.

    It names the state that it leads to, so a base revision is not needed; one that is given must
    be the present one.
    """

    change_id: str
    operator: str
    model: str
    version: str
    action: VersionAction
    reason: str = ""
    base_revision: int | None = None


class ControlRollout(Struct, frozen=True, tag="control_rollout"):
    """An operator's action on a rollout."""

    change_id: str
    operator: str
    name: str
    action: RolloutAction
    reason: str = ""
    base_revision: int | None = None


class ReleaseFingerprint(Struct, frozen=True, tag="release"):
    """An operator releases a quarantined or suspect fingerprint."""

    change_id: str
    operator: str
    fingerprint: str
    base_revision: int | None = None


class SetVersionState(Struct, frozen=True, tag="version_state"):
    """Stops a version on pooled evidence."""

    model: str
    version: str
    state: VersionState
    reason: str


class AdvanceRollout(Struct, frozen=True, tag="advance"):
    """Moves a rollout from an expected state and step to the next."""

    name: str
    expected_state: RolloutState
    expected_step: int
    state: RolloutState
    step: int
    share: float
    reason: str = ""
    loading: tuple[str, ...] = ()
    retired: bool = False


class UpdateClaim(Struct, frozen=True, tag="claim"):
    """Claims, finishes or releases a non-idempotent request at a wall time."""

    request: ClaimRequest
    wall_time_ms: int


class EntryGone(Struct, frozen=True, tag="entry_gone"):
    """A process of an entry host has ended or lost contact; its open claims become unknown."""

    host: str
    incarnation: int


class RecordLoss(Struct, frozen=True, tag="loss"):
    """A backend server was lost while it ran the fingerprinted requests."""

    backend_server: str
    incarnation: int
    fingerprints: tuple[str, ...]
    wall_time_ms: int


class StartTrial(Struct, frozen=True, tag="start_trial"):
    """Grants the exclusive right to run a suspect on a backend server."""

    request: TrialRequest
    wall_time_ms: int


class EndTrial(Struct, frozen=True, tag="end_trial"):
    """Ends a trial; a suspect that did not lose its backend server is cleared."""

    request: TrialEnd


class BackendLeft(Struct, frozen=True, tag="backend_left"):
    """A backend server left; this incarnation and earlier ones cannot come back."""

    identity: str
    incarnation: int


class LeaderStarted(Struct, frozen=True, tag="leader"):
    """A new leader's first entry; commits entries of earlier terms."""

    host: str
    term: int


OperatorCommand = ConfigChange | ControlVersion | ControlRollout | ReleaseFingerprint

Command = (
    ConfigChange
    | ControlVersion
    | ControlRollout
    | ReleaseFingerprint
    | SetVersionState
    | AdvanceRollout
    | UpdateClaim
    | EntryGone
    | RecordLoss
    | StartTrial
    | EndTrial
    | BackendLeft
    | LeaderStarted
)
