"""Decodes the operator's configuration, a JSON text, into a routing document.

The private classes have the fields of the JSON text, with its names and units. A routing document
has the same contents in the names and units of ``baobabstream.routing``.

A route selects callers' requests and names the services, groups of equivalent backend servers, that
may run them. A session is a series of requests that a caller marks as belonging together.
"""

from msgspec import Struct, field
from msgspec.json import Decoder

from baobabstream.errors.codes import ResultCode
from baobabstream.platform.decoding import NaturalNumber, decode
from baobabstream.routing.document import (
    ClientAccount,
    EngineSpec,
    ModelSpec,
    RequestLimits,
    Route,
    RouteKind,
    RoutingDocument,
    ServiceShare,
    ServiceSpec,
)
from baobabstream.routing.document_checks import check_document

__all__ = ["read_document"]

SECONDS_PER_MS = 0.001
DEFAULT_LATENCY_TARGET_MS = 1000.0
# An event gap is the pause between two events of a streamed response.
DEFAULT_EVENT_GAP_TARGET_MS = 1000.0

# By the kind's name in the JSON text. Other kinds are treated as non-idempotent, the most
# restrictive kind.
_ROUTE_KINDS = {"safe": RouteKind.IDEMPOTENT, "streaming": RouteKind.STREAM}


class _Split(Struct):
    """Weight of one of a route's services.

    The service gets the fraction of the route's sessions that ``weight`` is of the sum of weights.
    """

    service: str
    weight: float


class _Route(Struct):
    """A route: the requests for one host below one path prefix."""

    host: str
    path_prefix: str
    # Whether requests may be repeated and responses are streams; a key of _ROUTE_KINDS.
    route_kind: str
    # Longest time in milliseconds from a request to the end of its response.
    timeout_ms: float
    name: str = ""
    # Target (service level objective) in milliseconds of the time to the first event of a stream,
    # or to the end of another response.
    slo_ms: float = DEFAULT_LATENCY_TARGET_MS
    # Target in milliseconds of the longest pause between two events of a stream.
    gap_slo_ms: float = DEFAULT_EVENT_GAP_TARGET_MS
    # Rank of the requests among those that wait at a backend server, 0 first.
    priority: int = 0
    # Most servers that may run one request; values below 1 count as 1.
    max_attempts: int = 1
    # Whether requests need no API key.
    anonymous: bool = False
    # Whether the route has sessions, whose requests carry prompts with common parts.
    sticky: bool = False
    # Whether another server may continue a broken stream.
    resumable: bool = False
    # Models among which the gateway chooses, smallest first; empty if the caller names one.
    sizes: list[str] = field(default_factory=list)
    # Service of all requests if split is missing.
    service: str | None = None
    split: list[_Split] | None = None


class _Model(Struct):
    """A model of an engine."""

    name: str
    # Cost per 1,000 generated tokens, in a unit of the operator's choice.
    cost: float = 0.0


class _Engine(Struct):
    """Limits of the engines, the backend servers that run models, of a service."""

    # Most requests that one engine runs in a batch.
    slots: int = 1
    # Number of tokens that the key-value cache of one engine holds; the cache keeps the results of
    # processing a prompt for the tokens that follow.
    kv_capacity: int = 0
    models: list[_Model] = field(default_factory=list)


class _Service(Struct):
    """A service, which is a group of equivalent backend servers."""

    name: str
    # Path of a server's health check.
    health_path: str = "/health"
    # Most connections to one server, those of all gateways together.
    max_conns: int = 100
    # None if the service runs no models.
    engine: _Engine | None = None


class _Tenant(Struct):
    """A client account."""

    name: str
    api_keys: list[str]
    # Rank of the account's requests, 0 first; replaces the priority of the route if it is set.
    priority: int | None = None


class _Limits(Struct):
    """Limits on the size of a caller's request, and on the time to send it or to stay idle.

    ``header_timeout_ms`` is the time for the header to arrive, ``idle_timeout_ms`` the longest
    time for which a connection without a request stays open, both in milliseconds.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Config(Struct):
    """The whole configuration."""

    # Rises with each change of the configuration.
    version: NaturalNumber
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = field(default_factory=_Limits)
    # None if requests need no API key.
    tenants: list[_Tenant] | None = None


_config_decoder = Decoder(_Config)


def read_document(text: bytes) -> RoutingDocument:
    """Decode and validate a configuration text.

    Raises
    ------
    RequestRefused
        ``CHANGE_INVALID`` if the text is no complete JSON, a field has the wrong type, or the
        parts of the configuration contradict each other.
    """
    config = decode(_config_decoder, text, ResultCode.CHANGE_INVALID)
    limits = config.limits
    document = RoutingDocument(
        config.version,
        tuple(_convert_route(route) for route in config.routes),
        tuple(_convert_service(service) for service in config.services),
        (
            None
            if config.tenants is None
            else tuple(_convert_tenant(tenant) for tenant in config.tenants)
        ),
        RequestLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms * SECONDS_PER_MS,
            limits.idle_timeout_ms * SECONDS_PER_MS,
        ),
    )
    check_document(document)
    return document


def _convert_route(route: _Route) -> Route:
    """Return a route in the names and units of the routing document.

    A non-empty ``split`` overrides ``service``. Without both, the route has no services. A route
    without a name gets its path prefix as name.
    """
    if route.split:
        shares = tuple(ServiceShare(split.service, split.weight) for split in route.split)
    else:
        # The only service gets all requests, whatever its weight.
        shares = (ServiceShare(route.service, 1.0),) if route.service else ()
    return Route(
        name=route.name or route.path_prefix,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_ROUTE_KINDS.get(route.route_kind, RouteKind.NON_IDEMPOTENT),
        is_resumable=route.resumable,
        timeout_s=route.timeout_ms * SECONDS_PER_MS,
        latency_target_s=route.slo_ms * SECONDS_PER_MS,
        event_gap_target_s=route.gap_slo_ms * SECONDS_PER_MS,
        priority=route.priority,
        max_attempts=max(1, route.max_attempts),
        allows_anonymous=route.anonymous,
        has_sessions=route.sticky,
        model_names=tuple(route.sizes),
        shares=shares,
    )


def _convert_service(service: _Service) -> ServiceSpec:
    """Return a service in the names of the routing document.

    The document has no ``EngineSpec`` for a service that runs no models.
    """
    engine = service.engine
    if engine is None:
        return ServiceSpec(service.name, service.health_path, service.max_conns)
    models = tuple(ModelSpec(model.name, model.cost) for model in engine.models)
    engine_spec = EngineSpec(engine.slots, engine.kv_capacity, models)
    return ServiceSpec(service.name, service.health_path, service.max_conns, engine_spec)


def _convert_tenant(tenant: _Tenant) -> ClientAccount:
    """Return a client account in the names of the routing document."""
    return ClientAccount(tenant.name, tuple(tenant.api_keys), tenant.priority)
