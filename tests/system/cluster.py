"""Starts daemons and stand-ins as real processes, with relays on the control links."""

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

from aiohttp import ClientError, ClientSession, ClientTimeout

from system.relay import Relay

__all__ = ["BACKEND_KEY", "OPERATOR_KEY", "Cluster", "EngineSpec", "wait_for"]

PEER_SECRET = "peer-secret-of-the-tests"
SESSION_SECRET = "session-secret-of-the-tests"
OPERATOR_KEY = "operator-key-of-the-tests"
BACKEND_KEY = "backend-key-of-the-tests"
START_TIMEOUT_S = 20.0
PORTS = range(10_000, 21_000)
ROOT = Path(__file__).resolve().parent.parent.parent


@dataclass(frozen=True)
class EngineSpec:
    """A stand-in engine: its name, what it has loaded, and further options."""

    identity: str
    load: tuple[str, ...]
    options: tuple[str, ...] = ()


@dataclass
class Cluster:
    """Real daemons on loopback.

    Parameters
    ----------
    folder
        Folder for settings, data, logs and timelines.
    without
        Mechanism of ``mechanisms_off`` that is switched off, by role ("entry" or "control").

    Attributes
    ----------
    left_ms
        Wall time at which each backend server left.
    crashes
        Backend servers that a request has crashed.
    majority_lost
        Whether the fault takes the control majority, so that nothing can come into force.
    no_work_ms
        Wall times between which no entry may send work.
    planned
        Whether the fault is a planned stop, which cuts no request.
    problems
        What the fault saw that must not happen.
    """

    folder: Path
    control_count: int = 3
    entry_count: int = 2
    engines: tuple[EngineSpec, ...] = ()
    services: tuple[str, ...] = ()
    entry_settings: str = "drain_notice_s = 0.5\n"
    without: dict[str, str] = field(default_factory=dict)
    left_ms: dict[str, int] = field(default_factory=dict)
    crashes: int = 0
    majority_lost: bool = False
    no_work_ms: tuple[int, int] = (0, 0)
    planned: bool = False
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
        """Start everything and wait until the control group answers."""
        self.session = ClientSession(timeout=ClientTimeout(total=10))
        names = [f"{host}/{kind}" for host in self.controls for kind in ("rpc", "http")]
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
        """End all processes and relays."""
        for name in list(self.processes):
            self.signal(name, signal.SIGKILL)
        for process in self.processes.values():
            await process.wait()
        for relay in self.relays.values():
            await relay.stop()
        await self.session.close()

    async def launch(self, name: str) -> None:
        """Start or restart a process."""
        log = (self.folder / f"{name}.log").open("ab")
        off = self.without.get(name.rpartition("-")[0])
        program = ["system.mechanisms_off", off] if off else ["baobabstream.cli.app"]
        self.processes[name] = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", *program, *self._arguments(name)),
            stderr=log,
            env=os.environ | {"PYTHONPATH": f"{ROOT}/src:{ROOT}/tests"},
        )
        log.close()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, if it still runs."""
        with suppress(ProcessLookupError):
            os.kill(self.processes[name].pid, number)

    async def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        self.signal(name, signal.SIGKILL)
        await self.processes[name].wait()

    async def terminate(self, name: str, timeout_s: float = 30.0) -> int:
        """Stop a process gracefully and return its exit code."""
        self.signal(name, signal.SIGTERM)
        return await asyncio.wait_for(self.processes[name].wait(), timeout_s)

    def isolate(self, host: str) -> None:
        """Cut a control host from all other daemons, silently."""
        for pair, relay in self.relays.items():
            if host in pair:
                relay.cut()

    def heal(self) -> None:
        """End all cuts."""
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
        """Call the admin interface of one control host, or of the first that answers."""
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
        code, document = await self.admin("GET", "/status")
        return document if code == 200 else None

    async def put(self, *rows: dict[str, Any], change_id: str = "") -> dict[str, Any]:
        """Put configuration rows on top of the present revision."""
        _, config = await self.admin("GET", "/config")
        body = {
            "change_id": change_id or os.urandom(8).hex(),
            "base_revision": config["operator_revision"],
            "put": list(rows),
        }
        code, answer = await self.admin("POST", "/changes", body)
        assert code == 200, answer
        return answer

    async def _has_leader(self) -> bool:
        return await self.status() is not None

    async def _write_settings(self, host: str) -> None:
        peers = "".join([await self._peer_table(host, peer) for peer in self.controls])
        zone = f"zone-{int(host.rpartition('-')[2]) % 3}"
        head = (
            f'cluster = "tests"\nhost = "{host}"\navailability_zone = "{zone}"\n'
            f'peer_secret = "{PEER_SECRET}"\n'
            f'timeline_file = "{self.folder}/timeline/{host}.jsonl"\n'
        )
        if host in self.controls:
            body = (
                f'backend_key = "{BACKEND_KEY}"\ndata_folder = "{self.folder}/{host}"\n'
                f'[operator_keys]\ntests = "{OPERATOR_KEY}"\n'
            )
        else:
            body = (
                f'session_secret = "{SESSION_SECRET}"\n{self.entry_settings}'
                f'[listener]\nip = "{self.ip}"\nport = {self.ports[host]}\n'
            )
        (self.folder / f"{host}.toml").write_text(head + body + peers)

    async def _peer_table(self, host: str, peer: str) -> str:
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
        if name in self.controls:
            return ["control", "--settings", str(self.folder / f"{name}.toml")]
        if name in self.entries:
            return ["entry", "--settings", str(self.folder / f"{name}.toml")]
        common = [
            *("--identity", name, "--ip", self.ip, "--port", str(self.ports[name])),
            *("--backend-key", BACKEND_KEY),
            *("--timeline-file", str(self.folder / "timeline" / f"{name}.jsonl")),
        ]
        for host in self.controls:
            common += ["--control-url", self.admin_url(host)]
        if name in self.services:
            return ["emulate", "service", "--service", name.rpartition("-")[0], *common]
        engine = next(item for item in self.engines if item.identity == name)
        loads = [part for load in engine.load for part in ("--load", load)]
        return ["emulate", "engine", *common, *loads, *engine.options]


def random_loopback() -> str:
    """Return a loopback address that hardly any other cluster uses at the same time.

    A port that was found free can be taken before its daemon listens. Clusters that started side by
    side on one address took each other's ports in 2 of 12 runs.
    """
    random = SystemRandom()
    return f"127.{random.randint(1, 254)}.{random.randint(0, 255)}.{random.randint(1, 254)}"


def free_ports(count: int, ip: str) -> list[int]:
    """Return distinct ports of an address that are free now.

    They lie below the system's ephemeral range: a port from that range can be taken by an outgoing
    connection before the daemon listens on it, which made two runs fail with ``ADDRESS_IN_USE``.
    """
    found: list[int] = []
    for port in SystemRandom().sample(PORTS, len(PORTS)):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        found.append(port)
        if len(found) == count:
            return found
    raise AssertionError("too few free ports")


async def wait_for(condition, timeout_s: float) -> None:
    """Wait until an asynchronous condition holds; fail after a time."""
    async with asyncio.timeout(timeout_s):
        while not await condition():
            await asyncio.sleep(0.05)
