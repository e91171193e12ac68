"""Random faults on processes and on the connections to servers."""

import asyncio
import signal
from random import Random

from platform_stand_in import FakeBackendServer
from soak.processes import GRACE_S, ProcessPlatform, Program
from soak.promises import Excuses
from soak.proxy import Disturbance, FaultyProxy
from waiting import until

__all__ = ["Faults", "ProxiedBackend"]

# A disturbance may still show in this time after its end.
AFTERMATH_S = 3.0
LONGEST_PAUSE_S = 3.0
# Longest time until a new process runs its first line, on a busy machine.
INTERPRETER_START_S = 0.5
# Time between two emptied disks, in which the first host takes part again.
CATCH_UP_S = 12.0


class ProxiedBackend(FakeBackendServer):
    """A backend server that is reached through a proxy."""

    async def start(self) -> None:
        await super().start()
        self.proxy = FaultyProxy(self.address)
        self.address = await self.proxy.start()

    def close(self) -> None:
        self.proxy.close()
        super().close()


class Faults:
    """A series of faults that a seed decides.

    Parameters
    ----------
    random
        Chooses faults, times and places.
    platform
        Processes.
    backends
        Backend servers.

    Attributes
    ----------
    excuses
        Times in which a caller may see what else would break a promise.
    caused, violations
        Faults so far, and hosts that did not bear theirs.
    """

    def __init__(
        self, random: Random, platform: ProcessPlatform, backends: list[ProxiedBackend]
    ) -> None:
        self.excuses = Excuses()
        self.caused: list[str] = []
        self.violations: list[str] = []
        self._random = random
        self._platform = platform
        self._backends = backends
        self._loop = asyncio.get_running_loop()
        self._wiped_s = float("-inf")

    def end(self) -> None:
        """End what goes on until it is told to stop."""
        for program in self._platform.programs.values():
            program.send(signal.SIGCONT)
        for backend in self._backends:
            backend.break_after_event, backend.lost_answers_left = None, 0

    async def run(self, duration_s: float) -> None:
        """Cause one fault after another; several of these run at once."""
        end_s = self._loop.time() + duration_s
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
            self.caused.append(f"{began_s:.2f} {fault.__name__[1:]} {what}")

    def _gateway(self) -> Program:
        return self._platform.programs[self._random.choice(self._platform.gateway_ips)]

    def _coordinator(self) -> Program:
        return self._platform.programs[self._random.choice(self._platform.coordinator_ips)]

    def _excuse(self, host: str, begin_s: float) -> None:
        self.excuses.spans.append((host, begin_s, self._loop.time() + AFTERMATH_S))

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
            self.violations.append(f"{program.ip} did not stop in its grace time")
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
        if self._loop.time() < self._wiped_s + CATCH_UP_S:
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
        backend.break_after_event, backend.breaks_left = self._random.randrange(backend.events), 3
        self._excuse("servers", self._loop.time())
        return backend.server_id

    async def _lose_answers(self) -> str:
        backend = self._random.choice(self._backends)
        backend.lost_answers_left = self._random.randint(1, 4)
        self._excuse("servers", self._loop.time())
        return backend.server_id
