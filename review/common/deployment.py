"""Runs a small deployment of the project's two programs as processes on loopback addresses.

The programs start with the lines ``run`` of ``deploy/system.toml``, after the build of the same
file. The stand-ins of the platform, of operators, callers and backend servers are in this folder
and use the standard library only.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

__all__ = [
    "CONTACT_S",
    "DRAIN_S",
    "HEARTBEAT_S",
    "HOST",
    "KEY",
    "CannotRun",
    "Deployment",
    "Machine",
    "Record",
    "is_trouble",
    "make_config",
    "run_case",
]

ROOT = Path(__file__).resolve().parents[2]

# Bounds of the two small deployments of the users' pages.
CONTACT_S, DRAIN_S, HEARTBEAT_S = 3.0, 2.0, 1.2
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"


def is_trouble() -> bool:
    """Return whether the run has its disruption; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """Raised when the case could not be set up, which says nothing about the rule."""


class Record:
    """Record of what was sent, answered and run, with seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        return time.monotonic() - self._began_s

    def write(self, text: str) -> None:
        self._file.write(f"{self.now_s():9.3f}  {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


class Machine:
    """One machine with one program: its settings, its disk and its process."""

    def __init__(self, deployment: "Deployment", role: str, name: str, ip: str) -> None:
        self.deployment, self.role, self.name, self.ip = deployment, role, name, ip
        self.folder = deployment.folder / name
        (self.folder / "data").mkdir(parents=True)
        self.process: subprocess.Popen | None = None
        self.started_s = 0.0

    def start(self, bootstrap: bool = False) -> None:
        """Start the program with the command of the deploy file."""
        self._write_settings(bootstrap)
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["BAOBABSTREAM_SETTINGS"] = str(self.folder / "local.toml")
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                self.deployment.commands[self.role].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.started_s = self.deployment.record.now_s()
        self.deployment.record.write(f"platform: {self.name} started, process {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self.deployment.record.write(f"platform: {number.name} to {self.name}")

    def kill(self) -> None:
        """End the process by SIGKILL; the disk stays."""
        self.signal(signal.SIGKILL)
        assert self.process is not None
        self.process.wait()

    @property
    def is_running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def resident_mb(self) -> float:
        """Return the resident memory of the process in MB, or 0 if it has ended."""
        assert self.process is not None
        try:
            pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0.0
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def _write_settings(self, bootstrap: bool) -> None:
        deployment = self.deployment
        is_core = self.role == "coordination"
        listen = (
            f'control_plane = "{self.ip}:{deployment.control_port}"'
            if is_core
            else f'frontend = "{self.ip}:{deployment.front_port}"\n'
            f'readiness = "{self.ip}:{deployment.ready_port}"'
        )
        seeds = ", ".join(f'"{m.ip}:{deployment.control_port}"' for m in deployment.cores[:3])
        (self.folder / "local.toml").write_text(f"""node_name = "{self.name}"
