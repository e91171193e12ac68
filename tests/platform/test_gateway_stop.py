"""Tests that a planned stop under load answers every request that reached the gateway."""

import asyncio
import socket

from aiohttp import ClientConnectorError, ClientError, ClientSession, TCPConnector

from fake_backend_server import FakeBackendServer
from platform_stand_in import FRONT_PORT, PlatformHarness, caller_headers, make_config
from waiting import until

CALLER_COUNT = 30


async def call_until_refused(platform, caller: int, keeps_connection: bool, outcomes: list) -> None:
    """Send one request after another until the gateway refuses connections.

    ``outcomes`` gets the status of each response, or the error of a connection that was opened and
    then ended without one. A kept connection may be closed between two requests, so that its error
    counts only if the request was sent on a new one.
    """
    connector = TCPConnector(force_close=not keeps_connection)
    async with ClientSession(connector=connector) as session:
        for number in range(10_000):
            headers = caller_headers(f"r{caller}-{number}")
            try:
                async with session.get(platform.url("/look/1"), headers=headers) as reply:
                    await reply.read()
                    outcomes.append(reply.status)
            except ClientConnectorError:
                return
            except (ClientError, OSError) as error:
                outcomes.append(repr(error))
                return


async def test_requests_are_answered_until_connections_are_refused(tmp_path):
    """Guards against requests that had just been accepted and were cut off by a planned stop.

    The load balancer may take longer than expected to stop sending, so callers go on until
    connections are refused.
    """
    async with PlatformHarness(tmp_path, coordinators=1) as platform:
        await platform.start_with_backends(
            FakeBackendServer("i-app", "app", answer_delay_s=0.01),
            FakeBackendServer("i-engine", "engine"),
        )
        outcomes: list = []
        callers = [
            asyncio.create_task(call_until_refused(platform, n, n % 2 == 0, outcomes))
            for n in range(CALLER_COUNT)
        ]
        await until(lambda: len(outcomes) > CALLER_COUNT)
        ip, gateway = next(iter(platform.gateways.items()))
        await gateway.stop()
        async with asyncio.timeout(30):
            await asyncio.gather(*callers)
        del platform.gateways[ip]
    assert {outcome for outcome in outcomes if outcome not in (200, 503)} == set()
    assert outcomes.count(200) > CALLER_COUNT


async def test_connections_in_the_queue_of_the_listening_socket_are_answered(tmp_path):
    """Guards against closing the listening socket before its queue of connections is empty.

    The connections are opened, and their requests sent, in the moment in which the gateway stops to
    accept others.
    """
    async with PlatformHarness(tmp_path, coordinators=1) as platform:
        await platform.start_with_backends(
            FakeBackendServer("i-app", "app"), FakeBackendServer("i-engine", "engine")
        )
        ip, gateway = next(iter(platform.gateways.items()))
        stop_accepting, sockets = gateway._frontend.stop_accepting, []

        async def stop_accepting_with_queue() -> None:
            head = "".join(f"{name}: {value}\r\n" for name, value in caller_headers("r").items())
            for _ in range(20):
                connection = socket.create_connection((ip, FRONT_PORT))
                connection.sendall(f"GET /look/1 HTTP/1.1\r\n{head}\r\n".encode())
                sockets.append(connection)
            await stop_accepting()

        gateway._frontend.stop_accepting = stop_accepting_with_queue
        await gateway.stop()
        del platform.gateways[ip]
        responses = []
        for connection in sockets:
            connection.settimeout(2)
            try:
                responses.append(connection.recv(4096)[:12])
            except OSError as error:
                responses.append(repr(error))
            connection.close()
    assert set(responses) <= {b"HTTP/1.1 200", b"HTTP/1.1 503"}


async def test_request_whose_body_arrives_late_in_a_stop_is_refused(tmp_path):
    """Guards against passing on a request that the end of the stop then cuts off."""
    async with PlatformHarness(tmp_path, coordinators=1) as platform:
        server = FakeBackendServer("i-app", "app")
        await platform.start_with_backends(server, FakeBackendServer("i-engine", "engine"))
        ip, gateway = next(iter(platform.gateways.items()))
        head = "".join(f"{name}: {value}\r\n" for name, value in caller_headers("r1").items())
        reader, writer = await asyncio.open_connection(ip, FRONT_PORT)
        writer.write(f"POST /sign/1 HTTP/1.1\r\n{head}Content-Length: 6\r\n\r\npro".encode())
        await until(lambda: gateway._frontend.open_requests == 1)
        stop = asyncio.create_task(gateway.stop())
        await until(lambda: not gateway._frontend._is_accepting)
        writer.write(b"mpt")
        assert (await reader.readline()).split()[1] == b"503"
        writer.close()
        await stop
        del platform.gateways[ip]
        assert server.run_counts["r1"] == 0


async def test_request_that_outlasts_a_stop_gets_an_answer(tmp_path):
    """Guards against a connection that ends without an answer to a request that was passed on."""
    async with PlatformHarness(tmp_path, coordinators=1) as platform:
        server = FakeBackendServer("i-app", "app", unanswered_left=1)
        await platform.start_with_backends(server, FakeBackendServer("i-engine", "engine"))
        config = make_config(2)
        for route in config["routes"]:
            route["timeout_ms"] = 20_000
        await platform.put_config(config)
        ip, gateway = next(iter(platform.gateways.items()))
        await until(lambda: gateway.context.route_table.document.version == 2)
        headers = {"X-Deadline-Ms": "20000"}
        request = asyncio.create_task(platform.send_request("/sign/1", "r1", **headers))
        await until(lambda: server.run_counts["r1"])
        await gateway.stop()
        del platform.gateways[ip]
        assert (await request)[0] == 504
