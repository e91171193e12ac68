"""Tests which connections a pool keeps."""

import pytest

from backends.raw_server import encode_answer, raw_server, read_request
from baobabstream.backends.connection_pool import ConnectionPool
from baobabstream.backends.connector import DirectConnector


class _ChangingConnector(DirectConnector):
    """A connector whose path to the server a test changes."""

    path_changed = False

    def may_reuse(self, connection) -> bool:
        """Return whether the connection uses the present path."""
        return not self.path_changed


async def answer_requests(reader, writer) -> None:
    """Answer all requests of a connection."""
    while True:
        _, headers, _ = await read_request(reader)
        writer.write(encode_answer(headers["x-request-id"]))


@pytest.mark.parametrize("path_changed", [False, True])
async def test_connection_in_use_when_its_path_changes_is_not_kept(path_changed):
    """Guards against tunnels that stay open below the connections that are reused first."""
    async with raw_server(answer_requests) as address:
        connector = _ChangingConnector(address, "x-request-id")
        pool = ConnectionPool(address, "x-request-id", 4, connector=connector)
        connection = await pool.acquire(1.0)
        connector.path_changed = path_changed
        pool.close_outdated()
        connection.send("r1", b"GET / HTTP/1.1\r\nX-Request-Id: r1\r\n\r\n")
        await connection.read_head()
        assert await connection.read_part() == b"ok"
        pool.release(connection)
        assert pool.has_open_idle_connection == (not path_changed)
        pool.close()
