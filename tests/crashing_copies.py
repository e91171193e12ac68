"""Plays copies of one request that crashes every backend server which runs it, and counts arrivals.

The copies have the same path, caller and body. What may vary stands in `CopiesScenario`.
"""

import asyncio
import json
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, field
from itertools import chain, count
from pathlib import Path
from random import Random

from aiohttp import ClientError

from caller_traffic import CallerTraffic
from fake_backend_server import FakeBackendServer
from platform_stand_in import PlatformHarness
from server_links import CutKind
from waiting import until

__all__ = ["CopiesReport", "CopiesScenario", "play_copies", "random_scenario"]

# Time from the third crash within which all gateways must keep the request away.
CONTACT_S = 3.0
# Number of copies that may reach servers after that time.
MAX_LATE_ARRIVALS = 3
# Number of crashes from which on that time counts.
COUNTED_CRASHES = 3
CRASH_BODY = b"copy"
ENGINES, PLAIN_SERVERS = 6, 3
# Parts of the sound requests between the first and the last.
SOUND_PARTS = ["a1", "a2", "a3", "a4"]
# Longest time in seconds to wait for the third crash.
MAX_CRASH_WAIT_S = 25.0
# Time in seconds at the end of a run in which sound requests must be served.
WATCHED_SOUND_S = 3.0
# Seconds between two restarts in a series.
RESTART_GAP_S = 0.7


@dataclass(frozen=True)
class CopiesScenario:
    """What varies between runs; times are in seconds.

    Parameters
    ----------
    path
        Path of the copies: ``/chat/1`` is a stream, ``/look/1`` a request that may be repeated, and
        ``/sign/1`` one that may not.
    copies, gateways
        Number of copies that come at one moment, and of gateways that they come at.
    pause_s, spread_s
        Time between two such moments, and time over which the copies of one are spread.
    begin_s, delay_s, begins_answer
        How long a server runs a copy before the answer begins, and from there to the crash; and
        whether it sends the beginning of the answer.
    runs_on
        Whether a server runs a copy on after its connection has ended.
    caller_repeats
        How often a caller repeats a copy that failed, at another gateway.
    caller_patience_s
        Time after which callers of copies leave.
    restart_delay_s
        Time from a crash until the server is back.
    sound_interval_s
        Time between two sound requests, which share the account and parts of the prompt.
    cut
        How the links of the first gateway to all servers are cut, or empty.
    limit_per_s
        Limit that the engines name, or None.
    restarts
        Which hosts restart one after another meanwhile: ``gateways``, ``coordinators``, both
        separated by a space, or empty.
    duration_s
        Time that is watched after the time of contact, and after the last restart.
    """

    path: str = "/chat/1"
    copies: int = 1
    gateways: int = 3
    pause_s: float = 0.4
    spread_s: float = 0.0
    begin_s: float = 0.0
    delay_s: float = 0.05
    begins_answer: bool = False
    runs_on: bool = False
    caller_repeats: int = 1
    caller_patience_s: float = 4.0
    restart_delay_s: float = 3.0
    sound_interval_s: float = 0.05
    cut: str = ""
    limit_per_s: float | None = None
    restarts: str = ""
    duration_s: float = 6.0

    def __str__(self) -> str:
        """Return the fields that differ from the defaults."""
        defaults = asdict(CopiesScenario())
        return json.dumps({k: v for k, v in asdict(self).items() if v != defaults[k]})


@dataclass(frozen=True)
class CopiesReport:
    """What the servers saw, and whether sound requests were served.

    Attributes
    ----------
    crashes
        Number of crashes by the copies.
    late_arrivals
        Number of copies that reached servers later than ``CONTACT_S`` after the third crash.
    served_fraction
        Fraction of the sound requests that were served in the last seconds of the run.
    """

    crashes: int
    late_arrivals: int
    served_fraction: float

    @property
    def is_broken(self) -> bool:
        """Whether more copies reached servers than are allowed."""
        return self.late_arrivals > MAX_LATE_ARRIVALS


