"""Tests that a faulty plain service can't make its answer count as that to another call."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from backends.raw_server import encode_answer, raw_server, read_request
from baobabstream.backends.attempt_error import AttemptError
from baobabstream.backends.service_client import ServiceCall, ServiceClient


@asynccontextmanager
async def service_client():
    """Yield a client for plain services and close it."""
    client = ServiceClient(1.0, 15.0)
    try:
        yield client
    finally:
        await client.close()


def make_call(request_id: str) -> ServiceCall:
    """Return a call with an identity."""
    return ServiceCall("GET", "/", {"X-Request-Id": request_id}, b"", 2.0)


@pytest.mark.parametrize("delay_s", [0.0, 0.1], ids=["with the answer", "on the idle connection"])
async def test_second_copy_of_an_answer_does_not_reach_the_next_call(delay_s):
    """Guards against a late second copy that is returned to the next caller.

    The copy arrives after the answer, or after the next request on the same connection.
    """

    async def script(reader, writer):
        copy = b""
        while True:
            _, headers, _ = await read_request(reader)
            request_id = headers["x-request-id"]
            answer = encode_answer(request_id, f"answer to {request_id}".encode())
            writer.write(copy + answer)
            copy = answer
            if delay_s:
                await asyncio.sleep(delay_s / 2)
                writer.write(copy)

    async with raw_server(script) as address, service_client() as client:
        for name in ("a", "b", "c"):
            try:
                answer = await client.call(f"http://{address}", make_call(name), at_most_once=False)
            except AttemptError:
                continue
            assert answer.body == f"answer to {name}".encode()
            await asyncio.sleep(delay_s)


async def test_connection_of_an_answer_without_identity_is_not_reused():
    """Guards against a copy that can't be told from the answer to the next call."""

    async def script(reader, writer):
        copy = b""
        while True:
            _, headers, _ = await read_request(reader)
            body = f"answer to {headers['x-request-id']}".encode()
            answer = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)
            writer.write(copy + answer)
            copy = answer

    async with raw_server(script) as address, service_client() as client:
        for name in ("a", "b"):
            answer = await client.call(f"http://{address}", make_call(name), at_most_once=False)
            assert answer.body == f"answer to {name}".encode()
