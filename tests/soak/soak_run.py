"""One soak run: real processes, callers, operators and a random series of overlapping faults."""

import asyncio
import json
import signal
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random

from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout

from platform_stand_in import FRONT_PORT, HEARTBEAT_S, KEY, Backend, config
from soak.processes import GRACE_S, ProcessPlatform, Program
from soak.promises import CallerRecord, Excuses, violations_of
from soak.proxy import Disturbance, FaultyProxy
from waiting import until

__all__ = ["SoakReport", "run_soak"]

COORDINATORS, GATEWAYS = 3, 3
CALLERS = 6
# Each seed has its own loopback network, apart from those that the other tests begin with.
NETWORKS = 62_000
EVENTS = 8
EVENT_GAP_S = 0.04
# Longest time until all hosts serve again once the last fault has ended.
RECOVERY_S = 12.0
# A disturbance may still show in this time after its end.
AFTERMATH_S = 3.0
LONGEST_PAUSE_S = 3.0
# Longest time until a new process runs its first line, on a busy machine.
INTERPRETER_START_S = 0.5
KINDS = ("sign", "look", "chat")


@dataclass
class SoakReport:
    """What a run has found."""

    seed: int
    violations: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    outcomes: Counter[str] = field(default_factory=Counter)


class _Proxied(Backend):
    """A backend server that is reached through a proxy."""

    async def start(self) -> None:
        await super().start()
        self.proxy = FaultyProxy(self.address)
        self.address = await self.proxy.start()

    def close(self) -> None:
        self.proxy.close()
        super().close()