def random_scenario(seed: int) -> CopiesScenario:
    """Return the scenario of a seed, in which each field varies by itself."""
    random = Random(seed)
    # Drawn first, so that each seed keeps its scenario.
    begin_s = random.choice([0.0, 0.0, 0.3, 1.2, 2.5])
    return CopiesScenario(
        path=random.choice(["/chat/1", "/chat/1", "/look/1", "/sign/1"]),
        copies=random.choice([1, 2, 4, 8, 16]),
        gateways=random.choice([1, 3, 5]),
        pause_s=random.choice([0.2, 0.5, 1.5, 4.0]),
        spread_s=random.choice([0.0, 0.0, 0.05, 0.3]),
        begin_s=begin_s,
        delay_s=random.choice([0.0, 0.05, 0.3, 0.8, 1.5]),
        begins_answer=random.random() < 0.5,
        runs_on=random.random() < 0.3,
        caller_repeats=random.choice([0, 1, 2]),
        caller_patience_s=random.choice([4.0, 4.0, 1.0]),
        restart_delay_s=random.choice([1.0, 3.0, 5.0]),
        sound_interval_s=random.choice([0.02, 0.05, 0.2]),
        cut=random.choice(["", "", *CutKind]),
        limit_per_s=random.choice([None, None, None, 4.0]),
        restarts=random.choice(["", "", "gateways", "coordinators", "gateways coordinators"]),
    )


async def play_copies(
    scenario: CopiesScenario, folder: Path, network: int | None = None
) -> CopiesReport:
    """Play a scenario.

    Parameters
    ----------
    scenario
        What varies.
    folder
        Folder for the durable state of the coordination hosts.
    network
        Number of the loopback network of the hosts, by default an unused one.
    """
    loop = asyncio.get_running_loop()
    restarts = _Restarts()
    gateways = max(scenario.gateways, 3)
    async with PlatformHarness(folder, gateways=gateways, network=network) as platform:
        engines = [_server(f"i-{n}", "engine", scenario) for n in range(ENGINES)]
        plain_servers = [_server(f"i-app-{n}", "app", scenario) for n in range(PLAIN_SERVERS)]
        servers = [*engines, *plain_servers]
        await platform.start_with_backends(*servers)
        sound = CallerTraffic(
            platform, scenario.sound_interval_s, lambda number: ["c0", SOUND_PARTS[number % 4]]
        )
        async with _in_background(sound.run):
            await until(lambda: len(sound.outcomes) > 10)
            if scenario.cut:
                platform.links.cut(platform.gateway_ips[0], CutKind(scenario.cut))
            for server in engines:
                server.limit_per_s = scenario.limit_per_s
            async with _in_background(lambda: _send_waves(platform, scenario)):
                third_crash_s = await _wait_for_crashes(servers)
                await _restart_hosts(platform, scenario, restarts)
                if third_crash_s < float("inf"):
                    await asyncio.sleep(max(0.0, third_crash_s + CONTACT_S - loop.time()))
                await asyncio.sleep(scenario.duration_s)
        end_s = loop.time()
    arrivals = chain.from_iterable(server.crash_body_arrivals for server in servers)
    return CopiesReport(
        sum(len(server.crash_body_crashes_s) for server in servers),
        sum(
            arrived_s > third_crash_s + CONTACT_S and not restarts.excuse(request_id, arrived_s)
            for arrived_s, request_id in arrivals
        ),
        sound.served_fraction_since(end_s - WATCHED_SOUND_S),
    )


@dataclass(frozen=True)
class _Restarts:
    """Times in seconds at which hosts were ready again: by gateway number, and of the others.

    For a while after them the copies that a host sends are not counted.
    """

    of_gateways_s: dict[int, float] = field(default_factory=dict)
    of_coordinators_s: list[float] = field(default_factory=list)

    def excuse(self, copy_id: str, arrived_s: float) -> bool:
        """Return whether a copy that arrived at a server came from a host out of contact."""
        gateway_index = int(copy_id.rpartition("-")[2])
        restarts_s = [
            *self.of_coordinators_s,
            self.of_gateways_s.get(gateway_index, float("-inf")),
        ]
        return any(restarted_s + CONTACT_S >= arrived_s for restarted_s in restarts_s)


