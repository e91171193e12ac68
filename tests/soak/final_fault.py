"""Ends daemon processes right after an acknowledgement, and measures when service is back.

All hosts may be ended at once, or some coordination hosts lose their disks, while the others go on
or are ended too. A host that is away answers nothing, like one without power: its process is
stopped, so its connections hang, and it is killed when the host returns.
"""

import asyncio
import json
import signal
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout

from fake_backend_server import FakeBackendServer
from platform_stand_in import make_config
from soak.callers import ROUTES, send_request
from soak.processes import ProcessPlatform, SupervisedDaemon
from soak.promises import CallerRecord

__all__ = ["FinalFault", "RecoveryReport", "play_final_fault"]

# Time after the return of the last host from which on requests must be served.
RECOVERY_S = 12.0
# Least fraction of the requests sent after that time that must be served.
MIN_SERVED_FRACTION = 0.25
# Time for which requests are sent after that time, in seconds.
WATCHED_S = 4.0
COORDINATORS, TOLERATED_LOSSES = 5, 2
ENGINES, PLAIN_SERVERS = 6, 3
# Seconds between two requests.
REQUEST_INTERVAL_S = 0.05
# Time limit of one request, and of a read of the configuration, in seconds.
REQUEST_TIMEOUT_S = 5.0
# Number of networks below that of the soak's seeds.
HIGHEST_NETWORK = 61_000


@dataclass(frozen=True)
class FinalFault:
    """What happens at the end; times are in seconds.

    Parameters
    ----------
    wiped_count
        Number of coordination hosts that lose their disks.
    ends_others
        Whether all other hosts are ended too, and keep their disks.
    away_s
        Time for which the hosts are away.
    return_spread_s
        Time over which they return.
    gateways
        Number of gateways.
    """

    wiped_count: int = 0
    ends_others: bool = True
    away_s: float = 0.0
    return_spread_s: float = 0.3
    gateways: int = 7

    @classmethod
    def of_seed(cls, seed: int) -> "FinalFault":
        """Return the fault of a seed."""
        random = Random(seed)
        wiped_count = random.choice([0, 1, 2, 2])
        return cls(
            wiped_count,
            ends_others=wiped_count == 0 or random.random() < 0.5,
            away_s=random.choice([0.0, 1.0, 4.0, 10.0, 20.0]),
            return_spread_s=random.choice([0.0, 0.3, 3.0]),
            gateways=random.choice([7, 8]),
        )


@dataclass(frozen=True)
class RecoveryReport:
    """What callers and the operator saw after the return of the last host.

    Attributes
    ----------
    first_served_s, all_served_s
        Time until any gateway, and until each of them, had served a request; infinite if never.
    served_fraction
        Fraction of the requests sent later than ``RECOVERY_S`` that were served.
    keeps_configuration
        Whether the configuration that was acknowledged last is read back.
    """

    first_served_s: float
    all_served_s: float
    served_fraction: float
    keeps_configuration: bool

    @property
    def is_broken(self) -> bool:
        """Whether service was not back in time, or the configuration was lost."""
        return self.served_fraction < MIN_SERVED_FRACTION or not self.keeps_configuration


