"""Measures control traffic, processor time and the time until a change is applied.

Run ``python scripts/measure_control.py``. One control daemon, the announcing backend servers and
all entries but one run in processes of their own; sockets are real, on the loopback address.
"""

import argparse
import asyncio
import json
import os
import secrets
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random

import psutil
import uvloop
from aiohttp import ClientError, ClientSession

from baobabstream.control.daemon import ControlDaemon
from baobabstream.membership.control_session import ControlSession
from baobabstream.policy.view import ClusterView
from baobabstream.settings.models import ControlPeer, ControlSettings
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.threads import limit_nng_threads

VERSIONS = 30
SUBSCRIBERS_PER_PROCESS = 50
READY_TIMEOUT_S = 30.0
CHANGES = 300
# Entries whose views the measuring process watches; more would measure that process.
WATCHED_ENTRIES = 8
SETTLE_S = 4.0
RESTART_SECONDS = 20.0
SAMPLE_S = 0.01
RESTART_SIZES = ((8, 1000), (100, 1000), (200, 1000), (300, 1000))
TRAFFIC_SIZES = ((8, 6), (8, 100), (8, 1000), (50, 100), (300, 100), (300, 1000))


class CountingCodec(WireCodec):
    """Counts frames and their bytes by kind in both directions."""

    def __init__(self, cluster: str, host: str, secret: str) -> None:
        super().__init__(cluster, host, secret)
        self.frames: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()

    def encode(self, message):
        """Return the frame of a message."""
        frame = super().encode(message)
        self._count(message, frame)
        return frame

    def decode(self, frame):
        """Return sender and message of a frame."""
        decoded = super().decode(frame)
        self._count(decoded[1], frame)
        return decoded

    def _count(self, message, frame: bytes) -> None:
        kind = type(message).__name__
        self.frames[kind] += 1
        self.bytes[kind] += len(frame)


