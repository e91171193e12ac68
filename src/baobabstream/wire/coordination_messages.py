"""Messages between gateways and coordination hosts, and among coordination hosts.

Gateways route callers' requests to backend servers. Coordination hosts replicate the routing
configuration (called document) and the rollouts, and collect the announcements of backend servers.
A rollout moves a service from a base version of its backend servers to a target version. A session
is a series of requests that a caller marks as belonging together. Sessions that were active when a
rollout began are pinned: they stay on the base version.
"""

from enum import StrEnum

from msgspec import Struct

__all__ = [
    "DocumentOrder",
    "DocumentQuery",
    "DocumentReply",
    "ExchangeReply",
    "ExchangeRequest",
    "LeavingServer",
    "Quarantine",
    "RolloutOrder",
    "RolloutQuery",
    "RolloutReply",
    "RolloutRow",
    "RolloutState",
    "ServerCrash",
    "ServerEvidence",
    "ServerLimit",
    "ServerRow",
    "ServerState",
    "ServerWork",
    "VersionLoad",
]


class ServerState(StrEnum):
    """State of a backend server.

    A ``READY`` server takes new requests, a ``DRAINING`` one only finishes those that it has, and
    a ``GONE`` one has left.
    """

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class ServerRow(Struct, frozen=True, array_like=True):
    """Last announcement of one incarnation, that is one process start, of a backend server.

    ``born_ms`` is the start time in Unix milliseconds and distinguishes incarnations with the same
    ``server_id``. ``sequence`` orders the announcements of one incarnation. ``address`` has the
    form IP:PORT. ``slots`` is the number of requests that the server runs at once.
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

    @property
    def process_id(self) -> str:
        """Identity of the server's process; another start of the server is another process."""
        return f"{self.server_id}.{self.born_ms}"


class RolloutState(StrEnum):
    """State of the last rollout of a service."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class RolloutRow(Struct, frozen=True):
    """Base version of a service and its last rollout, if any.

    ``share`` is the fraction (0 to 1) of new sessions that run on the target version. ``settled``
    means that sessions pinned to the base version may move to the target too. ``elapsed_s`` is the
    time since the start of the rollout, ``duration_s`` its planned length, both in seconds.
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
    """Counts of a backend server's good and bad responses through one gateway process.

    They count from the start of the gateway process that reports them. ``paces`` is the number of
    streams whose pace was measured, which is the mean time between their events as a multiple of
    the expected one; ``log_pace_sum`` and ``log_pace_squares`` are the sums of the natural
    logarithms of the pace and of their squares.
    """

    service: str
    version: str
    server_id: str
    good: int
    bad: int
    paces: int = 0
    log_pace_sum: float = 0.0
    log_pace_squares: float = 0.0


class ServerWork(Struct, frozen=True, array_like=True):
    """Load of a backend server.

    ``in_flight`` is the number of requests that gateways have open at the server; ``pending_ms`` is
    the expected time in milliseconds to process their prompts.
    """

    in_flight: int
    pending_ms: int


class LeavingServer(Struct, frozen=True, array_like=True):
    """Incarnation of a backend server that has said in an answer that it is about to leave."""

    server_id: str
    born_ms: int


class ServerCrash(Struct, frozen=True, array_like=True):
    """Requests that one gateway had at a server process when it crashed.

    ``server_process`` is the server's identity with its start time, and ``age_ms`` the time since
    the crash. ``requests`` holds the keys of each request whose answer had not gone on for long: a
    hash of its content, and its shared prompt parts.
    """

    server_process: str
    age_ms: int
    requests: tuple[tuple[str, ...], ...]


class Quarantine(Struct, frozen=True, array_like=True):
    """Keys of requests that crash servers; a request that has all of them must not run.

    ``age_s`` is the time since the quarantine began.
    """

    keys: tuple[str, ...]
    age_s: float


class ServerLimit(Struct, frozen=True, array_like=True):
    """Requests a second that a server process takes from all gateways together.

    ``rate_per_s`` is None if its last answer named no limit any more. ``age_s`` is the time since
    that answer.
    """

    server_process: str
    rate_per_s: float | None
    age_s: float


class VersionLoad(Struct, frozen=True, array_like=True):
    """Number of a version's servers that a gateway knows, and of the gateway's requests at them.

    ``in_flight`` counts the requests that are open.
    """

    service: str
    version: str
    servers: int
    in_flight: int


