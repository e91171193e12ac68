"""Reads the bodies of requests within the memory that the process has for its clients."""

import asyncio

from aiohttp import web
from aiohttp.web_protocol import RequestPayloadError

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused
from baobabstream.ingress.bounded_handler import client_of
from baobabstream.ingress.json_parts import count_json_parts

__all__ = ["CONTROL_BODY_TIMEOUT_S", "read_body"]

# Longest time in seconds for the body of a call to a control host to arrive.
CONTROL_BODY_TIMEOUT_S = 30.0
# Number of copies of a body that a process holds at once, while the body is put together and while
# it is sent on.
BODY_COPIES = 2


async def read_body(
    request: web.BaseRequest, max_bytes: int, timeout_s: float, json_part_bytes: int = 0
) -> bytes:
    """Return the body of a request, whose connection counts as served from then on.

    Its memory is given back after the response. Memory for a body of known length is taken before
    it is read, so that of many bodies some arrive whole.

    Parameters
    ----------
    request
        A request to a bounded server.
    max_bytes
        Limit on the size of the body.
    timeout_s
        Longest time in seconds for the whole body to arrive.
    json_part_bytes
        For a body that is decoded as JSON, the memory that each part of it may take then; see
        `count_json_parts`.

    Raises
    ------
    RequestRefused
        ``BODY_TOO_LARGE`` if the body exceeds the limit, or could not be held, or decoded, by this
        process even if there were no other clients; ``CLIENT_MEMORY_FULL`` if there is no memory
        left for it now, ``BODY_TOO_SLOW`` if it has not arrived in time, ``MALFORMED_BODY`` if it
        is not valid in the protocol.
    """
    reserved_bytes = request.content_length or 0
    _reserve(request, reserved_bytes, max_bytes, 0)
    content = request.content
    try:
        if content.is_eof() and content.total_bytes <= reserved_bytes:
            # The body has arrived with the head, or there is none.
            body = content.read_nowait()
        else:
            async with asyncio.timeout(timeout_s):
                body = await _read_parts(request, max_bytes, reserved_bytes)
    except TimeoutError as error:
        raise RequestRefused(ResultCode.BODY_TOO_SLOW) from error
    except RequestPayloadError as error:
        raise RequestRefused(ResultCode.MALFORMED_BODY, str(error)) from error
    if json_part_bytes:
        _reserve_decoded(request, body, json_part_bytes)
    client_of(request).begin_service()
    return body


async def _read_parts(request: web.BaseRequest, max_bytes: int, reserved_bytes: int) -> bytes:
    """Return a body that is arriving, for some bytes of which memory has been taken."""
    body = bytearray()
    while part := await request.content.readany():
        size = len(body) + len(part)
        _reserve(request, size, max_bytes, reserved_bytes)
        reserved_bytes = max(reserved_bytes, size)
        body += part
    return bytes(body)


def _reserve(request: web.BaseRequest, size: int, max_bytes: int, reserved_bytes: int) -> None:
    """Take memory for a body of a size, for so many bytes of which it has been taken already."""
    if size <= reserved_bytes:
        return
    memory = client_of(request).memory
    if size > max_bytes or size * BODY_COPIES > memory.max_bytes:
        raise RequestRefused(ResultCode.BODY_TOO_LARGE)
    if not memory.try_acquire((size - reserved_bytes) * BODY_COPIES):
        raise RequestRefused(ResultCode.CLIENT_MEMORY_FULL)


def _reserve_decoded(request: web.BaseRequest, body: bytes, json_part_bytes: int) -> None:
    """Take memory for the decoded form of a JSON body."""
    memory = client_of(request).memory
    max_parts = (memory.max_bytes - len(body) * BODY_COPIES) // json_part_bytes
    part_count = count_json_parts(body, max_parts)
    if part_count > max_parts:
        raise RequestRefused(ResultCode.BODY_TOO_LARGE)
    if not memory.try_acquire(part_count * json_part_bytes):
        raise RequestRefused(ResultCode.CLIENT_MEMORY_FULL)
