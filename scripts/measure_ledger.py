"""Measures what bills cost three control hosts and the entries that send them.

Run ``python scripts/measure_ledger.py``. Three control daemons run in processes of their own; this
process stands for the entries, each with its own sender, connections and rate of bills.
"""

import asyncio
import os
import sys
import tempfile
import time
from pathlib import Path
from statistics import quantiles

import psutil
from measure_consensus import HOSTS, Group
from measure_control import CountingCodec

from baobabstream.billing.bill_sender import BillSender
from baobabstream.billing.ledger import Ledger
from baobabstream.settings.load import load_settings
from baobabstream.settings.models import ControlSettings
from baobabstream.wire.messages import Bill
from baobabstream.wire.rpc import RpcClient
from baobabstream.wire.threads import limit_nng_threads

# Bills per second of one entry at the two-year size: 11,000 over 330.
ENTRY_RATE = 33.3
ENTRIES = (4, 8, 16, 32)
SECONDS = 8.0
SETTLE_S = 3.0
STORE_TIMEOUT_S = 30.0
BURSTS = (2000, 6000, 18000)
STORED = (20_000, 60_000, 180_000)
PUT_BILLS = 1000


class Entry:
    """One entry's connections to the control hosts."""

    def __init__(self, folder: Path, number: int) -> None:
        settings = load_settings(folder / "control-1.toml", ControlSettings)
        self.name = f"entry-{number}"
        secret = settings.peer_secret.get_secret_value()
        self.codec = CountingCodec(settings.cluster, self.name, secret)
        self._clients = {
            peer.host: RpcClient(f"tcp://{peer.ip}:{peer.port}", self.codec)
            for peer in settings.control
        }
        zones = {peer.host: peer.availability_zone for peer in settings.control}
        self.sender = BillSender(self, zones)
        self._bills = 0

    async def call_host(self, host: str, message, timeout_s: float):
        """Call one control host."""
        return await self._clients[host].call(message, timeout_s)

    async def store(self) -> float:
        """Store a bill and return the time it took in ms."""
        self._bills += 1
        request = f"{self.name}-{time.time_ns():024x}{self._bills:06d}"
        bill = Bill("account-1", request, "class-1", "model-1", "1", 100, 282, 0.04, self.name, 1)
        started_s = time.perf_counter()
        assert await self.sender.store(bill, STORE_TIMEOUT_S)
        return (time.perf_counter() - started_s) * 1000

    def close(self) -> None:
        """Close the connections."""
        for client in self._clients.values():
            client.close()


def memory_mb(group: Group) -> dict[str, float]:
    """Return the resident memory of each control daemon."""
    return {h: psutil.Process(p.pid).memory_info().rss / 1e6 for h, p in group.processes.items()}