@asynccontextmanager
async def _in_background(run: Callable) -> AsyncIterator[None]:
    """Run a coroutine function beside the enclosed block, and cancel it at its end."""
    task = asyncio.create_task(run())
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


def _server(server_id: str, service: str, scenario: CopiesScenario) -> FakeBackendServer:
    """Return a server that a copy crashes as the scenario says."""
    return FakeBackendServer(
        server_id,
        service,
        events=3,
        event_gap_s=0.01,
        crash_body=CRASH_BODY,
        crash_begin_s=scenario.begin_s,
        crash_delay_s=scenario.delay_s,
        begins_answer_before_crash=scenario.begins_answer,
        runs_on_when_closed=scenario.runs_on,
        restart_delay_s=scenario.restart_delay_s,
    )


async def _wait_for_crashes(servers: list[FakeBackendServer]) -> float:
    """Wait for the third crash by a copy, and return its time in seconds.

    It is infinite if there is none after ``MAX_CRASH_WAIT_S``.
    """
    loop = asyncio.get_running_loop()

    def crashes_s() -> list[float]:
        """Return the times of all crashes by copies, in order."""
        return sorted(chain.from_iterable(server.crash_body_crashes_s for server in servers))

    limit_s = loop.time() + MAX_CRASH_WAIT_S
    await until(
        lambda: len(crashes_s()) >= COUNTED_CRASHES or loop.time() > limit_s, MAX_CRASH_WAIT_S + 5
    )
    return crashes_s()[COUNTED_CRASHES - 1] if loop.time() <= limit_s else float("inf")


async def _send_waves(platform: PlatformHarness, scenario: CopiesScenario) -> None:
    """Send copies until cancelled."""
    async with asyncio.TaskGroup() as tasks:
        for wave in count():
            for number in range(scenario.copies):
                delay_s = scenario.spread_s * number / scenario.copies
                tasks.create_task(_send_copy(platform, scenario, wave, number, delay_s))
            await asyncio.sleep(scenario.pause_s)


async def _send_copy(
    platform: PlatformHarness, scenario: CopiesScenario, wave: int, number: int, delay_s: float
) -> None:
    """Send one copy after ``delay_s`` seconds, and repeat it after a failure as callers do."""
    await asyncio.sleep(delay_s)
    for attempt in range(1 + scenario.caller_repeats):
        gateway_index = (wave + number + attempt) % scenario.gateways
        try:
            async with asyncio.timeout(scenario.caller_patience_s):
                status, _, _ = await platform.send_request(
                    scenario.path,
                    f"copy-{wave}-{number}-{attempt}-{gateway_index}",
                    gateway_index=gateway_index,
                    body=CRASH_BODY,
                    **{"X-Prompt-Prefix": f"c0:20,{SOUND_PARTS[0]}:20,last:20"},
                )
        except (OSError, ClientError):
            status = 0
        may_repeat = status in (429, 503) or not scenario.path.startswith("/sign")
        if status == 200 or not may_repeat:
            return


async def _restart_hosts(
    platform: PlatformHarness, scenario: CopiesScenario, restarts: "_Restarts"
) -> None:
    """Restart hosts one after another, the leading coordination host first."""
    loop = asyncio.get_running_loop()
    if "gateways" in scenario.restarts:
        for index, ip in enumerate(platform.gateway_ips):
            await platform.kill_gateway(ip)
            await platform.start_gateway(ip)
            await platform.wait_until_ready(ip)
            restarts.of_gateways_s[index] = loop.time()
            await asyncio.sleep(RESTART_GAP_S)
    if "coordinators" in scenario.restarts:
        leaders_first = sorted(
            platform.coordinators,
            key=lambda ip: not platform.coordinators[ip].log.holds_leader_lease(),
        )
        for ip in leaders_first:
            await platform.kill_coordinator(ip)
            await platform.start_coordinator(ip)
            restarts.of_coordinators_s.append(loop.time())
            await asyncio.sleep(RESTART_GAP_S)
