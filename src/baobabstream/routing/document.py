"""A whole routing configuration: routes, services and client accounts under one version."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "ClientAccount",
    "EngineSpec",
    "ModelSpec",
    "RequestLimits",
    "Route",
    "RouteKind",
    "RoutingDocument",
    "ServiceShare",
    "ServiceSpec",
]


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Share of a route's requests that a service gets, as a weight among all shares."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model of an engine and its cost per 1,000 generated tokens."""

    name: str
    cost_per_1000_tokens: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Limits of the engines that a service runs on.

    Parameters
    ----------
    slots
        Requests that one engine batches.
    kv_capacity_tokens
        Memory of one engine.
    models
        Models that the engines hold.
    """

    slots: int
    kv_capacity_tokens: int
    models: tuple[ModelSpec, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service; ``max_connections`` bounds the connections of all callers to one server."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host below one path prefix.

    Parameters
    ----------
    name, host, path_prefix
        Name, and the requests that the route takes.
    kind
        What may be repeated.
    resumable
        Whether a broken stream may go on at another server.
    timeout_s
        Longest time that a request may be kept waiting for its end.
    latency_target_s
        Time to the answer, or to the first event of a stream, within which it counts fully.
    event_gap_target_s
        Longest pause between two events of a stream that is on time.
    priority
        Rank of the requests, 0 first.
    max_attempts
        Most servers that may run one request.
    anonymous
        Whether requests need no key.
    sessions
        Whether requests carry prompts that later requests of a session share.
    model_names
        Models among which the system chooses, smallest first; empty if the caller names one.
    shares
        Services that the requests go to.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    resumable: bool
    timeout_s: float
    latency_target_s: float
    event_gap_target_s: float
    priority: int
    max_attempts: int
    anonymous: bool
    has_sessions: bool
    model_names: tuple[str, ...]
    shares: tuple[ServiceShare, ...]

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.resumable
        )


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account, its keys, and its priority if that replaces the route's."""

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What a caller may send and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingDocument:
    """One version of the whole configuration. A higher version replaces it."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    accounts: tuple[ClientAccount, ...] | None = None
    limits: RequestLimits = field(default_factory=RequestLimits)
