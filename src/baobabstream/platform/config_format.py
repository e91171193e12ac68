"""Reads the operator's configuration text into a routing document."""

from msgspec import Struct, field
from msgspec.json import Decoder

from baobabstream.errors.codes import ResultCode
from baobabstream.platform.decoding import decode
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

MS = 0.001
DEFAULT_TARGET_MS = 1000.0
DEFAULT_EVENT_GAP_MS = 1000.0

# A kind that is not known here gets the strictest treatment.
_KINDS = {"safe": RouteKind.IDEMPOTENT, "streaming": RouteKind.STREAM}


class _Split(Struct):
    service: str
    weight: float


class _Route(Struct):
    host: str
    path_prefix: str
    # What may be repeated on the route.
    route_kind: str
    timeout_ms: float
    name: str = ""
    # Time to the first event or the whole answer.
    slo_ms: float = DEFAULT_TARGET_MS
    gap_slo_ms: float = DEFAULT_EVENT_GAP_MS
    priority: int = 0
    # Servers that may run one try of a caller.
    max_attempts: int = 1
    anonymous: bool = False
    # Requests carry prompts that share parts with others.
    sticky: bool = False
    resumable: bool = False
    # Models, smallest first, that the system may choose among.
    sizes: list[str] = field(default_factory=list)
    service: str | None = None
    split: list[_Split] | None = None


class _Model(Struct):
    name: str
    cost: float = 0.0


class _Engine(Struct):
    slots: int = 1
    # Tokens that the memory of one engine holds.
    kv_capacity: int = 0
    models: list[_Model] = field(default_factory=list)


class _Service(Struct):
    name: str
    health_path: str = "/health"
    max_conns: int = 100
    engine: _Engine | None = None


class _Tenant(Struct):
    name: str
    api_keys: list[str]
    priority: int | None = None


class _Limits(Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15_000.0


class _Config(Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_decoder = Decoder(_Config)


def read_document(text: bytes) -> RoutingDocument:
    """Return the checked routing document of a configuration text.

    Raises
    ------
    RequestRefused
        ``CHANGE_INVALID`` if it cannot be read in full, a field has another type, or its parts
        contradict each other.
    """
    config = decode(_decoder, text, ResultCode.CHANGE_INVALID)
    limits = config.limits
    document = RoutingDocument(
        config.version,
        tuple(_route(item) for item in config.routes),
        tuple(_service(item) for item in config.services),
        None if config.tenants is None else tuple(_account(item) for item in config.tenants),
        RequestLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms * MS,
            limits.idle_timeout_ms * MS,
        ),
    )
    check_document(document)
    return document


def _route(item: _Route) -> Route:
    if item.split:
        shares = tuple(ServiceShare(part.service, part.weight) for part in item.split)
    else:
        shares = (ServiceShare(item.service, 1.0),) if item.service else ()
    return Route(
        name=item.name or item.path_prefix,
        host=item.host,
        path_prefix=item.path_prefix,
        kind=_KINDS.get(item.route_kind, RouteKind.NON_IDEMPOTENT),
        is_resumable=item.resumable,
        timeout_s=item.timeout_ms * MS,
        latency_target_s=item.slo_ms * MS,
        event_gap_target_s=item.gap_slo_ms * MS,
        priority=item.priority,
        max_attempts=max(1, item.max_attempts),
        allows_anonymous=item.anonymous,
        has_sessions=item.sticky,
        model_names=tuple(item.sizes),
        shares=shares,
    )


def _service(item: _Service) -> ServiceSpec:
    engine = item.engine
    if engine is None:
        return ServiceSpec(item.name, item.health_path, item.max_conns)
    models = tuple(ModelSpec(model.name, model.cost) for model in engine.models)
    spec = EngineSpec(engine.slots, engine.kv_capacity, models)
    return ServiceSpec(item.name, item.health_path, item.max_conns, spec)


def _account(item: _Tenant) -> ClientAccount:
    return ClientAccount(item.name, tuple(item.api_keys), item.priority)
