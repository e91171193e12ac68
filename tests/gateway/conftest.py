"""Fixtures of the tests of the gateway."""

from random import Random

import pytest

from baobabstream.backends.connection_pool import ConnectionPool
from baobabstream.gateway.crash_tracker import CrashTracker
from baobabstream.gateway.gateway_context import GatewayContext
from baobabstream.gateway.server_directory import ServerDirectory
from baobabstream.gateway.settings import GatewaySettings
from baobabstream.platform.names import HEADERS
from baobabstream.routing.session_versions import SessionVersions
from baobabstream.telemetry.decision_log import DecisionLog
from routing.routing_fixtures import make_announcement

SETTINGS = GatewaySettings("gw", "ip", "a", 1, 2, 3, (), 1.0, 8.0, 0.5, 10.0, 10.0, 5.0)


@pytest.fixture
def context() -> GatewayContext:
    """Return the context of a gateway that knows server ``old`` on ``v1`` and ``new`` on ``v2``."""
    directory = ServerDirectory(lambda row: ConnectionPool(row.address, "x", 4), 1.0)
    rows = [
        make_announcement("old", address="10.0.0.1:80", version="v1", born_ms=1),
        make_announcement("new", address="10.0.0.2:80", version="v2", born_ms=2),
    ]
    directory.merge(rows, 0.0)
    return GatewayContext(
        SETTINGS,
        HEADERS,
        directory,
        SessionVersions(5.0),
        CrashTracker(),
        DecisionLog("gw"),
        Random(1),
    )
