"""Finds out when a gateway's own path to a backend server is restored."""

import asyncio
from collections.abc import Callable

from baobabstream.backends.connection_pool import ConnectionPool
from baobabstream.backends.http_connection import ConnectFailed
from baobabstream.paths.path_connector import PathConnector
from baobabstream.paths.server_paths import ServerPaths
from baobabstream.telemetry.logs import get_logger

__all__ = ["PathProber"]

_log = get_logger("path_prober")

# Time between two probes, of one server each, and the longest wait for a connection.
PROBE_INTERVAL_S, PROBE_TIMEOUT_S = 0.5, 0.5


class PathProber:
    """Opens connections to the servers of lost paths in turn, while there are any.

    A connection that a server accepts is kept for the next request.

    Parameters
    ----------
    paths
        Servers to which the own path is lost.
    find_pool
        Returns the connections to a server, by the identity of its process, or None if it is gone.
    """

    def __init__(
        self, paths: ServerPaths, find_pool: Callable[[str], ConnectionPool | None]
    ) -> None:
        self._paths = paths
        self._find_pool = find_pool
        self._task: asyncio.Task[None] | None = None

    def wake(self) -> None:
        """Start to probe, unless this is under way or no path is lost."""
        if self._paths.lost_servers and (self._task is None or self._task.done()):
            self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        """Probe until no path is lost."""
        while lost_servers := self._paths.lost_servers:
            for server_process in lost_servers:
                await asyncio.sleep(PROBE_INTERVAL_S)
                if server_process in self._paths.lost_servers:
                    await self._probe(server_process)

    async def _probe(self, server_process: str) -> None:
        """Open a connection to one server, or forget a server that is gone."""
        pool = self._find_pool(server_process)
        if pool is None or not isinstance(pool.connector, PathConnector):
            self._paths.forget(server_process)
            return
        try:
            pool.add_idle(await pool.connector.connect_directly(PROBE_TIMEOUT_S))
        except ConnectFailed as error:
            _log.debug("The path to %s is still lost: %s", server_process, error.detail)
