"""What a process holds for its clients, at all of its listening sockets together.

A client that has sent no whole request, or does not read its answer, waits; the others are served.
When a new client finds no room, the one that has waited longest gives way to it, so that many
clients that never go on do not keep others out.
"""

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from itertools import islice

from baobabstream.resources.memory_budget import MemoryBudget, MemoryHolder
from baobabstream.resources.process_limits import MAX_SMALL_REQUEST_BYTES, ProcessLimits

__all__ = ["ClientConnection", "ClientResources", "ClientRefusal"]


class ClientRefusal(StrEnum):
    """Why a client was refused, or its connection closed."""

    NO_CONNECTION = "no connection left"
    WAITED_LONGEST = "waited longest"
    NO_MEMORY = "no memory left"
    LARGEST = "held most memory"
    HEAD_TOO_LARGE = "head too large"
    HEAD_TOO_SLOW = "head too slow"
    READS_NOTHING = "does not read"


class ClientResources:
    """Connections and memory for the clients of one process.

    Parameters
    ----------
    limits
        Limits of the process.

    Attributes
    ----------
    limits
        Limits of the process.
    memory
        Memory for the requests of all clients.
    refusals
        Number of refused clients by reason.
    """

    def __init__(self, limits: ProcessLimits) -> None:
        self.limits = limits
        self.memory = MemoryBudget(
            limits.request_bytes, limits.small_request_bytes, MAX_SMALL_REQUEST_BYTES
        )
        self.refusals: Counter[ClientRefusal] = Counter()
        # All connections; a dict keeps the order in which those that wait began to do so.
        self._waiting: dict[ClientConnection, None] = {}
        self._served: set[ClientConnection] = set()

    @property
    def open_connections(self) -> int:
        """Number of connections that have been admitted and not released."""
        return len(self._waiting) + len(self._served)

    def admit(self, close: Callable[[], None]) -> "ClientConnection | None":
        """Return the resources of a new connection, or None if there is no room for it.

        ``close`` is called, at most once, if the connection must give way to another one.
        """
        if self.open_connections >= self.limits.max_client_connections:
            oldest = next(islice(self._waiting, 1), None)
            if oldest is None:
                self.refusals[ClientRefusal.NO_CONNECTION] += 1
                return None
            oldest.evict(ClientRefusal.WAITED_LONGEST)
        connection = ClientConnection(self, close)
        self._waiting[connection] = None
        return connection

    def _release(self, connection: "ClientConnection") -> None:
        """Forget a connection."""
        self._waiting.pop(connection, None)
        self._served.discard(connection)

    def _set_waiting(self, connection: "ClientConnection", is_waiting: bool) -> None:
        """Record whether a connection waits; it then is the last one to give way."""
        self._release(connection)
        if is_waiting:
            self._waiting[connection] = None
        else:
            self._served.add(connection)


class ClientConnection:
    """Resources of one connection, until it is released.

    Attributes
    ----------
    memory
        Memory of the requests on the connection.
    """

    def __init__(self, resources: ClientResources, close: Callable[[], None]) -> None:
        self._resources = resources
        self._close = close
        self.memory: MemoryHolder = resources.memory.open(lambda: self.evict(ClientRefusal.LARGEST))
        self._is_released = False
        self._is_served = False
        self._reads_nothing = False

    def begin_service(self) -> None:
        """Let the connection count as served, and keep it: its request has arrived as a whole."""
        self._is_served = True
        self._update()

    def end_service(self) -> None:
        """Let the connection wait for its next request."""
        self._is_served = False
        self._update()

    def set_reading(self, is_reading: bool) -> None:
        """Record whether the client reads its answer; one that does not waits."""
        self._reads_nothing = not is_reading
        self._update()

    def evict(self, reason: ClientRefusal) -> None:
        """Release the connection and close it, so that another one has room."""
        if not self._is_released:
            self.record_refusal(reason)
            self.release()
            self._close()

    def record_refusal(self, reason: ClientRefusal) -> None:
        """Count that the client was refused."""
        self._resources.refusals[reason] += 1

    def release(self) -> None:
        """Give everything back; may be called more than once."""
        self._is_released = True
        self._resources._release(self)
        self.memory.close()

    def _update(self) -> None:
        """Pass on whether the connection waits."""
        if not self._is_released:
            is_waiting = self._reads_nothing or not self._is_served
            self.memory.is_evictable = is_waiting
            self._resources._set_waiting(self, is_waiting)
