"""Configuration rows and backend records that the daemons exchange and store."""

from enum import StrEnum

from msgspec import Struct

__all__ = [
    "LOSSES_TO_QUARANTINE",
    "AccountRow",
    "BackendKind",
    "BackendRecord",
    "ClassRow",
    "ConfigRow",
    "LoadReport",
    "LoadedVersion",
    "QuarantineRow",
    "RolloutRow",
    "RolloutState",
    "RouteRow",
    "RowEntry",
    "VersionRow",
    "VersionState",
    "row_key",
]


LOSSES_TO_QUARANTINE = 2


class VersionState(StrEnum):
    """Life cycle of a model version."""

    ACTIVE = "active"
    STOPPED = "stopped"
    WITHDRAWN = "withdrawn"


class RolloutState(StrEnum):
    """State of a roll-out."""

    LOADING = "loading"
    RUNNING = "running"
    PAUSED = "paused"
    COMPLETED = "completed"
    STOPPED = "stopped"


class BackendKind(StrEnum):
    """Kind of a backend server."""

    ENGINE = "engine"
    SERVICE = "service"


class AccountRow(Struct, frozen=True, tag="account"):
    """A client account.

    ``key_digest`` is the hexadecimal SHA-256 of the account's API key. ``share`` is the weight
    of the account in fair queueing. ``models`` lists the models (``model`` or ``model@version``)
    that the account may use.
    """

    name: str
    key_digest: str
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()
    default_class: str = ""
    share: float = 1.0
    max_in_flight: int = 1000


class ClassRow(Struct, frozen=True, tag="class"):
    """A class of work with its targets.

    ``quality`` is the least share of answers rated good, ``first_token_ms`` and ``total_ms``
    are latency targets for 95 in 100, ``cost_per_1k_tokens`` is the most that 1,000 output
    tokens may cost (0 means no limit).
    """

    name: str
    quality: float
    first_token_ms: float
    total_ms: float
    cost_per_1k_tokens: float = 0.0
    priority: int = 0


class VersionRow(Struct, frozen=True, tag="version"):
    """A model version with its cost and a prior quality."""

    model: str
    version: str
    cost_per_1k_tokens: float
    prior_quality: float = 0.9
    state: VersionState = VersionState.ACTIVE
    reason: str = ""


class RolloutRow(Struct, frozen=True, tag="rollout"):
    """A roll-out of one version in place of another, with the current traffic share (0 to 1).

    ``loading`` names the engines that were ordered to load the new version and have not reported
    it. ``retired`` is set once the engines were told to unload the old version.
    """

    name: str
    model: str
    from_version: str
    to_version: str
    steps: tuple[float, ...] = (0.05, 0.25, 0.5, 1.0)
    step_s: float = 60.0
    state: RolloutState = RolloutState.LOADING
    step: int = 0
    share: float = 0.0
    reason: str = ""
    loading: tuple[str, ...] = ()
    retired: bool = False


class RouteRow(Struct, frozen=True, tag="route"):
    """A route to a plain service: path prefix, methods, and whether calls are idempotent."""

    name: str
    service: str
    path_prefix: str
    methods: tuple[str, ...] = ("GET", "POST")
    idempotent: bool = False
    timeout_s: float = 30.0


class QuarantineRow(Struct, frozen=True, tag="quarantine"):
    """A request fingerprint that was running when backend servers were lost.

    With one loss it is a suspect and runs only under a trial that the control leader grants; from
    two losses on it is quarantined and does not run.
    """

    fingerprint: str
    losses: int = 1
    reason: str = ""


ConfigRow = AccountRow | ClassRow | VersionRow | RolloutRow | RouteRow | QuarantineRow


def row_key(row: ConfigRow) -> str:
    """Return the key under which a row is stored, such as ``account/dune``."""
    match row:
        case AccountRow():
            return f"account/{row.name}"
        case ClassRow():
            return f"class/{row.name}"
        case VersionRow():
            return f"version/{row.model}@{row.version}"
        case RolloutRow():
            return f"rollout/{row.name}"
        case RouteRow():
            return f"route/{row.name}"
        case QuarantineRow():
            return f"quarantine/{row.fingerprint}"


class RowEntry(Struct, frozen=True):
    """A row with the revision of its last change; ``row`` is None once deleted."""

    key: str
    revision: int
    row: ConfigRow | None


class LoadedVersion(Struct, frozen=True):
    """A model version that a backend server has loaded."""

    model: str
    version: str


class BackendRecord(Struct, frozen=True):
    """A backend server as announced.

    ``slots`` is the number of requests that an engine batches at once. ``in_flight`` and
    ``queued_tokens`` come from the load report in the announcement and may be old.
    """

    identity: str
    incarnation: int
    kind: BackendKind
    url: str
    availability_zone: str
    service: str = ""
    loaded: tuple[LoadedVersion, ...] = ()
    slots: int = 8
    honours_fencing: bool = True
    in_flight: int = 0
    queued_tokens: int = 0
    leaving: bool = False


class LoadReport(Struct, frozen=True, array_like=True):
    """New load of a backend server that is otherwise unchanged."""

    identity: str
    in_flight: int
    queued_tokens: int
