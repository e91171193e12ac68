"""Stand-in of the platform: starts the programs of the deploy file and restarts them.

Machines are loopback addresses. The settings of a process are those that `DEPLOY.md` shows, with
the bounds of the site kdr-waivers. A process that ends is started again after a short delay, as
long as its machine is there.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from stand_ins.http_calls import Answer, call

__all__ = ["BOUNDS", "Deployment", "Machine", "Record"]

ROOT = Path(__file__).resolve().parents[2]
RUN_LINES = {
    role: table["run"]
    for role, table in tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"].items()
}
CONTROL_PORT, READY_PORT, FRONT_PORT, INNER_PORTS = 8229, 8220, 8227, (7340, 7355)
RESTART_DELAY_S = 0.5
# Time between two checks of readiness, and the misses that take a machine out of rotation.
READY_CHECK_S, READY_MISSES = 1.0, 2
# Bounds of the site kdr-waivers.
BOUNDS: dict[str, Any] = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_ms": 2000,
    "rollback_slack_ms": 250,
    "stretch_ms": 5000,
    "fail_closed": False,
    "revoke_ms": 5000,
    "retry_ratio": 0.9,
    "budget_window_s": 10,
    "retry_slack": 56,
    "exposure_share": 0.15,
    "exposure_slack": 30,
    "rollback_ms": 5000,
    "recover_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
    "session_s": 5,
}
HEARTBEAT_MS = 1200
TOLERATED_MACHINES = 2


class Record:
    """Lines of `record.txt`, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_s

    def write(self, event: str, **fields: Any) -> None:
        """Write one event."""
        print(f"{self.now_s:8.3f} {event} {json.dumps(fields)}", file=self._file, flush=True)


class Machine:
    """One machine with one process."""

    def __init__(self, name: str, role: str, ip: str, folder: Path, deployment: "Deployment"):
        self.name, self.role, self.ip = name, role, ip
        self._folder, self._deployment = folder, deployment
        self._process: asyncio.subprocess.Process | None = None
        self._is_present = True
        self._wipes = False
        self._is_first_start = True
        # Seconds since the start of the case at which the process was last started.
        self.started_s = 0.0
        self.is_in_rotation = False
        self._missed = READY_MISSES
        (folder / "data").mkdir(parents=True)

    @property
    def control(self) -> tuple[str, int]:
        """Address for operators and replicas."""
        return self.ip, CONTROL_PORT

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return self.ip, FRONT_PORT

    async def run(self, bootstrap: bool) -> None:
        """Keep the process running while the machine is there."""
        settings_path = self._folder / "local.toml"
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["BAOBABSTREAM_SETTINGS"] = str(settings_path)
        while self._is_present:
            settings_path.write_text(self._settings(bootstrap and self._is_first_start))
            self._is_first_start = False
            with (self._folder / "log").open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    *RUN_LINES[self.role].split(" "),
                    cwd=ROOT,
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
            self.started_s = self._deployment.record.now_s
            self._deployment.record.write("started", machine=self.name)
            code = await self._process.wait()
            self._deployment.record.write("ended", machine=self.name, code=code)
            if self._wipes:
                self._wipes = False
                shutil.rmtree(self._folder / "data")
                (self._folder / "data").mkdir()
            await asyncio.sleep(RESTART_DELAY_S)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None and self._process.returncode is None:
            self._deployment.record.write("signal", machine=self.name, signal=number.name)
            os.kill(self._process.pid, number)

    def remove(self, number: signal.Signals) -> None:
        """Take the machine away for good; its process gets a signal."""
        self._is_present = False
        self.send_signal(number)

    def lose_disk(self) -> None:
        """Kill the process and empty its disk before the next start."""
        self._wipes = True
        self.send_signal(signal.SIGKILL)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._process is not None and self._process.returncode is None

    @property
    def pid(self) -> int:
        """Id of the process, which has been started."""
        assert self._process is not None
        return self._process.pid

    async def check_ready(self) -> None:
        """Follow the readiness of the process, as the platform does."""
        while self._is_present:
            answer = await call((self.ip, READY_PORT), "GET", "/baobabstream/ready")
            is_ready = answer is not None and answer.status == 200
            self._missed = 0 if is_ready else self._missed + 1
            is_in_rotation = is_ready or (self.is_in_rotation and self._missed < READY_MISSES)
            if is_in_rotation != self.is_in_rotation:
                self._deployment.record.write("rotation", machine=self.name, in_it=is_in_rotation)
            self.is_in_rotation = is_in_rotation
            await asyncio.sleep(READY_CHECK_S)

    def _settings(self, bootstrap: bool) -> str:
        """Return the settings file."""
        is_core = self.role == "coordination"
        listen = (
            {"control_plane": f"{self.ip}:{CONTROL_PORT}"}
            if is_core
            else {
                "frontend": f"{self.ip}:{FRONT_PORT}",
                "readiness": f"{self.ip}:{READY_PORT}",
            }
        )
        tables = {
            "zones": {"accra-a": "gh-south"},
            "listen": listen,
            "limits": {
                "cpu_share": 0.86 if is_core else 0.537,
                "cores": 3 if is_core else 2,
                "memory_mb": 296 if is_core else 300,
                "max_fds": 4096 if is_core else 4100,
                "link_mbps": 1000.0,
                "disk_mb": 128 if is_core else 0,
            },
            "fault_tolerance": {"machines": TOLERATED_MACHINES, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
        }
        top = {
            "node_name": self.name,
            "role": self.role,
            "machine_class": "core" if is_core else "edge",
            "serves": ["control"] if is_core else ["edge"],
            "ip": self.ip,
            "zone": "accra-a",
            "region": "gh-south",
            "internal_ports": list(INNER_PORTS),
            "seeds": [f"{ip}:{CONTROL_PORT}" for ip in self._deployment.seed_ips],
            "bootstrap": bootstrap,
            "counts_as_loss": is_core,
            "discovery": "registration",
            "entry": "vip",
            "heartbeat_ms": HEARTBEAT_MS,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "stream", "tenants"],
            "config_mode": "highest",
        }
        if is_core:
            top["data_dir"] = str(self._folder / "data")
        lines = [f"{key} = {json.dumps(value)}" for key, value in top.items()]
        for name, table in tables.items():
            lines += [f"[{name}]", *(f"{key} = {json.dumps(value)}" for key, value in table.items())]
        return "\n".join(lines) + "\n"


