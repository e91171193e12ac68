"""Tests that an earlier answer which a server repeats never counts for a later request."""

import asyncio

import pytest

from backends.raw_server import encode_answer, read_request
from fake_backend_server import FakeBackendServer
from platform_stand_in import PlatformHarness

REFUSED_ID = "r1"


class _RepeatingServer(FakeBackendServer):
    """A server that refuses one request, and writes this refusal again while it runs the next ones.

    Attributes
    ----------
    answers
        Whether it answers the requests that it runs.
    """

    answers = True

    async def _serve_connection(self, reader, writer) -> None:
        """Answer the requests of one connection until it ends."""
        refusal = encode_answer(REFUSED_ID, status=503, extra="X-Not-Executed: 1\r\n")
        has_refused = False
        try:
            while True:
                _, headers, _ = await read_request(reader)
                request_id = headers["x-request-id"]
                if request_id == REFUSED_ID:
                    has_refused = True
                    writer.write(refusal)
                    continue
                self.run_counts[request_id] += 1
                if has_refused:
                    writer.write(refusal)
                    await writer.drain()
                await asyncio.sleep(0.1 if self.answers else 60)
                stamp = f"X-Replica-Stamp: {self.server_id}\r\n"
                writer.write(encode_answer(request_id, b"done", extra=stamp))
        except (EOFError, ConnectionError):
            return
        finally:
            writer.close()


@pytest.fixture
async def platform(tmp_path):
    """One coordination host and one gateway."""
    async with PlatformHarness(tmp_path, coordinators=1) as platform:
        yield platform


@pytest.mark.parametrize(("answers", "status"), [(True, 200), (False, 504)])
async def test_repeated_refusal_does_not_say_that_a_running_request_has_not_run(
    platform, answers, status
):
    """Guards against an old refusal, written again on a kept connection, that counts as an answer.

    The caller would be told to send a request again that has run, or another server would run it.
    """
    servers = [_RepeatingServer(f"i-app-{number}", "app") for number in range(2)]
    for server in servers:
        server.answers = answers
    await platform.start_with_backends(*servers)
    refused_status, _, _ = await platform.send_request("/sign/1", REFUSED_ID)
    assert refused_status == 503
    assert (await platform.send_request("/sign/1", "r2"))[0] == status
    assert sum(server.run_counts["r2"] for server in servers) == 1
