"""Messages between gateways and coordination hosts, and among coordination hosts."""

from enum import StrEnum

from msgspec import Struct

__all__ = [
    "DocumentOrder",
    "DocumentQuery",
    "DocumentReply",
    "ExchangeReply",
    "ExchangeRequest",
    "RolloutOrder",
    "RolloutQuery",
    "RolloutReply",
    "RolloutRow",
    "RolloutState",
    "ServerEvidence",
    "ServerRow",
    "ServerState",
    "ServerWork",
    "VersionLoad",
]


class ServerState(StrEnum):
    """What a backend server said of itself last."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ServerRow(Struct, frozen=True, array_like=True):
    """One incarnation of a backend server.

    ``born_ms`` tells incarnations of one identity apart, ``sequence`` orders the announcements of
    one incarnation.
    """

    server_id: str
    born_ms: int
    sequence: int
    service: str
    address: str
    availability_zone: str
    version: str
    slots: int
    state: ServerState


class RolloutState(StrEnum):
    """State of a rollout."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutRow(Struct, frozen=True):
    """The version that a service runs on, and its last rollout, if any.

    ``share`` is the part of new sessions that the target version gets; ``settled`` tells that
    sessions of the base version move too.
    """

    service: str
    base: str = ""
    target: str = ""
    state: RolloutState = RolloutState.COMPLETED
    share: float = 0.0
    settled: bool = False
    elapsed_s: float = 0.0
    duration_s: float = 0.0


class ServerEvidence(Struct, frozen=True, array_like=True):
    """Answers of one backend server as one gateway process has counted them since it started."""

    service: str
    version: str
    server_id: str
    good: int
    bad: int


class ServerWork(Struct, frozen=True, array_like=True):
    """Requests at a backend server, and the expected time to read the prompts among them."""

    in_flight: int
    pending_ms: int


class VersionLoad(Struct, frozen=True, array_like=True):
    """Servers of one version of a service that a gateway knows, and its requests there."""

    service: str
    version: str
    servers: int
    in_flight: int


class ExchangeRequest(Struct, frozen=True, tag="exchange"):
    """A gateway reports what it has seen and asks for what has changed.

    The reply waits up to ``wait_s`` for a change. ``epoch`` and ``position`` name the last change
    of announcements that the gateway has seen from this host. ``held_sessions`` are the sessions,
    by rollout and as hashes, that stay on the base version; they are sent while their digests at
    the gateway and at the host differ.
    """

    host: str
    incarnation: int
    document_version: int
    rollout_revision: int
    epoch: int
    position: int
    wait_s: float
    evidence: tuple[ServerEvidence, ...] = ()
    crash_suspects: tuple[str, ...] = ()
    work: dict[str, ServerWork] = {}
    versions: tuple[VersionLoad, ...] = ()
    session_digests: dict[str, int] = {}
    held_sessions: dict[str, tuple[int, ...]] = {}


class ExchangeReply(Struct, frozen=True, tag="exchange_reply"):
    """Changes since the position of the request.

    ``document`` is empty if the gateway holds this version already. ``refreshed`` names servers
    whose announcements came without a change. ``work`` sums the reports of the other
    gateways.
    """

    hosts: tuple[str, ...]
    document_version: int
    document: bytes
    rollout_revision: int
    rollouts: tuple[RolloutRow, ...]
    epoch: int
    position: int
    rows: tuple[ServerRow, ...]
    refreshed: tuple[str, ...]
    gateways: int
    quarantined: tuple[str, ...] = ()
    work: dict[str, ServerWork] = {}
    session_digests: dict[str, int] = {}
    held_sessions: dict[str, tuple[int, ...]] = {}


class DocumentOrder(Struct, frozen=True, tag="document_order"):
    """Asks the leader to store a checked, compressed routing configuration."""

    version: int
    document: bytes


class DocumentQuery(Struct, frozen=True, tag="document_query"):
    """Asks the leader for the newest routing configuration."""


class DocumentReply(Struct, frozen=True, tag="document_reply"):
    """The version held and, for a query, its compressed text."""

    version: int
    document: bytes = b""


class RolloutOrder(Struct, frozen=True, tag="rollout_order"):
    """Asks the leader to start a rollout."""

    service: str
    target: str
    duration_s: float


class RolloutQuery(Struct, frozen=True, tag="rollout_query"):
    """Asks the leader for the rollout of a service."""

    service: str


class RolloutReply(Struct, frozen=True, tag="rollout_reply"):
    """The rollout of a service; None if it has none."""

    rollout: RolloutRow | None
