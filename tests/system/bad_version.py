"""Lets a new version return bad answers during a rollout and measures how it is stopped."""

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
    fetch_rollout_row,
    rollout_has_reached,
    start_rollout,
)
from system.rows import account_row, class_row, version_row

__all__ = ["BadVersionRun", "run_bad_version"]

# Text that marks a wrong answer of an emulated engine.
BAD_MARK = "[WRONG]"
STOP_TIMEOUT_S = 20.0
# Callers go on for this long after the stop, so that late attempts on the stopped version are seen.
LOAD_AFTER_STOP_S = 3.0
# First share of the rollout, at which the fault begins.
FIRST_SHARE = 0.2
# At the first share the new version gets about 10 requests/s, the rate of the design page.
CALLER_COUNT = 4
# Longer than the test, so that the rollout stays at its first share.
STEP_DURATION_S = 30.0
# The health test compares with the replaced version once that has at least 100 results.
BASELINE_ANSWERS = 150


@dataclass
class BadVersionRun:
    """Observations of a rollout whose new version became faulty.

    The stop is the first one by an entry host or the control leader.

    Attributes
    ----------
    row
        Row of the rollout at the end.
    records
        Chat requests of the callers.
    stop_ms
        Time in milliseconds from the start of the fault to the stop.
    last_attempt_ms
        Time in milliseconds from the stop to the last attempt on the new version.
    bad_before_stop, bad_after_stop
        Number of wrong answers to requests whose attempts started before or after the stop.
    old_after_stop
        Number of requests after the stop that the old version finished.
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
    """Roll a version out and make its engine faulty at the first share.

    Parameters
    ----------
    folder
        Folder for the cluster's files.
    fault
        ``bad_share`` for wrong answers or ``error_share`` for errors.
    seed
        Seed of the callers.
    baseline_answers
        Number of answers of the replaced version before the rollout starts.
    """
    # The new version has an engine of its own, since a fault affects all answers of an engine.
    engines = (EngineSpec("engine-1", ("small@1",)), EngineSpec("engine-2", ("small@2",)))
    cluster = RolloutCluster(folder, engines=engines, rated=True)
    run = BadVersionRun()
    try:
        await cluster.start()
        account = account_row("desk", API_KEY, "small")
        # The new version costs more, so that it gets no traffic before the rollout. At equal
        # cost the policy may send all requests to it, and the old version never gets enough
        # baseline answers.
        new_version = version_row("small", "2", cost_per_1k_tokens=0.4)
        versions = (version_row("small", "1"), new_version)
        await cluster.put(class_row(), *versions, account)
        await wait_for(lambda: leader_knows_hosts(cluster, 2, len(engines)), 15)
        callers = Callers(cluster, Random(seed))
        callers.start(CALLER_COUNT, API_KEY, "desk", ANSWER_TOKENS)
        await wait_for(lambda: _has_answers(callers, "1", baseline_answers), 30)
        await start_rollout(cluster, STEP_DURATION_S)
        await wait_for(lambda: rollout_has_reached(cluster, "running", FIRST_SHARE), 20)
        await wait_for(lambda: _has_answers(callers, "2", 5), 20)
        url = f"http://{cluster.ip}:{cluster.ports['engine-2']}/emulate/v1/faults"
        async with cluster.session.post(
            url, json={fault: 1.0}, timeout=ClientTimeout(total=2)
        ) as answer:
            assert answer.status == 200
            fault_ms = read_last_attempt_ms(folder)
        await wait_for(lambda: rollout_has_reached(cluster, "stopped"), STOP_TIMEOUT_S)
        await asyncio.sleep(LOAD_AFTER_STOP_S)
        run.records = await callers.stop()
        run.row = await fetch_rollout_row(cluster) or {}
    finally:
        await cluster.stop()
    stops = read_timeline_events(folder, EventKind.VERSION_STOPPED)
    stopped_at_ms = stops[0].time.wall_ms
    run.stop_ms = stopped_at_ms - fault_ms
    bad_attempts = [
        attempt for attempt in read_attempts(folder) if attempt.model_version == "small@2"
    ]
    run.last_attempt_ms = max(attempt.started_ms for attempt in bad_attempts) - stopped_at_ms
    late_ids = {
        attempt.request_id for attempt in bad_attempts if attempt.started_ms > stopped_at_ms
    }
    bad_records = [
        record for record in run.records if record.version == "2" and BAD_MARK in record.text
    ]
    run.bad_after_stop = sum(record.request_id in late_ids for record in bad_records)
    run.bad_before_stop = len(bad_records) - run.bad_after_stop
    run.old_after_stop = sum(
        record.finished and record.version == "1" and record.started_ms > stopped_at_ms
        for record in run.records
    )
    return run


def read_last_attempt_ms(folder: Path) -> int:
    """Return the time of the last attempt in milliseconds, by the clock of the timelines."""
    return max(attempt.started_ms for attempt in read_attempts(folder))


async def _has_answers(callers: Callers, version: str, count: int) -> bool:
    """Return whether a version has finished at least ``count`` requests."""
    return sum(record.finished and record.version == version for record in callers.records) >= count
