"""TCP relay between two processes that can drop bytes without closing connections."""

import asyncio
from contextlib import suppress

__all__ = ["Relay"]

READ_BLOCK_BYTES = 65536


class Relay:
    """Forwards connections to a target and drops their bytes on demand.

    Parameters
    ----------
    target_ip, target_port
        Address to which connections are forwarded.

    Attributes
    ----------
    drop_forward, drop_backward
        Drop all bytes towards the target, or back, without closing anything.
    """

    def __init__(self, target_ip: str, target_port: int) -> None:
        self._target_ip = target_ip
        self._target_port = target_port
        self._connection_tasks: set[asyncio.Task[None]] = set()
        self._silenced_numbers: set[int] = set()
        self._connection_count = 0
        self.drop_forward = False
        self.drop_backward = False

    async def start(self) -> tuple[str, int]:
        """Start listening and return address and port."""
        self._server = await asyncio.start_server(self._forward_connection, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[:2]

    def drop_all(self) -> None:
        """Drop bytes in both directions."""
        self.drop_forward = self.drop_backward = True

    def heal(self) -> None:
        """Forward bytes again."""
        self.drop_forward = self.drop_backward = False

    def silence_open_connections(self) -> None:
        """Drop all further bytes of the open connections; new connections work."""
        self._silenced_numbers |= set(range(self._connection_count))

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for task in self._connection_tasks:
            task.cancel()
        await asyncio.gather(*self._connection_tasks, return_exceptions=True)

    async def _forward_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward one connection in both directions until either side ends."""
        connection_number = self._connection_count
        self._connection_count += 1
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        writers = [writer]
        try:
            target_reader, target_writer = await asyncio.open_connection(
                self._target_ip, self._target_port
            )
            writers.append(target_writer)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy_bytes(connection_number, reader, target_writer, True))
                group.create_task(self._copy_bytes(connection_number, target_reader, writer, False))
        except (OSError, ExceptionGroup, asyncio.CancelledError):
            pass
        finally:
            self._connection_tasks.discard(task)
            for open_writer in writers:
                open_writer.close()

    async def _copy_bytes(
        self,
        connection_number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_forward: bool,
    ) -> None:
        """Copy the bytes of one direction of a connection.

        Raises
        ------
        ConnectionResetError
            At the end of the input, so that the task group ends the other direction as well.
        """
        while data := await reader.read(READ_BLOCK_BYTES):
            is_dropped = self.drop_forward if is_forward else self.drop_backward
            if is_dropped or connection_number in self._silenced_numbers:
                continue
            writer.write(data)
            await writer.drain()
        with suppress(OSError):
            writer.close()
        raise ConnectionResetError
