"""Streams an answer to the caller with a bounded buffer."""

import asyncio
from collections.abc import Awaitable

from aiohttp import HttpVersion11, web

__all__ = ["CallerLost", "CallerStalled", "CallerStream"]

# Bytes kept for a caller that reads more slowly than its answer is generated.
BUFFER_BYTES = 256 * 1024


class CallerLost(Exception):
    """The caller's connection is closed."""


class CallerStalled(Exception):
    """The caller has not read anything for the whole time limit."""


class CallerStream:
    """Writes server-sent events to one caller.

    Parameters
    ----------
    request
        The caller's request.
    write_timeout_s
        Longest time that the full buffer may stay as full as it is.

    Notes
    -----
    After the head is sent, blocks go straight to the transport with their chunk framing, since
    the general write path of ``StreamResponse`` costs several times as much per token.
    """

    def __init__(self, request: web.Request, write_timeout_s: float) -> None:
        self._request = request
        self._write_timeout_s = write_timeout_s
        self._response: web.StreamResponse | None = None
        self._transport: asyncio.WriteTransport | None = None
        self._chunked = request.version >= HttpVersion11

    @property
    def response(self) -> web.StreamResponse | None:
        """The answer, once its head is sent."""
        return self._response

    async def start(self, headers: dict[str, str], data: bytes) -> None:
        """Send the head of the answer and its first block."""
        fixed = {"Content-Type": "text/event-stream", "Cache-Control": "no-cache"}
        self._response = web.StreamResponse(headers=fixed | headers)
        # The head waits for the first block and goes out with it in one write; without a block it
        # must be sent at once, since later blocks bypass the response.
        self._response._send_headers_immediately = not data
        transport = self._request.transport
        if transport is None:
            raise CallerLost
        transport.set_write_buffer_limits(high=BUFFER_BYTES)
        self._transport = transport
        try:
            await self._response.prepare(self._request)
            if data:
                await self._response.write(data)
        except ConnectionError as error:
            raise CallerLost from error

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send a block of events; what is returned must be awaited before the next one.

        Raises
        ------
        CallerLost
            If the connection is closed.
        CallerStalled
            If the buffer stays full for the whole time limit.
        """
        transport = self._transport
        assert transport is not None
        if transport.is_closing():
            raise CallerLost
        if self._chunked:
            transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            transport.write(data)
        if transport.get_write_buffer_size() > BUFFER_BYTES:
            return self._drain(transport)
        return None

    async def finish(self, data: bytes) -> web.StreamResponse:
        """Send the last block and end the answer, in one write if the buffer has room."""
        response, transport = self._response, self._transport
        assert response is not None
        assert transport is not None
        if transport.is_closing():
            raise CallerLost
        if transport.get_write_buffer_size() + len(data) > BUFFER_BYTES:
            waiting = self.write(data)
            if waiting is not None:
                await waiting
            data = b""
        await response.write_eof(data)
        return response

    def cut(self) -> None:
        """Close the connection at once, whatever is still buffered."""
        if self._transport is not None:
            self._transport.abort()

    async def _drain(self, transport: asyncio.WriteTransport) -> None:
        assert self._response is not None
        while True:
            size_before = transport.get_write_buffer_size()
            try:
                async with asyncio.timeout(self._write_timeout_s):
                    await self._response.drain()
                    return
            except TimeoutError as error:
                if transport.get_write_buffer_size() >= size_before:
                    raise CallerStalled from error
            except ConnectionError as error:
                raise CallerLost from error
