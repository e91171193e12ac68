"""Tests streams that break off, and whose next server answers with anything but their rest."""

from dataclasses import dataclass

import pytest
from aiohttp import ClientPayloadError

from backends.raw_server import read_request
from fake_backend_server import FakeBackendServer
from platform_stand_in import PlatformHarness, caller_headers
from stuttering_server import Framing, encode_framed, whole_body

ERROR_TEXT = b"the server failed\n\n"


@dataclass(frozen=True)
class Reply:
    """Answer of a server that cannot continue a stream: status, content type and body."""

    status: int
    content_type: str
    body: bytes
    extra: str = ""


REPLIES = [
    Reply(500, "text/plain", ERROR_TEXT),
    Reply(500, "text/event-stream", b"data: the server failed\n\n"),
    Reply(404, "text/plain", ERROR_TEXT),
    Reply(503, "text/plain", ERROR_TEXT, "X-Not-Executed: 1\r\n"),
    Reply(302, "text/plain", b""),
    Reply(200, "application/json", b'{"error": "the server failed"}\n\n'),
    Reply(200, "text/plain", b"data: the server failed\n\n"),
    Reply(200, "text/event-stream", ERROR_TEXT),
    Reply(200, "text/event-stream", b'{"error": "the server failed"}\n\n'),
    Reply(200, "text/event-stream", b"HTTP/1.1 500 X\r\n\r\n" + ERROR_TEXT),
]


class _UnhelpfulServer(FakeBackendServer):
    """A server that breaks off its streams, and answers with the reply when one is resumed.

    Attributes
    ----------
    first_events
        Events of a stream before it breaks off.
    """

    reply: Reply
    framing: Framing
    first_events = whole_body("/chat/", events=2)

    async def _serve_connection(self, reader, writer) -> None:
        """Answer the requests of one connection until it ends."""
        try:
            while True:
                _, headers, _ = await read_request(reader)
                if "last-event-id" in headers:
                    writer.write(self._encode_reply(headers))
                    await writer.drain()
                    if self.framing is Framing.CONNECTION:
                        return
                    continue
                self._write_stream_head(headers, writer)
                self.run_counts[headers["x-request-id"]] += 1
                self._write_stream_data(self.first_events, writer)
                await writer.drain()
                return
        except (EOFError, ConnectionError):
            return
        finally:
            writer.close()

    def _encode_reply(self, headers) -> bytes:
        """Return the bytes of the reply to a request that resumes a stream."""
        head = (
            f"HTTP/1.1 {self.reply.status} X\r\nX-Request-Id: {headers['x-request-id']}\r\n"
            f"X-Replica-Stamp: {self.server_id}\r\nContent-Type: {self.reply.content_type}\r\n"
            f"{self.reply.extra}"
        )
        return encode_framed(head, self.reply.body, self.framing)


@pytest.fixture
async def platform(tmp_path):
    """One coordination host and one gateway."""
    async with PlatformHarness(tmp_path, coordinators=1) as platform:
        yield platform


async def receive_stream(platform, number: int) -> tuple[bytes, bool]:
    """Send a request for a stream; return what its caller receives, and whether it looks whole."""
    received = b""
    async with platform.http.post(
        platform.url(f"/chat/{number}"), headers=caller_headers(f"r{number}"), data=b"prompt"
    ) as response:
        assert response.status == 200
        try:
            async for data in response.content.iter_any():
                received += data
        except ClientPayloadError:
            return received, False
    return received, True


@pytest.mark.parametrize("framing", list(Framing))
async def test_answer_to_a_resume_that_is_no_stream_reaches_no_caller(platform, framing):
    """Guards against the text of an error in a caller's stream, or its end as if it were whole."""
    servers = [_UnhelpfulServer(f"i-{n}", "engine") for n in range(2)]
    for server in servers:
        server.reply, server.framing = REPLIES[0], framing
    await platform.start_with_backends(*servers, FakeBackendServer("i-app", "app"))
    for number, reply in enumerate(REPLIES):
        for server in servers:
            server.reply = reply
        received, is_whole = await receive_stream(platform, number)
        assert not is_whole, reply
        assert received == whole_body("/chat/", events=2), reply


async def test_stream_without_event_ids_is_not_started_again(platform):
    """Guards against a second head, and the same events again, in the middle of a stream."""
    servers = [_UnhelpfulServer(f"i-{n}", "engine") for n in range(2)]
    for server in servers:
        server.first_events = b"data: piece\n\n"
    await platform.start_with_backends(*servers, FakeBackendServer("i-app", "app"))
    assert await receive_stream(platform, 1) == (b"data: piece\n\n", False)
    assert sum(server.run_counts["r1"] for server in servers) == 1
