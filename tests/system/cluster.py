"""Runs daemons and emulated backend servers as real processes on a loopback address.

Connections between two daemons, which always lead to a control host, pass through a ``Relay`` for
each pair, so that tests can cut single links.
"""

import asyncio
import os
import signal
import socket
import sys
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from random import SystemRandom
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, TraceConfig

from system.relay import Relay

__all__ = ["BACKEND_KEY", "OPERATOR_KEY", "Cluster", "ConnectionUse", "EngineSpec", "wait_for"]

PEER_SECRET = "peer-secret-of-the-tests"
SESSION_SECRET = "session-secret-of-the-tests"
OPERATOR_KEY = "operator-key-of-the-tests"
BACKEND_KEY = "backend-key-of-the-tests"
START_TIMEOUT_S = 20.0
# Below the ephemeral range of the system; see ``free_ports``.
PORT_RANGE = range(10_000, 21_000)
REPOSITORY_FOLDER = Path(__file__).resolve().parent.parent.parent


@dataclass(frozen=True)
class EngineSpec:
    """An emulated engine.

    Attributes
    ----------
    identity
        Name of the backend server.
    loaded_versions
        Model versions that it has loaded, as ``model@version``.
    options
        Further options of its command line.
    """

    identity: str
    loaded_versions: tuple[str, ...]
    options: tuple[str, ...] = ()


@dataclass
class ConnectionUse:
    """How a request was sent.

    Attributes
    ----------
    was_open_before
        Whether it was sent on a connection that had been open before.
    """

    was_open_before: bool = False


def _connection_trace() -> TraceConfig:
    """Return a trace that sets the `ConnectionUse` that a request is given as its context."""

    async def record_reuse(_, trace_context, __) -> None:
        """Record that a request uses a connection that has been open."""
        if isinstance(trace_context.trace_request_ctx, ConnectionUse):
            trace_context.trace_request_ctx.was_open_before = True

    trace = TraceConfig()
    trace.on_connection_reuseconn.append(record_reuse)
    return trace


