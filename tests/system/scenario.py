"""Runs callers, operators and a fault on real daemons and checks the whole history."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from baobabstream.emulator.answers import answer_text
from baobabstream.errors.codes import ResultCode
from system.callers import Callers, wall_ms
from system.cluster import Cluster, EngineSpec, wait_for
from system.history import (
    CallerRecord,
    EngineRun,
    Violation,
    check_allowed,
    check_billed_once,
    check_left,
    check_not_run,
    check_run_at_most_once,
    check_sessions,
    check_whole,
    check_withdrawn,
)
from system.operators import ChangeRecord, Operators, check_changes
from system.records import attempts_of, billed_ids, entries_serve, runs_of, service_runs_of
from system.rows import account_row, class_row, route_row, version_row
from system.withdrawal import Withdrawal, check_in_force, wait_in_force, withdraw

__all__ = ["DESK_KEY", "ENTRY_LEASE_MS", "Fault", "ScenarioResult", "run_scenario"]

DESK_KEY = "api-key-of-the-desk"
CREW_KEY = "api-key-of-the-crew"
TOKENS = 12
ENGINES = (
    EngineSpec("engine-1", ("small@1", "small@2")),
    EngineSpec("engine-2", ("small@1", "small@2")),
    EngineSpec("engine-3", ("large@1",)),
)
SERVICES = ("waiver-1", "waiver-2")
# Aim of the design for a backend server that is leaving.
LEFT_LIMIT_MS = 2000
ENTRY_LEASE_MS = 3000
MAX_CRASHES = 2
# Within every fault but the empty one, before the control group has recovered from most.
WITHDRAWAL_LATEST_S = 2.0
ALLOWED = {"desk": {"small@1", "small@2"}, "crew": {"large@1"}}
Fault = Callable[[Cluster, Random], Awaitable[None]]


@dataclass
class ScenarioResult:
    """Violations found, and figures of the run."""

    violations: list[Violation] = field(default_factory=list)
    finished: int = 0
    refused: int = 0
    cut: int = 0
    changes_accepted: int = 0
    withdrawal: Withdrawal | None = None
    signatures: int = 0
    crashes: int = 0


async def run_scenario(
    folder: Path,
    fault: Fault,
    seed: int,
    before_s: float = 1.0,
    after_s: float = 2.0,
    without: dict[str, str] | None = None,
    long_tokens: int = 0,
) -> ScenarioResult:
    """Start a cluster, run load, withdraw a version while a fault happens and heals, check.

    Parameters
    ----------
    folder
        Folder for the cluster's files.
    fault
        Causes the fault and heals it.
    seed
        Seed of callers, operators, fault and the time of the withdrawal.
    before_s, after_s
        Seconds of load before and after the fault.
    without
        Mechanism that is switched off, by role.
    long_tokens
        Length of the answers of two further callers, or 0 for none.
    """
    random = Random(seed)
    cluster = Cluster(folder, engines=ENGINES, services=SERVICES, without=without or {})
    result = ScenarioResult()
    try:
        await cluster.start()
        await _configure(cluster)
        callers = Callers(cluster, random)
        callers.start(3, DESK_KEY, "desk", TOKENS)
        callers.start(2, CREW_KEY, "crew", TOKENS)
        callers.start_sessions(2, DESK_KEY, "desk", TOKENS)
        callers.start_signatures(2, DESK_KEY, "desk")
        if long_tokens:
            callers.start(2, DESK_KEY, "desk", long_tokens)
        operators = Operators(cluster, random)
        operators.start()
        await asyncio.sleep(before_s)
        delay_s = Random(f"withdrawal {seed}").uniform(0.0, WITHDRAWAL_LATEST_S)
        withdrawing = asyncio.create_task(withdraw(cluster, "small", "1", delay_s))
        await fault(cluster, random)
        healed_ms = wall_ms()
        await asyncio.sleep(after_s)
        withdrawal = result.withdrawal = await withdrawing
        changes = await operators.stop()
        await asyncio.sleep(0.5)
        records = await callers.stop()
        result.crashes = cluster.crashes
        result.signatures = callers.signature_codes[200]
        await asyncio.sleep(1.0)
        await _collect(cluster, result, records, changes)
    finally:
        await cluster.stop()
    attempts = attempts_of(folder)
    result.violations += check_withdrawn(attempts, "small@1", withdrawal.in_force_ms)
    if not cluster.majority_lost:
        result.violations += check_in_force(withdrawal)
    result.violations += _check_fault(cluster, result, records, attempts, healed_ms)
    result.violations += check_left(attempts, cluster.left_ms, LEFT_LIMIT_MS)
    result.violations += check_allowed(records, attempts, ALLOWED)
    result.violations += check_not_run(records, runs_of(folder))
    result.violations += check_sessions(records)
    result.violations += check_whole(records, expected_text)
    result.violations += check_run_at_most_once(service_runs_of(folder))
    return result


def _check_fault(
    cluster: Cluster,
    result: ScenarioResult,
    records: list[CallerRecord],
    attempts: list[EngineRun],
    healed_ms: int,
) -> list[Violation]:
    violations = [Violation("repair", problem) for problem in cluster.problems]
    first_ms, last_ms = cluster.no_work_ms
    late = [run.request_id for run in attempts if first_ms < run.started_ms < last_ms]
    if late:
        violations.append(Violation("lease", f"{len(late)} attempts without a control majority"))
    if cluster.crashes > MAX_CRASHES:
        violations.append(Violation("crash", f"{cluster.crashes} backend servers crashed"))
    violations += [
        Violation("crash", f"{record.marker} is quarantined but crashes nothing")
        for record in records
        if record.code == int(ResultCode.QUARANTINED)
    ]
    if cluster.planned and result.cut:
        violations.append(Violation("planned stop", f"{result.cut} requests were cut"))
    if not any(record.finished and record.started_ms > healed_ms for record in records):
        violations.append(Violation("service", "no request is served after the fault"))
    return violations


def expected_text(record: CallerRecord) -> str:
    """Return the text that a stand-in engine generates for a caller's prompt."""
    return answer_text([{"role": "user", "content": record.marker}], record.tokens)


