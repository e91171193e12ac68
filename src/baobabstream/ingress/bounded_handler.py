"""Server side of one HTTP connection whose client cannot take more than its part of the process.

aiohttp's handler parses whatever arrives, which takes a multiple of its size. Here it gets one
request at a time: a head once it is whole and found to have room, then the body, which is not read
ahead. What a client sends behind a request waits as it came, up to the size of one more head.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any, cast

from aiohttp import hdrs, web
from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError
from aiohttp.web_server import Server

from baobabstream.entry.http_errors import error_response
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.resources.client_resources import (
    ClientConnection,
    ClientRefusal,
    ClientResources,
)
from baobabstream.resources.process_limits import RECEIVE_BUFFER_BYTES, WRITE_BUFFER_BYTES
from baobabstream.routing.document import RequestLimits

__all__ = ["BoundedRequestHandler", "client_of"]

HEAD_END = b"\r\n\r\n"
# Shortest field with its line end, which gives the most fields of a head.
MIN_FIELD_BYTES = len(b"a:\r\n")
# Memory of one field in all forms in which the parser and the request hold it.
FIELD_BYTES = 1000
# Bytes of a body that wait to be read before the client is told to wait.
READ_BUFFER_BYTES = RECEIVE_BUFFER_BYTES
# Time for which the rest of a refused request is read and dropped, so that a client that is still
# sending it receives the answer.
LINGERING_S = 2.0
# A timer that fires this much late may have been held up with the process, and what the client has
# sent meanwhile has not been read yet.
LATE_TIMER_S = 0.5
# Bytes that are no request, for which aiohttp calls `_make_error_handler`.
NO_REQUEST = b"\0"


class BoundedRequestHandler(RequestHandler):
    """Handles one connection within the resources of the process.

    Parameters
    ----------
    server
        Server that accepted the connection.
    resources
        Resources for the clients of the process.
    limits
        Limits on the requests of the connection.
    **options
        Options of aiohttp's handler.

    Notes
    -----
    All bytes are kept as they came until the parser may have them. It gets a body in blocks that
    end where the body may end, so that it never holds a part of the next head.
    """

    __slots__ = (
        "_client",
        "_resources",
        "_limits",
        "_unparsed",
        "_unparsed_held_bytes",
        "_searched_bytes",
        "_body",
        "_body_bytes_left",
        "_is_handling",
        "_is_refused",
        "_has_paused_reading",
        "_head_timer",
        "_refusal",
    )

    def __init__(
        self, server: Server, resources: ClientResources, limits: RequestLimits, **options: Any
    ) -> None:
        super().__init__(
            server,
            max_line_size=limits.max_header_bytes,
            max_field_size=limits.max_header_bytes,
            max_headers=limits.max_header_bytes // MIN_FIELD_BYTES,
            keepalive_timeout=limits.idle_timeout_s,
            lingering_time=LINGERING_S,
            read_bufsize=READ_BUFFER_BYTES,
            **options,
        )
        self._resources = resources
        self._limits = limits
        self._client: ClientConnection | None = None
        # Bytes that the parser has not got, and how many of them count as memory of the client.
        self._unparsed = b""
        self._unparsed_held_bytes = 0
        # Number of them in which the end of the next head does not begin.
        self._searched_bytes = 0
        # Body of the present request, and the number of its bytes that have not arrived if its
        # length is known.
        self._body: StreamReader | None = None
        self._body_bytes_left: int | None = None
        # Whether a request has been parsed whose answer has not been written.
        self._is_handling = False
        # Whether nothing more is read, as the connection ends after its last answer.
        self._is_refused = False
        self._has_paused_reading = False
        self._head_timer: asyncio.TimerHandle | None = None
        # Answer to a request whose head is refused.
        self._refusal: web.Response | None = None

    @property
    def client(self) -> ClientConnection:
        """Resources of the connection, which has been admitted."""
        assert self._client is not None
        return self._client

    # Methods that the transport calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Serve the connection, or close it at once if the process has no room for it."""
        tcp_transport = cast(asyncio.Transport, transport)
        self._client = self._resources.admit(tcp_transport.abort)
        if self._client is None:
            tcp_transport.abort()
            return
        tcp_transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Give back what the connection held."""
        if self._client is None:
            return
        self._client.release()
        self._unparsed = b""
        if self._head_timer is not None:
            self._head_timer.cancel()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse what may be parsed now, and keep the other bytes.

        Without bytes it lets the parser go on with those that it has, as aiohttp asks it to.
        """
        if self._client is None or self._is_refused or self._force_close:
            return
        if not data:
            if self._is_body_open():
                self._feed_parser(data)
            elif not self._unparsed:
                return
        self._parse(self._unparsed + data)

    def pause_writing(self) -> None:
        """Close the connection if the client reads nothing of its answer for long."""
        super().pause_writing()
        self.client.set_reading(False, self._limits.idle_timeout_s)

    def resume_writing(self) -> None:
        """Wait no longer for the client to read."""
        super().resume_writing()
        self.client.set_reading(True)

    # Reading of requests

    def _parse(self, data: bytes) -> None:
        """Let aiohttp parse the present body, or the next head if no request is being handled.

        ``data`` is all that it has not got. What it does not get now is kept.
        """
        data = self._feed_body(data)
        unparsed_before = 0
        # Empty lines before a head are parsed by themselves, and begin no request.
        while data and not self._is_handling and len(data) != unparsed_before:
            unparsed_before = len(data)
            if not self._is_body_open():
                data = self._feed_body(self._feed_head(data))
        if self._is_refused:
            data = b""
        self._keep(data)

    def _feed_parser(self, data: bytes) -> None:
        """Let aiohttp parse bytes, and note the request that they begin."""
        messages_before = len(self._messages)
        super().data_received(data)
        if len(self._messages) == messages_before:
            return
        message, body = self._messages[-1]
        if isinstance(message, RawRequestMessage):
            self._is_handling = True
            self._body = body
            length = message.headers.get(hdrs.CONTENT_LENGTH)
            self._body_bytes_left = None if message.chunked or length is None else int(length)
        elif not self._is_refused:
            # aiohttp has found bytes that are no request, or a body that is not valid.
            self._is_refused = True
            if self._is_body_open():
                assert self._body is not None
                self._messages.pop()
                self._body.set_exception(RequestPayloadError("the body is not valid"))
                self._body.feed_eof()

    def _is_body_open(self) -> bool:
        """Return whether more bytes of the present body are due."""
        return self._body is not None and not self._body.is_eof()

    def _feed_body(self, data: bytes) -> bytes:
        """Let aiohttp parse what belongs to the present body, and return the other bytes.

        It stops while what has been parsed waits to be read.
        """
        start = 0
        while start < len(data) and self._is_body_open() and not self._reading_paused:
            end = self._body_block_end(data, start)
            if self._body_bytes_left is not None:
                self._body_bytes_left -= end - start
            self._feed_parser(data[start:end])
            start = end
        return data[start:]

    def _body_block_end(self, data: bytes, start: int) -> int:
        """Return where the next block for the parser ends, at the latest where the body may end.

        A chunked body ends with the same bytes as a head. Their begin may have been in an earlier
        block, so the first bytes are blocks of their own.
        """
        if self._body_bytes_left is not None:
            return start + min(len(data) - start, max(1, self._body_bytes_left))
        overlap = len(HEAD_END) - 1
        if start < overlap:
            return start + 1
        found = data.find(HEAD_END, start - overlap)
        return found + len(HEAD_END) if found >= 0 else len(data)

    def _feed_head(self, data: bytes) -> bytes:
        """Let aiohttp parse the next head if it is whole and has room; return what follows it."""
        end = data.find(HEAD_END, self._searched_bytes)
        head_bytes = end + len(HEAD_END) if end >= 0 else len(data)
        if head_bytes > self._limits.max_header_bytes:
            self._refuse(ClientRefusal.HEAD_TOO_LARGE, ResultCode.HEAD_TOO_LARGE)
            return b""
        if end < 0:
            self._searched_bytes = max(0, len(data) - len(HEAD_END) + 1)
            if self._head_timer is None:
                self._head_timer = self._loop.call_later(
                    self._limits.header_timeout_s, self._end_slow_head
                )
            return data
        self._searched_bytes = 0
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None
        head = data[:head_bytes]
        if not self.client.memory.try_acquire(head.count(b"\n") * FIELD_BYTES):
            self._refuse(ClientRefusal.NO_MEMORY, ResultCode.CLIENT_MEMORY_FULL)
            return b""
        self._feed_parser(head)
        return data[head_bytes:]

    def _keep(self, data: bytes) -> None:
        """Keep bytes for later, and read no more while they are as many as a head may have."""
        self._unparsed = data
        if self.client.memory.try_acquire(len(data) - self._unparsed_held_bytes):
            self._unparsed_held_bytes = len(data)
        elif not self._is_refused:
            self._refuse(ClientRefusal.NO_MEMORY, ResultCode.CLIENT_MEMORY_FULL)
        is_full = len(self._unparsed) > self._limits.max_header_bytes
        if is_full is not self._has_paused_reading:
            self._has_paused_reading = is_full
            if is_full:
                self._pause_reading_for_buffer()
            else:
                self._resume_reading_for_buffer()

    def _refuse(self, reason: ClientRefusal, code: ResultCode) -> None:
        """Answer the next request with an error, read no more, and close the connection."""
        self._is_refused = True
        self._unparsed = b""
        self.client.record_refusal(reason)
        self._refusal = error_response(RequestRefused(code))
        super().data_received(NO_REQUEST)

    def _end_slow_head(self) -> None:
        """Refuse a request whose head has not arrived in time."""
        self._head_timer = None
        if not self._is_refused:
            self._refuse(ClientRefusal.HEAD_TOO_SLOW, ResultCode.HEAD_TOO_SLOW)

    # Methods of aiohttp's handler

    def _process_keepalive(self) -> None:
        """Close the connection if it is idle, but not while the next head arrives."""
        late_s = self._loop.time() - self._next_keepalive_close_time
        if late_s > LATE_TIMER_S:
            self._next_keepalive_close_time = self._loop.time() + LATE_TIMER_S
        if self._unparsed:
            self._keepalive_handle = None
        else:
            super()._process_keepalive()

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        """Handle a request, then give back its memory and go on with what has come behind it."""
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            self._is_handling = False
            self.client.end_service()
            self._release_request()
            # The rest of the body is dropped by the caller of this method.
            self._loop.call_soon(self._go_on)

    def _release_request(self) -> None:
        """Give back the memory of the present request."""
        memory = self.client.memory
        memory.release(memory.held_bytes - self._unparsed_held_bytes)

    def _resume_reading_if_drained(self) -> None:
        """Do nothing: aiohttp's queue never holds more than one request."""

    def _go_on(self) -> None:
        """Parse what has come behind the last request."""
        if self.transport is not None and self._unparsed and not self._is_refused:
            self._parse(self._unparsed)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: float | None
    ) -> tuple[web.StreamResponse, bool]:
        """Write a response whose body has room, or close the connection.

        The body of the request is not needed any more.
        """
        self._release_request()
        body = getattr(resp, "body", None)
        if isinstance(body, bytes) and not self.client.memory.try_acquire(len(body)):
            self.client.evict(ClientRefusal.NO_MEMORY)
            return resp, True
        return await super().finish_response(request, resp, start_time)

    def _make_error_handler(
        self, err_info: Any
    ) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
        """Return a handler that answers bytes that are no request, or are refused."""
        response = self._refusal or error_response(RequestRefused(ResultCode.MALFORMED_REQUEST))
        response.force_close()

        async def respond(_: web.BaseRequest) -> web.StreamResponse:
            return response

        return respond


def client_of(request: web.BaseRequest) -> ClientConnection:
    """Return the resources of the connection on which a request has arrived."""
    protocol = request.protocol
    assert isinstance(protocol, BoundedRequestHandler)
    return protocol.client
