"""One soak run: real daemons under load, configuration changes and overlapping random faults.

The run ends with checks that all gateways serve again, that no acknowledged configuration change is
lost, and that no promise to a caller was broken (see ``soak.promises``).
"""

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
from soak.callers import ROUTES, Callers, send_request
from soak.faults import FaultInjector, ProxiedBackend
from soak.processes import ProcessPlatform
from soak.promises import CallerRecord, find_violations

__all__ = ["SoakReport", "run_soak"]

COORDINATOR_COUNT, GATEWAY_COUNT = 3, 3
# Each seed has a loopback network of its own, counted down from here. The other tests start at
# random numbers below 60,000 and count up.
HIGHEST_NETWORK = 62_000
EVENTS_PER_STREAM = 8
EVENT_GAP_S = 0.04
# Number of faults that overlap.
FAULT_SERIES_COUNT = 3
# Longest time until all hosts serve again after the last fault has ended.
MAX_RECOVERY_S = 12.0
# Service and number of each backend server.
BACKEND_SERVERS = (("engine", 1), ("engine", 2), ("app", 1), ("app", 2))


@dataclass
class SoakReport:
    """Result of one soak run.

    Attributes
    ----------
    seed
        Seed of the run.
    violations
        A sentence for each check that failed.
    faults
        A line for each injected fault.
    outcomes
        Number of requests by route and HTTP status, such as "sign 200".
    """

    seed: int
    violations: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)


class _SoakRun:
    """State of one soak run."""

    def __init__(self, seed: int, duration_s: float, folder: Path) -> None:
        self._random = Random(seed)
        self._duration_s = duration_s
        self._platform = ProcessPlatform(
            folder, COORDINATOR_COUNT, GATEWAY_COUNT, HIGHEST_NETWORK - seed
        )
        self._loop = asyncio.get_running_loop()
        self._next_versions = count(2)
        self._acknowledged_version = 1
        self._backends = [
            ProxiedBackend(
                f"{service}-{number}", service, events=EVENTS_PER_STREAM, event_gap_s=EVENT_GAP_S
            )
            for service, number in BACKEND_SERVERS
        ]
        self.report = SoakReport(seed)

    async def run(self) -> SoakReport:
        """Run daemons, callers, operators and faults, and return the results of all checks."""
        platform, report = self._platform, self.report
        fault_injector = FaultInjector(self._random, platform, self._backends)
        callers = Callers(report.seed, platform.gateway_ips)
        async with platform:
            await platform.put_config(make_config(1))
            for backend in self._backends:
                await platform.add_backend(backend)
            for ip in platform.gateway_ips:
                await platform.wait_until_ready(ip)
            callers.start()
            async with asyncio.TaskGroup() as group:
                for _ in range(FAULT_SERIES_COUNT):
                    group.create_task(fault_injector.run(self._duration_s))
                group.create_task(
                    fault_injector.cut_links_repeatedly(
                        self._duration_s, Random(f"links {report.seed}")
                    )
                )
                group.create_task(self._change_configuration_repeatedly())
            fault_injector.end_lasting_faults()
            await self._check_recovery()
            await callers.stop()
            await self._check_configuration()
            self._check_exits()
            run_counts = sum((backend.run_counts for backend in self._backends), Counter())
        report.faults = fault_injector.injected
        report.violations += fault_injector.violations
        report.violations += find_violations(
            callers.records, run_counts, EVENTS_PER_STREAM, fault_injector.disturbed_periods
        )
        report.outcomes.update(f"{record.route} {record.status}" for record in callers.records)
        return report

    async def _change_configuration_repeatedly(self) -> None:
        """Change the configuration at random intervals, sometimes by two concurrent changes."""
        end_s = self._loop.time() + self._duration_s
        while self._loop.time() < end_s:
            await asyncio.sleep(self._random.uniform(0.3, 2.0))
            changes = [self._put_next_version() for _ in range(self._random.choice((1, 1, 2)))]
            await asyncio.gather(*changes)

    async def _put_next_version(self) -> None:
        """Send the next configuration version to a random coordination host."""
        version = next(self._next_versions)
        ip = self._random.choice(self._platform.coordinator_ips)
        try:
            async with asyncio.timeout(2):
                if await self._platform.put_config(make_config(version), ip) == 200:
                    self._acknowledged_version = max(self._acknowledged_version, version)
        except (TimeoutError, ClientError):
            # Without an answer it is unknown whether the change is in force.
            return

    async def _check_recovery(self) -> None:
        """Check that each gateway serves each route again within the recovery time."""
        async with ClientSession(timeout=ClientTimeout(total=5)) as http_session:
            try:
                async with asyncio.timeout(MAX_RECOVERY_S):
                    for ip in self._platform.gateway_ips:
                        for route in ROUTES:
                            await self._wait_until_served(http_session, ip, route)
            except TimeoutError:
                self.report.violations.append(f"not every gateway serves after {MAX_RECOVERY_S} s")

    async def _wait_until_served(self, http_session: ClientSession, ip: str, route: str) -> None:
        """Send requests of one route to one gateway until a response is complete."""
        for attempt_number in count():
            record = CallerRecord(f"r{ip}-{route}-{attempt_number}", route, ip, self._loop.time())
            await send_request(http_session, record)
            if record.status == 200 and record.is_complete:
                return
            await asyncio.sleep(HEARTBEAT_S)

    async def _check_configuration(self) -> None:
        """Check that each coordination host has the last acknowledged version or a later one."""
        for ip in self._platform.coordinator_ips:
            try:
                version = await self._read_version(ip)
            except TimeoutError:
                self.report.violations.append(f"configuration can not be read at {ip}")
                continue
            if version < self._acknowledged_version:
                self.report.violations.append(
                    f"version {version} is reported by {ip}, "
                    f"but {self._acknowledged_version} was acknowledged"
                )

    async def _read_version(self, ip: str) -> int:
        """Return the configuration version at a host; raise ``TimeoutError`` after a time limit."""
        async with asyncio.timeout(MAX_RECOVERY_S):
            while True:
                status, body = await self._platform.call_control_api(
                    ip, "GET", "/baobabstream/config/get"
                )
                if status == 200:
                    return json.loads(body)["version"]
                await asyncio.sleep(HEARTBEAT_S)

    def _check_exits(self) -> None:
        """Check that no daemon process ended with an unexpected exit code."""
        # SIGTERM ends a process that still loads; it has no open requests to finish.
        expected_codes = {0, -signal.SIGKILL, -signal.SIGTERM}
        for daemon in self._platform.daemons.values():
            unexpected_codes = [code for code in daemon.exit_codes if code not in expected_codes]
            if unexpected_codes:
                self.report.violations.append(
                    f"{daemon.role} {daemon.ip} ended with exit codes {unexpected_codes}"
                )


async def run_soak(seed: int, duration_s: float, folder: Path) -> SoakReport:
    """Run the soak with one seed and return its report.

    Parameters
    ----------
    seed
        Seed of the faults, their order and the callers' requests. Runs of one seed still differ in
        how the processes interleave.
    duration_s
        Time in seconds during which faults are injected.
    folder
        Folder for the settings, state and logs of the processes.
    """
    return await _SoakRun(seed, duration_s, folder).run()