async def _configure(cluster: Cluster) -> None:
    versions = [
        version_row("small", "1", cost_per_1k_tokens=0.1),
        version_row("small", "2"),
        version_row("large", "1", cost_per_1k_tokens=2.0),
    ]
    accounts = [
        account_row("desk", DESK_KEY, "small", services=["waiver"]),
        account_row("crew", CREW_KEY, "large"),
    ]
    answer = await cluster.put(class_row(), class_row("raced"), *versions, *accounts, route_row())
    await wait_for(lambda: entries_serve(cluster, 2, len(ENGINES) + len(SERVICES)), 15)
    # A leader that has just begun reports nothing in force for one lease; that time is no part of
    # what the fault costs.
    await wait_in_force(cluster, answer["revision"])


async def _collect(
    cluster: Cluster,
    result: ScenarioResult,
    records: list[CallerRecord],
    changes: list[ChangeRecord],
) -> None:
    _, config = await cluster.admin("GET", "/config")
    rows = {entry["key"]: entry["row"] for entry in config["rows"]}
    raced = rows["class/raced"]
    if rows["version/small@1"]["state"] != "withdrawn":
        result.violations.append(Violation("reverted", "the withdrawn version is not withdrawn"))
    result.violations += check_billed_once(records, await billed_ids(cluster))
    result.violations += check_changes(changes, raced["total_ms"])
    result.finished = sum(record.finished for record in records)
    result.refused = sum(record.ran == "no" for record in records)
    result.cut = sum(not record.finished and record.ran != "no" for record in records)
    result.changes_accepted = sum(change.accepted for change in changes)
