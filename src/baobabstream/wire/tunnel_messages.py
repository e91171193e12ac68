"""Messages by which one gateway opens a tunnel to a backend server through another one."""

from enum import StrEnum

from msgspec import Struct

__all__ = ["TunnelOutcome", "TunnelReply", "TunnelRequest"]


class TunnelOutcome(StrEnum):
    """Outcome of a request for a tunnel.

    ``OPEN``: the bytes that follow go to the server. ``UNREACHABLE``: the server accepts no
    connection of the other gateway either. ``NO_PATH``: the other gateway has lost its own path to
    the server. ``BUSY``: it carries as many tunnels as it can, or is stopping. ``UNKNOWN_SERVER``:
    it does not know the server.
    """

    OPEN = "open"
    UNREACHABLE = "unreachable"
    NO_PATH = "no_path"
    BUSY = "busy"
    UNKNOWN_SERVER = "unknown_server"


class TunnelRequest(Struct, frozen=True, tag="tunnel"):
    """Asks another gateway to connect to a backend server.

    ``server_process`` is the identity of the server with its start time, and ``address`` its
    IP:PORT, which the other gateway compares with what it knows. ``timeout_ms`` limits the
    connection to the server. The other gateway never passes the request on.
    """

    server_process: str
    address: str
    timeout_ms: int


class TunnelReply(Struct, frozen=True, tag="tunnel_reply"):
    """Outcome of a `TunnelRequest`."""

    outcome: TunnelOutcome
