"""What a process holds for its clients, at all of its listening sockets together.

A client that has sent no whole request, or does not read its answer, waits; the others are served.
When a new client finds no room, one that waits gives way to it, so that many clients that never go
on do not keep others out. Those that have never sent a whole request come first, and among equals
the one that has waited longest.

The clients of a daemon are its callers, operators and backend servers, and whoever else connects.
Its peers are the other daemons, which have resources of their own.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from itertools import chain

from baobabstream.resources.memory_budget import MemoryBudget, MemoryHolder
from baobabstream.resources.process_limits import MAX_SMALL_REQUEST_BYTES, ProcessLimits

__all__ = ["ClientConnection", "ClientRefusal", "ClientResources", "ProcessResources"]


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
    """Connections and memory for the clients, or the peers, of one process.

    Parameters
    ----------
    max_connections
        Number of connections that may be open.
    memory
        Memory for their requests.

    Attributes
    ----------
    max_connections, memory
        As the parameters.
    refusals
        Number of refused clients by reason.
    on_refusal
        Called with the reason of each refusal, or None.
    """

    def __init__(self, max_connections: int, memory: MemoryBudget) -> None:
        self.max_connections = max_connections
        self.memory = memory
        self.refusals: Counter[ClientRefusal] = Counter()
        self.on_refusal: Callable[[ClientRefusal], None] | None = None
        # All connections. A dict keeps the order in which those in it began to wait; ``_new`` holds
        # those that have not been served.
        self._new: dict[ClientConnection, None] = {}
        self._idle: dict[ClientConnection, None] = {}
        self._served: set[ClientConnection] = set()

    @property
    def open_connections(self) -> int:
        """Number of connections that have been admitted and not released."""
        return len(self._new) + len(self._idle) + len(self._served)

    def admit(self, close: Callable[[], None]) -> "ClientConnection | None":
        """Return the resources of a new connection, or None if there is no room for it.

        ``close`` is called, at most once, if the connection must give way to another one.
        """
        if self.open_connections >= self.max_connections:
            oldest = next(chain(self._new, self._idle), None)
            if oldest is None:
                self.record_refusal(ClientRefusal.NO_CONNECTION)
                return None
            oldest.evict(ClientRefusal.WAITED_LONGEST)
        connection = ClientConnection(self, close)
        self._new[connection] = None
        return connection

    def record_refusal(self, reason: ClientRefusal) -> None:
        """Count and report that a client was refused."""
        self.refusals[reason] += 1
        if self.on_refusal is not None:
            self.on_refusal(reason)

    def _release(self, connection: "ClientConnection") -> None:
        """Forget a connection."""
        self._new.pop(connection, None)
        self._idle.pop(connection, None)
        self._served.discard(connection)

    def _set_waiting(self, connection: "ClientConnection", is_waiting: bool) -> None:
        """Record whether a connection that has been served waits."""
        self._release(connection)
        if is_waiting:
            self._idle[connection] = None
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
        self._is_served = self._has_been_served = False
        self._reads_nothing = False
        self._stall_timer: asyncio.TimerHandle | None = None

    def begin_service(self) -> None:
        """Let the connection count as served, and keep it: its request has arrived as a whole."""
        self._is_served = self._has_been_served = True
        self._update()

    def end_service(self) -> None:
        """Let the connection wait for its next request."""
        self._is_served = False
        self._update()

    def set_reading(self, is_reading: bool, stall_timeout_s: float | None = None) -> None:
        """Record whether the client reads its answer; one that does not waits.

        It loses its connection if it has not read on after ``stall_timeout_s`` seconds.
        """
        if self._is_released:
            return
        self._reads_nothing = not is_reading
        self._cancel_stall_timer()
        if not is_reading and stall_timeout_s is not None:
            self._stall_timer = asyncio.get_running_loop().call_later(
                stall_timeout_s, self.evict, ClientRefusal.READS_NOTHING
            )
        self._update()

    def evict(self, reason: ClientRefusal) -> None:
        """Release the connection and close it, so that another one has room."""
        if not self._is_released:
            self.record_refusal(reason)
            self.release()
            self._close()

    def record_refusal(self, reason: ClientRefusal) -> None:
        """Count and report that the client was refused."""
        self._resources.record_refusal(reason)

    def release(self) -> None:
        """Give everything back; may be called more than once."""
        self._is_released = True
        self._cancel_stall_timer()
        self._resources._release(self)
        self.memory.close()

    def _cancel_stall_timer(self) -> None:
        """Wait no longer for the client to read on."""
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None

    def _update(self) -> None:
        """Pass on whether the connection waits, once it has been served."""
        if self._is_released or not self._has_been_served:
            return
        is_waiting = self._reads_nothing or not self._is_served
        self.memory.is_evictable = is_waiting
        self._resources._set_waiting(self, is_waiting)


class ProcessResources:
    """What one process may hold, in parts of which none can take another one's.

    Parameters
    ----------
    limits
        Limits of the process.

    Attributes
    ----------
    limits
        Limits of the process.
    clients
        Connections and memory for the clients at all listening sockets but those of other daemons.
    peers
        Connections and memory for other daemons.
    responses
        Memory for the answers of backend servers.
    """

    def __init__(self, limits: ProcessLimits) -> None:
        self.limits = limits
        self.clients = ClientResources(
            limits.max_client_connections,
            MemoryBudget(limits.request_bytes, limits.small_request_bytes, MAX_SMALL_REQUEST_BYTES),
        )
        self.peers = ClientResources(
            limits.max_peer_connections, MemoryBudget(limits.message_bytes)
        )
        self.responses = MemoryBudget(limits.response_bytes)
