"""Data classes of a routing configuration: routes, services and client accounts.

The operator replaces the configuration as a whole. In this form, with units and names of this
package, it is called a routing document.
"""

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
    """Whether requests of a route may be repeated, and whether responses are event streams.

    A stream may be repeated only on a resumable route.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weight of a service among all services that get requests of one route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model of an engine, with its cost per 1,000 generated tokens."""

    name: str
    cost_per_1000_tokens: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Limits of the engines, the backend servers that run models, of a service.

    Parameters
    ----------
    slots
        Most requests that one engine runs in a batch.
    kv_capacity_tokens
        Tokens that the key-value cache of one engine holds.
    models
        Models that the engines have loaded.
    """

    slots: int
    kv_capacity_tokens: int
    models: tuple[ModelSpec, ...] = ()


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service, which is a group of equivalent backend servers.

    Parameters
    ----------
    name, health_path
        Name, and the path of its servers' health check.
    max_connections
        Most connections to one server, those of all gateways together.
    engine
        Limits of the engines, or None for a service that runs no models.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class Route:
    """Handling of the requests to one host below one path prefix.

    Parameters
    ----------
    name, host, path_prefix
        Name, and the host and path prefix of the requests.
    kind
        Whether requests may be repeated, and whether responses are event streams.
    is_resumable
        Whether a broken stream may be continued by another server.
    timeout_s
        Longest time in seconds from the arrival of a request to the end of its response.
    latency_target_s
        Time in seconds within which the whole response, or the first event of a stream, should
        arrive; a later response counts only in part.
    event_gap_target_s
        Longest pause in seconds between two events of a stream that meets its target.
    priority
        Rank of the requests, 0 first.
    max_attempts
        Most servers that may run one request.
    allows_anonymous
        Whether requests need no key.
    has_sessions
        Whether requests carry prompts that later requests of a session share.
    model_names
        Models among which the gateway chooses, smallest first; empty if the caller names one.
    shares
        Services that the requests go to, with their weights.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    is_resumable: bool
    timeout_s: float
    latency_target_s: float
    event_gap_target_s: float
    priority: int
    max_attempts: int
    allows_anonymous: bool
    has_sessions: bool
    model_names: tuple[str, ...]
    shares: tuple[ServiceShare, ...]

    @property
    def is_repeatable(self) -> bool:
        """Whether the same request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account, its API keys, and a priority that replaces the route's if it is set."""

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size of a caller's request, and on the time to send it or to stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class RoutingDocument:
    """One version of the whole configuration; a higher version replaces it.

    Parameters
    ----------
    version
        Number that rises with each change of the configuration.
    routes, services
        Routes, and the services that they refer to.
    accounts
        Client accounts, or None if requests need no key.
    limits
        Limits on callers' requests.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSpec, ...]
    accounts: tuple[ClientAccount, ...] | None = None
    limits: RequestLimits = field(default_factory=RequestLimits)
