"""TCP server for tests that sends exactly the bytes that a test's script writes."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

__all__ = ["encode_answer", "raw_server", "read_request"]

# Serves one connection; the connection closes when the script returns.
Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read a request and return its request line, headers with lower-case names, and body.

    Raises EOFError if the client has closed the connection.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    request_line, *lines = head.strip().split("\r\n")
    headers = {
        name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return request_line, headers, body


def encode_answer(
    request_id: str, body: bytes = b"ok", status: int = 200, extra: str = ""
) -> bytes:
    """Return the bytes of an HTTP answer with a Content-Length.

    ``extra`` holds further header lines, each with its line end.
    """
    head = f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@asynccontextmanager
async def raw_server(script: Script):
    """Run a server that calls ``script`` for each connection; yields its address ``IP:PORT``."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Run the script on one connection and close it; the client may disconnect early."""
        try:
            await script(reader, writer)
        except (EOFError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        port = server.sockets[0].getsockname()[1]
        yield f"127.0.0.1:{port}"
    finally:
        server.close()
