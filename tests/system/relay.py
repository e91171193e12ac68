"""TCP relay between two processes that can drop traffic silently."""

import asyncio
from contextlib import suppress

__all__ = ["Relay"]

CHUNK_BYTES = 65536


class Relay:
    """Forwards connections to a target and can cut them in several ways.

    Attributes
    ----------
    drop_forward, drop_backward
        Drop all bytes towards the target, or back, without closing anything.
    """

    def __init__(self, target_ip: str, target_port: int) -> None:
        self._target_ip = target_ip
        self._target_port = target_port
        self._tasks: set[asyncio.Task[None]] = set()
        self._silent: set[int] = set()
        self._connections = 0
        self.drop_forward = False
        self.drop_backward = False

    async def start(self) -> tuple[str, int]:
        """Start listening and return address and port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[:2]

    def cut(self) -> None:
        """Drop bytes in both directions."""
        self.drop_forward = self.drop_backward = True

    def heal(self) -> None:
        """Forward bytes again."""
        self.drop_forward = self.drop_backward = False

    def silence_open_connections(self) -> None:
        """Drop the bytes of all present connections for good; new connections work."""
        self._silent |= set(range(self._connections))

    async def stop(self) -> None:
        """Close everything."""
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = self._connections
        self._connections += 1
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            target = await asyncio.open_connection(self._target_ip, self._target_port)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(number, reader, target[1], True))
                group.create_task(self._pump(number, target[0], writer, False))
        except (OSError, ExceptionGroup, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _pump(
        self,
        number: int,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        forward: bool,
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            dropped = self.drop_forward if forward else self.drop_backward
            if dropped or number in self._silent:
                continue
            writer.write(data)
            await writer.drain()
        with suppress(OSError):
            writer.close()
        raise ConnectionResetError
