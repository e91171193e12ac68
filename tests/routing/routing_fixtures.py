"""Builders of routing documents and announcements for tests."""

from dataclasses import replace

from baobabstream.routing.document import (
    ClientAccount,
    Route,
    RouteKind,
    RoutingDocument,
    ServiceShare,
    ServiceSpec,
)
from baobabstream.wire.coordination_messages import ServerRow, ServerState

__all__ = ["make_announcement", "make_document", "make_route"]

_ROUTE = Route(
    name="r",
    host="desk.example",
    path_prefix="/a/",
    kind=RouteKind.IDEMPOTENT,
    is_resumable=False,
    timeout_s=2.0,
    latency_target_s=0.4,
    event_gap_target_s=1.0,
    priority=1,
    max_attempts=2,
    allows_anonymous=False,
    has_sessions=False,
    model_names=(),
    shares=(ServiceShare("app", 1.0),),
)


def make_route(**changes) -> Route:
    """Return an idempotent route to the service ``app``."""
    return replace(_ROUTE, **changes)


def make_document(*routes: Route, version: int = 1, accounts=None) -> RoutingDocument:
    """Return a document with the services ``app`` and ``engine``."""
    services = (ServiceSpec("app", "/health", 100), ServiceSpec("engine", "/health", 100))
    accounts = (ClientAccount("desk", ("key",)),) if accounts is None else accounts
    return RoutingDocument(version, routes or (make_route(),), services, accounts)


def make_announcement(server_id: str = "i-1", **changes) -> ServerRow:
    """Return the first announcement of a ready server."""
    fields = {
        "server_id": server_id,
        "born_ms": 1,
        "sequence": 1,
        "service": "app",
        "address": "10.0.0.1:80",
        "availability_zone": "a",
        "version": "v1",
        "slots": 6,
        "state": ServerState.READY,
    }
    return ServerRow(**(fields | changes))