async def play_final_fault(seed: int, fault: FinalFault, folder: Path) -> RecoveryReport:
    """Play a fault with real processes; ``folder`` takes their state and logs."""
    random, loop = Random(f"fault {seed}"), asyncio.get_running_loop()
    platform = ProcessPlatform(
        folder, COORDINATORS, fault.gateways, HIGHEST_NETWORK - seed, TOLERATED_LOSSES
    )
    async with platform:
        await platform.put_config(make_config(1))
        for number in range(ENGINES):
            await platform.add_backend(FakeBackendServer(f"i-{number}", "engine"))
        for number in range(PLAIN_SERVERS):
            await platform.add_backend(FakeBackendServer(f"i-app-{number}", "app"))
        for ip in platform.gateway_ips:
            await platform.wait_until_ready(ip)
        async with ClientSession(timeout=ClientTimeout(total=REQUEST_TIMEOUT_S)) as http:
            records: list[CallerRecord] = []
            traffic = asyncio.create_task(_send_requests(platform, http, records, random))
            await asyncio.sleep(2.0)
            await platform.put_config(make_config(2))
            returned_s = await _end_hosts(platform, fault, random)
            await asyncio.sleep(RECOVERY_S + WATCHED_S)
            keeps_configuration = await _reads_version(platform, 2)
            await asyncio.sleep(REQUEST_TIMEOUT_S)
            traffic.cancel()
            with suppress(asyncio.CancelledError):
                await traffic
    return _evaluate(records, platform.gateway_ips, returned_s, loop.time(), keeps_configuration)


async def _end_hosts(platform: ProcessPlatform, fault: FinalFault, random: Random) -> float:
    """End the hosts of a fault and let them return; return the time of the last return."""
    coordinators = [platform.daemons[ip] for ip in platform.coordinator_ips]
    wiped = random.sample(coordinators, fault.wiped_count)
    ended = list(platform.daemons.values()) if fault.ends_others else wiped
    if fault.away_s:
        for daemon in ended:
            daemon.send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.away_s)
    random.shuffle(ended)

    async def end(daemon: SupervisedDaemon, delay_s: float) -> None:
        """Kill a process after a delay; it is started again by its supervisor."""
        await asyncio.sleep(delay_s)
        daemon.send_signal(signal.SIGKILL, wipe_data=daemon in wiped)

    await asyncio.gather(
        *(end(daemon, random.random() * fault.return_spread_s) for daemon in ended)
    )
    return asyncio.get_running_loop().time()


async def _send_requests(
    platform: ProcessPlatform, http: ClientSession, records: list[CallerRecord], random: Random
) -> None:
    """Send requests to the gateways at a steady rate until cancelled."""
    loop = asyncio.get_running_loop()
    async with asyncio.TaskGroup() as tasks:
        while True:
            gateway, route = random.choice(platform.gateway_ips), random.choice(ROUTES)
            record = CallerRecord(f"c-{len(records)}", route, gateway, loop.time())
            records.append(record)
            tasks.create_task(send_request(http, record))
            await asyncio.sleep(REQUEST_INTERVAL_S)


async def _reads_version(platform: ProcessPlatform, version: int) -> bool:
    """Return whether some coordination host names at least a version of the configuration."""
    for ip in platform.coordinator_ips:
        with suppress(TimeoutError, ClientError):
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                status, body = await platform.call_control_api(
                    ip, "GET", "/baobabstream/config/get"
                )
            if status == 200:
                return json.loads(body)["version"] >= version
    return False


def _evaluate(
    records: list[CallerRecord],
    gateway_ips: list[str],
    returned_s: float,
    ended_s: float,
    keeps_configuration: bool,
) -> RecoveryReport:
    """Return the report of a run.

    Parameters
    ----------
    records
        All requests; those that were sent just before the end of the run are left out.
    gateway_ips
        IP addresses of the gateways.
    returned_s, ended_s
        Time at which the last host returned, and at which the run ended, in seconds.
    keeps_configuration
        Whether the configuration was read back.
    """
    served = [record for record in records if record.status == 200 and record.is_complete]
    first_served_s = {
        ip: min(
            (r.sent_s - returned_s for r in served if r.gateway == ip and r.sent_s > returned_s),
            default=float("inf"),
        )
        for ip in gateway_ips
    }
    late = [
        record
        for record in records
        if returned_s + RECOVERY_S < record.sent_s < ended_s - REQUEST_TIMEOUT_S
    ]
    late_served = [record for record in late if record in served]
    return RecoveryReport(
        min(first_served_s.values()),
        max(first_served_s.values()),
        len(late_served) / max(1, len(late)),
        keeps_configuration,
    )
