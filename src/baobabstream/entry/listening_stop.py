"""Closes a listening socket without cutting off callers that have just connected.

This is apart from `listening_socket`, which a process imports before anything else, so that callers
can connect while the web server is loaded.
"""

import asyncio
import select
import socket

from aiohttp.web import BaseSite

__all__ = ["stop_listening"]

# Longest wait for an empty queue of connections. The event loop accepts all that wait at once, so
# that the queue stays filled only if connections arrive faster than they are accepted.
MAX_QUEUE_WAIT_S = 1.0
# Iterations of the event loop that a connection takes from the queue to its protocol. If the
# listening socket is closed in between, asyncio forgets the connection without closing it.
ACCEPT_ITERATIONS = 5
# Time in which the first request of a connection that was accepted last is read.
FIRST_REQUEST_S = 0.1


async def stop_listening(site: BaseSite, listener: socket.socket) -> None:
    """Close a listening socket without cutting off callers that have just connected.

    The kernel resets the connections that are still in the queue of the socket when it is closed.
    So the queue is emptied first, and afterwards there is time to read the requests of the last
    connections, which then count as open.

    Parameters
    ----------
    site
        Site of the web server that accepts connections from the socket.
    listener
        The listening socket.
    """
    loop = asyncio.get_running_loop()
    queue = select.poll()
    queue.register(listener, select.POLLIN)
    end_s = loop.time() + MAX_QUEUE_WAIT_S
    empty_iterations = 0
    while empty_iterations < ACCEPT_ITERATIONS and loop.time() < end_s:
        # A timeout of 0 returns at once whether a connection waits.
        empty_iterations = 0 if queue.poll(0) else empty_iterations + 1
        await asyncio.sleep(0)
    await site.stop()
    await asyncio.sleep(FIRST_REQUEST_S)
