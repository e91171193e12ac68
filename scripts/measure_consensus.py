"""Measures commit rate, latency, failover, restart and processor time of the replicated log."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import quantiles

import demo_settings
import psutil

from baobabstream.consensus.file_storage import FileStorage
from baobabstream.control.state import ConfigState
from baobabstream.control.state_machine import ConfigStateMachine
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.settings.load import load_settings
from baobabstream.settings.models import ControlSettings
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.messages import ClaimAction, ClaimRequest
from baobabstream.wire.rpc import RpcClient

HOSTS = ("control-1", "control-2", "control-3")
CALL_TIMEOUT_S = 1.0


class Group:
    """Three control daemons in processes of their own."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        demo_settings.main(folder)
        settings = load_settings(folder / "control-1.toml", ControlSettings)
        codec = WireCodec(settings.cluster, "control-1", settings.peer_secret.get_secret_value())
        self.clients = {
            peer.host: RpcClient(f"tcp://{peer.ip}:{peer.port}", codec) for peer in settings.control
        }
        self.processes = {host: self.start(host) for host in HOSTS}
        self.number = 0

    def start(self, host: str) -> subprocess.Popen:
        """Start a control daemon."""
        command = [sys.executable, "-m", "baobabstream.cli.app", "control", "--settings"]
        with (self.folder / f"{host}.log").open("ab") as output:
            return subprocess.Popen(
                [*command, str(self.folder / f"{host}.toml")], stdout=output, stderr=output
            )

    async def claim(self, host: str) -> None:
        """Commit one claim."""
        self.number += 1
        request = ClaimRequest(
            ClaimAction.CLAIM, "desk", f"k{self.number}", "digest", f"r{self.number}", "entry-1"
        )
        await self.clients[host].call(request, CALL_TIMEOUT_S)

    async def leader(self) -> str:
        """Wait for a host that commits."""
        while sum(process.poll() is None for process in self.processes.values()) > 1:
            for host, process in self.processes.items():
                if process.poll() is None:
                    try:
                        await self.claim(host)
                        return host
                    except BaobabstreamError:
                        await asyncio.sleep(0.01)
        raise SystemExit("fewer than two control hosts run")

    def processor_s(self) -> dict[str, float]:
        """Return the processor time of each daemon."""
        times = {h: psutil.Process(p.pid).cpu_times() for h, p in self.processes.items()}
        return {host: item.user + item.system for host, item in times.items()}

    def stop(self) -> None:
        """Stop all daemons."""
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(10)
            except subprocess.TimeoutExpired:
                print("a daemon did not stop within 10 s")
                process.kill()


async def measure_load(group: Group, leader: str, callers: int, number: int) -> None:
    """Commit claims from concurrent callers and print rate, latency and processor time."""
    latencies_ms: list[float] = []

    async def caller() -> None:
        for _ in range(number // callers):
            started_s = time.perf_counter()
            await group.claim(leader)
            latencies_ms.append((time.perf_counter() - started_s) * 1000)

    before = group.processor_s()
    started_s = time.perf_counter()
    await asyncio.gather(*(caller() for _ in range(callers)))
    elapsed_s = time.perf_counter() - started_s
    used = {h: (s - before[h]) / number * 1e6 for h, s in group.processor_s().items()}
    cuts = quantiles(latencies_ms, n=100)
    followers = [value for host, value in used.items() if host != leader]
    print(
        f"{callers} callers, {number} claims: {number / elapsed_s:.0f}/s, "
        f"p50 {cuts[49]:.2f} ms, p99 {cuts[98]:.2f} ms, processor time per claim: leader "
        f"{used[leader]:.0f} us, followers {followers[0]:.0f} and {followers[1]:.0f} us"
    )


async def measure_failover(group: Group, leader: str) -> str:
    """Kill the leader and print the time to the first commit by another."""
    group.processes[leader].kill()
    started_s = time.perf_counter()
    group.processes[leader].wait()
    successor = await group.leader()
    print(f"kill -9 of the leader, first commit elsewhere: {time.perf_counter() - started_s:.2f} s")
    group.processes[leader] = group.start(leader)
    return successor


def measure_restart(folder: Path, number: int) -> None:
    """Print the time to read a member's files back."""
    started_s = time.perf_counter()
    storage = FileStorage(folder / "consensus", "demo", "control-1")
    state = storage.load()
    if state.snapshot.index:
        ConfigStateMachine(ConfigState()).restore(state.snapshot.data)
    elapsed_ms = (time.perf_counter() - started_s) * 1000
    storage.close()
    sizes = (len(state.snapshot.data), os.path.getsize(folder / "consensus" / "log"))
    print(
        f"after {number} changes: {elapsed_ms:.1f} ms to read the files; snapshot at "
        f"{state.snapshot.index} with {sizes[0]} bytes, log {sizes[1]} bytes"
    )


async def measure_group(folder: Path) -> None:
    """Measure load, idle cost and failover."""
    group = Group(folder)
    try:
        started_s = time.perf_counter()
        leader = await group.leader()
        print(
            f"start of three empty hosts to first commit: {time.perf_counter() - started_s:.2f} s"
        )
        await measure_load(group, leader, 1, 500)
        await measure_load(group, leader, 16, 4000)
        before, started_s = group.processor_s(), time.perf_counter()
        await asyncio.sleep(5.0)
        idle_s = time.perf_counter() - started_s
        idle = {h: (s - before[h]) / idle_s * 100 for h, s in group.processor_s().items()}
        print("idle, % of a core:", ", ".join(f"{h} {v:.2f}" for h, v in idle.items()), leader)
        for _ in range(3):
            leader = await measure_failover(group, leader)
            await asyncio.sleep(2.5)
    finally:
        group.stop()


async def measure_restarts(folder: Path, number: int) -> None:
    """Commit a number of claims, stop, and measure reading the files."""
    group = Group(folder)
    try:
        leader = await group.leader()
        for _ in range(number // 16 + 1):
            await asyncio.gather(*(group.claim(leader) for _ in range(16)))
    finally:
        group.stop()
    measure_restart(folder / "data-1", number)


async def main() -> None:
    """Run all measurements."""
    with tempfile.TemporaryDirectory() as folder:
        await measure_group(Path(folder))
    for number in (100, 1000, 5000):
        with tempfile.TemporaryDirectory() as folder:
            await measure_restarts(Path(folder), number)


if __name__ == "__main__":
    asyncio.run(main())
