"""Tells whether the peer of a TCP connection has received all that was sent to it.

A server may close its side of a connection before it has read the whole request. If it reads on,
the rest of the request arrives; if it has ended or given the request up, its host answers the rest
with a reset, one round trip after the end of its side was received. Until one of the two has
happened, it is not known whether the server closed its side in order.
"""

import asyncio
import os
import socket
import struct
from collections.abc import Callable
from fcntl import ioctl
from termios import TIOCOUTQ

from baobabstream.telemetry.logs import get_logger

__all__ = ["DeliveryWait", "count_undelivered_bytes"]

_log = get_logger("backends")

# Time between two looks at the queue of a socket, which reports no progress by itself.
POLL_INTERVAL_S = 0.005
# Format of the number that the system returns.
_C_INT = struct.Struct("i")


def count_undelivered_bytes(transport: asyncio.WriteTransport) -> int:
    """Return the number of sent bytes whose arrival the peer's host has not acknowledged.

    Transports without a socket, and systems that do not tell the length of a socket's queue, have
    none beyond those in the transport's own buffer.
    """
    buffered_bytes = transport.get_write_buffer_size()
    sock = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return buffered_bytes
    try:
        (unacknowledged_bytes,) = _C_INT.unpack(ioctl(sock.fileno(), TIOCOUTQ, _C_INT.pack(0)))
    except OSError as error:
        _log.debug("The length of a socket's queue is not known: %s", error)
        return buffered_bytes
    return buffered_bytes + unacknowledged_bytes


class DeliveryWait:
    """Watches whether the bytes sent to a peer that has closed its side still arrive.

    The transport is aborted if the peer's host resets the connection. The protocol's
    ``eof_received`` must return True, so that the transport stays open.

    Parameters
    ----------
    transport
        Transport of the connection.
    on_delivered
        Called each time at which the peer's host has acknowledged all bytes, until the transport
        is closed.
    """

    def __init__(self, transport: asyncio.Transport, on_delivered: Callable[[], None]) -> None:
        self._transport = transport
        self._on_delivered = on_delivered
        # Why the bytes will not arrive, or None.
        self._error: ConnectionError | None = None
        self._task = asyncio.get_running_loop().create_task(self._run())

    def end(self) -> ConnectionError | None:
        """Stop watching, and return why the bytes have not arrived if that is known."""
        self._task.cancel()
        return self._error

    async def _run(self) -> None:
        """Watch the queue of the socket until the transport is closed."""
        sock = self._transport.get_extra_info("socket")
        while not self._transport.is_closing():
            # A reset is reported once, to whichever call on the socket comes next.
            error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) if sock else 0
            if error_number:
                self._error = ConnectionResetError(error_number, os.strerror(error_number))
                self._transport.abort()
                return
            if not count_undelivered_bytes(self._transport):
                self._on_delivered()
            await asyncio.sleep(POLL_INTERVAL_S)
