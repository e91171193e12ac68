"""Commands that the control hosts append to the replicated log.

Operator commands carry the operator who sent them, a ``change_id`` that makes a resend
recognisable, and a ``base_revision``: the operator revision that the operator had read before
the change. Except in ``ConfigChange`` it may be None: the operator named none, and the command is
applied at any operator revision. The other commands come from the leader. An empty ``reason`` means
that none was given.

The revision is the number of the last change of the configuration, which is stored as rows; the
operator revision is the one after the last accepted operator command. A claim on a non-idempotent
request lets one process of an entry host (a host that receives the callers' requests) run it. A
fingerprint identifies requests with equal content. It is suspect if such a request ran on a backend
server when that failed, and then runs only in a trial, alone among suspects on one backend server;
after repeated failures it is quarantined and does not run. An incarnation numbers the successive
processes of a host or backend server. A rollout replaces an old model version by a new one, whose
share of the traffic rises in steps. An engine is a backend server that runs models.
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
    """Operator's action on a model version.

    A stopped version gets no requests until it is activated again; a withdrawal is final.
    """

    ACTIVATE = "activate"
    STOP = "stop"
    WITHDRAW = "withdraw"


class RolloutAction(StrEnum):
    """Operator's action on a rollout; a withdrawal returns all traffic to the old version."""

    PAUSE = "pause"
    RESUME = "resume"
    WITHDRAW = "withdraw"


class ConfigChange(Struct, frozen=True, tag="change"):
    """Puts and deletes rows, all of them or none; refused if ``base_revision`` is outdated.

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
    """Pauses, resumes or withdraws the rollout ``name``.

    ``base_revision`` is optional; if given, it must equal the present operator revision.
    """

    change_id: str
    operator: str
    name: str
    action: RolloutAction
    reason: str = ""
    base_revision: int | None = None


class ReleaseFingerprint(Struct, frozen=True, tag="release"):
    """Releases a suspect or quarantined request fingerprint, which then runs normally again.

    ``base_revision`` is optional; if given, it must equal the present operator revision.
    """

    change_id: str
    operator: str
    fingerprint: str
    base_revision: int | None = None


class SetVersionState(Struct, frozen=True, tag="version_state"):
    """Sets the state of a model version, with the reason shown to operators.

    The leader uses it to stop a version whose results are too bad.
    """

    model: str
    version: str
    state: VersionState
    reason: str


class AdvanceRollout(Struct, frozen=True, tag="advance"):
    """Replaces the progress of a rollout, if it is still in the expected state and step.

    ``step`` is the index of the present step of the traffic share, ``share`` the new version's
    fraction of the traffic (0 to 1). ``loading`` names the engines that are ordered to load the new
    version, and ``retired`` says that the old version may be unloaded.
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
    """Claims a non-idempotent request, or reports what became of a claimed one.

    ``wall_time_ms`` is the leader's wall clock in milliseconds since the Unix epoch.
    """

    request: ClaimRequest
    wall_time_ms: int


class EntryGone(Struct, frozen=True, tag="entry_gone"):
    """Marks the open claims of an ended or unreachable process of an entry host as unknown.

    It is then not known whether the claimed requests have run, so they are not run again.
    """

    host: str
    incarnation: int


class RecordLoss(Struct, frozen=True, tag="loss"):
    """Records that a backend server failed while it ran the requests with these fingerprints.

    The server's ``incarnation`` makes repeated reports of one failure recognisable.
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
    """First log entry of a new leader's term; committing it also commits those of earlier terms.

    The term is the number of the election.
    """

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
