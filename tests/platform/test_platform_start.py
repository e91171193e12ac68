"""How the programs of the platform start."""

import socket

import pytest
from msgspec import convert

from baobabstream.platform import __main__ as program
from baobabstream.platform.settings import PlatformSettings
from free_ports import free_port


class _Reached(Exception):
    pass


def test_callers_may_connect_while_the_gateway_still_loads(monkeypatch) -> None:
    """Guards against callers that are turned away for as long as a restart loads its libraries."""
    port = free_port()
    fields = {
        "node_name": "edge-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "internal_ports": [free_port(), 0],
        "seeds": [],
        "listen": {"frontend": f"127.0.0.1:{port}", "readiness": "127.0.0.1:1"},
    }

    def connect(_: PlatformSettings) -> None:
        with socket.create_connection(("127.0.0.1", port), timeout=1):
            raise _Reached

    monkeypatch.setattr(program, "_configure_process", connect)
    with pytest.raises(_Reached):
        program._run_gateway(convert(fields, PlatformSettings))
