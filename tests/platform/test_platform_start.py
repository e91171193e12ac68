"""Tests the start of a daemon on the platform."""

import socket

import pytest
from msgspec import convert

from baobabstream.platform import __main__ as program
from baobabstream.platform.settings import PlatformSettings
from free_ports import free_port


class _ConnectionAccepted(Exception):
    """Ends the start of the daemon after a caller has connected."""


def test_callers_can_connect_before_the_gateway_has_imported_its_modules(monkeypatch) -> None:
    """Guards against refused connections while a restarted gateway imports its modules."""
    front_port = free_port()
    settings_values = {
        "node_name": "edge-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "internal_ports": [free_port(), 0],
        "seeds": [],
        "listen": {"frontend": f"127.0.0.1:{front_port}", "readiness": "127.0.0.1:1"},
    }

    def connect(_: PlatformSettings) -> None:
        """Connect as a caller at the moment at which the imports begin."""
        with socket.create_connection(("127.0.0.1", front_port), timeout=1):
            raise _ConnectionAccepted

    monkeypatch.setattr(program, "_configure_process", connect)
    with pytest.raises(_ConnectionAccepted):
        program._run_gateway(convert(settings_values, PlatformSettings))
