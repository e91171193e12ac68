"""A server that writes exactly the bytes that a test wants."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

__all__ = ["answer", "raw_server", "read_request"]

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def read_request(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Return request line, lower-case headers and body; raises EOFError at the end."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def answer(request_id: str, body: bytes = b"ok", status: int = 200, extra: str = "") -> bytes:
    """Return the bytes of a framed answer."""
    head = f"HTTP/1.1 {status} X\r\nX-Request-Id: {request_id}\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@asynccontextmanager
async def raw_server(script: Script):
    """Run a server that hands each connection to a script; gives its address."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
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
