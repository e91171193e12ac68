"""Decides to which backend servers a gateway has lost its own path, and which it cannot reach.

A server that accepts a connection of another gateway, but none of this one, is alive: this
gateway's path to it is lost. A server that accepts no connection by any path for a while is
unreachable. A gateway is isolated if it has lost the paths to several servers and reached none
since. Times are in seconds.
"""

__all__ = ["ISOLATION_SERVER_COUNT", "ServerPaths"]

# Number of lost paths from which on the paths to all servers are taken to be lost.
ISOLATION_SERVER_COUNT = 2
# Time for which a server must have accepted no connection to count as unreachable. A sound server
# may be silent for a second.
UNREACHABLE_AFTER_S = 1.5


class ServerPaths:
    """Which servers this gateway reaches itself, by the identities of their processes.

    Attributes
    ----------
    is_isolated
        Whether the paths to all servers are taken to be lost.
    """

    def __init__(self) -> None:
        self.is_isolated = False
        # Time in seconds of the first connection that failed for each path that is lost.
        self._lost_since_s: dict[str, float] = {}
        # Time in seconds since which each server has accepted no connection by any path.
        self._failing_since_s: dict[str, float] = {}
        # Time in seconds of the last connection that this gateway opened itself.
        self._last_direct_s = float("-inf")

    @property
    def lost_servers(self) -> tuple[str, ...]:
        """Servers to which the path was found to be lost, the earliest first."""
        return tuple(self._lost_since_s)

    @property
    def failing_servers(self) -> tuple[str, ...]:
        """Servers that have accepted no connection at the last attempt, by any path."""
        return tuple(self._failing_since_s)

    def is_unreachable(self, server_process: str, now_s: float) -> bool:
        """Return whether a server has accepted no connection for a while."""
        failing_since_s = self._failing_since_s.get(server_process)
        return failing_since_s is not None and now_s - failing_since_s >= UNREACHABLE_AFTER_S

    def record_failed(self, server_process: str, began_s: float) -> None:
        """Record that a server has accepted no connection that was begun at a time."""
        self._failing_since_s.setdefault(server_process, began_s)

    def record_reached(self, server_process: str) -> None:
        """Record that a server has accepted a connection by any path."""
        self._failing_since_s.pop(server_process, None)

    def needs_tunnel(self, server_process: str) -> bool:
        """Return whether new connections to a server have to go through another gateway."""
        return self.is_isolated or server_process in self._lost_since_s

    def record_lost(self, server_process: str, began_s: float) -> bool:
        """Record that this gateway has not reached a server which another one probably reaches.

        Parameters
        ----------
        server_process
            Identity of the server's process.
        began_s
            Time at which this gateway began to open its connection.

        Returns
        -------
        bool
            Whether the path was not known to be lost.
        """
        is_new = server_process not in self._lost_since_s
        self._lost_since_s.setdefault(server_process, began_s)
        lost_since_direct = sum(
            since_s > self._last_direct_s for since_s in self._lost_since_s.values()
        )
        if lost_since_direct >= ISOLATION_SERVER_COUNT:
            self.is_isolated = True
        return is_new

    def record_direct(self, server_process: str, now_s: float) -> bool:
        """Record that this gateway has reached a server itself, so that it is not isolated.

        Other paths that were found to be lost count as lost until their servers are reached too.
        Returns whether the path was taken to be lost.
        """
        was_lost = self.needs_tunnel(server_process)
        self._last_direct_s = now_s
        self.is_isolated = False
        self._lost_since_s.pop(server_process, None)
        return was_lost

    def forget(self, server_process: str) -> None:
        """Forget a server that is gone."""
        self._failing_since_s.pop(server_process, None)
        self._lost_since_s.pop(server_process, None)
        if not self._lost_since_s:
            self.is_isolated = False
