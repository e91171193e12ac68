"""Commands that the control hosts append to the replicated log.

Operator commands carry the operator who sent them, a ``change_id`` that makes a resend
recognisable, and a ``base_revision``: the operator revision that the operator had read before
the change. The other commands come from the leader.
"""

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
    """Operator's action on a model version; a withdrawal is final."""

    ACTIVATE = "activate"
    STOP = "stop"
    WITHDRAW = "withdraw"


class RolloutAction(StrEnum):
    """Operator's action on a rollout; a withdrawal returns all traffic to the old version."""

    PAUSE = "pause"
    RESUME = "resume"
    WITHDRAW = "withdraw"


class ConfigChange(Struct, frozen=True, tag="change"):
    """Puts and deletes rows, all of them or none.

    ``put`` holds whole rows, ``delete`` holds row keys such as ``class/batch``.
    """

    change_id: str
    operator: str
    base_revision: int
    put: tuple[ConfigRow, ...] = ()
    delete: tuple[str, ...] = ()


class ControlVersion(Struct, frozen=True, tag="control_version"):
    """Activates, stops or withdraws a model version.

    The action determines the resulting state, so ``base_revision`` is optional; if given, it must
    equal the present operator revision.
    """

    change_id: str
    operator: str
    model: str
    version: str
    action: VersionAction
    reason: str = ""
    base_revision: int | None = None


class ControlRollout(Struct, frozen=True, tag="control_rollout"):
    """Pauses, resumes or withdraws a rollout; ``base_revision`` is optional."""

    change_id: str
    operator: str
    name: str
    action: RolloutAction
    reason: str = ""
    base_revision: int | None = None


class ReleaseFingerprint(Struct, frozen=True, tag="release"):
    """Releases a suspect or quarantined request fingerprint, which then runs normally again."""

    change_id: str
    operator: str
    fingerprint: str
    base_revision: int | None = None


class SetVersionState(Struct, frozen=True, tag="version_state"):
    """Sets the state of a version; the leader stops a version whose results are too bad."""

    model: str
    version: str
    state: VersionState
    reason: str


class AdvanceRollout(Struct, frozen=True, tag="advance"):
    """Replaces the progress of a rollout, if it is still in the expected state and step.

    ``share`` is the new version's fraction of the traffic, ``loading`` names the engines that are
    ordered to load the new version, and ``retired`` says that the old version may be unloaded.
    """

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
    """Claims, finishes or releases a non-idempotent request.

    ``wall_time_ms`` is the leader's wall clock in milliseconds since the Unix epoch.
    """

    request: ClaimRequest
    wall_time_ms: int


class EntryGone(Struct, frozen=True, tag="entry_gone"):
    """Marks the open claims of an ended or unreachable process of an entry host as unknown."""

    host: str
    incarnation: int


class RecordLoss(Struct, frozen=True, tag="loss"):
    """Records that a backend server failed while it ran the requests with these fingerprints.

    ``wall_time_ms`` is the leader's wall clock in milliseconds since the Unix epoch.
    """

    backend_server: str
    incarnation: int
    fingerprints: tuple[str, ...]
    wall_time_ms: int


class StartTrial(Struct, frozen=True, tag="start_trial"):
    """Requests the exclusive right to run a suspect fingerprint on a backend server.

    ``wall_time_ms`` is the leader's wall clock in milliseconds since the Unix epoch.
    """

    request: TrialRequest
    wall_time_ms: int


class EndTrial(Struct, frozen=True, tag="end_trial"):
    """Ends a trial; a suspect whose request ran without losing its backend server is cleared."""

    request: TrialEnd


class BackendLeft(Struct, frozen=True, tag="backend_left"):
    """Records that a backend server left; announcements up to this incarnation are refused."""

    identity: str
    incarnation: int


class LeaderStarted(Struct, frozen=True, tag="leader"):
    """First entry of a new leader's term; committing it also commits entries of earlier terms."""

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
