"""Links between gateways and backend servers, which a test cuts for single gateways.

All daemons of a test share one process and the loopback network, so a link is cut where a gateway
opens its connections. Which gateway opens one is known by a context variable, which all tasks and
callbacks of the gateway inherit.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from contextvars import ContextVar, copy_context
from enum import StrEnum
from functools import partial

__all__ = ["CutKind", "ServerLinks", "current_gateway", "run_behind_links"]

# Time for which the bytes of a connection are held up before the kernel of a host gives it up.
HELD_UP_TIMEOUT_S = 3.0
# IP address of the gateway whose code runs, or empty.
current_gateway: ContextVar[str] = ContextVar("current_gateway", default="")


class CutKind(StrEnum):
    """What a gateway without a path to the backend servers sees."""

    # Connections hang, open and new ones, and open ones end after a while.
    HANG = "hang"
    # Open connections are reset, and new ones refused.
    RESET = "reset"
    # Open connections go on, and new ones are refused.
    REFUSE_NEW = "refuse new"


async def run_behind_links(gateway: str, start: Awaitable[None]) -> None:
    """Start a gateway so that its connections are known to be its own."""
    context = copy_context()
    context.run(current_gateway.set, gateway)
    await asyncio.get_running_loop().create_task(start, context=context)  # type: ignore[arg-type]


def _split_address(address: str) -> tuple[str, int]:
    """Return IP address and port of an address ``IP:PORT``."""
    ip, _, port = address.partition(":")
    return ip, int(port)


class ServerLinks:
    """Links of all gateways to the backend servers.

    Attributes
    ----------
    open_count
        Number of connections to servers that gateways have opened, by gateway.
    """

    def __init__(self) -> None:
        self.open_count: dict[str, int] = {}
        self._servers: set[tuple[str, int]] = set()
        self._cuts: dict[str, CutKind] = {}
        # By gateway, the servers that a cut leaves reachable.
        self._spared: dict[str, frozenset[tuple[str, int]]] = {}
        self._connections: dict[str, set[_LinkProtocol]] = {}
        self._healed = asyncio.Event()

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        """Lead the connections that are opened on an event loop through the links."""
        create_connection = loop.create_connection
        loop.create_connection = partial(  # type: ignore[method-assign]
            self.create_connection, create_connection
        )

    def add_server(self, address: str) -> None:
        """Let the connections to an address, ``IP:PORT``, be cut."""
        self._servers.add(_split_address(address))

    def is_server(self, host: str | None, port: int | None) -> bool:
        """Return whether connections to an address are cut with the links."""
        return (host, port) in self._servers

    def cut(self, gateway: str, kind: CutKind, spared_addresses: Iterable[str] = ()) -> None:
        """Cut a gateway from all backend servers but those at some addresses, ``IP:PORT``."""
        self._cuts[gateway] = kind
        self._spared[gateway] = frozenset(map(_split_address, spared_addresses))
        for connection in list(self._connections.get(gateway, ())):
            if connection.address not in self._spared[gateway]:
                connection.apply(kind)

    def heal(self, gateway: str) -> None:
        """Restore the links of a gateway; bytes that were held up arrive now."""
        self._cuts.pop(gateway, None)
        for connection in list(self._connections.get(gateway, ())):
            connection.apply(None)
        self._healed.set()
        self._healed = asyncio.Event()

    async def create_connection(
        self,
        create_connection: Callable,
        protocol_factory: Callable,
        host=None,
        port=None,
        **kwargs,
    ):
        """Open a connection like the event loop, subject to the cuts."""
        gateway = current_gateway.get()
        if not gateway or not self.is_server(host, port):
            return await create_connection(protocol_factory, host, port, **kwargs)
        while (kind := self._cuts.get(gateway)) and (host, port) not in self._spared[gateway]:
            if kind is not CutKind.HANG:
                raise ConnectionRefusedError(111, "the link is cut")
            await self._healed.wait()
        self.open_count[gateway] = self.open_count.get(gateway, 0) + 1
        connections = self._connections.setdefault(gateway, set())
        transport, link = await create_connection(
            lambda: _LinkProtocol(protocol_factory(), connections, (host, port)),
            host,
            port,
            **kwargs,
        )
        return transport, link.inner


class _LinkProtocol(asyncio.Protocol):
    """Stands between the protocol of a gateway's connection and its transport.

    Parameters
    ----------
    inner
        Protocol that the gateway uses.
    connections
        Open connections of the gateway.
    address
        IP address and port of the server.
    """

    def __init__(
        self,
        inner: asyncio.Protocol,
        connections: set["_LinkProtocol"],
        address: tuple[str | None, int | None],
    ) -> None:
        self.inner = inner
        self.address = address
        self.is_hung = False
        self._connections = connections
        self._held_received: list[bytes] = []
        self.held_sent: list[bytes] = []
        self._has_ended = False
        self._timeout: asyncio.TimerHandle | None = None

    def apply(self, kind: CutKind | None) -> None:
        """Apply a cut to this open connection, or None to end it."""
        if kind is CutKind.RESET:
            self._end(ConnectionResetError(104, "the link is cut"))
        elif kind is CutKind.HANG and not self.is_hung:
            self.is_hung = True
            self._timeout = asyncio.get_running_loop().call_later(
                HELD_UP_TIMEOUT_S, self._end, TimeoutError(110, "Connection timed out")
            )
        elif kind is None and self.is_hung and not self._has_ended:
            self.is_hung = False
            assert self._timeout is not None
            self._timeout.cancel()
            self.transport.writelines(self.held_sent)
            held, self._held_received = self._held_received, []
            for data in held:
                self.inner.data_received(data)

    def connection_made(self, transport) -> None:
        """Give the gateway's protocol a transport whose writes can be held up."""
        self.transport = transport
        self._connections.add(self)
        self.inner.connection_made(_LinkTransport(self))

    def data_received(self, data: bytes) -> None:
        """Pass on received bytes, or hold them up."""
        if self._has_ended:
            return
        if self.is_hung:
            self._held_received.append(data)
        else:
            self.inner.data_received(data)

    def eof_received(self):
        """Pass on the end of the server's bytes, unless it is held up."""
        return None if self.is_hung or self._has_ended else self.inner.eof_received()

    def connection_lost(self, error) -> None:
        """Pass on the end of the connection; one that hangs does not show it at once."""
        if not self.is_hung:
            self._end(error)

    def pause_writing(self) -> None:
        """Pass on that the transport has buffered enough."""
        self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the transport takes more bytes."""
        self.inner.resume_writing()

    def _end(self, error: Exception | None) -> None:
        """End the connection on both sides."""
        if not self._has_ended:
            self._has_ended = True
            self._connections.discard(self)
            if self._timeout is not None:
                self._timeout.cancel()
            self.transport.abort()
            self.inner.connection_lost(error)


class _LinkTransport(asyncio.Transport):
    """Transport of a gateway's connection, whose writes can be held up."""

    def __init__(self, link: _LinkProtocol) -> None:
        super().__init__()
        self._link = link

    def __getattr__(self, name: str):
        return getattr(self._link.transport, name)

    def get_extra_info(self, name, default=None):
        """Return what the real transport knows."""
        return self._link.transport.get_extra_info(name, default)

    def write(self, data) -> None:
        """Write bytes, or hold them up."""
        if self._link.is_hung:
            self._link.held_sent.append(bytes(data))
        else:
            self._link.transport.write(data)

    def get_write_buffer_size(self) -> int:
        """Return the bytes that have not left the host."""
        return sum(map(len, self._link.held_sent)) + self._link.transport.get_write_buffer_size()

    def pause_reading(self) -> None:
        """Pause the real transport."""
        self._link.transport.pause_reading()

    def resume_reading(self) -> None:
        """Resume the real transport."""
        self._link.transport.resume_reading()

    def is_closing(self) -> bool:
        """Return whether the real transport is closing."""
        return self._link.transport.is_closing()

    def set_write_buffer_limits(self, high=None, low=None) -> None:
        """Set the limits of the real transport."""
        self._link.transport.set_write_buffer_limits(high, low)

    def close(self) -> None:
        """Close the connection; a server that is cut off does not notice."""
        if not self._link.is_hung:
            self._link.transport.close()

    def abort(self) -> None:
        """Reset the connection; a server that is cut off does not notice until later."""
        if not self._link.is_hung:
            self._link.transport.abort()
        else:
            self._link._end(None)
