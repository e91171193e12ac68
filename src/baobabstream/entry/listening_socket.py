"""Listening socket whose connections detect callers that have vanished without closing.

TCP keepalive sends probes on a connection without traffic and closes it if they are not answered.
"""

import socket

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError

__all__ = ["ACCEPT_BACKLOG", "open_listening_socket"]

# Connections that may wait to be accepted; Linux grants at most 4,096 by default.
ACCEPT_BACKLOG = 1024
# Time without traffic before the first probe, time between two probes, and number of unanswered
# probes. The connection of a caller whose host has vanished is closed after 15 + 3 * 5 = 30
# seconds.
KEEPALIVE_IDLE_S = 15
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3


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
