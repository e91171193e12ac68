"""Tests the entry and control daemons with TLS under crowds of clients that do not behave.

The daemons are processes. Ordinary calls on new connections are served while the connections of the
crowd are open, and afterwards.
"""

import asyncio
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from crowds.misbehaving_clients import HANDSHAKE_CROWDS, TLS_CROWDS, Crowd, Target, client_tls
from crowds.platform_under_crowds import (
    MAX_DESCRIPTORS,
    assert_process_is_bounded,
    is_answered,
    serve_in_time,
)
from system.cluster import free_ports
from tls_daemon_files import OPERATOR_KEY, write_daemon_files

# As for the daemons without TLS.
MEMORY_MB = 128
LIMITS = f"memory_mb = {MEMORY_MB}\nmax_fds = {MAX_DESCRIPTORS}\n"
IP = "127.0.0.1"
# Time for a daemon to end after SIGTERM, in seconds.
STOP_TIMEOUT_S = 20.0


class _Daemons:
    """A control and an entry daemon.

    Attributes
    ----------
    processes
        Processes by role.
    ports
        Peer and HTTP port of the control daemon, and port of the entry daemon.
    """

    def __init__(self, ports: list[int]) -> None:
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.ports = ports

    async def start(self, folder: Path, role: str) -> None:
        """Start a daemon."""
        arguments = ("-m", "baobabstream.cli.app", role, "--settings", str(folder / f"{role}.toml"))
        with (folder / f"{role}.log").open("wb") as log:
            self.processes[role] = await asyncio.create_subprocess_exec(
                sys.executable, *arguments, stdout=log, stderr=log
            )

    async def stop(self) -> None:
        """End the daemons that run."""
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)

    async def is_served(self, role: str) -> bool:
        """Send a call on a connection of its own, and return whether it was served.

        The control daemon returns the configuration to an operator. The entry daemon has none, and
        says whether it is ready.
        """
        port, path = (
            (self.ports[1], "/admin/v1/config") if role == "control" else (self.ports[2], "/readyz")
        )
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        return await is_answered("GET", f"https://{IP}:{port}{path}", client_tls(), headers=headers)

    def targets(self, role: str, is_tls: bool) -> tuple[Target, ...]:
        """Return the listening sockets of a daemon that a crowd comes to.

        The port between daemons ends a handshake only with clients that have a certificate.
        """
        tls = client_tls() if is_tls else None
        fields = (f"Host: {role}", f"Authorization: Bearer {OPERATOR_KEY}")
        if role == "entry":
            paths = ("/v1/chat/completions", "/readyz", "/none")
            return tuple(Target(IP, self.ports[2], path, fields=fields, tls=tls) for path in paths)
        paths = ("/admin/v1/changes", "/backend/v1/announce", "/healthz", "/none")
        targets = (Target(IP, self.ports[1], path, fields=fields, tls=tls) for path in paths)
        inner_port = () if is_tls else (Target(IP, self.ports[0], "/"),)
        return (*targets, *inner_port)


@asynccontextmanager
async def run_daemons(folder: Path) -> AsyncIterator[_Daemons]:
    """Run both daemons with small limits until each serves an ordinary call."""
    daemons = _Daemons(free_ports(3, IP))
    write_daemon_files(folder, daemons.ports, LIMITS)
    try:
        for role in ("control", "entry"):
            await daemons.start(folder, role)
        for role in ("control", "entry"):
            await serve_in_time(lambda role=role: daemons.is_served(role))
        yield daemons
    finally:
        await daemons.stop()


@pytest.mark.parametrize(
    ("crowd", "is_tls"),
    [*((crowd, False) for crowd in HANDSHAKE_CROWDS), *((crowd, True) for crowd in TLS_CROWDS)],
    ids=lambda value: value.name.replace(" ", "-") if isinstance(value, Crowd) else "",
)
@pytest.mark.parametrize("role", ["entry", "control"])
async def test_daemon_with_tls_outlives_a_crowd(tmp_path, role, crowd, is_tls):
    """Guards against clients of ports with TLS that take memory or descriptors, or stop a host."""
    async with run_daemons(tmp_path) as daemons:
        process = daemons.processes[role]
        await assert_process_is_bounded(
            process.pid,
            crowd,
            daemons.targets(role, is_tls),
            lambda: daemons.is_served(role),
            (MEMORY_MB, MAX_DESCRIPTORS),
        )
        assert process.returncode is None
