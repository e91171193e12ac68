"""Tests that copies of a request which crashes backend servers are kept away from all of them."""

import asyncio

import pytest

from caller_traffic import CallerTraffic
from crashing_copies import COUNTED_CRASHES, CopiesScenario, play_copies
from fake_backend_server import FakeBackendServer
from platform_stand_in import PlatformHarness


@pytest.mark.parametrize(
    "scenario",
    [
        pytest.param(CopiesScenario(copies=8, pause_s=4.0), id="streams-at-one-moment"),
        pytest.param(
            CopiesScenario(path="/sign/1", copies=8, pause_s=4.0), id="orders-at-one-moment"
        ),
        pytest.param(
            CopiesScenario(begins_answer=True, delay_s=0.8), id="long-after-the-first-event"
        ),
        pytest.param(
            CopiesScenario(path="/look/1", begin_s=1.2, runs_on=True),
            id="after-the-gateway-gave-up",
        ),
        pytest.param(
            CopiesScenario(begin_s=0.6, caller_patience_s=0.4, runs_on=True),
            id="after-the-caller-left",
        ),
    ],
)
async def test_request_that_crashed_three_servers_is_kept_from_the_others(scenario, tmp_path):
    """Guards against copies of a request that go on crashing servers after the third crash.

    The crashes come at one moment, after much of an answer, or after the request was given up.
    """
    report = await play_copies(scenario, tmp_path)
    assert report.crashes >= COUNTED_CRASHES
    assert not report.is_broken, report
    assert report.served_fraction > 0.9


@pytest.mark.parametrize("at_once", [True, False], ids=["all-at-one-moment", "one-by-one"])
async def test_servers_that_crash_by_themselves_quarantine_nothing(at_once, tmp_path):
    """Guards against sound requests that are refused for ten minutes as servers lost their power.

    The requests share parts of their prompts, and callers repeat each that fails with the same
    content.
    """
    async with PlatformHarness(tmp_path, gateways=3) as platform:
        engines = [
            FakeBackendServer(f"i-{n}", "engine", events=20, event_gap_s=0.05, restart_delay_s=1.0)
            for n in range(6)
        ]
        await platform.start_with_backends(*engines, FakeBackendServer("i-app", "app"))
        traffic = CallerTraffic(
            platform, 0.03, lambda number: ["c0", f"a{number % 40}"], repeats_after_failure=2
        )
        traffic_task = asyncio.create_task(traffic.run())
        await asyncio.sleep(2.0)
        for round_number in range(6):
            for engine in engines if at_once else [engines[round_number]]:
                engine.crash()
            await asyncio.sleep(1.5)
        traffic_task.cancel()
        await asyncio.gather(traffic_task, return_exceptions=True)
        now_s = asyncio.get_running_loop().time()
        for gateway in platform.gateways.values():
            assert gateway.context.crash_tracker.quarantine_reports(now_s) == ()
