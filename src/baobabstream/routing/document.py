"""Data classes of a routing configuration: routes, services and client accounts.

The operator replaces the configuration as a whole. In this form, with units and names of this
package, it is called a routing document.

An attempt is one send of a request to one backend server. An event is a server-sent event of a
streamed response. A session is a series of requests that a caller marks as belonging together, for
instance a conversation. A key is the API key by which a caller shows its client account.
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

    ``IDEMPOTENT`` requests have the same effect if they run more than once, so they may be
    repeated; ``NON_IDEMPOTENT`` ones may run only once. The responses of ``STREAM`` routes are
    event streams; their requests may be repeated only if the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weight of a service among all services that get requests of one route.

    The service gets the fraction of the route's sessions that its weight is of the sum of weights.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model of an engine, with its cost per 1,000 generated tokens.

    The operator chooses the unit of the cost.
    """

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
        Tokens that the key-value cache of one engine holds. This cache keeps the processed tokens
        of prompts and answers.
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
        Limits of the engines, or None for a plain service, which is one that runs no models.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class Route:
    """Handling of the requests to one host name below one path prefix.

    Parameters
    ----------
    name, host, path_prefix
        Name, the host name in the URL of the requests, and the prefix of their path, which ends
        with a slash.
    kind
        Whether requests may be repeated, and whether responses are event streams.
    is_resumable
        Whether a stream that breaks off may be continued by another server, after the last event
        that the caller has received.
    timeout_s
        Longest time in seconds from the arrival of a request to the end of its response.
    latency_target_s
        Time in seconds within which the whole response, or the first event of a stream, should
        arrive; a later response counts only in part.
    event_gap_target_s
        Longest pause in seconds between two events of a stream that meets its target.
    priority
        Rank of the requests at a server where they wait, 0 first.
    max_attempts
        Most attempts of one request that may run at a server. Attempts that a server refuses
        without running them don't count.
    allows_anonymous
        Whether requests need no key.
    has_sessions
        Whether requests carry prompts that later requests of the same session begin with.
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
        """Whether the same request may run more than once, and so may be sent again."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.kind is RouteKind.STREAM and self.is_resumable
        )


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account, its API keys, and a priority that replaces the route's if it is set.

    A priority is a rank, 0 first.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size of a caller's request, and on the time to send it or to stay idle.

    Parameters
    ----------
    max_header_bytes, max_body_bytes
        Largest size in bytes of the headers, and of the body.
    header_timeout_s
        Longest time in seconds for the headers to arrive.
    idle_timeout_s
        Longest time in seconds for which a connection without a request stays open.
    """

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
