"""Tests that a listening socket is closed without cutting off callers that have just connected."""

import asyncio
import socket

from aiohttp import web

from baobabstream.ingress.listening_socket import open_listening_socket
from baobabstream.ingress.listening_stop import stop_listening


async def test_waiting_connections_are_served_before_the_socket_closes():
    """Guards against resetting or forgetting connections that wait in the queue of the socket."""

    async def handle(_: web.Request) -> web.Response:
        return web.Response(text="ok")

    application = web.Application()
    application.router.add_get("/", handle)
    runner = web.AppRunner(application)
    await runner.setup()
    listener = open_listening_socket("127.0.0.1", 0, 128)
    address = listener.getsockname()
    site = web.SockSite(runner, listener)
    await site.start()
    connections = []
    # The event loop accepts nothing before the next await.
    for _ in range(20):
        connection = socket.create_connection(address)
        connection.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        connections.append(connection)
    await stop_listening(runner, site, listener)
    await runner.cleanup()
    answers = []
    for connection in connections:
        connection.settimeout(2)
        answers.append(connection.recv(4096)[:15])
        connection.close()
    assert answers == [b"HTTP/1.1 200 OK"] * 20
    try:
        await asyncio.open_connection(*address)
    except ConnectionRefusedError:
        return
    raise AssertionError("the socket still listens")
