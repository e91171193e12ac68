"""Tests that an answer whose server stops in its middle never looks whole to a caller."""

import pytest
from aiohttp import ClientPayloadError

from backends.raw_server import read_request
from platform_stand_in import PlatformHarness
from stuttering_server import Framing, StutteringServer, whole_body

# Bytes between two places at which an answer is cut.
CUT_STEP_BYTES = 3


class _CutServer(StutteringServer):
    """A server that closes its connection after a part of each answer."""

    framing: Framing
    sent_bytes = 0
    answer_bytes = 0
    head_bytes = 0

    async def _serve_connection(self, reader, writer) -> None:
        """Answer one request in part."""
        try:
            request_line, headers, _ = await read_request(reader)
            answer = self.encode(headers, request_line.split()[1], self.framing)
            self.answer_bytes = len(answer)
            self.head_bytes = answer.index(b"\r\n\r\n") + 4
            writer.write(answer[: self.sent_bytes])
            await writer.drain()
        except (EOFError, ConnectionError):
            return
        finally:
            writer.close()


async def send(platform, path: str, request_id: str) -> tuple[int, bytes]:
    """Return status and body of a response, or 0 if it breaks off."""
    try:
        status, _, body = await platform.send_request(path, request_id)
    except ClientPayloadError:
        return 0, b""
    return status, body


@pytest.mark.parametrize("framing", list(Framing))
async def test_cut_answer_does_not_look_whole(tmp_path, framing):
    """Guards against a success with an empty or short body that is framed as whole.

    A part of a body that only the end of its connection ends can't be told from the whole body.
    """
    async with PlatformHarness(tmp_path, coordinators=1) as platform:
        servers = {"chat": _CutServer("i-0", "engine"), "look": _CutServer("i-1", "app")}
        servers["sign"] = servers["look"]
        await platform.start_with_backends(servers["chat"], servers["look"])
        for kind, server in servers.items():
            server.framing, path = framing, f"/{kind}/1"
            await send(platform, path, "r1")
            for sent_bytes in {*range(0, server.answer_bytes, CUT_STEP_BYTES), server.head_bytes}:
                server.sent_bytes = sent_bytes
                status, body = await send(platform, path, "r1")
                may_look_whole = framing is Framing.CONNECTION and sent_bytes > server.head_bytes
                assert status != 200 or body == whole_body(path) or may_look_whole, sent_bytes
