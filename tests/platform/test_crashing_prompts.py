"""Tests that requests which crash backend servers through a part of their prompt are kept away."""

import asyncio

import pytest
from aiohttp import ClientError

from caller_traffic import CallerTraffic
from fake_backend_server import FakeBackendServer
from platform_stand_in import PlatformHarness
from waiting import until

# Time from the fifth crash within which all gateways must keep such requests away.
CONTACT_S = 3.0
# Number of such requests that may reach servers after that time.
MAX_LATE_ARRIVALS = 3
CRASH_PART = "bad0bad0"
# Parts of the sound requests between the first and the last.
SOUND_PARTS = ["a1", "a2", "a3", "a4"]


@pytest.fixture
async def platform(tmp_path):
    """Three coordination hosts and three gateways."""
    async with PlatformHarness(tmp_path, gateways=3) as platform:
        yield platform


@pytest.mark.parametrize(
    ("shared_parts", "completes_before_crash"),
    [
        pytest.param(lambda _: ["c0", CRASH_PART], False, id="after-a-common-part"),
        pytest.param(
            lambda number: ["c0", CRASH_PART, SOUND_PARTS[number % 4]],
            False,
            id="between-sound-parts",
        ),
        pytest.param(lambda _: ["c0", CRASH_PART], True, id="short-answers-complete"),
    ],
)
async def test_part_of_prompts_that_crashes_servers_is_kept_from_all_servers(
    platform, shared_parts, completes_before_crash
):
    """Guards against requests, no two alike, that crash server after server by a common part.

    Sound requests share the account and all other parts, and must be served. The gateways and the
    coordination hosts restart one after another while both kinds of request go on. Short answers
    may be complete just before their server crashes.
    """
    engines = [
        FakeBackendServer(
            f"i-{n}",
            "engine",
            events=3,
            event_gap_s=0.01,
            crash_part=CRASH_PART,
            completes_before_crash=completes_before_crash,
        )
        for n in range(6)
    ]
    await platform.start_with_backends(*engines, FakeBackendServer("i-app", "app"))
    loop = asyncio.get_running_loop()
    sound = CallerTraffic(platform, 0.05, lambda number: ["c0", SOUND_PARTS[number % 4]])
    crashing = CallerTraffic(
        platform,
        0.2,
        shared_parts,
        lambda number: f"/chat/short/{number}" if number % 2 else f"/chat/{number}",
    )
    sound_task = asyncio.create_task(sound.run())
    await until(lambda: len(sound.outcomes) > 20 and sound.served_fraction_since(0.0) > 0.9)
    crashing_task = asyncio.create_task(crashing.run())
    crash_limit_s = loop.time() + 5
    await until(
        lambda: sum(engine.crash_count for engine in engines) >= 5 or loop.time() > crash_limit_s
    )
    fifth_crash_s = loop.time()
    await asyncio.sleep(CONTACT_S)
    for ip in platform.gateway_ips:
        await platform.kill_gateway(ip)
        await platform.start_gateway(ip)
        await platform.wait_until_ready(ip)
    for ip in platform.coordinator_ips:
        await platform.kill_coordinator(ip)
        await platform.start_coordinator(ip)
        await asyncio.sleep(1.0)
    restarted_s = loop.time()
    await asyncio.sleep(1.0)
    for task in (sound_task, crashing_task):
        task.cancel()
    await asyncio.gather(sound_task, crashing_task, return_exceptions=True)
    arrivals = [time_s for engine in engines for time_s in engine.crash_part_arrivals]
    late_arrivals = [time_s for time_s in arrivals if time_s > fifth_crash_s + CONTACT_S]
    assert len(late_arrivals) <= MAX_LATE_ARRIVALS
    assert sound.served_fraction_since(restarted_s) > 0.9


async def test_request_that_crashes_servers_is_sent_to_two_of_them_at_most(platform):
    """Guards against a request that crashes as many servers as its route allows attempts."""
    engines = [FakeBackendServer(f"i-{n}", "engine", crash_part=CRASH_PART) for n in range(6)]
    await platform.start_with_backends(*engines, FakeBackendServer("i-app", "app"))
    with pytest.raises(ClientError):
        await platform.send_request(
            "/chat/1", "r1", **{"X-Prompt-Prefix": f"c0:20,{CRASH_PART}:20,d1:20"}
        )
    assert sum(len(engine.crash_part_arrivals) for engine in engines) == 2