@dataclass
class Cluster:
    """A control group, entry hosts and emulated backend servers.

    Parameters
    ----------
    folder
        Folder for settings, data, logs and timelines.
    control_count, entry_count
        Number of control hosts and of entry hosts.
    engines
        Emulated engines.
    services
        Names of the emulated services, such as ``waiver-1`` for the service ``waiver``.
    entry_settings, control_settings
        Further settings of the entry and control hosts, as TOML.
    disabled_mechanisms
        Mechanism of ``mechanisms_off`` that is switched off, by role ("entry" or "control").

    Attributes
    ----------
    left_at_ms
        Wall time in milliseconds at which each backend server left.
    crash_count
        Number of backend servers that a request has crashed.
    control_majority_lost
        Whether the fault stops a majority of the control hosts, so that no change can come into
        force.
    no_work_period_ms
        Wall times in milliseconds between which no entry host may send work.
    is_planned_stop
        Whether the fault is a planned stop, which must interrupt no request.
    problems
        A sentence for each failure that the fault itself detected.
    processes
        Process of each daemon and backend server, by name.
    relays
        Relay by (source host, control host).
    ports
        Port by process name; control hosts have one port each under ``HOST/rpc`` and ``HOST/http``.
    ip
        Loopback address of all processes.
    """

    folder: Path
    control_count: int = 3
    entry_count: int = 2
    engines: tuple[EngineSpec, ...] = ()
    services: tuple[str, ...] = ()
    entry_settings: str = "drain_notice_s = 0.5\n"
    control_settings: str = ""
    disabled_mechanisms: dict[str, str] = field(default_factory=dict)
    left_at_ms: dict[str, int] = field(default_factory=dict)
    crash_count: int = 0
    control_majority_lost: bool = False
    no_work_period_ms: tuple[int, int] = (0, 0)
    is_planned_stop: bool = False
    problems: list[str] = field(default_factory=list)
    processes: dict[str, asyncio.subprocess.Process] = field(default_factory=dict)
    relays: dict[tuple[str, str], Relay] = field(default_factory=dict)
    ports: dict[str, int] = field(default_factory=dict)
    ip: str = field(default_factory=lambda: random_loopback())

    @property
    def controls(self) -> list[str]:
        """Names of the control hosts."""
        return [f"control-{n + 1}" for n in range(self.control_count)]

    @property
    def entries(self) -> list[str]:
        """Names of the entry hosts."""
        return [f"entry-{n + 1}" for n in range(self.entry_count)]

    async def start(self) -> None:
        """Start all processes and wait until the control group has a leader."""
        self.session = ClientSession(
            timeout=ClientTimeout(total=10), trace_configs=[_connection_trace()]
        )
        names = [f"{host}/{interface}" for host in self.controls for interface in ("rpc", "http")]
        names += self.entries + [engine.identity for engine in self.engines]
        names += list(self.services)
        self.ports = dict(zip(names, free_ports(len(names), self.ip), strict=True))
        for host in self.controls + self.entries:
            await self._write_settings(host)
        for host in self.controls + self.entries:
            await self.launch(host)
        for engine in self.engines:
            await self.launch(engine.identity)
        for service in self.services:
            await self.launch(service)
        await wait_for(self._has_leader, START_TIMEOUT_S)

    async def stop(self) -> None:
        """Kill all processes and stop all relays."""
        for name in list(self.processes):
            self.signal(name, signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        for relay in self.relays.values():
            await relay.stop()
        await self.session.close()

    async def launch(self, name: str) -> None:
        """Start or restart the process of that name."""
        log = (self.folder / f"{name}.log").open("ab")
        disabled_mechanism = self.disabled_mechanisms.get(name.rpartition("-")[0])
        module_arguments = (
            ["system.mechanisms_off", disabled_mechanism]
            if disabled_mechanism
            else ["baobabstream.cli.app"]
        )
        self.processes[name] = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", *module_arguments, *self._arguments(name)),
            stderr=log,
            env=os.environ | {"PYTHONPATH": f"{REPOSITORY_FOLDER}/src:{REPOSITORY_FOLDER}/tests"},
        )
        log.close()

    def signal(self, name: str, signal_number: signal.Signals) -> None:
        """Send a signal to a process, if it still runs."""
        with suppress(ProcessLookupError):
            os.kill(self.processes[name].pid, signal_number)

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    async def terminate(self, name: str, timeout_s: float = 30.0) -> int:
        """Stop a process gracefully and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return await asyncio.wait_for(self.processes[name].wait(), timeout_s)

    def isolate(self, host: str) -> None:
        """Drop all bytes between a host and the other daemons, without closing connections."""
        for link, relay in self.relays.items():
            if host in link:
                relay.drop_all()

    def heal(self) -> None:
        """Forward the bytes on all links between daemons again."""
        for relay in self.relays.values():
            relay.heal()

    def admin_url(self, host: str) -> str:
        """Return the HTTP address of a control host."""
        return f"http://{self.ip}:{self.ports[f'{host}/http']}"

    def entry_url(self, host: str) -> str:
        """Return the HTTP address of an entry host."""
        return f"http://{self.ip}:{self.ports[host]}"

    async def admin(
        self, method: str, path: str, body: Any = None, host: str = "", timeout_s: float = 4.0
    ) -> tuple[int, Any]:
        """Call the admin interface and return the HTTP status and the decoded body.

        Calls ``host`` or, without one, each control host until one answers with a status below 500.
        The status is 0 if no host answers.
        """
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        answer: tuple[int, Any] = (0, None)
        for name in [host] if host else self.controls:
            url = self.admin_url(name) + "/admin/v1" + path
            try:
                async with self.session.request(
                    method, url, json=body, headers=headers, timeout=ClientTimeout(total=timeout_s)
                ) as response:
                    answer = (response.status, await response.json())
            except (ClientError, TimeoutError, OSError):
                continue
            if answer[0] < 500:
                return answer
        return answer

    async def status(self) -> dict[str, Any] | None:
        """Return the status that the control leader reports, or None."""
        http_status, document = await self.admin("GET", "/status")
        return document if http_status == 200 else None

    async def put(self, *rows: dict[str, Any], change_id: str = "") -> dict[str, Any]:
        """Store configuration rows on top of the current revision and return the answer."""
        _, config = await self.admin("GET", "/config")
        body = {
            "change_id": change_id or os.urandom(8).hex(),
            "base_revision": config["operator_revision"],
            "put": list(rows),
        }
        http_status, answer = await self.admin("POST", "/changes", body)
        assert http_status == 200, answer
        return answer

    async def _has_leader(self) -> bool:
        return await self.status() is not None

    async def _write_settings(self, host: str) -> None:
        """Write the settings file of a control or entry host."""
        peer_tables = "".join([await self._peer_table(host, peer) for peer in self.controls])
        zone = f"zone-{int(host.rpartition('-')[2]) % 3}"
        common_settings = (
            f'cluster = "tests"\nhost = "{host}"\navailability_zone = "{zone}"\n'
            f'peer_secret = "{PEER_SECRET}"\n'
            f'timeline_file = "{self.folder}/timeline/{host}.jsonl"\n'
        )
        if host in self.controls:
            body = (
                f'{self.control_settings}backend_key = "{BACKEND_KEY}"\n'
                f'data_folder = "{self.folder}/{host}"\n'
                f'[operator_keys]\ntests = "{OPERATOR_KEY}"\n'
            )
        else:
            body = (
                f'session_secret = "{SESSION_SECRET}"\n{self.entry_settings}'
                f'[listener]\nip = "{self.ip}"\nport = {self.ports[host]}\n'
            )
        (self.folder / f"{host}.toml").write_text(common_settings + body + peer_tables)

    async def _peer_table(self, host: str, peer: str) -> str:
        """Return the settings by which a host reaches a control host, through a new relay."""
        port = self.ports[f"{peer}/rpc"]
        ip = self.ip
        if host != peer:
            relay = self.relays[host, peer] = Relay(self.ip, port)
            ip, port = await relay.start()
        zone = f"zone-{int(peer.rpartition('-')[2]) % 3}"
        return (
            f'[[control]]\nhost = "{peer}"\navailability_zone = "{zone}"\n'
            f'ip = "{ip}"\n'
            f"port = {port}\nhttp_port = {self.ports[f'{peer}/http']}\n"
        )

    def _arguments(self, name: str) -> list[str]:
        """Return the command line arguments of the process of that name."""
        if name in self.controls:
            return ["control", "--settings", str(self.folder / f"{name}.toml")]
        if name in self.entries:
            return ["entry", "--settings", str(self.folder / f"{name}.toml")]
        common_arguments = [
            *("--identity", name, "--ip", self.ip, "--port", str(self.ports[name])),
            *("--backend-key", BACKEND_KEY),
            *("--timeline-file", str(self.folder / "timeline" / f"{name}.jsonl")),
        ]
        for host in self.controls:
            common_arguments += ["--control-url", self.admin_url(host)]
        if name in self.services:
            return ["emulate", "service", "--service", name.rpartition("-")[0], *common_arguments]
        engine = next(item for item in self.engines if item.identity == name)
        load_arguments = [
            argument for version in engine.loaded_versions for argument in ("--load", version)
        ]
        return ["emulate", "engine", *common_arguments, *load_arguments, *engine.options]


def random_loopback() -> str:
    """Return a random loopback address, which other clusters hardly ever use at the same time.

    A port that was found free can be taken before its daemon listens. Clusters that started
    concurrently on one address took each other's ports in 2 of 12 runs.
    """
    random = SystemRandom()
    return f"127.{random.randint(1, 254)}.{random.randint(0, 255)}.{random.randint(1, 254)}"


def free_ports(count: int, ip: str) -> list[int]:
    """Return distinct ports that are currently free at an address.

    They lie below the system's ephemeral range: a port from that range can be taken by an outgoing
    connection before the daemon listens on it, which made two runs fail with ``ADDRESS_IN_USE``.
    """
    ports: list[int] = []
    for port in SystemRandom().sample(PORT_RANGE, len(PORT_RANGE)):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise AssertionError("too few free ports")


async def wait_for(condition, timeout_s: float) -> None:
    """Poll an asynchronous condition until it holds; raise ``TimeoutError`` after a time limit."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.05)
