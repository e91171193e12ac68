"""Listening socket whose connections detect callers that have vanished without closing.

TCP keepalive sends probes on a connection without traffic and closes it if they are not answered.
"""

import socket

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.resources.process_limits import RECEIVE_BUFFER_BYTES

__all__ = ["open_listening_socket"]

# Time without traffic before the first probe, time between two probes, and number of unanswered
# probes. The connection of a caller whose host has vanished is closed after 15 + 3 * 5 = 30
# seconds.
KEEPALIVE_IDLE_S = 15
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3


def open_listening_socket(ip: str, port: int, backlog: int) -> socket.socket:
    """Return a listening socket; accepted connections inherit its options.

    Their receive buffers are small and do not grow, since what waits in them takes memory of the
    host. ``backlog`` is the number of connections that may wait to be accepted.

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
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    try:
        listener.bind((ip, port))
        listener.listen(backlog)
    except OSError as error:
        listener.close()
        raise BaobabstreamError(ResultCode.ADDRESS_IN_USE, f"{ip}:{port}") from error
    return listener
