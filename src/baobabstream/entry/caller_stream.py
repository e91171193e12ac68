"""Streams an answer to the caller with a bounded write buffer.

The head of an answer is its status line and headers. A block consists of one or more complete
server-sent events that are written together.
"""

import asyncio
from collections.abc import Awaitable

from aiohttp import HttpVersion11, web

__all__ = ["CallerConnectionClosed", "CallerStalled", "CallerStream"]

# Size of the buffered data above which writing waits, for a caller that reads more slowly than its
# answer is generated.
WRITE_BUFFER_BYTES = 256 * 1024


class CallerConnectionClosed(Exception):
    """The caller's connection is closed."""


class CallerStalled(Exception):
    """The caller has not read anything for ``write_timeout_s`` seconds while the buffer is full."""


class CallerStream:
    """Writes server-sent events to one caller.

    Parameters
    ----------
    request
        The caller's request.
    write_timeout_s
        Longest time, in seconds, for which the caller may leave the full buffer unread.

    Notes
    -----
    After the head is sent, blocks are written directly to the transport, since the general write
    path of ``StreamResponse`` costs several times as much per token. They are framed here as chunks
    of the chunked transfer encoding, which HTTP/1.0 does not have.
    """

    def __init__(self, request: web.Request, write_timeout_s: float) -> None:
        self._request = request
        self._write_timeout_s = write_timeout_s
        self._response: web.StreamResponse | None = None
        self._transport: asyncio.WriteTransport | None = None
        self._uses_chunked_encoding = request.version >= HttpVersion11

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, or None before its head is sent."""
        return self._response

    async def start(self, headers: dict[str, str], data: bytes) -> None:
        """Send the head of the answer and the first block of events, which may be empty.

        Raises
        ------
        CallerConnectionClosed
            If the connection is closed.
        """
        default_headers = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        self._response = web.StreamResponse(headers=default_headers | headers)
        # aiohttp holds the head back and sends it with the first block in one write. Without a
        # first block the head must be sent at once, since later blocks bypass the response.
        self._response._send_headers_immediately = not data
        transport = self._request.transport
        if transport is None:
            raise CallerConnectionClosed
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self._transport = transport
        try:
            await self._response.prepare(self._request)
            if data:
                await self._response.write(data)
        except ConnectionError as error:
            raise CallerConnectionClosed from error

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send a block of events; the result, unless None, must be awaited before the next one.

        It is None while the buffer accepts more data, else it waits until the buffer does.

        Raises
        ------
        CallerConnectionClosed
            If the connection is closed.
        CallerStalled
            If the caller reads nothing for ``write_timeout_s`` seconds while the buffer is full.
        """
        transport = self._transport
        assert transport is not None
        if transport.is_closing():
            raise CallerConnectionClosed
        if self._uses_chunked_encoding:
            # A chunk is the size of its data in hexadecimal, the data, and CR LF after each.
            transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            transport.write(data)
        if transport.get_write_buffer_size() > WRITE_BUFFER_BYTES:
            return self._wait_for_buffer_space(transport)
        return None

    async def finish(self, data: bytes) -> web.StreamResponse:
        """Send the last block and end the answer; return the response.

        Both are one write if the block fits into the buffer. Otherwise the block is written first,
        and the end follows once the buffer accepts data again.

        Raises
        ------
        CallerConnectionClosed
            If the connection is closed.
        CallerStalled
            If the caller reads nothing for ``write_timeout_s`` seconds while the buffer is full.
        """
        response, transport = self._response, self._transport
        assert response is not None
        assert transport is not None
        if transport.is_closing():
            raise CallerConnectionClosed
        if transport.get_write_buffer_size() + len(data) > WRITE_BUFFER_BYTES:
            pending_write = self.write(data)
            if pending_write is not None:
                await pending_write
            data = b""
        await response.write_eof(data)
        return response

    def abort(self) -> None:
        """Close the connection at once and discard buffered data."""
        if self._transport is not None:
            self._transport.abort()

    async def _wait_for_buffer_space(self, transport: asyncio.WriteTransport) -> None:
        """Wait until the buffer accepts data again.

        The time limit starts anew as long as the buffer shrinks, so that a caller that reads slowly
        keeps its connection.

        Raises
        ------
        CallerConnectionClosed
            If the connection is closed.
        CallerStalled
            If the buffer has not shrunk within ``write_timeout_s`` seconds.
        """
        assert self._response is not None
        while True:
            buffered_bytes_before = transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(self._write_timeout_s):
                    await self._response.drain()
                    return
            except TimeoutError as error:
                if transport.get_write_buffer_size() >= buffered_bytes_before:
                    raise CallerStalled from error
            except ConnectionError as error:
                raise CallerConnectionClosed from error