class _Soak:
    def __init__(self, seed: int, duration_s: float, folder: Path) -> None:
        self._random = Random(seed)
        self._duration_s = duration_s
        self._platform = ProcessPlatform(folder, COORDINATORS, GATEWAYS, NETWORKS - seed)
        self._loop = asyncio.get_running_loop()
        self._records: list[CallerRecord] = []
        self._excuses = Excuses()
        self._version = count(2)
        self._acknowledged = 1
        self._calling = True
        self._backends: list[_Proxied] = []
        self.report = SoakReport(seed)

    async def run(self) -> SoakReport:
        platform = self._platform
        async with platform:
            await platform.put(config(1))
            for service, number in (("engine", 1), ("engine", 2), ("app", 1), ("app", 2)):
                backend = _Proxied(
                    f"{service}-{number}", service, events=EVENTS, event_gap_s=EVENT_GAP_S
                )
                self._backends.append(backend)
                await platform.add_backend(backend)
            for ip in platform.gateway_ips:
                await platform.ready(ip)
            callers = [asyncio.create_task(self._call(number)) for number in range(CALLERS)]
            async with asyncio.TaskGroup() as group:
                for _ in range(3):
                    group.create_task(self._disturb())
                group.create_task(self._operate())
            await self._check_recovery()
            self._calling = False
            await asyncio.gather(*callers)
            await self._check_configuration()
            self._check_exits()
            runs = sum((item.runs for item in self._backends), Counter())
        found = violations_of(self._records, runs, EVENTS, self._excuses)
        self.report.violations.extend(found)
        self.report.outcomes.update(f"{item.kind} {item.status}" for item in self._records)
        return self.report

    # Callers

    async def _call(self, number: int) -> None:
        """Send requests one after another on connections that stay open."""
        random = Random(f"{self.report.seed}/{number}")
        async with ClientSession(timeout=ClientTimeout(total=15)) as http:
            for turn in count():
                if not self._calling:
                    return
                gateway = random.choice(self._platform.gateway_ips)
                record = CallerRecord(
                    f"c{number}-{turn}", random.choice(KINDS), gateway, self._loop.time()
                )
                await self._ask(http, record)
                record.ended_s = self._loop.time()
                self._records.append(record)
                await asyncio.sleep(random.random() * 0.1)

    async def _ask(self, http: ClientSession, record: CallerRecord) -> None:
        headers = {
            "Host": "desk.example",
            "X-Request-Id": record.request_id,
            "X-Deadline-Ms": "4000",
            "X-Api-Key": KEY,
            "X-Model": "*",
        }
        url = f"http://{record.gateway}:{FRONT_PORT}/{record.kind}/x"
        try:
            async with http.post(url, headers=headers, data=b"prompt") as reply:
                record.connected = True
                record.status = reply.status
                record.signature = reply.headers.get("X-Replica-Stamp", "")
                record.body = await reply.read()
                record.whole = True
        except ClientConnectorError:
            return
        except (ClientError, TimeoutError):
            record.connected = True

    # Operators

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
                if await self._platform.put(config(version), ip) == 200:
                    self._acknowledged = max(self._acknowledged, version)
        except (TimeoutError, ClientError):
            # No clear answer: the change may or may not be in force.
            return

    # Faults

    async def _disturb(self) -> None:
        """Cause one fault after another; several of these run at once."""
        end_s = self._loop.time() + self._duration_s
        faults = (
            self._kill,
            self._terminate,
            self._pause,
            self._reload,
            self._kill_control,
            self._wipe_control,
            self._kill_everything,
            self._disturb_servers,
            self._break_streams,
            self._lose_answers,
        )
        while self._loop.time() < end_s:
            await asyncio.sleep(self._random.uniform(0.1, 1.5))
            fault = self._random.choice(faults)
            began_s = self._loop.time()
            what = await fault()
            self.report.faults.append(f"{began_s:.2f} {fault.__name__[1:]} {what}")

    def _gateway(self) -> Program:
        return self._platform.programs[self._random.choice(self._platform.gateway_ips)]

    def _coordinator(self) -> Program:
        return self._platform.programs[self._random.choice(self._platform.coordinator_ips)]

    def _excuse(self, host: str, begin_s: float) -> None:
        self._excuses.spans.append((host, begin_s, self._loop.time() + AFTERMATH_S))

    async def _kill(self) -> str:
        program, began_s = self._gateway(), self._loop.time()
        program.send(signal.SIGKILL)
        self._excuse(program.ip, began_s)
        return program.ip

    async def _terminate(self) -> str:
        program = self._gateway()
        before = program.down_count
        if not program.send(signal.SIGTERM):
            return "none"
        try:
            await until(lambda: program.down_count > before, GRACE_S + LONGEST_PAUSE_S)
        except TimeoutError:
            self.report.violations.append(f"{program.ip} did not stop in its grace time")
        # A request that crosses the end of an idle connection was not read.
        self._excuse(program.ip, self._loop.time() - 0.2)
        return program.ip

    async def _pause(self) -> str:
        program = self._random.choice((self._gateway(), self._coordinator()))
        began_s, pause_s = self._loop.time(), self._random.uniform(0.2, LONGEST_PAUSE_S)
        program.send(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        program.send(signal.SIGCONT)
        self._excuse(program.ip, began_s)
        return f"{program.ip} {pause_s:.1f} s"

    async def _reload(self) -> str:
        program = self._random.choice((self._gateway(), self._coordinator()))
        # Until the interpreter runs, no program can keep the signal from ending its process.
        if self._loop.time() < program.started_s + INTERPRETER_START_S:
            return "none"
        program.send(signal.SIGHUP)
        return program.ip

    async def _kill_control(self) -> str:
        for ip in self._platform.coordinator_ips:
            self._platform.programs[ip].send(signal.SIGKILL)
        return "all"

    async def _wipe_control(self) -> str:
        # Only one host may lose its disk at once, so the others get time to catch up.
        if any(program._wipe for program in self._platform.programs.values()):
            return "none"
        if self._loop.time() < getattr(self, "_wiped_s", 0.0) + RECOVERY_S:
            return "none"
        self._wiped_s = self._loop.time()
        program = self._coordinator()
        program.send(signal.SIGKILL, wipe=True)
        return program.ip

    async def _kill_everything(self) -> str:
        began_s = self._loop.time()
        for program in self._platform.programs.values():
            program.send(signal.SIGKILL)
        for ip in self._platform.gateway_ips:
            self._excuse(ip, began_s)
        return "all"

    async def _disturb_servers(self) -> str:
        backend = self._random.choice(self._backends)
        disturbance = self._random.choice(list(Disturbance)[1:])
        began_s = self._loop.time()
        backend.proxy.disturb(disturbance)
        await asyncio.sleep(self._random.uniform(0.3, 2.0))
        backend.proxy.disturb(Disturbance.NONE)
        self._excuse("servers", began_s)
        return f"{backend.server_id} {disturbance}"

    async def _break_streams(self) -> str:
        backend = self._random.choice(self._backends)
        backend.break_after, backend.breaks = self._random.randrange(EVENTS), 3
        self._excuse("servers", self._loop.time())
        return backend.server_id

    async def _lose_answers(self) -> str:
        backend = self._random.choice(self._backends)
        backend.lose_answers = self._random.randint(1, 4)
        self._excuse("servers", self._loop.time())
        return backend.server_id

    # Checks after the last fault

    async def _check_recovery(self) -> None:
        """Wait until each gateway serves each kind of request."""
        for program in self._platform.programs.values():
            program.send(signal.SIGCONT)
        for backend in self._backends:
            backend.break_after, backend.lose_answers = None, 0
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
            await self._ask(http, record)
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
                status, body = await self._platform.control(ip, "GET", "/baobabstream/config/get")
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
