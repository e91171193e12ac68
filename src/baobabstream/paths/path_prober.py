"""Finds out when a gateway reaches a backend server again."""

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from itertools import chain

from baobabstream.backends.connection_pool import ConnectionPool
from baobabstream.backends.http_connection import ConnectFailed
from baobabstream.paths.path_connector import PathConnector
from baobabstream.paths.server_paths import ServerPaths
from baobabstream.telemetry.logs import get_logger

__all__ = ["PathProber"]

_log = get_logger("path_prober")

# Time between two rounds of probes, and the longest wait for a connection.
PROBE_INTERVAL_S, PROBE_TIMEOUT_S = 0.5, 0.5
# Most servers that are probed in a round, so that the cost does not grow with the servers.
MAX_PROBES = 4


class PathProber:
    """Opens connections to servers that were not reached, in turn, while there are any.

    Servers to which the own path is lost are probed by it, and those that were reached by no path
    by all. A gateway that takes all paths to be lost probes all servers. A connection that a server
    accepts is kept for the next request.

    Parameters
    ----------
    paths
        Servers that were not reached.
    list_servers
        Returns the identities of the processes of all servers that take requests.
    find_pool
        Returns the connections to a server, by the identity of its process, or None if it takes no
        requests any more.
    """

    def __init__(
        self,
        paths: ServerPaths,
        list_servers: Callable[[], Iterable[str]],
        find_pool: Callable[[str], ConnectionPool | None],
    ) -> None:
        self._paths = paths
        self._list_servers = list_servers
        self._find_pool = find_pool
        self._task: asyncio.Task[None] | None = None
        # Servers of the present turn that have not been probed yet.
        self._turn: deque[str] = deque()

    def wake(self) -> None:
        """Start to probe, unless this is under way or all servers were reached."""
        if self._targets() and (self._task is None or self._task.done()):
            self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()

    def _targets(self) -> tuple[str, ...]:
        """Return the servers to probe, each once."""
        paths = self._paths
        all_servers = self._list_servers() if paths.is_isolated else ()
        return tuple(dict.fromkeys(chain(paths.lost_servers, paths.failing_servers, all_servers)))

    async def _run(self) -> None:
        """Probe until all servers were reached."""
        while targets := self._targets():
            await asyncio.sleep(PROBE_INTERVAL_S)
            if not self._turn:
                self._turn.extend(targets)
            round_size = min(MAX_PROBES, len(self._turn))
            servers = [self._turn.popleft() for _ in range(round_size)]
            await asyncio.gather(*map(self._probe, servers))

    async def _probe(self, server_process: str) -> None:
        """Open a connection to one server, or forget a server that takes no requests any more."""
        if server_process not in self._targets():
            return
        pool = self._find_pool(server_process)
        if pool is None or not isinstance(pool.connector, PathConnector):
            self._paths.forget(server_process)
            return
        connector, paths = pool.connector, self._paths
        began_s = asyncio.get_running_loop().time()
        if paths.needs_tunnel(server_process):
            try:
                pool.add_idle(await connector.connect_directly(PROBE_TIMEOUT_S))
            except ConnectFailed as error:
                _log.debug("The path to %s is still lost: %s", server_process, error.detail)
                paths.record_lost(server_process, began_s)
        if server_process in paths.failing_servers:
            try:
                pool.add_idle(await connector.connect(PROBE_TIMEOUT_S))
            except ConnectFailed as error:
                _log.debug("Server %s is still not reached: %s", server_process, error.detail)
