"""Finds ports for the daemons of a test."""

import socket
from contextlib import ExitStack

__all__ = ["free_port", "free_ports"]


def free_ports(count: int) -> list[int]:
    """Return distinct ports that nothing listens on."""
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in range(count)]
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [probe.getsockname()[1] for probe in probes]


def free_port() -> int:
    """Return a port that nothing listens on."""
    return free_ports(1)[0]
