"""Tests which paths to servers are probed, on a simulated clock."""

import asyncio

import looptime  # noqa: F401 - the plugin advances the clock of these tests
import pytest

from baobabstream.backends.connection_pool import ConnectionPool
from baobabstream.backends.http_connection import ConnectFailed, HttpConnection
from baobabstream.paths.path_connector import PathConnector
from baobabstream.paths.path_prober import PathProber
from baobabstream.paths.server_paths import ServerPaths

pytestmark = pytest.mark.looptime

SERVERS = ("a.1", "b.1")


class _Connector(PathConnector):
    """Reaches a server by the paths that a test sets."""

    def __init__(self, server_process: str, paths: ServerPaths) -> None:
        self.server_process = server_process
        self.paths = paths
        self.is_direct_open = self.is_tunnel_open = False

    def may_reuse(self, connection: HttpConnection) -> bool:
        return True

    async def connect(self, timeout_s: float) -> HttpConnection:
        if not self.is_tunnel_open:
            raise ConnectFailed("no gateway helps")
        self.paths.record_reached(self.server_process)
        return HttpConnection("x")

    async def connect_directly(self, timeout_s: float) -> HttpConnection:
        if not self.is_direct_open:
            raise ConnectFailed("the path is lost")
        now_s = asyncio.get_running_loop().time()
        self.paths.record_reached(self.server_process)
        self.paths.record_direct(self.server_process, now_s)
        return HttpConnection("x")


@pytest.fixture
async def probed():
    """Return the paths, and the connectors of two servers, which are probed."""
    paths = ServerPaths()
    connectors = {server: _Connector(server, paths) for server in SERVERS}
    pools = {
        server: ConnectionPool("1.2.3.4:5", "x", 4, connector=connector)
        for server, connector in connectors.items()
    }
    prober = PathProber(paths, lambda: SERVERS, pools.get)
    yield paths, connectors, prober
    prober.stop()


async def test_server_of_a_lost_path_that_no_gateway_reached_is_tried_by_others_again(probed):
    """Guards against requests that are refused until the own path is back.

    For a while no gateway could help, so that the server counted as unreachable.
    """
    paths, connectors, prober = probed
    paths.record_lost("a.1", 0.0)
    paths.record_failed("a.1", 0.0)
    prober.wake()
    await asyncio.sleep(3.0)
    assert paths.is_unreachable("a.1", 3.0)
    connectors["a.1"].is_tunnel_open = True
    await asyncio.sleep(1.1)
    assert not paths.is_unreachable("a.1", 4.1)
    assert paths.lost_servers == ("a.1",)


async def test_isolated_gateway_notices_the_first_server_that_it_reaches(probed):
    """Guards against detours to all servers as only the lost ones are probed."""
    paths, connectors, prober = probed
    connectors["b.1"].is_direct_open = True
    paths.record_lost("a.1", 0.0)
    paths.record_lost("c.1", 0.0)
    prober.wake()
    await asyncio.sleep(1.1)
    assert not paths.is_isolated
    assert not paths.needs_tunnel("b.1")
    assert paths.needs_tunnel("a.1")


async def test_nothing_is_probed_once_all_servers_are_reached(probed):
    """Guards against probes that go on for ever."""
    paths, connectors, prober = probed
    paths.record_lost("a.1", 0.0)
    connectors["a.1"].is_direct_open = True
    prober.wake()
    await asyncio.sleep(1.1)
    assert not paths.lost_servers
    assert prober._task is not None
    assert prober._task.done()