async def offer(entry: Entry, seconds: float) -> list[float]:
    """Store bills at the rate of one entry and return the times in ms."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    tasks = []
    for number in range(int(seconds * ENTRY_RATE)):
        await asyncio.sleep(max(0.0, start_s + number / ENTRY_RATE - loop.time()))
        tasks.append(asyncio.create_task(entry.store()))
    return list(await asyncio.gather(*tasks))


async def measure_rate(group: Group, folder: Path, count: int) -> None:
    """Print the cost of the bills of a number of entries."""
    entries = [Entry(folder, number) for number in range(count)]
    await asyncio.gather(*(entry.store() for entry in entries))
    await asyncio.sleep(SETTLE_S)
    before, own_s, started_s = group.processor_s(), time.process_time(), time.perf_counter()
    sizes = [entry.codec.bytes.total() for entry in entries]
    frames = [entry.codec.frames.total() for entry in entries]
    times = await asyncio.gather(*(offer(entry, SECONDS) for entry in entries))
    own = time.process_time() - own_s
    await asyncio.sleep(1.0)
    elapsed_s = time.perf_counter() - started_s
    used = {h: (s - before[h]) / elapsed_s for h, s in group.processor_s().items()}
    sent = sum(entry.codec.bytes.total() for entry in entries) - sum(sizes)
    sent_frames = sum(entry.codec.frames.total() for entry in entries) - sum(frames)
    latencies_ms = [value for part in times for value in part]
    cuts = quantiles(latencies_ms, n=100)
    bills = len(latencies_ms)
    print(
        f"{count} entries: {bills / SECONDS:.0f} bills/s, p50 {cuts[49]:.2f} ms, "
        f"p99 {cuts[98]:.2f} ms, entries together per bill {own / bills * 1e6:.0f} us, "
        f"{sent / bills:.0f} bytes, {sent_frames / bills:.2f} frames; control hosts, % of a core: "
        + ", ".join(f"{h} {v:.1%}" for h, v in used.items()),
        flush=True,
    )
    for entry in entries:
        entry.close()


async def measure_burst(group: Group, folder: Path, bills: int) -> None:
    """Print the full rate, and memory and file of the hosts before and after."""
    entries = [Entry(folder, 1000 + number) for number in range(8)]
    memory, before, started_s = memory_mb(group), group.processor_s(), time.perf_counter()
    size = os.path.getsize(folder / "data-1" / "ledger.log")

    async def worker(entry: Entry) -> None:
        for _ in range(bills // 256):
            await entry.store()

    await asyncio.gather(*(worker(entry) for entry in entries for _ in range(32)))
    elapsed_s = time.perf_counter() - started_s
    await asyncio.sleep(SETTLE_S)
    done = bills // 256 * 256
    used = {h: (s - before[h]) / done * 1e6 for h, s in group.processor_s().items()}
    grown = {h: m - memory[h] for h, m in memory_mb(group).items()}
    file_bytes = os.path.getsize(folder / "data-1" / "ledger.log") - size
    print(
        f"burst of {done} bills, 256 at once: {done / elapsed_s:.0f}/s; "
        f"{file_bytes / done:.0f} bytes of file per bill; per bill with exchange: "
        + ", ".join(f"{h} {used[h]:.0f} us, {grown[h]:+.1f} MB" for h in HOSTS),
        flush=True,
    )
    for entry in entries:
        entry.close()


async def measure_load(path: Path, count: int) -> None:
    """Print how long one ledger takes to store bills in one process and to load them."""
    ledger = Ledger(path)
    started_s = time.perf_counter()
    for start in range(0, count, PUT_BILLS):
        await ledger.put(
            tuple(
                Bill("account-1", f"{n:032x}", "class-1", "model-1", "1", 100, 282, 0.04, "e", 1)
                for n in range(start, start + PUT_BILLS)
            )
        )
    put_s = time.perf_counter() - started_s
    await ledger.close()
    started_s = time.perf_counter()
    ledger = Ledger(path)
    load_s = time.perf_counter() - started_s
    print(
        f"{count} bills: put in {put_s:.2f} s, {count / put_s:.0f}/s; loaded in {load_s:.2f} s, "
        f"{load_s / count * 1e6:.1f} us each; index {ledger.index_bytes / count:.1f} bytes each",
        flush=True,
    )
    await ledger.close()


async def main() -> None:
    """Run all measurements, or those of one ledger alone."""
    if "--load" in sys.argv:
        with tempfile.TemporaryDirectory() as name:
            for count in STORED:
                await measure_load(Path(name) / f"ledger-{count}.log", count)
        return
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        group = Group(folder)
        try:
            await group.leader()
            await asyncio.sleep(SETTLE_S)
            before, started_s = group.processor_s(), time.perf_counter()
            await asyncio.sleep(SECONDS)
            idle_s = time.perf_counter() - started_s
            idle = {h: (s - before[h]) / idle_s for h, s in group.processor_s().items()}
            print("idle, % of a core: " + ", ".join(f"{h} {v:.1%}" for h, v in idle.items()))
            for count in ENTRIES:
                await measure_rate(group, folder, count)
            for bills in BURSTS:
                await measure_burst(group, folder, bills)
        finally:
            group.stop()


if __name__ == "__main__":
    limit_nng_threads()
    asyncio.run(main())
