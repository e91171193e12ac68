"""HTTP/1.1 calls of the stand-ins, by the standard library only."""

import asyncio
from dataclasses import dataclass, field

__all__ = ["Answer", "call", "read_head", "write_request"]

# Most bytes of a head that is read.
MAX_HEAD_BYTES = 64 * 1024


@dataclass
class Answer:
    """Status, headers with lower-case names, and body of an answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message, and its headers with lower-case names."""
    head = await reader.readuntil(b"\r\n\r\n")
    first_line, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first_line, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message with a length or in chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        parts: list[bytes] = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def write_request(
    writer: asyncio.StreamWriter, method: str, target: str, headers: dict[str, str], body: bytes
) -> None:
    """Write a request."""
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {v}" for name, v in headers.items())]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> Answer | None:
    """Make one call on a new connection; return None without an answer in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address, limit=MAX_HEAD_BYTES)
            all_headers = {"Host": f"{address[0]}:{address[1]}", "Connection": "close"}
            write_request(writer, method, target, all_headers | (headers or {}), body)
            status_line, answer_headers = await read_head(reader)
            answer_body = await read_body(reader, answer_headers)
            return Answer(int(status_line.split(" ")[1]), answer_headers, answer_body)
    except (OSError, TimeoutError, EOFError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()
