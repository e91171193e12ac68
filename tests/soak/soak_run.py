"""One soak run: real processes, callers, operators and a random series of overlapping faults."""

import asyncio
import json
import signal
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout

from platform_stand_in import HEARTBEAT_S, make_config
from soak.callers import KINDS, Callers, ask
from soak.faults import Faults, ProxiedBackend
from soak.processes import ProcessPlatform
from soak.promises import CallerRecord, violations_of

__all__ = ["SoakReport", "run_soak"]

COORDINATORS, GATEWAYS = 3, 3
# Each seed has its own loopback network, apart from those that the other tests begin with.
NETWORKS = 62_000
EVENTS = 8
EVENT_GAP_S = 0.04
# Faults that go on at once.
SERIES = 3
# Longest time until all hosts serve again once the last fault has ended.
RECOVERY_S = 12.0
SERVERS = (("engine", 1), ("engine", 2), ("app", 1), ("app", 2))


@dataclass
class SoakReport:
    """What a run has found."""

    seed: int
    violations: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)


class _Soak:
    def __init__(self, seed: int, duration_s: float, folder: Path) -> None:
        self._random = Random(seed)
        self._duration_s = duration_s
        self._platform = ProcessPlatform(folder, COORDINATORS, GATEWAYS, NETWORKS - seed)
        self._loop = asyncio.get_running_loop()
        self._version = count(2)
        self._acknowledged = 1
        self._backends = [
            ProxiedBackend(f"{service}-{number}", service, events=EVENTS, event_gap_s=EVENT_GAP_S)
            for service, number in SERVERS
        ]
        self.report = SoakReport(seed)

    async def run(self) -> SoakReport:
        platform, report = self._platform, self.report
        faults = Faults(self._random, platform, self._backends)
        callers = Callers(report.seed, platform.gateway_ips)
        async with platform:
            await platform.put_config(make_config(1))
            for backend in self._backends:
                await platform.add_backend(backend)
            for ip in platform.gateway_ips:
                await platform.wait_until_ready(ip)
            callers.start()
            async with asyncio.TaskGroup() as group:
                for _ in range(SERIES):
                    group.create_task(faults.run(self._duration_s))
                group.create_task(self._operate())
            faults.end()
            await self._check_recovery()
            await callers.stop()
            await self._check_configuration()
            self._check_exits()
            run_counts = sum((item.run_counts for item in self._backends), Counter())
        report.faults = faults.caused
        report.violations += faults.violations
        report.violations += violations_of(callers.records, run_counts, EVENTS, faults.excuses)
        report.outcomes.update(f"{item.kind} {item.status}" for item in callers.records)
        return report

    async def _operate(self) -> None:
        """Change the configuration now and then, at times twice at once."""
        end_s = self._loop.time() + self._duration_s
        while self._loop.time() < end_s:
            await asyncio.sleep(self._random.uniform(0.3, 2.0))
            changes = [self._change() for _ in range(self._random.choice((1, 1, 2)))]
            await asyncio.gather(*changes)

    async def _change(self) -> None:
        version = next(self._version)
        ip = self._random.choice(self._platform.coordinator_ips)
        try:
            async with asyncio.timeout(2):
                if await self._platform.put_config(make_config(version), ip) == 200:
                    self._acknowledged = max(self._acknowledged, version)
        except (TimeoutError, ClientError):
            # No clear answer: the change may or may not be in force.
            return

    async def _check_recovery(self) -> None:
        """Wait until each gateway serves each kind of request."""
        async with ClientSession(timeout=ClientTimeout(total=5)) as http:
            try:
                async with asyncio.timeout(RECOVERY_S):
                    for ip in self._platform.gateway_ips:
                        for kind in KINDS:
                            await self._until_served(http, ip, kind)
            except TimeoutError:
                self.report.violations.append(f"not every gateway serves after {RECOVERY_S} s")

    async def _until_served(self, http: ClientSession, ip: str, kind: str) -> None:
        for turn in count():
            record = CallerRecord(f"r{ip}-{kind}-{turn}", kind, ip, self._loop.time())
            await ask(http, record)
            if record.status == 200 and record.whole:
                return
            await asyncio.sleep(HEARTBEAT_S)

    async def _check_configuration(self) -> None:
        """Read the configuration at every coordination host."""
        for ip in self._platform.coordinator_ips:
            try:
                version = await self._read_version(ip)
            except TimeoutError:
                self.report.violations.append(f"no configuration is read at {ip}")
                continue
            if version < self._acknowledged:
                self.report.violations.append(
                    f"version {version} is read at {ip}, {self._acknowledged} was acknowledged"
                )

    async def _read_version(self, ip: str) -> int:
        async with asyncio.timeout(RECOVERY_S):
            while True:
                status, body = await self._platform.call_control_api(
                    ip, "GET", "/baobabstream/config/get"
                )
                if status == 200:
                    return json.loads(body)["version"]
                await asyncio.sleep(HEARTBEAT_S)

    def _check_exits(self) -> None:
        # A process that is told to stop while it still loads has nothing to finish.
        expected = {0, -signal.SIGKILL, -signal.SIGTERM}
        for program in self._platform.programs.values():
            odd = [code for code in program.exit_codes if code not in expected]
            if odd:
                self.report.violations.append(f"{program.role} {program.ip} ended with {odd}")


async def run_soak(seed: int, duration_s: float, folder: Path) -> SoakReport:
    """Run one seed.

    Parameters
    ----------
    seed
        Decides the faults, their order and the callers' requests; not how the processes interleave.
    duration_s
        Time in which faults begin.
    folder
        Settings, state and logs of the processes.
    """
    return await _Soak(seed, duration_s, folder).run()
