"""Injects random faults into daemon processes and into the connections to backend servers."""

import asyncio
import signal
from random import Random

from fake_backend_server import FakeBackendServer
from server_links import CutKind
from soak.processes import SHUTDOWN_GRACE_S, ProcessPlatform, SupervisedDaemon
from soak.promises import DisturbedPeriods
from soak.proxy import Disturbance, FaultyProxy
from waiting import until

__all__ = ["FaultInjector", "ProxiedBackend"]

# Requests may still be affected for this long after a disturbance has ended.
DISTURBANCE_TAIL_S = 3.0
# Longest time for which a process is stopped by SIGSTOP.
MAX_PAUSE_S = 3.0
# Longest time that a new Python process needs to reach its first statement on a busy machine.
MAX_INTERPRETER_START_S = 0.5
# Time between two data losses, in which the first host catches up with its group again.
MIN_WIPE_INTERVAL_S = 12.0


class ProxiedBackend(FakeBackendServer):
    """A backend server that is reached through a ``FaultyProxy``, whose address it announces."""

    async def start(self) -> None:
        await super().start()
        self.proxy = FaultyProxy(self.address)
        self.address = await self.proxy.start()

    def close(self) -> None:
        self.proxy.close()
        super().close()


class FaultInjector:
    """Injects faults that a seeded random source chooses.

    Parameters
    ----------
    random
        Source of the choice of faults, times and targets.
    platform
        Daemon processes to disturb.
    backends
        Backend servers to disturb.

    Attributes
    ----------
    disturbed_periods
        Periods in which callers may get slow or broken responses.
    injected
        A line for each fault so far: time in seconds of the event loop's clock, fault and target.
    violations
        A sentence for each process that did not stop within its grace time after SIGTERM.
    """

    def __init__(
        self, random: Random, platform: ProcessPlatform, backends: list[ProxiedBackend]
    ) -> None:
        self.disturbed_periods = DisturbedPeriods()
        self.injected: list[str] = []
        self.violations: list[str] = []
        self._random = random
        self._platform = platform
        self._backends = backends
        self._loop = asyncio.get_running_loop()
        self._last_wipe_s = float("-inf")

    def end_lasting_faults(self) -> None:
        """End the faults that last until they are ended explicitly."""
        for daemon in self._platform.daemons.values():
            daemon.send_signal(signal.SIGCONT)
            daemon.cut_links(None)
        for backend in self._backends:
            backend.break_after_event, backend.lost_answers_left = None, 0

    async def run(self, duration_s: float) -> None:
        """Inject one fault after another for a time; several calls may run at once."""
        end_s = self._loop.time() + duration_s
        fault_functions = (
            self._kill_gateway,
            self._terminate_gateway,
            self._pause_daemon,
            self._reload_settings,
            self._kill_coordinators,
            self._wipe_coordinator,
            self._kill_all_daemons,
            self._disturb_servers,
            self._break_streams,
            self._lose_answers,
        )
        while self._loop.time() < end_s:
            await asyncio.sleep(self._random.uniform(0.1, 1.5))
            inject = self._random.choice(fault_functions)
            began_s = self._loop.time()
            target = await inject()
            self.injected.append(f"{began_s:.2f} {inject.__name__[1:]} {target}")

    async def cut_links_repeatedly(self, duration_s: float, random: Random) -> None:
        """Cut gateways from all backend servers for a while, again and again.

        Parameters
        ----------
        duration_s
            Time in seconds after which no further cut begins.
        random
            Source of the choices. It is not that of the other faults, whose order it would change.
        """
        ips = self._platform.gateway_ips
        end_s = self._loop.time() + duration_s
        while self._loop.time() < end_s:
            await asyncio.sleep(random.uniform(0.1, 1.5))
            cut_ips = random.sample(ips, random.randint(1, len(ips)))
            kind = random.choice(list(CutKind))
            began_s = self._loop.time()
            for ip in cut_ips:
                self._platform.daemons[ip].cut_links(kind)
            await asyncio.sleep(random.uniform(0.3, 3.0))
            for ip in cut_ips:
                self._platform.daemons[ip].cut_links(None)
                self._record_disturbance(ip, began_s)
            self.injected.append(f"{began_s:.2f} cut_links {kind} {' '.join(cut_ips)}")

    def _random_gateway(self) -> SupervisedDaemon:
        return self._platform.daemons[self._random.choice(self._platform.gateway_ips)]

    def _random_coordinator(self) -> SupervisedDaemon:
        return self._platform.daemons[self._random.choice(self._platform.coordinator_ips)]

    def _record_disturbance(self, host: str, begin_s: float) -> None:
        """Record that a host, or "servers", was disturbed from ``begin_s`` until now."""
        self.disturbed_periods.periods.append(
            (host, begin_s, self._loop.time() + DISTURBANCE_TAIL_S)
        )

    async def _kill_gateway(self) -> str:
        """Kill a random gateway; like every fault, return its target for the log."""
        daemon, began_s = self._random_gateway(), self._loop.time()
        daemon.send_signal(signal.SIGKILL)
        self._record_disturbance(daemon.ip, began_s)
        return daemon.ip

    async def _terminate_gateway(self) -> str:
        """Stop a random gateway gracefully and check that it ends in time."""
        daemon = self._random_gateway()
        exits_before = daemon.exit_count
        if not daemon.send_signal(signal.SIGTERM):
            return "none"
        try:
            await until(lambda: daemon.exit_count > exits_before, SHUTDOWN_GRACE_S + MAX_PAUSE_S)
        except TimeoutError:
            self.violations.append(f"{daemon.ip} did not stop within its grace time")
        # A request sent while the gateway closes an idle connection is never read.
        self._record_disturbance(daemon.ip, self._loop.time() - 0.2)
        return daemon.ip

    async def _pause_daemon(self) -> str:
        """Stop a random daemon by SIGSTOP for a while."""
        daemon = self._random.choice((self._random_gateway(), self._random_coordinator()))
        began_s, pause_s = self._loop.time(), self._random.uniform(0.2, MAX_PAUSE_S)
        daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        daemon.send_signal(signal.SIGCONT)
        self._record_disturbance(daemon.ip, began_s)
        return f"{daemon.ip} {pause_s:.1f} s"

    async def _reload_settings(self) -> str:
        """Make a random daemon reload its settings by SIGHUP."""
        daemon = self._random.choice((self._random_gateway(), self._random_coordinator()))
        # Before the daemon has installed its handler, SIGHUP ends the process.
        if self._loop.time() < daemon.started_s + MAX_INTERPRETER_START_S:
            return "none"
        daemon.send_signal(signal.SIGHUP)
        return daemon.ip

    async def _kill_coordinators(self) -> str:
        """Kill all coordination hosts."""
        for ip in self._platform.coordinator_ips:
            self._platform.daemons[ip].send_signal(signal.SIGKILL)
        return "all"

    async def _wipe_coordinator(self) -> str:
        """Kill a random coordination host and delete its data."""
        # Only one host may be without its data at a time, so each gets time to catch up.
        if self._loop.time() < self._last_wipe_s + MIN_WIPE_INTERVAL_S:
            return "none"
        self._last_wipe_s = self._loop.time()
        daemon = self._random_coordinator()
        daemon.send_signal(signal.SIGKILL, wipe_data=True)
        return daemon.ip

    async def _kill_all_daemons(self) -> str:
        """Kill all daemons."""
        began_s = self._loop.time()
        for daemon in self._platform.daemons.values():
            daemon.send_signal(signal.SIGKILL)
        for ip in self._platform.gateway_ips:
            self._record_disturbance(ip, began_s)
        return "all"

    async def _disturb_servers(self) -> str:
        """Disturb all connections to a random backend server for a while."""
        backend = self._random.choice(self._backends)
        disturbance = self._random.choice(list(Disturbance)[1:])
        began_s = self._loop.time()
        backend.proxy.set_disturbance(disturbance)
        await asyncio.sleep(self._random.uniform(0.3, 2.0))
        backend.proxy.set_disturbance(Disturbance.NONE)
        self._record_disturbance("servers", began_s)
        return f"{backend.server_id} {disturbance}"

    async def _break_streams(self) -> str:
        """Make a random backend server break off its next three streams."""
        backend = self._random.choice(self._backends)
        backend.break_after_event, backend.breaks_left = self._random.randrange(backend.events), 3
        self._record_disturbance("servers", self._loop.time())
        return backend.server_id

    async def _lose_answers(self) -> str:
        """Make a random backend server run some requests and close the connection unanswered."""
        backend = self._random.choice(self._backends)
        backend.lost_answers_left = self._random.randint(1, 4)
        self._record_disturbance("servers", self._loop.time())
        return backend.server_id
