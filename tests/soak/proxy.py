"""TCP proxy on loopback that delays, drops or resets the connections through it."""

import asyncio
from contextlib import suppress
from enum import StrEnum

__all__ = ["Disturbance", "FaultyProxy"]

# Delay of each block that is read during ``Disturbance.DELAY``.
DELAY_S = 0.15
READ_BLOCK_BYTES = 65536


class Disturbance(StrEnum):
    """What the proxy does to the bytes of its connections."""

    NONE = "none"
    DELAY = "delay"
    # Drops the bytes of both directions without closing the connection.
    SILENCE = "silence"
    # Drops only the bytes that the server sends.
    ONE_WAY = "one way"
    # Resets open and new connections.
    RESET = "reset"


class FaultyProxy:
    """Relays TCP connections to one server.

    Parameters
    ----------
    server_address
        IP:PORT of the server.

    Attributes
    ----------
    disturbance
        Disturbance in effect. A direction of a connection whose bytes were dropped once stays
        silent, also after the disturbance has ended.
    """

    def __init__(self, server_address: str) -> None:
        self._server_ip, _, port = server_address.rpartition(":")
        self._server_port = int(port)
        self.disturbance = Disturbance.NONE
        self._open_writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Start to listen on a free port and return the proxy's IP:PORT."""
        self._server = await asyncio.start_server(self._relay_connection, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def set_disturbance(self, disturbance: Disturbance) -> None:
        """Disturb all connections from now on; ``Disturbance.NONE`` ends a disturbance."""
        self.disturbance = disturbance
        if disturbance is Disturbance.RESET:
            for writer in self._open_writers:
                writer.transport.abort()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in self._open_writers:
            writer.transport.abort()

    async def _relay_connection(
        self, client_reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter
    ) -> None:
        """Relay one client connection in both directions until it ends."""
        if self.disturbance is Disturbance.RESET:
            client_writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                self._server_ip, self._server_port
            )
        except OSError:
            client_writer.transport.abort()
            return
        writers = {client_writer, server_writer}
        self._open_writers |= writers
        silenced_directions: set[bool] = set()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(
                    self._copy_bytes(client_reader, server_writer, False, silenced_directions)
                )
                group.create_task(
                    self._copy_bytes(server_reader, client_writer, True, silenced_directions)
                )
        except* OSError:
            # One end was reset, so both connections are reset.
            for writer in writers:
                writer.transport.abort()
        finally:
            self._open_writers -= writers
            for writer in writers:
                writer.close()

    async def _copy_bytes(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        from_server: bool,
        silenced_directions: set[bool],
    ) -> None:
        """Copy one direction until its end, subject to the disturbance in effect.

        ``silenced_directions`` is shared by both directions of the connection. It holds those whose
        bytes are dropped for good: True for bytes from the server, False for bytes to it.
        """
        while data := await reader.read(READ_BLOCK_BYTES):
            if self.disturbance is Disturbance.DELAY:
                await asyncio.sleep(DELAY_S)
            if self.disturbance is Disturbance.SILENCE:
                silenced_directions |= {True, False}
            if self.disturbance is Disturbance.ONE_WAY:
                silenced_directions.add(True)
            if from_server not in silenced_directions:
                writer.write(data)
                await writer.drain()
        with suppress(OSError):
            writer.write_eof()
