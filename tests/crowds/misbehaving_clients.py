"""Clients that keep to the sizes of the limits, or exceed them, and never behave as expected.

A crowd is many such clients at once, spread over several targets. A client whose connection is
closed connects again a few times, and keeps an open one open to the end.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from gzip import compress
from itertools import chain, count, repeat
from ssl import CERT_NONE, PROTOCOL_TLS_CLIENT, MemoryBIO, SSLContext, SSLWantReadError

__all__ = [
    "CROWDS",
    "FRAME_CROWDS",
    "HANDSHAKE_CROWDS",
    "MAX_BODY_BYTES",
    "MAX_HEADER_BYTES",
    "REQUEST_SOCKET_PREAMBLE",
    "TLS_CROWDS",
    "Crowd",
    "Target",
    "client_tls",
    "gather_crowd",
]

# Limits of the configuration of the tests.
MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 4 * 1024 * 1024
# Body of clients that ignore the limit.
HUGE_BODY_BYTES = 16 * MAX_BODY_BYTES
BLOCK_BYTES = 64 * 1024
# First bytes of nng request sockets: the header of the SP protocols over TCP, with the number 0x30
# of the protocol of requests.
REQUEST_SOCKET_PREAMBLE = b"\0SP\0\0\x30\0\0"
# Largest frame between daemons.
MAX_FRAME_BYTES = 16 * 1024 * 1024
# Connections that one client opens, one after the other.
MAX_CONNECTIONS_PER_CLIENT = 3
# Time for a crowd to send; a client that is not read any more has sent less by then.
SEND_S = 4.0
# Requests that a client sends ahead.
PIPELINED_REQUESTS = 400

Blocks = Iterator[bytes]


@dataclass(frozen=True)
class Target:
    """A path at one listening socket.

    Parameters
    ----------
    ip, port, path
        Address of the socket, and path of the requests.
    method
        Method of requests with a body.
    fields
        Header lines of each request, without the last line end.
    preamble
        Bytes that a connection begins with, before any request.
    tls
        Context of connections with TLS, or None.
    """

    ip: str
    port: int
    path: str
    method: str = "POST"
    fields: tuple[str, ...] = ()
    preamble: bytes = b""
    tls: SSLContext | None = None

    def head(self, *fields: str, method: str = "") -> bytes:
        """Return the head of a request with further header lines."""
        first_line = f"{method or self.method} {self.path} HTTP/1.1"
        return "\r\n".join((first_line, *self.fields, *fields, "", "")).encode()


@dataclass(frozen=True)
class Crowd:
    """Many clients that all behave in the same way.

    Parameters
    ----------
    name
        What the clients do.
    size
        Number of clients.
    blocks
        Returns what one client sends to a target on a connection, in blocks.
    gap_s
        Seconds between two blocks.
    """

    name: str
    size: int
    blocks: Callable[[Target], Blocks]
    gap_s: float = 0.0


def _cut(body: bytes, piece_bytes: int) -> Blocks:
    """Yield a body in pieces."""
    return (body[start : start + piece_bytes] for start in range(0, len(body), piece_bytes))


def _body_in_one_piece(target: Target) -> Blocks:
    """Yield a body of legal size that lacks its last byte."""
    yield target.head(f"Content-Length: {MAX_BODY_BYTES}")
    yield bytes(MAX_BODY_BYTES - 1)


def _body_in_small_pieces(target: Target) -> Blocks:
    """Yield the same body in pieces of 500 bytes."""
    yield target.head(f"Content-Length: {MAX_BODY_BYTES}")
    yield from _cut(bytes(MAX_BODY_BYTES - 1), 500)


def _body_in_chunks(target: Target) -> Blocks:
    """Yield a body of legal size in chunks of 8 bytes, without the last chunk."""
    yield target.head("Transfer-Encoding: chunked")
    chunks_per_block = 2048
    blocks = MAX_BODY_BYTES // (8 * chunks_per_block)
    yield from repeat((b"8\r\n" + bytes(8) + b"\r\n") * chunks_per_block, blocks)


def _huge_body(target: Target) -> Blocks:
    """Yield a body far over the limit, whose length says so."""
    yield target.head(f"Content-Length: {HUGE_BODY_BYTES}")
    yield from repeat(bytes(BLOCK_BYTES), HUGE_BODY_BYTES // BLOCK_BYTES)


def _huge_chunked_body(target: Target) -> Blocks:
    """Yield a body far over the limit in chunks."""
    yield target.head("Transfer-Encoding: chunked")
    chunk = b"%x\r\n%b\r\n" % (BLOCK_BYTES, bytes(BLOCK_BYTES))
    yield from repeat(chunk, HUGE_BODY_BYTES // BLOCK_BYTES)


def _compressed_body(target: Target) -> Blocks:
    """Yield a small body that a server which decompresses it would make large."""
    body = compress(bytes(HUGE_BODY_BYTES))
    yield target.head(f"Content-Length: {len(body) + 1}", "Content-Encoding: gzip")
    yield body


def _short_fields(free_bytes: int) -> list[str]:
    """Return very many short header lines that take a number of bytes together."""
    fields: list[str] = []
    for number in count():
        field = f"{number:x}:"
        free_bytes -= len(field) + 2
        if free_bytes < 0:
            return fields
        fields.append(field)
    raise AssertionError("the numbers have no end")


def _full_head(target: Target, *fields: str) -> bytes:
    """Return a head of legal size that is full of short header lines."""
    known_bytes = sum(len(field) + 2 for field in (*target.fields, *fields))
    return target.head(*fields, *_short_fields(MAX_HEADER_BYTES - known_bytes))


def _many_fields_and_stalled_body(target: Target) -> Blocks:
    """Yield a head of very many short fields, and a body that lacks its last byte."""
    yield _full_head(target, "Content-Length: 2")
    yield b"x"


def _many_fields_without_end(target: Target) -> Blocks:
    """Yield a head of very many short fields that lacks its last byte."""
    yield _full_head(target)[:-1]


def _endless_head(target: Target) -> Blocks:
    """Yield a head that has no end."""
    yield target.head()[:-2]
    fields = "".join(f"f{number}: {'v' * 40}\r\n" for number in range(1000)).encode()
    yield from repeat(fields, 200)


def _half_head(target: Target) -> Blocks:
    """Yield the first half of a head."""
    head = target.head()
    yield head[: len(head) // 2]


def _slow_body(target: Target) -> Blocks:
    """Yield a body of legal size, a few bytes at a time."""
    yield target.head(f"Content-Length: {MAX_BODY_BYTES}")
    yield from repeat(bytes(100))


def _pipelined(target: Target) -> Blocks:
    """Yield many requests ahead, with heads of legal size, whose answers are not read."""
    head = _full_head(target, "Content-Length: 0")
    yield from repeat(head, PIPELINED_REQUESTS)


def _unread_answers(target: Target) -> Blocks:
    """Yield many small reading requests ahead, whose answers are not read."""
    yield from repeat(target.head(method="GET"), PIPELINED_REQUESTS)


def _body_and_requests_behind(target: Target) -> Blocks:
    """Yield a whole request with a large body, and as many bytes again behind it."""
    body = bytes(MAX_BODY_BYTES)
    request = target.head(f"Content-Length: {MAX_BODY_BYTES}") + body
    return chain((request,), (request,))


def _frame_without_end(_: Target) -> Blocks:
    """Yield a frame of legal size, of the protocol between daemons, that lacks its last byte."""
    yield MAX_FRAME_BYTES.to_bytes(8, "big")
    yield bytes(MAX_FRAME_BYTES - 1)


def _frames_ahead(_: Target) -> Blocks:
    """Yield many small frames that no daemon can decode; the answers are not read."""
    frame = (256).to_bytes(8, "big") + b"\x80\0\0\1" + bytes(252)
    yield from repeat(frame * 100, 1000)


def client_tls() -> SSLContext:
    """Return the context of a client that accepts any certificate."""
    context = SSLContext(PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = CERT_NONE
    return context


def _first_handshake_message() -> bytes:
    """Return what a client sends first to open a connection with TLS."""
    outgoing = MemoryBIO()
    try:
        client_tls().wrap_bio(MemoryBIO(), outgoing).do_handshake()
    except SSLWantReadError:
        return outgoing.read()
    raise AssertionError("a handshake needs an answer")


def _handshake_that_stops(_: Target) -> Blocks:
    """Yield the first message of a handshake, which the server answers."""
    yield _first_handshake_message()


def _half_handshake_message(_: Target) -> Blocks:
    """Yield a half of the first message of a handshake."""
    message = _first_handshake_message()
    yield message[: len(message) // 2]


def _nothing(_: Target) -> Blocks:
    """Yield nothing."""
    return iter(())


# Clients that hold much each, and clients that are many.
CROWDS = (
    Crowd("bodies in one piece that stop short of their end", 60, _body_in_one_piece),
    Crowd("bodies in small pieces that stop short of their end", 60, _body_in_small_pieces),
    Crowd("bodies in chunks that stop short of their end", 60, _body_in_chunks),
    Crowd("bodies far over the limit", 40, _huge_body),
    Crowd("chunked bodies far over the limit", 40, _huge_chunked_body),
    Crowd("compressed bodies", 40, _compressed_body),
    Crowd("many short fields before a body that stops short", 150, _many_fields_and_stalled_body),
    Crowd("many short fields without an end", 150, _many_fields_without_end),
    Crowd("heads without an end", 60, _endless_head),
    Crowd("halves of heads", 700, _half_head),
    Crowd("slow bodies", 100, _slow_body, gap_s=0.1),
    Crowd("requests of many fields sent ahead", 40, _pipelined),
    Crowd("requests whose answers are not read", 100, _unread_answers),
    Crowd("whole bodies with others behind them", 60, _body_and_requests_behind),
)

# Crowds at the port of the protocol between daemons; see ``Target.preamble``.
FRAME_CROWDS = (
    Crowd("frames that stop short of their end", 20, _frame_without_end),
    Crowd("frames whose answers are not read", 40, _frames_ahead),
    Crowd("connections without a frame", 700, _nothing),
)

# Crowds without TLS at ports with TLS.
HANDSHAKE_CROWDS = (
    Crowd("connections without a handshake", 700, _nothing),
    Crowd("halves of the first message of a handshake", 700, _half_handshake_message),
    Crowd("handshakes that stop after the first message", 700, _handshake_that_stops),
)

# Crowds at ports with TLS, once the handshake has ended; see ``Target.tls``.
TLS_CROWDS = (
    Crowd("bodies in one piece that stop short of their end", 60, _body_in_one_piece),
    Crowd("connections without a request", 700, _nothing),
    Crowd("halves of heads", 700, _half_head),
    Crowd("requests whose answers are not read", 100, _unread_answers),
)


async def _send_blocks(writer: asyncio.StreamWriter, blocks: Blocks, gap_s: float) -> None:
    """Send blocks until they end or the connection does."""
    for block in blocks:
        writer.write(block)
        await writer.drain()
        if gap_s:
            await asyncio.sleep(gap_s)


async def _run_client(crowd: Crowd, target: Target, writers: list[asyncio.StreamWriter]) -> None:
    """Send what a client sends, on a new connection each time that one is closed."""
    for _ in range(MAX_CONNECTIONS_PER_CLIENT):
        try:
            # The reader has room for one byte, so that answers stay unread.
            _, writer = await asyncio.open_connection(
                target.ip, target.port, limit=1, ssl=target.tls
            )
        except OSError:
            continue
        writers.append(writer)
        try:
            writer.write(target.preamble)
            await _send_blocks(writer, crowd.blocks(target), crowd.gap_s)
            return
        except OSError:
            writer.close()


@asynccontextmanager
async def gather_crowd(crowd: Crowd, targets: Sequence[Target]) -> AsyncIterator[None]:
    """Let a crowd send to all targets; its connections stay open for the enclosed block."""
    writers: list[asyncio.StreamWriter] = []
    tasks = [
        asyncio.create_task(_run_client(crowd, targets[number % len(targets)], writers))
        for number in range(crowd.size)
    ]
    await asyncio.wait(tasks, timeout=SEND_S)
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for writer in writers:
            writer.transport.abort()
