"""Opens connections to a backend server by the path that is there: own, or through a gateway."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from baobabstream.backends.connector import Connector, DirectConnector
from baobabstream.backends.http_connection import ConnectFailed, HttpConnection
from baobabstream.paths.server_paths import ServerPaths
from baobabstream.paths.tunnel_client import TunnelRefused, open_tunnel
from baobabstream.paths.tunnel_peers import TunnelPeers
from baobabstream.telemetry.decision_log import DecisionEvent, DecisionLog
from baobabstream.telemetry.statistics import StatisticName
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.tunnel_messages import TunnelOutcome, TunnelRequest

__all__ = ["NoPath", "PathConnector", "PathServices"]

# Time that the own path has before another gateway is asked too. A round trip within a region takes
# milliseconds.
DIRECT_HEAD_START_S = 0.15
# Longest wait for one gateway, so that a second one can be asked within the time of a connection.
PEER_TIMEOUT_S = 0.3
# Most gateways that are asked for one connection.
MAX_PEERS_ASKED = 3
# Gateways that do not reach a server either, after which it counts as unreachable.
UNREACHABLE_REPLIES = 2


class NoPath(ConnectFailed):
    """Raised when the own path to a server is lost, and no other gateway takes a tunnel to it.

    Nothing is known of the server then.
    """


@dataclass(frozen=True, slots=True)
class PathServices:
    """What the connectors of a gateway share.

    Parameters
    ----------
    paths
        Servers to which the own path is lost.
    peers
        Gateways that can be asked.
    codec
        Codec of the protocol between the daemons.
    decisions
        Log of decisions.
    on_change
        Called after a path was lost or restored.
    on_failure
        Called after a server has accepted no connection.
    """

    paths: ServerPaths
    peers: TunnelPeers
    codec: WireCodec
    decisions: DecisionLog
    on_change: Callable[[], None]
    on_failure: Callable[[], None]

    def report_change(self, server_process: str, path: str, reason: str) -> None:
        """Write a changed path to the decision log, and adapt to it."""
        self.decisions.record(
            DecisionEvent.PATH_CHANGED,
            server=server_process,
            path=path,
            reason=reason,
            lost_paths=len(self.paths.lost_servers),
            isolated=self.paths.is_isolated,
            peers=len(self.peers),
        )
        self.on_change()


class PathConnector(Connector):
    """Opens connections to one server, through another gateway if the own path is lost.

    Parameters
    ----------
    server_process, address
        Identity of the server's process, and its ``IP:PORT``.
    request_id_header
        Lower-case name of the header in which an answer repeats the identity of its request.
    services
        What the connectors of the gateway share.
    """

    def __init__(
        self, server_process: str, address: str, request_id_header: str, services: PathServices
    ) -> None:
        self.server_process = server_process
        self._address = address
        self._request_id_header = request_id_header
        self._services = services
        self._direct = DirectConnector(address, request_id_header)

    def may_reuse(self, connection: HttpConnection) -> bool:
        """Return whether an idle connection uses the path that new ones would use."""
        return connection.is_direct != self._services.paths.needs_tunnel(self.server_process)

    async def connect(self, timeout_s: float) -> HttpConnection:
        """Open a connection; see `Connector.connect`.

        If the own path is slow or fails, another gateway is asked too, and the first connection is
        used. One that only the other gateway opens shows that the own path is lost.

        Raises
        ------
        NoPath
            If the own path is lost, and no other gateway takes a tunnel.
        ConnectFailed
            If the server cannot be reached.
        """
        began_s = asyncio.get_running_loop().time()
        paths = self._services.paths
        try:
            if paths.needs_tunnel(self.server_process):
                connection = await self._connect_by_peer(timeout_s)
            else:
                connection = await self._connect_by_either(timeout_s)
        except ConnectFailed:
            paths.record_failed(self.server_process, began_s)
            self._services.on_failure()
            raise
        paths.record_reached(self.server_process)
        return connection

    async def _connect_by_either(self, timeout_s: float) -> HttpConnection:
        """Open a connection by the own path, and through another gateway if that is slow or fails.

        Raises
        ------
        ConnectFailed
            If neither opens one within ``timeout_s`` seconds.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        direct = asyncio.create_task(self.connect_directly(timeout_s))
        tasks, used = [direct], None
        try:
            await asyncio.wait({direct}, timeout=DIRECT_HEAD_START_S)
            if not _has_succeeded(direct) and len(self._services.peers):
                left_s = began_s + timeout_s - loop.time()
                tasks.append(asyncio.create_task(self._connect_by_peer(left_s)))
            used = await _first_success(tasks) or direct
            if used is not direct:
                self._record_lost(direct, began_s)
            return used.result()
        finally:
            for task in tasks:
                if task is not used:
                    _discard(task)

    async def connect_directly(self, timeout_s: float) -> HttpConnection:
        """Open a connection by the own path, which then counts as restored.

        Raises
        ------
        ConnectFailed
            If the server cannot be reached by it within ``timeout_s`` seconds.
        """
        connection = await self._direct.connect(timeout_s)
        now_s = asyncio.get_running_loop().time()
        self._services.paths.record_reached(self.server_process)
        if self._services.paths.record_direct(self.server_process, now_s):
            self._services.report_change(
                self.server_process, "direct", "the server accepts connections"
            )
        return connection

    def _record_lost(self, direct: asyncio.Task[HttpConnection], began_s: float) -> None:
        """Record that another gateway has reached the server before this one.

        ``direct`` opens the own connection since the time ``began_s``.
        """
        if self._services.paths.record_lost(self.server_process, began_s):
            reason = str(direct.exception()) if direct.done() else "no answer"
            self._services.report_change(self.server_process, "tunnel", reason)

    async def _connect_by_peer(self, timeout_s: float) -> HttpConnection:
        """Open a connection through another gateway.

        Raises
        ------
        NoPath
            If no gateway could be asked, or took the tunnel.
        ConnectFailed
            If a gateway has not reached the server, and no other one took the tunnel.
        """
        loop, services = asyncio.get_running_loop(), self._services
        end_s = loop.time() + timeout_s
        unreachable_count = 0
        detail = "no other gateway is known"
        for gateway in services.peers.by_preference(loop.time())[:MAX_PEERS_ASKED]:
            left_s = end_s - loop.time()
            if left_s <= 0 or unreachable_count == UNREACHABLE_REPLIES:
                break
            try:
                connection = await self._open_tunnel(gateway, min(left_s, PEER_TIMEOUT_S))
            except TunnelRefused as error:
                outcome = error.outcome
                detail = error.detail
                services.decisions.statistics.add(
                    StatisticName.TUNNELS_OPENED, outcome or "no_answer"
                )
                if outcome is TunnelOutcome.UNREACHABLE:
                    unreachable_count += 1
                else:
                    services.peers.record_failure(gateway, loop.time())
            else:
                services.decisions.statistics.add(StatisticName.TUNNELS_OPENED, "open")
                return connection
        if unreachable_count:
            raise ConnectFailed(detail)
        raise NoPath(detail)

    async def _open_tunnel(self, gateway: str, timeout_s: float) -> HttpConnection:
        """Open a connection through one gateway, and count it until it ends.

        Raises
        ------
        TunnelRefused
            As `open_tunnel`.
        """
        connection = HttpConnection(self._request_id_header)
        request = TunnelRequest(self.server_process, self._address, int(timeout_s * 1000))
        services = self._services
        count_end = partial(services.peers.record_closed, gateway)
        services.peers.record_opened(gateway)
        try:
            await open_tunnel(gateway, request, connection, services.codec, timeout_s, count_end)
        except BaseException:
            count_end()
            raise
        return connection


def _has_succeeded(task: asyncio.Task[HttpConnection]) -> bool:
    """Return whether a task has opened a connection."""
    return task.done() and not task.cancelled() and task.exception() is None


async def _first_success(
    tasks: list[asyncio.Task[HttpConnection]],
) -> asyncio.Task[HttpConnection] | None:
    """Return the first task that opens a connection, or None after all have failed."""
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        succeeded = next((task for task in tasks if task in done and _has_succeeded(task)), None)
        if succeeded is not None:
            return succeeded
    return None


def _discard(task: asyncio.Task[HttpConnection]) -> None:
    """Cancel a task whose connection is not used, and close one that it has opened."""

    def close_connection(done_task: asyncio.Task[HttpConnection]) -> None:
        """Close the connection of a finished task, if it has opened one."""
        if _has_succeeded(done_task):
            done_task.result().close()

    task.cancel()
    task.add_done_callback(close_connection)
