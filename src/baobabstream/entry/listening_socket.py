"""Listening socket whose connections detect callers that have vanished without closing.

TCP keepalive sends probes on a connection without traffic and closes it if they are not answered.
"""

import asyncio
import select
import socket

from aiohttp.web import BaseSite

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError

__all__ = ["ACCEPT_BACKLOG", "open_listening_socket", "stop_listening"]

# Connections that may wait to be accepted; Linux grants at most 4,096 by default.
ACCEPT_BACKLOG = 1024
# Time without traffic before the first probe, time between two probes, and number of unanswered
# probes. The connection of a caller whose host has vanished is closed after 15 + 3 * 5 = 30
# seconds.
KEEPALIVE_IDLE_S = 15
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
# Longest wait for an empty queue of connections. The event loop accepts all that wait at once, so
# that the queue stays filled only if connections arrive faster than they are accepted.
MAX_QUEUE_WAIT_S = 1.0
# Iterations of the event loop that a connection takes from the queue to its protocol. If the
# listening socket is closed in between, asyncio forgets the connection without closing it.
ACCEPT_ITERATIONS = 5
# Time in which the first request of a connection that was accepted last is read.
FIRST_REQUEST_S = 0.1


def open_listening_socket(ip: str, port: int) -> socket.socket:
    """Return a listening socket; accepted connections inherit its keepalive options.

    Raises
    ------
    BaobabstreamError
        ``ADDRESS_IN_USE`` if the address cannot be bound.
    """
    # Only IPv6 addresses contain a colon. The option value 1 turns an option on; SO_REUSEADDR
    # allows a restart while connections of the previous process are still closing.
    address_family = socket.AF_INET6 if ":" in ip else socket.AF_INET
    listener = socket.socket(address_family, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    try:
        listener.bind((ip, port))
        listener.listen(ACCEPT_BACKLOG)
    except OSError as error:
        listener.close()
        raise BaobabstreamError(ResultCode.ADDRESS_IN_USE, f"{ip}:{port}") from error
    return listener


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