role = "{self.role}"
machine_class = "{'core' if is_core else 'edge'}"
serves = ["{'control' if is_core else 'edge'}"]
ip = "{self.ip}"
zone = "bergen-a"
region = "vestland"
internal_ports = [{deployment.inner_port}, {deployment.inner_port + 15}]
seeds = [{seeds}]
bootstrap = {str(bootstrap).lower()}
counts_as_loss = {str(is_core).lower()}
discovery = "registration"
entry = "vip"
heartbeat_ms = {int(HEARTBEAT_S * 1000)}
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","rollout"]
config_mode = "highest"
{f'data_dir = "{self.folder / "data"}"' if is_core else ''}
[zones]
bergen-a = "vestland"
[listen]
{listen}
[limits]
cpu_share = 0.537
cores = 2
memory_mb = {296 if is_core else 150}
max_fds = 4100
link_mbps = 1000.0
disk_mb = {128 if is_core else 0}
[fault_tolerance]
machines = {(len(deployment.cores) - 1) // 2}
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
stretch_ms = 5000
fail_closed = false
revoke_ms = 5000
retry_ratio = 0.9
budget_window_s = 10
retry_slack = 54
exposure_share = 0.15
exposure_slack = 30
rollback_ms = 5000
recover_s = 12
pass_ms = 120
reuse_window_s = 8.9
session_s = 5
""")


class Deployment:
    """Machines of a small deployment; use it as an asynchronous context manager."""

    def __init__(self, record: Record, core_count: int = 5, edge_count: int = 2) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self.commands = {name: role["run"] for name, role in roles.items()}
        if not (ROOT / "target" / "deps" / "baobabstream").is_dir():
            raise CannotRun("run the build of the deploy file first")
        self._network = f"127.{random.randint(2, 250)}.{random.randint(1, 250)}"
        first_port = _free_port_range(self._network)
        self.control_port, self.front_port, self.ready_port, self.inner_port = (
            first_port + offset for offset in range(4)
        )
        self.cores: list[Machine] = []
        for number in range(core_count):
            self.cores.append(
                Machine(self, "coordination", f"core-{number}", f"{self._network}.{number + 1}")
            )
        self.edges = [
            Machine(self, "gateway", f"edge-{number}", f"{self._network}.{number + 101}")
            for number in range(edge_count)
        ]

    def server_ip(self, number: int) -> str:
        """Return the loopback address of a backend server."""
        return f"{self._network}.{number + 201}"

    async def __aenter__(self) -> "Deployment":
        return self

    async def __aexit__(self, *_) -> None:
        for machine in (*self.cores, *self.edges):
            if machine.is_running:
                assert machine.process is not None
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def start_all(self) -> None:
        """Start all machines for the first time."""
        for machine in (*self.cores, *self.edges):
            machine.start(bootstrap=machine.role == "coordination")

    async def call_control(
        self, machine: Machine, method: str, path: str, body=None, timeout_s: float = 1.0
    ) -> tuple[int, bytes]:
        """Call the control interface of a machine; the status is 0 without an answer in time."""
        data = json.dumps(body).encode() if body is not None else b""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: control\r\nConnection: close\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        writer = None
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(machine.ip, self.control_port)
                writer.write(head.encode() + data)
                answer = await reader.read()
            status_line, _, rest = answer.partition(b"\r\n")
            return int(status_line.split()[1]), rest.partition(b"\r\n\r\n")[2]
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0, b""
        finally:
            if writer is not None:
                writer.close()

    async def put_config(self, config: dict, limit_s: float = 20.0) -> float | None:
        """Send a configuration to the cores in turn until one acknowledges it.

        Returns the time of the acknowledgement, or None if there was none in time.
        """
        end_s = self.record.now_s() + limit_s
        while self.record.now_s() < end_s:
            for machine in self.cores:
                path = "/baobabstream/config/put"
                status, _ = await self.call_control(machine, "POST", path, config)
                self.record.write(
                    f"operator: version {config['version']} to {machine.name}: {status}"
                )
                if status == 200:
                    return self.record.now_s()
                if 400 <= status < 500:
                    raise CannotRun(f"the configuration was refused with {status}")
            await asyncio.sleep(0.3)
        return None

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether an edge machine says that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(machine.ip, self.ready_port)
                writer.write(
                    b"GET /baobabstream/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
                )
                answer = await reader.read()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return answer.startswith(b"HTTP/1.1 200")

    async def wait_ready(self, limit_s: float = 30.0) -> None:
        """Wait until all edge machines are ready."""
        end_s = self.record.now_s() + limit_s
        for machine in self.edges:
            while not await self.is_ready(machine):
                if self.record.now_s() > end_s:
                    raise CannotRun(f"{machine.name} did not become ready")
                await asyncio.sleep(0.1)
            self.record.write(f"platform: {machine.name} is ready")


def make_config(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration in the format of the users' pages."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def _free_port_range(network: str) -> int:
    """Return the first of 20 successive ports that are free at the first address of a network."""
    for _ in range(50):
        first = random.randint(20000, 30000)
        sockets = []
        try:
            for port in range(first, first + 20):
                probe = socket.socket()
                sockets.append(probe)
                probe.bind((f"{network}.1", port))
            return first
        except OSError:
            continue
        finally:
            for probe in sockets:
                probe.close()
    raise CannotRun("no free ports")


def run_case(folder: Path, case) -> int:
    """Run a case and return the exit status of its script.

    ``case`` is a coroutine function that gets the record and returns whether the rule was broken.
    """

    async def limited(record: Record) -> bool:
        async with asyncio.timeout(115.0):
            return await case(record)

    record = Record(folder / "record.txt")
    record.write(f"run with the disruption: {is_trouble()}")
    try:
        is_broken = asyncio.run(limited(record))
    except Exception as error:
        # Whatever went wrong here, it says nothing about the rule.
        record.write(f"the case could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        return 2
    finally:
        record.close()
    print("rule broken" if is_broken else "rule held")
    return int(is_broken)
