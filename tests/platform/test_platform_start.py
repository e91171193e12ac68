"""Tests the start of a daemon on the platform."""

import os
import socket
import subprocess
import sys

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


def test_web_server_is_not_imported_before_callers_can_connect() -> None:
    """Guards against a slow import before the socket listens, which refuses callers meanwhile."""
    code = (
        "import sys, baobabstream.platform.__main__, baobabstream.platform.settings, "
        "baobabstream.ingress.listening_socket; "
        "print(sorted({'aiohttp', 'asyncio', 'pydantic', 'pynng'} & set(sys.modules)))"
    )
    environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
    output = subprocess.run(
        [sys.executable, "-c", code], env=environment, capture_output=True, check=True, timeout=60
    )
    assert output.stdout.strip() == b"[]"