class ExchangeRequest(Struct, frozen=True, omit_defaults=True, tag="exchange"):
    """Report of a gateway, and long poll for changes.

    The coordination host answers after a change, at the latest after ``wait_s`` seconds.

    ``host`` and ``incarnation`` identify the gateway process. ``document_version`` and
    ``rollout_revision`` are the newest that the gateway has. ``epoch`` identifies the feed, the
    numbered sequence of announcements that a coordination host keeps, and ``position`` is the
    number of the last change in the feed that the gateway has received. ``evidence`` are counts of
    responses, by which the versions of a rollout are compared. ``work`` is the gateway's load by
    server id.
    ``leaving`` are servers that have said so in an answer and whose row does not show it yet.
    ``versions`` are the servers that the gateway knows and its open requests, by version.
    ``held_sessions`` are the pinned sessions, which stay on the base version: by rollout key, the
    hashes of the sessions.
    They are sent only while ``session_digests``, the digests of these hashes by rollout key, differ
    between gateway and coordination host. A rollout key is made of service and target version; a
    digest is the XOR (bitwise exclusive or) of the hashes. ``wants_work`` tells whether the reply
    shall contain the load of the other gateways; one coordination host is enough for that.

    ``crashes`` are those that the gateway has seen and this process of the coordination host does
    not know yet. ``survivals`` are, for keys that the coordination host suspects, the number of
    requests with the key that have survived lately, in which older ones weigh less.
    ``quarantines`` are all that the gateway knows. ``crash_revision`` is that of the last reply.
    The size of the three grows with the crashes of the last minutes, not with the requests.

    ``limits`` are those that the gateway knows, also of limits that ended a while ago, and
    ``wanted_tokens`` the number of requests for which it asks, by server process. Their size grows
    with the servers that name limits.

    ``tunnel_address`` is the IP:PORT at which other gateways may reach backend servers through this
    one, or empty if they may not now.
    """

    host: str
    incarnation: int
    document_version: int
    rollout_revision: int
    epoch: int
    position: int
    wait_s: float
    evidence: tuple[ServerEvidence, ...] = ()
    work: dict[str, ServerWork] = {}
    versions: tuple[VersionLoad, ...] = ()
    leaving: tuple[LeavingServer, ...] = ()
    wants_work: bool = True
    session_digests: dict[str, int] = {}
    held_sessions: dict[str, tuple[int, ...]] = {}
    crashes: tuple[ServerCrash, ...] = ()
    survivals: dict[str, float] = {}
    quarantines: tuple[Quarantine, ...] = ()
    crash_revision: int = 0
    limits: tuple[ServerLimit, ...] = ()
    wanted_tokens: dict[str, int] = {}
    tunnel_address: str = ""


class ExchangeReply(Struct, frozen=True, omit_defaults=True, tag="exchange_reply"):
    """Changes since the versions and the position of an exchange request.

    ``hosts`` are the coordination hosts. ``document`` is the compressed configuration, or empty if
    the gateway has this version already. ``rows`` are the announcements that changed; ``refreshed``
    are the ids of servers that announced again without a change. ``gateways`` is the number of
    active gateways, ``gateway_position`` the position of this one among them, from 0, and ``work``
    the summed load of the other gateways by server id, or None if it was not asked for.
    ``quarantines`` are those in force, ``suspects`` the keys of recent crashes whose survivals the
    gateway shall report, or None if they have not changed, and
    ``crash_revision`` rises with changes of the two.
    ``availability_zone`` is that of the coordination host, or empty if it is not known.
    ``session_digests`` and ``held_sessions`` are those of the coordination host, with the meaning
    that they have in an exchange request. ``limits`` are those of all gateways. ``tokens`` are the
    requests that the gateway may send, by server process; None if this host does not lead.
    ``tunnel_peers`` are the tunnel addresses of a few other gateways, as many however many gateways
    there are, or None if the load was not asked for.
    """

    hosts: tuple[str, ...]
    document_version: int
    # Older gateways require the fields without a default.
    document: bytes
    rollout_revision: int
    rollouts: tuple[RolloutRow, ...]
    epoch: int
    position: int
    rows: tuple[ServerRow, ...]
    refreshed: tuple[str, ...]
    gateways: int
    gateway_position: int = 0
    work: dict[str, ServerWork] | None = None
    availability_zone: str = ""
    session_digests: dict[str, int] = {}
    held_sessions: dict[str, tuple[int, ...]] = {}
    quarantines: tuple[Quarantine, ...] = ()
    suspects: tuple[str, ...] | None = None
    crash_revision: int = 0
    limits: tuple[ServerLimit, ...] = ()
    tokens: dict[str, int] | None = None
    tunnel_peers: tuple[str, ...] | None = None


class DocumentOrder(Struct, frozen=True, tag="document_order"):
    """Asks the leader to store a routing configuration.

    ``document`` is the text of the configuration, which the sender has already validated and
    compressed. ``version`` is the configuration's own version number, which rises with each change.
    """

    version: int
    document: bytes


class DocumentQuery(Struct, frozen=True, tag="document_query"):
    """Asks the leader for the newest routing configuration."""


class DocumentReply(Struct, frozen=True, tag="document_reply"):
    """The stored version of the configuration and, for a query, its compressed text."""

    version: int
    document: bytes = b""


class RolloutOrder(Struct, frozen=True, tag="rollout_order"):
    """Asks the leader to start a rollout to a target version over ``duration_s`` seconds."""

    service: str
    target: str
    duration_s: float


class RolloutQuery(Struct, frozen=True, tag="rollout_query"):
    """Asks the leader for the last rollout of a service."""

    service: str


class RolloutReply(Struct, frozen=True, tag="rollout_reply"):
    """The last rollout of a service, or None if it has had none."""

    rollout: RolloutRow | None