class Subscriber:
    """One entry's session."""

    def __init__(self, settings: dict, name: str) -> None:
        peer = ControlPeer(**settings["control"][0])
        self.codec = CountingCodec(settings["cluster"], name, settings["peer_secret"])
        self.view = ClusterView()
        self.changed = asyncio.Event()
        self.session = ControlSession(
            name, "zone-1", [peer], self.codec, self.view, self._view_changed
        )
        self._task = asyncio.create_task(self.session.run())

    def _view_changed(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait(self, condition: Callable[[ClusterView], bool]) -> None:
        """Wait until the view meets a condition."""
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not condition(self.view):
                await self.changed.wait()

    async def close(self) -> None:
        """End the session."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.session.close()


def write_settings(folder: Path) -> dict:
    """Write the settings of one control host on free ports and return them."""
    with socket.socket() as first, socket.socket() as second:
        first.bind(("127.0.0.1", 0))
        second.bind(("127.0.0.1", 0))
        ports = first.getsockname()[1], second.getsockname()[1]
    settings = {
        "cluster": "measure",
        "host": "control-1",
        "availability_zone": "zone-1",
        "peer_secret": secrets.token_hex(16),
        "backend_key": secrets.token_hex(16),
        "operator_keys": {"op": secrets.token_hex(16)},
        "data_folder": str(folder / "data"),
        "control": [
            {
                "host": "control-1",
                "availability_zone": "zone-1",
                "port": ports[0],
                "http_port": ports[1],
            }
        ],
    }
    (folder / "settings.json").write_text(json.dumps(settings))
    return settings


async def run_control(settings: dict) -> None:
    """Run the control daemon until the process is ended."""
    daemon = ControlDaemon(ControlSettings(**settings))
    await daemon.start()
    await asyncio.Event().wait()


async def run_subscribers(settings: dict, start: int, count: int, evidence: int = 0) -> None:
    """Run entries until the process is ended, with evidence on all versions if wanted."""
    subscribers = [Subscriber(settings, f"entry-{start + n}") for n in range(count)]
    if evidence:
        await asyncio.gather(*(record_results(subscriber) for subscriber in subscribers))
    await asyncio.Event().wait()


async def run_backends(settings: dict, count: int) -> None:
    """Announce backend servers with random load, each once a second."""
    random = Random(count)
    headers = {"Authorization": f"Bearer {settings['backend_key']}"}
    async with ClientSession(headers=headers) as session:
        await asyncio.gather(
            *(announce(session, settings, f"engine-{n:04d}", random) for n in range(count))
        )


async def announce(session: ClientSession, settings: dict, name: str, random: Random) -> None:
    """Announce one backend server until cancelled."""
    url = f"{admin_url(settings, '').removesuffix('/admin/v1')}/backend/v1/announce"
    loaded = [{"model": "model", "version": str(random.randrange(VERSIONS))}]
    while True:
        body = {
            "identity": name,
            "incarnation": 1,
            "kind": "engine",
            "url": "http://127.0.0.1:1",
            "availability_zone": "zone-1",
            "loaded": loaded,
            "in_flight": random.randrange(64),
            "queued_tokens": random.randrange(8000),
        }
        try:
            async with session.post(url, json=body) as answer:
                await answer.read()
        except ClientError:
            pass
        await asyncio.sleep(random.uniform(0.9, 1.1))


def admin_url(settings: dict, path: str) -> str:
    """Return the address of an admin call."""
    return f"http://127.0.0.1:{settings['control'][0]['http_port']}/admin/v1{path}"


def percentile(values: list[float], share: float) -> float:
    """Return a percentile."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


class Processes:
    """Processes of one measurement."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._started: list[subprocess.Popen] = []

    def start(self, role: str, *numbers: int) -> psutil.Process:
        """Start this script in another role."""
        arguments = [sys.executable, __file__, "--role", role, "--folder", str(self._folder)]
        arguments += [str(number) for number in numbers]
        process = subprocess.Popen(arguments)
        self._started.append(process)
        return psutil.Process(process.pid)

    def stop(self) -> None:
        """End the processes started here."""
        for process in self._started:
            process.terminate()
        for process in self._started:
            process.wait()


async def wait_for_control(client: ClientSession, settings: dict) -> None:
    """Wait until the control daemon answers."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            try:
                async with client.get(admin_url(settings, "/status")):
                    return
            except ClientError:
                await asyncio.sleep(0.1)


async def wait_in_force(client: ClientSession, settings: dict) -> None:
    """Wait until the first leader may report in force: one lease after its election."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            async with client.get(admin_url(settings, "/in-force?wait_s=10")) as answer:
                if answer.status == 200 and (await answer.json())["in_force"]:
                    return
            await asyncio.sleep(0.1)


async def measure_traffic(
    subscribers: int, backends: int, seconds: float, evidence: bool = False
) -> str:
    """Return a table row with the cost of one entry and of the leader."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        settings = write_settings(folder)
        processes = Processes(folder)
        try:
            leader = processes.start("control")
            headers = {"Authorization": f"Bearer {settings['operator_keys']['op']}"}
            async with ClientSession(headers=headers) as client:
                await wait_for_control(client, settings)
            processes.start("backends", backends)
            for start in range(1, subscribers, SUBSCRIBERS_PER_PROCESS):
                count = min(SUBSCRIBERS_PER_PROCESS, subscribers - start)
                processes.start("subscribers", start, count, int(evidence))
            entry = Subscriber(settings, "entry-0")
            await entry.wait(lambda view: len(view.backends) >= backends)
            await asyncio.sleep(SETTLE_S)
            working = asyncio.create_task(record_results(entry))
            leader_s, own_s = cpu_s(leader), time.process_time()
            frames, sizes = entry.codec.frames.copy(), entry.codec.bytes.copy()
            await asyncio.sleep(seconds)
            own = (time.process_time() - own_s) / seconds
            lead = (cpu_s(leader) - leader_s) / seconds
            kinds = ", ".join(
                f"{kind} {(entry.codec.frames[kind] - frames[kind]) / seconds:.1f}/s "
                f"{(entry.codec.bytes[kind] - sizes[kind]) / seconds / 1000:.2f} KB/s"
                for kind in sorted(entry.codec.frames)
            )
            rate = (entry.codec.bytes.total() - sizes.total()) / seconds
            memory = leader.memory_info().rss / 1e6
            working.cancel()
            await entry.close()
        finally:
            processes.stop()
    cells = (
        str(subscribers),
        str(backends),
        f"{rate / 1000:.2f}",
        f"{own:.2%}",
        f"{lead:.1%}",
        f"{memory:.0f}",
        kinds,
    )
    return f"| {' | '.join(cells)} |"


async def measure_new_leader(subscribers: int, backends: int) -> str:
    """Return what a leader with an empty registry costs itself and one entry.

    The only control host is killed and started again, so the time includes its start.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        settings = write_settings(folder)
        processes = Processes(folder)
        try:
            leader = processes.start("control")
            headers = {"Authorization": f"Bearer {settings['operator_keys']['op']}"}
            async with ClientSession(headers=headers) as client:
                await wait_for_control(client, settings)
            processes.start("backends", backends)
            for start in range(1, subscribers, SUBSCRIBERS_PER_PROCESS):
                count = min(SUBSCRIBERS_PER_PROCESS, subscribers - start)
                processes.start("subscribers", start, count)
            entry = Subscriber(settings, "entry-0")
            await entry.wait(lambda view: len(view.backends) >= backends)
            await asyncio.sleep(SETTLE_S)
            size = entry.codec.bytes.total()
            leader.kill()
            leader.wait()
            leader = processes.start("control")
            started_s, missing_s, answered_s = time.perf_counter(), 0.0, 0.0
            replies = entry.codec.frames["PollReply"]
            while time.perf_counter() < started_s + RESTART_SECONDS:
                await asyncio.sleep(SAMPLE_S)
                if not answered_s and entry.codec.frames["PollReply"] > replies:
                    answered_s = time.perf_counter() - started_s
                if not entry.session.lease.is_valid(asyncio.get_running_loop().time()):
                    missing_s += SAMPLE_S
            used_s = cpu_s(leader)
            size = entry.codec.bytes.total() - size
            replies = entry.codec.frames["PollReply"] - replies
            await entry.close()
        finally:
            processes.stop()
    return (
        f"{subscribers} entries, {backends} backend servers, leader started anew: "
        f"{used_s:.2f} s of its processor time and {size / 1000:.0f} KB of one entry in the first "
        f"{RESTART_SECONDS:.0f} s, first reply after {answered_s:.2f} s, {replies} replies, "
        f"entry without lease for {missing_s:.2f} s"
    )


async def record_results(entry: Subscriber) -> None:
    """Record evidence on all versions, as an entry with 30 versions in use does."""
    while True:
        for version in range(VERSIONS):
            entry.session.evidence.record_success("model", str(version))
        await asyncio.sleep(0.1)


def cpu_s(process: psutil.Process) -> float:
    """Return the processor time of a process in seconds."""
    times = process.cpu_times()
    return times.user + times.system


async def measure_delay(entries: int, changes: int) -> str:
    """Return how long changes take until entries have applied them and they are in force.

    The first entries run here and are watched; "in force" covers all of them.
    """
    applied_ms: list[float] = []
    in_force_ms: list[float] = []
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        settings = write_settings(folder)
        processes = Processes(folder)
        try:
            leader = processes.start("control")
            headers = {"Authorization": f"Bearer {settings['operator_keys']['op']}"}
            async with ClientSession(headers=headers) as client:
                await wait_for_control(client, settings)
                watched = range(min(entries, WATCHED_ENTRIES))
                subscribers = [Subscriber(settings, f"entry-{n}") for n in watched]
                for start in range(WATCHED_ENTRIES, entries, SUBSCRIBERS_PER_PROCESS):
                    count = min(SUBSCRIBERS_PER_PROCESS, entries - start)
                    processes.start("subscribers", start, count)
                await asyncio.sleep(SETTLE_S)
                await wait_in_force(client, settings)
                started_s, leader_s = time.perf_counter(), cpu_s(leader)
                for number in range(changes):
                    times = await one_change(client, settings, subscribers, number)
                    applied_ms.append(times[0])
                    in_force_ms.append(times[1])
                    await asyncio.sleep(0.01)
                used_s = cpu_s(leader) - leader_s
                elapsed_s = time.perf_counter() - started_s
                for subscriber in subscribers:
                    await subscriber.close()
        finally:
            processes.stop()
    parts = []
    for label, values in (("applied on all", applied_ms), ("reported in force", in_force_ms)):
        p50, p99 = percentile(values, 0.5), percentile(values, 0.99)
        parts.append(f"{label}: p50 {p50:.1f} ms, p99 {p99:.1f} ms, max {max(values):.1f} ms")
    parts.append(f"leader's processor time {used_s:.2f} s in {elapsed_s:.2f} s")
    return f"{entries} entries, {changes} changes, from sending the change: {'; '.join(parts)}"


async def one_change(
    client: ClientSession, settings: dict, subscribers: list[Subscriber], number: int
) -> tuple[float, float]:
    """Send one change and return the times until it is applied and reported in force, in ms."""
    async with client.get(admin_url(settings, "/config")) as answer:
        base = (await answer.json())["operator_revision"]
    row = {"type": "class", "name": "c", "quality": 0.9, "first_token_ms": 1.0}
    change = {
        "change_id": f"change-{number}",
        "base_revision": base,
        "put": [row | {"total_ms": 10.0 + number}],
    }
    started_s = time.perf_counter()
    applied = [
        asyncio.create_task(subscriber.wait(lambda view: view.revision > base))
        for subscriber in subscribers
    ]
    async with client.post(admin_url(settings, "/changes"), json=change) as answer:
        revision = (await answer.json())["revision"]
    await asyncio.gather(*applied)
    applied_s = time.perf_counter()
    url = admin_url(settings, f"/in-force?revision={revision}&wait_s=5")
    async with client.get(url) as answer:
        assert (await answer.json())["in_force"]
    return (applied_s - started_s) * 1000, (time.perf_counter() - started_s) * 1000


async def measure_restarts() -> None:
    """Print the figures of a leader that starts."""
    for subscribers, backends in RESTART_SIZES:
        print(await measure_new_leader(subscribers, backends), flush=True)


async def measure_evidence(seconds: float) -> None:
    """Print the figures with evidence of every entry in every poll."""
    for subscribers in (8, 50, 300):
        print(await measure_traffic(subscribers, 1000, seconds, evidence=True), flush=True)


async def measure(seconds: float) -> None:
    """Print the figures of a leader that runs."""
    for entries, changes in ((8, CHANGES), (50, CHANGES), (300, CHANGES // 3)):
        print(await measure_delay(entries, changes), flush=True)
    print("| entries | backend servers | KB/s of one entry | its processor time |", end="")
    print(" leader's processor time | leader's memory, MB | frames of one entry |")
    print("|---|---|---|---|---|---|---|")
    for subscribers, backends in TRAFFIC_SIZES:
        print(await measure_traffic(subscribers, backends, seconds), flush=True)


def main() -> None:
    """Run the measurement or one of its processes."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--restarts", action="store_true")
    parser.add_argument("--evidence", action="store_true")
    parser.add_argument("--role", default="")
    parser.add_argument("--folder", type=Path)
    parser.add_argument("numbers", type=int, nargs="*")
    options = parser.parse_args()
    limit_nng_threads()
    if not options.role:
        if options.restarts:
            uvloop.run(measure_restarts())
        elif options.evidence:
            uvloop.run(measure_evidence(options.seconds))
        else:
            uvloop.run(measure(options.seconds))
        return
    settings = json.loads((options.folder / "settings.json").read_text())
    roles = {"control": run_control, "subscribers": run_subscribers, "backends": run_backends}
    uvloop.run(roles[options.role](settings, *options.numbers))


if __name__ == "__main__":
    os.environ.setdefault("PYTHONPATH", str(Path(__file__).resolve().parent.parent / "src"))
    main()
