"""Tests what a failed connection says about its server."""

import asyncio
import os
from random import Random

import pytest

from baobabstream.backends.http_connection import ConnectFailed
from baobabstream.paths.path_connector import NoPath, PathConnector, PathServices
from baobabstream.paths.server_paths import ServerPaths
from baobabstream.paths.tunnel_peers import TunnelPeers
from baobabstream.paths.tunnel_server import TunnelPolicy, TunnelServer
from baobabstream.resources.client_resources import ProcessResources
from baobabstream.resources.process_limits import ProcessLimits
from baobabstream.telemetry.decision_log import DecisionLog
from baobabstream.telemetry.statistics import Statistics
from baobabstream.wire.fixed_secret_codec import fixed_secret_codec
from baobabstream.wire.tunnel_messages import TunnelOutcome

SERVER = "i-1.1"


class _AllServers(TunnelPolicy):
    """Allows tunnels to each server, unless a test sets an obstacle."""

    obstacle: TunnelOutcome | None = None

    def find_obstacle(self, server_process: str, address: str) -> TunnelOutcome | None:
        return self.obstacle


@pytest.fixture
async def helper():
    """Return another gateway that takes tunnels."""
    helper = TunnelServer(
        _AllServers(),
        fixed_secret_codec("b"),
        Statistics(),
        ProcessResources(ProcessLimits()).peers,
    )
    await helper.start("127.0.0.1", 0)
    yield helper
    await helper.finish(0)


@pytest.fixture
def connector(tmp_path, free_address):
    """Return a connector whose own path to a server that has ended is lost."""
    with open(os.devnull, "wb") as null:
        paths = ServerPaths()
        paths.record_lost(SERVER, 0.0)
        services = PathServices(
            paths,
            TunnelPeers(Random(1)),
            fixed_secret_codec("a"),
            DecisionLog("127.0.0.1", null.fileno()),
            lambda: None,
            lambda: None,
        )
        yield PathConnector(SERVER, free_address, "x-request-id", services)


@pytest.fixture
async def free_address():
    """Return an IP:PORT at which no server listens."""
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    server.close()
    await server.wait_closed()
    return f"127.0.0.1:{port}"


def use_helper(connector: PathConnector, helper: TunnelServer) -> None:
    """Let a connector know another gateway."""
    assert helper._server is not None
    ip, port = helper._server.sockets[0].getsockname()
    connector._services.peers.set_addresses([f"{ip}:{port}"])


async def test_nobody_to_ask_says_nothing_about_the_server(connector):
    """Guards against a server that counts as crashed since no other gateway could be asked.

    The requests that it had begun to answer were put down as causes of the crash.
    """
    with pytest.raises(NoPath):
        await connector.connect(0.3)


@pytest.mark.parametrize(
    "obstacle", [TunnelOutcome.NO_PATH, TunnelOutcome.BUSY, TunnelOutcome.UNKNOWN_SERVER]
)
async def test_refusal_of_another_gateway_says_nothing_about_the_server(
    connector, helper, obstacle
):
    """Guards against a crash that a busy gateway, or one without a path itself, seems to show."""
    helper.policy.obstacle = obstacle
    use_helper(connector, helper)
    with pytest.raises(NoPath):
        await connector.connect(0.3)


async def test_server_that_no_gateway_reaches_is_unreachable(connector, helper):
    """Guards against a crashed server that goes unnoticed as the own path to it is lost."""
    use_helper(connector, helper)
    with pytest.raises(ConnectFailed) as failure:
        await connector.connect(0.3)
    assert not isinstance(failure.value, NoPath)
