"""Configuration rows and backend records that entry and control daemons exchange and store.

A configuration row is one item that operators or the control leader change: a client account, a
class of work, a model version, a rollout, a route or a quarantined request. A class of work has
latency and quality targets for the requests that name it. A revision numbers the changes of the
configuration. Costs are in a unit of the operator's choice, the same in all rows.
"""

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


# Number of backend servers lost while they ran a request, at which it is quarantined.
LOSSES_TO_QUARANTINE = 2


class VersionState(StrEnum):
    """State of a model version.

    Only an ``ACTIVE`` version gets requests. A ``STOPPED`` one may become active again, a
    ``WITHDRAWN`` one may not.
    """

    ACTIVE = "active"
    STOPPED = "stopped"
    WITHDRAWN = "withdrawn"


class RolloutState(StrEnum):
    """State of a rollout.

    While it is ``LOADING``, engines load the new version. While it is ``RUNNING``, the traffic
    share of the new version rises in steps. It is ``COMPLETED`` at full share, and ``STOPPED`` if
    it ended before.
    """

    LOADING = "loading"
    RUNNING = "running"
    PAUSED = "paused"
    COMPLETED = "completed"
    STOPPED = "stopped"


class BackendKind(StrEnum):
    """Kind of a backend server: an engine runs models, a service handles other calls."""

    ENGINE = "engine"
    SERVICE = "service"


class AccountRow(Struct, frozen=True, tag="account"):
    """A client account.

    ``key_digest`` is the hexadecimal SHA-256 of the account's API key. ``models`` lists the models
    (``model`` or ``model@version``) and ``services`` the services that the account may use.
    ``default_class`` is the class of work of requests that name none. ``share`` is the weight of
    the account in fair queueing, and ``max_in_flight`` the most requests that it may have open.
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

    ``quality`` is the least share (0 to 1) of answers that are rated good. ``first_token_ms`` and
    ``total_ms`` are targets in milliseconds of the time to the first token and to the end of the
    answer, which 95 in 100 requests should meet. ``cost_per_1k_tokens`` is the most that 1,000
    output tokens may cost; 0 means no limit. Engines run requests of higher ``priority`` first.
    """

    name: str
    quality: float
    first_token_ms: float
    total_ms: float
    cost_per_1k_tokens: float = 0.0
    priority: int = 0


class VersionRow(Struct, frozen=True, tag="version"):
    """A model version.

    ``cost_per_1k_tokens`` is the cost of 1,000 output tokens. ``prior_quality`` is the expected
    share (0 to 1) of good answers before any are rated, and ``reason`` says why the version has its
    state.
    """

    model: str
    version: str
    cost_per_1k_tokens: float
    prior_quality: float = 0.9
    state: VersionState = VersionState.ACTIVE
    reason: str = ""


class RolloutRow(Struct, frozen=True, tag="rollout"):
    """A rollout that replaces one version of a model by another.

    ``steps`` are the traffic shares (0 to 1) of the new version that follow each other, each for
    ``step_s`` seconds. ``step`` is the index of the current one and ``share`` the current traffic
    share. ``loading`` are the identities of engines that were ordered to load the new version and
    have not reported it yet. ``retired`` is set when the old version may be unloaded; the orders to
    unload it, one engine after another, follow. ``reason`` says why the rollout has its state.
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
    """A route from HTTP methods and a path prefix to a service that runs no models.

    ``idempotent`` means that its requests have the same effect if they run more than once.
    ``timeout_s`` is the time limit in seconds on one request.
    """

    name: str
    service: str
    path_prefix: str
    methods: tuple[str, ...] = ("GET", "POST")
    idempotent: bool = False
    timeout_s: float = 30.0


class QuarantineRow(Struct, frozen=True, tag="quarantine"):
    """A request, identified by its fingerprint, that ran when backend servers were lost.

    ``losses`` is the number of lost servers. After one loss the request is a suspect and may run
    only in a trial that the control leader grants. From ``LOSSES_TO_QUARANTINE`` losses on it is
    quarantined and must not run.
    """

    fingerprint: str
    losses: int = 1
    reason: str = ""


ConfigRow = AccountRow | ClassRow | VersionRow | RolloutRow | RouteRow | QuarantineRow


def row_key(row: ConfigRow) -> str:
    """Return the key under which a row is stored, such as ``account/NAME``."""
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
    """A configuration row with its key and the revision of its last change; None once deleted."""

    key: str
    revision: int
    row: ConfigRow | None


class LoadedVersion(Struct, frozen=True):
    """A model version that a backend server has loaded."""

    model: str
    version: str


class BackendRecord(Struct, frozen=True):
    """A backend server as it has announced itself.

    ``url`` is its address, ``service`` the service that it belongs to if it is no engine, and
    ``loaded`` the model versions that an engine has loaded.
    ``incarnation`` distinguishes process starts with the same identity. ``slots`` is the number of
    requests that an engine runs in one batch. ``honours_fencing`` says whether the server refuses
    orders, to load or unload a model version, with an old fencing number, which is a number that
    only rises and is lower in orders of a former leader. ``in_flight`` requests and
    ``queued_tokens`` come from the load report in the announcement and may be outdated. ``leaving``
    is set while it shuts down.
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
    """New load of a backend server that is otherwise unchanged: open requests, queued tokens."""

    identity: str
    in_flight: int
    queued_tokens: int
