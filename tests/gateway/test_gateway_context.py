"""Tests which versions of a service may run a request."""

from random import Random

import pytest

from baobabstream.backends.connection_pool import ConnectionPool
from baobabstream.gateway.crash_tracker import CrashWatch
from baobabstream.gateway.gateway_context import RunContext
from baobabstream.gateway.server_directory import ServerDirectory
from baobabstream.gateway.settings import GatewaySettings
from baobabstream.platform.names import HEADERS
from baobabstream.routing.session_versions import SessionVersions
from baobabstream.telemetry.decision_log import DecisionLog
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState
from routing.routing_fixtures import make_announcement

SETTINGS = GatewaySettings("gw", "ip", "a", 1, 2, 3, (), 1.0, 8.0, 0.5, 10.0, 10.0, 5.0)
ROLLOUT = RolloutRow("app", "v1", "v2", RolloutState.IN_PROGRESS, 0.0)


@pytest.fixture
def context() -> RunContext:
    directory = ServerDirectory(lambda row: ConnectionPool(row.address, "x", 4), 1.0)
    rows = [
        make_announcement("old", address="10.0.0.1:80", version="v1", born_ms=1),
        make_announcement("new", address="10.0.0.2:80", version="v2", born_ms=2),
    ]
    directory.merge(rows, 0.0)
    return RunContext(
        SETTINGS,
        HEADERS,
        directory,
        SessionVersions(5.0),
        CrashWatch(),
        DecisionLog("gw"),
        Random(1),
    )


def chosen(context: RunContext, row: RolloutRow | None) -> set[str]:
    context.rollouts = {} if row is None else {"app": row}
    sessions = (f"s{n}" for n in range(50))
    return {
        server.row.server_id
        for session in sessions
        for server in context.candidates("app", session, 0.0)
    }


def test_new_version_gets_nothing_before_its_rollout(context):
    """Guards against traffic for servers that start ahead of the order."""
    assert chosen(context, None) == {"old"}
    assert chosen(context, RolloutRow("app", "v1")) == {"old"}


def test_unknown_base_is_every_version_but_the_target(context):
    """Guards against a bad version that gets all requests because the base was never noted."""
    assert chosen(context, replace_row(base="")) == {"old"}
    assert chosen(context, replace_row(base="", state=RolloutState.ROLLED_BACK)) == {"old"}


def test_share_splits_sessions(context):
    """Guards against a rollout that exposes all or nothing."""
    assert chosen(context, replace_row(share=0.5)) == {"old", "new"}
    assert chosen(context, replace_row(share=1.0)) == {"new"}


def test_rolled_back_version_gets_nothing_even_alone(context):
    """Guards against a bad version as a last resort."""
    context.directory.merge([make_announcement("old", sequence=9, state="gone")], 0.0)
    assert chosen(context, replace_row(state=RolloutState.ROLLED_BACK)) == set()


def replace_row(**changes) -> RolloutRow:
    fields = {name: getattr(ROLLOUT, name) for name in RolloutRow.__struct_fields__}
    return RolloutRow(**(fields | changes))