class Deployment:
    """Machines of a small deployment, and the operator."""

    def __init__(self, folder: Path, record: Record, cores: int, edges: int) -> None:
        self._folder, self.record = folder, record
        self._prefix = _free_prefix()
        self._tasks: list[asyncio.Task[None]] = []
        self.cores: list[Machine] = []
        self.edges: list[Machine] = []
        self.seed_ips = tuple(f"{self._prefix}.{n + 1}" for n in range(min(3, cores)))
        for number in range(cores):
            self.add_core(bootstrap=True)
        for number in range(edges):
            machine = self._start(f"edge-{number + 1}", "gateway", f"{self._prefix}.{number + 101}")
            self.edges.append(machine)
            self._tasks.append(asyncio.create_task(machine.check_ready()))

    def add_core(self, bootstrap: bool = False) -> Machine:
        """Start a core machine with an empty disk."""
        number = len(self.cores) + 1
        name, ip = f"core-{number}", f"{self._prefix}.{number}"
        machine = self._start(name, "coordination", ip, bootstrap)
        self.cores.append(machine)
        return machine

    def replica_ip(self, number: int) -> str:
        """Return the address of a replica."""
        return f"{self._prefix}.{number + 201}"

    def _start(self, name: str, role: str, ip: str, bootstrap: bool = False) -> Machine:
        machine = Machine(name, role, ip, self._folder / name, self)
        self._tasks.append(asyncio.create_task(machine.run(bootstrap)))
        return machine

    async def put_config(self, config: dict[str, Any], cores: list[Machine], within_s: float) -> bool:
        """Send a configuration to core machines in turn until one acknowledges it."""
        body = json.dumps(config).encode()
        end_s = self.record.now_s + within_s
        pause_s = 0.05
        while self.record.now_s < end_s:
            for machine in cores:
                answer = await call(
                    machine.control,
                    "POST",
                    "/baobabstream/config/put",
                    {"Content-Type": "application/json"},
                    body,
                )
                status = answer.status if answer is not None else 0
                self.record.write("put", version=config["version"], to=machine.name, status=status)
                if status == 200:
                    return True
                if 400 <= status < 500 and status not in (408, 429):
                    return False
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 2)
        return False

    async def get_config(self, machine: Machine) -> tuple[int, int | None]:
        """Read the configuration; return the status, and the version after a 200."""
        answer: Answer | None = await call(machine.control, "GET", "/baobabstream/config/get")
        if answer is None:
            return 0, None
        return answer.status, json.loads(answer.body)["version"] if answer.status == 200 else None

    async def wait_until(self, condition: Callable[[], bool], within_s: float) -> bool:
        """Wait until a condition holds."""
        end_s = self.record.now_s + within_s
        while not condition() and self.record.now_s < end_s:
            await asyncio.sleep(0.02)
        return condition()

    async def close(self) -> None:
        """End all processes."""
        for machine in (*self.cores, *self.edges):
            machine.remove(signal.SIGCONT)
            machine.send_signal(signal.SIGKILL)
        for _ in range(100):
            if not any(machine.is_running for machine in (*self.cores, *self.edges)):
                break
            await asyncio.sleep(0.05)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _free_prefix() -> str:
    """Return the first three bytes of loopback addresses that nobody listens at."""
    while True:
        prefix = f"127.{random.randrange(60, 250)}.{random.randrange(1, 250)}"
        try:
            for last, port in ((1, CONTROL_PORT), (101, FRONT_PORT), (1, INNER_PORTS[0])):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.{last}", port))
            return prefix
        except OSError:
            continue
