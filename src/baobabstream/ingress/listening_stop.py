"""Closes a listening socket without cutting off callers that have just connected.

This is apart from `listening_socket`, which a process imports before anything else, so that callers
can connect while the web server is loaded.
"""

import asyncio
import select
import socket

from aiohttp.web import AppRunner, BaseSite

__all__ = ["stop_listening"]

# Longest time in which the rest of the queue is accepted.
MAX_QUEUE_WAIT_S = 1.0
# Iterations of the event loop that a connection takes from the queue to its protocol. If the
# listening socket is closed in between, asyncio forgets the connection without closing it.
ACCEPT_ITERATIONS = 5
# Time in which the first request of a connection that was accepted last is read.
FIRST_REQUEST_S = 0.1


async def stop_listening(
    runner: AppRunner,
    site: BaseSite,
    listener: socket.socket,
) -> None:
    """Close a listening socket without cutting off callers that have just connected.

    The kernel resets the connections that are still in the queue of the socket when it is closed.
    So the event loop stops to accept, the rest of the queue is accepted here, and afterwards there
    is time to read the requests of the last connections, which then count as open.

    Parameters
    ----------
    runner
        Runner of the web server.
    site
        Site that accepts connections from the socket.
    listener
        The listening socket.
    """
    loop = asyncio.get_running_loop()
    # Has no effect in uvloop, which gives a connection its protocol as soon as it is accepted.
    loop.remove_reader(listener)
    for _ in range(ACCEPT_ITERATIONS):
        await asyncio.sleep(0)
    queue = select.poll()
    queue.register(listener, select.POLLIN)
    end_s = loop.time() + MAX_QUEUE_WAIT_S
    # A timeout of 0 returns at once whether a connection waits.
    while queue.poll(0) and loop.time() < end_s:
        try:
            connection, _ = listener.accept()
        except OSError:
            # The event loop has accepted it, or its caller has left.
            await asyncio.sleep(0)
            continue
        connection.setblocking(False)
        assert runner.server is not None
        await loop.connect_accepted_socket(runner.server, connection)
    await site.stop()
    await asyncio.sleep(FIRST_REQUEST_S)
