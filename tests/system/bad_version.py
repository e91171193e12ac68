"""Lets a version turn bad in a rollout on real daemons and measures how it is stopped."""

import asyncio
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

from aiohttp import ClientTimeout

from baobabstream.telemetry.timeline import EventKind
from system.callers import Callers
from system.cluster import EngineSpec, wait_for
from system.history import CallerRecord
from system.records import leader_knows_hosts, read_attempts, read_timeline_events
from system.rollouts import (
    ANSWER_TOKENS,
    API_KEY,
    RolloutCluster,
    reached,
    rollout_row,
    start_rollout,
)
from system.rows import account_row, class_row, version_row

__all__ = ["BadVersionRun", "run_bad_version"]

BAD_MARK = "[WRONG]"
STOP_LIMIT_S = 20.0
# Callers go on after the stop, so that late attempts on the stopped version would be seen.
AFTER_STOP_S = 3.0
SHARE = 0.2
# At the first share the new version gets about 10 requests/s, the rate of the design page.
CALLERS = 4
STEP_S = 30.0
# The health test uses the replaced version as its reference from 100 results on.
BASELINE_ANSWERS = 150


@dataclass
class BadVersionRun:
    """What was seen of a version that turned bad.

    Times are in milliseconds after the fault began, but for ``last_attempt_ms``, which counts from
    the first stop by an entry or the leader.
    """

    row: dict[str, Any] = field(default_factory=dict)
    records: list[CallerRecord] = field(default_factory=list)
    stop_ms: int = 0
    last_attempt_ms: int = 0
    bad_before_stop: int = 0
    bad_after_stop: int = 0
    old_after_stop: int = 0


async def run_bad_version(
    folder: Path, fault: str, seed: int, baseline_answers: int = BASELINE_ANSWERS
) -> BadVersionRun:
    """Roll a version out and let it turn bad at its first share.

    Parameters
    ----------
    folder
        Folder for the cluster's files.
    fault
        ``bad_share`` for wrong answers or ``error_share`` for errors.
    seed
        Seed of the callers.
    baseline_answers
        Answers of the replaced version before the rollout starts.
    """
    # The new version has engines of its own, since the faults are those of a whole engine.
    engines = (EngineSpec("engine-1", ("small@1",)), EngineSpec("engine-2", ("small@2",)))
    cluster = RolloutCluster(folder, engines=engines, rated=True)
    run = BadVersionRun()
    try:
        await cluster.start()
        account = account_row("desk", API_KEY, "small")
        # The new version costs more, so that it gets no traffic before the rollout. At one price
        # the policy may send all requests to it, and the baseline answers never come.
        new = version_row("small", "2", cost_per_1k_tokens=0.4)
        versions = (version_row("small", "1"), new)
        await cluster.put(class_row(), *versions, account)
        await wait_for(lambda: leader_knows_hosts(cluster, 2, len(engines)), 15)
        callers = Callers(cluster, Random(seed))
        callers.start(CALLERS, API_KEY, "desk", ANSWER_TOKENS)
        await wait_for(lambda: _answers(callers, "1", baseline_answers), 30)
        await start_rollout(cluster, STEP_S)
        await wait_for(lambda: reached(cluster, "running", SHARE), 20)
        await wait_for(lambda: _answers(callers, "2", 5), 20)
        url = f"http://{cluster.ip}:{cluster.ports['engine-2']}/emulate/v1/faults"
        async with cluster.session.post(
            url, json={fault: 1.0}, timeout=ClientTimeout(total=2)
        ) as answer:
            assert answer.status == 200
            began_ms = events_now(folder)
        await wait_for(lambda: reached(cluster, "stopped"), STOP_LIMIT_S)
        await asyncio.sleep(AFTER_STOP_S)
        run.records = await callers.stop()
        run.row = await rollout_row(cluster) or {}
    finally:
        await cluster.stop()
    stops = read_timeline_events(folder, EventKind.VERSION_STOPPED)
    first_ms = stops[0].time.wall_ms
    run.stop_ms = first_ms - began_ms
    bad_attempts = [x for x in read_attempts(folder) if x.model_version == "small@2"]
    run.last_attempt_ms = max(x.started_ms for x in bad_attempts) - first_ms
    late = {x.request_id for x in bad_attempts if x.started_ms > first_ms}
    bad = [x for x in run.records if x.version == "2" and BAD_MARK in x.text]
    run.bad_after_stop = sum(x.request_id in late for x in bad)
    run.bad_before_stop = len(bad) - run.bad_after_stop
    run.old_after_stop = sum(
        x.finished and x.version == "1" and x.started_ms > first_ms for x in run.records
    )
    return run


def events_now(folder: Path) -> int:
    """Return the time of the last attempt, on the clock that the timelines use."""
    return max(attempt.started_ms for attempt in read_attempts(folder))


async def _answers(callers: Callers, version: str, count: int) -> bool:
    return sum(x.finished and x.version == version for x in callers.records) >= count
