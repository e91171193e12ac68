"""Pool of HTTP connections to one backend server.

Reusing an idle connection is risky: the server may have closed it already, and then the request
that is sent on it is lost and it is unknown whether it ran. The pool therefore reuses a connection
only while it has been idle for less than the idle timeout of the server. This is the lowest of the
keep-alive timeout that the server announces in its ``Keep-Alive`` header (or a default if it
announces none), an estimate from connections that were lost when they were reused, and a fixed
upper bound.
"""

import asyncio

from baobabstream.backends.connector import Connector, DirectConnector
from baobabstream.backends.http_connection import ConnectFailed, HttpConnection
from baobabstream.backends.idle_timeout_estimator import IdleTimeoutEstimator

__all__ = ["ConnectionPool"]

# Safety margin before the end of the server's keep-alive timeout. Within this time, the server may
# close the connection while a request is in transit.
IDLE_TIMEOUT_MARGIN_S = 0.5
# Idle timeout assumed for a server that sends no keep-alive timeout. Servers usually allow a few
# seconds.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# Upper bound of the idle time of any connection. A load balancer between client and server may
# drop the state of connections that are idle for longer.
MAX_IDLE_TIMEOUT_S = 30.0


class ConnectionPool:
    """Pool of connections to one address; reuses the most recently used connection first.

    Parameters
    ----------
    address
        ``IP:PORT`` of the server.
    request_id_header
        Lower-case name of the header in which an answer repeats the identity of its request.
    max_connections
        Largest number of connections in use at the same time; idle ones do not count.
    idle_timeout_estimator
        Estimated idle timeout of the servers of the same service, usually shared by their pools.
        By default each pool has an estimator of its own.
    connector
        Opens the connections; by default directly.
    """

    def __init__(
        self,
        address: str,
        request_id_header: str,
        max_connections: int,
        idle_timeout_estimator: IdleTimeoutEstimator | None = None,
        connector: Connector | None = None,
    ) -> None:
        self.connector = connector or DirectConnector(address, request_id_header)
        self.max_connections = max_connections
        self._idle_timeout_estimator = idle_timeout_estimator or IdleTimeoutEstimator()
        # Idle connections, the most recently used last, each with the event loop time in seconds
        # since which it has been idle.
        self._idle_connections: list[tuple[float, HttpConnection]] = []
        self._in_use_count = 0

    @property
    def is_full(self) -> bool:
        """Whether the largest allowed number of connections is in use."""
        return self._in_use_count >= self.max_connections

    @property
    def has_open_idle_connection(self) -> bool:
        """Whether the server keeps an idle connection open, which the end of its process ends."""
        return any(connection.is_reusable for _, connection in self._idle_connections)

    async def acquire(self, timeout_s: float) -> HttpConnection:
        """Return a reusable idle connection, or open a new one.

        Each acquired connection must be given back with ``release``.

        Parameters
        ----------
        timeout_s
            Limit in seconds on opening a new connection.

        Raises
        ------
        ConnectFailed
            If the pool is full, or the server cannot be reached within ``timeout_s``.
        """
        if self.is_full:
            raise ConnectFailed("all connections to the server are in use")
        self._in_use_count += 1
        connection = self._pop_reusable()
        if connection is not None:
            return connection
        try:
            return await self.connector.connect(timeout_s)
        except BaseException:
            self._in_use_count -= 1
            raise

    def add_idle(self, connection: HttpConnection) -> None:
        """Add a new connection that has carried no request."""
        self._idle_connections.append((asyncio.get_running_loop().time(), connection))

    def release(self, connection: HttpConnection) -> None:
        """Give back a connection, which is then idle, or closed if it cannot carry another request.

        A reused connection that was lost right after its request was sent had probably been dropped
        while it was idle; its idle time lowers the estimated idle timeout. A connection whose idle
        time before the request is None was new. A tunnel through another host may have ended with
        that host, which says nothing about the server. One that has not yet handed the whole
        request to the operating system is closed, and so is one whose path has changed meanwhile.
        """
        self._in_use_count -= 1
        idle_s = connection.idle_before_request_s
        if connection.was_lost_while_idle and connection.is_direct and idle_s is not None:
            now_s = asyncio.get_running_loop().time()
            self._idle_timeout_estimator.record_loss(idle_s, now_s)
        is_complete = connection.is_reusable and connection.has_sent_everything
        if is_complete and self.connector.may_reuse(connection):
            self._idle_connections.append((asyncio.get_running_loop().time(), connection))
        else:
            connection.close()

    def close_outdated(self) -> None:
        """Close the idle connections that may not be reused, as their path has changed."""
        outdated = [
            connection
            for _, connection in self._idle_connections
            if not self.connector.may_reuse(connection)
        ]
        self._idle_connections = [
            (idle_since_s, connection)
            for idle_since_s, connection in self._idle_connections
            if connection not in outdated
        ]
        for connection in outdated:
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for _, connection in self._idle_connections:
            connection.close()
        self._idle_connections.clear()

    def _pop_reusable(self) -> HttpConnection | None:
        """Return the most recently used connection within its idle timeout; close expired ones.

        ``reusable_until_s`` is the event loop time in seconds up to which the server promised to
        keep the idle connection open. Returns None if no idle connection may be reused.
        """
        now_s = asyncio.get_running_loop().time()
        max_idle_s = min(MAX_IDLE_TIMEOUT_S, self._idle_timeout_estimator.idle_timeout_s(now_s))
        while self._idle_connections:
            idle_since_s, connection = self._idle_connections.pop()
            reuse_deadline_s = connection.reusable_until_s - IDLE_TIMEOUT_MARGIN_S
            # Infinite means that the server has announced no keep-alive timeout.
            if connection.reusable_until_s == float("inf"):
                reuse_deadline_s = idle_since_s + DEFAULT_IDLE_TIMEOUT_S
            is_current = connection.is_reusable and self.connector.may_reuse(connection)
            if is_current and now_s < min(reuse_deadline_s, idle_since_s + max_idle_s):
                connection.idle_before_request_s = now_s - idle_since_s
                return connection
            connection.close()
        return None
