"""Runs callers, operators, a withdrawal and a fault on real daemons and checks the history."""

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
    check_allowed_versions,
    check_answer_texts,
    check_billed_once,
    check_no_attempt_after_departure,
    check_no_run_after_withdrawal,
    check_refused_not_run,
    check_run_at_most_once,
    check_session_versions,
)
from system.operators import ChangeRecord, Operators, check_changes
from system.records import (
    fetch_billed_ids,
    leader_knows_hosts,
    read_attempts,
    read_engine_runs,
    read_service_run_keys,
)
from system.rows import account_row, class_row, route_row, version_row
from system.withdrawal import IN_FORCE_LIMIT_MS, Withdrawal, check_in_force, wait_in_force, withdraw

__all__ = ["DESK_API_KEY", "ENTRY_LEASE_MS", "Fault", "ScenarioResult", "run_scenario"]

# API keys of the client accounts "desk" and "crew".
DESK_API_KEY = "api-key-of-the-desk"
CREW_API_KEY = "api-key-of-the-crew"
# Requested length of the answers.
ANSWER_TOKENS = 12
ENGINES = (
    EngineSpec("engine-1", ("small@1", "small@2")),
    EngineSpec("engine-2", ("small@1", "small@2")),
    EngineSpec("engine-3", ("large@1",)),
)
SERVICES = ("waiver-1", "waiver-2")
# Design limit from the departure of a backend server until it gets no new work.
DEPARTURE_LIMIT_MS = 2000
# Duration of the lease under which an entry host may send work.
ENTRY_LEASE_MS = 3000
# Most backend servers that one request may crash before it is quarantined.
MAX_CRASHES = 2
# Longest time from the start of the fault until the withdrawal. Every fault but ``none`` lasts
# longer, and the control group has not yet recovered from most faults by then.
MAX_WITHDRAWAL_DELAY_S = 2.0
# Model versions that each client account may use.
ALLOWED_VERSIONS = {"desk": {"small@1", "small@2"}, "crew": {"large@1"}}
# Causes a fault on a cluster, heals it and returns.
Fault = Callable[[Cluster, Random], Awaitable[None]]


@dataclass
class ScenarioResult:
    """Violations that one scenario found, and counts of what happened.

    Attributes
    ----------
    violations
        Requirements that the history breaks.
    finished_count, refused_count, interrupted_count
        Number of requests with a whole answer, of those refused as not run, and of all others.
    accepted_change_count
        Number of operators' changes that were accepted.
    withdrawal
        Times of the withdrawal.
    signature_count
        Number of signature requests with HTTP status 200.
    crash_count
        Number of backend servers that a request has crashed.
    """

    violations: list[Violation] = field(default_factory=list)
    finished_count: int = 0
    refused_count: int = 0
    interrupted_count: int = 0
    accepted_change_count: int = 0
    withdrawal: Withdrawal | None = None
    signature_count: int = 0
    crash_count: int = 0


async def run_scenario(
    folder: Path,
    fault: Fault,
    seed: int,
    before_s: float = 1.0,
    after_s: float = 2.0,
    disabled_mechanisms: dict[str, str] | None = None,
    long_tokens: int = 0,
) -> ScenarioResult:
    """Run load on a new cluster, withdraw a version during a fault, and check the history.

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
    disabled_mechanisms
        Mechanism of ``mechanisms_off`` that is switched off, by role.
    long_tokens
        Length in tokens of the answers of two further callers, or 0 for no such callers.
    """
    random = Random(seed)
    cluster = Cluster(
        folder, engines=ENGINES, services=SERVICES, disabled_mechanisms=disabled_mechanisms or {}
    )
    result = ScenarioResult()
    try:
        await cluster.start()
        await _configure(cluster)
        callers = Callers(cluster, random)
        callers.start(3, DESK_API_KEY, "desk", ANSWER_TOKENS)
        callers.start(2, CREW_API_KEY, "crew", ANSWER_TOKENS)
        callers.start_sessions(2, DESK_API_KEY, "desk", ANSWER_TOKENS)
        callers.start_signatures(2, DESK_API_KEY, "desk")
        if long_tokens:
            callers.start(2, DESK_API_KEY, "desk", long_tokens)
        operators = Operators(cluster, random)
        operators.start()
        await asyncio.sleep(before_s)
        delay_s = Random(f"withdrawal {seed}").uniform(0.0, MAX_WITHDRAWAL_DELAY_S)
        withdrawal_task = asyncio.create_task(withdraw(cluster, "small", "1", delay_s))
        await fault(cluster, random)
        healed_ms = wall_ms()
        await asyncio.sleep(after_s)
        withdrawal = result.withdrawal = await withdrawal_task
        changes = await operators.stop()
        await asyncio.sleep(0.5)
        records = await callers.stop()
        result.crash_count = cluster.crash_count
        result.signature_count = callers.signature_codes[200]
        await asyncio.sleep(1.0)
        await _collect(cluster, result, records, changes)
    finally:
        await cluster.stop()
    attempts = read_attempts(folder)
    result.violations += check_no_run_after_withdrawal(attempts, "small@1", withdrawal.in_force_ms)
    if not cluster.control_majority_lost:
        result.violations += check_in_force(withdrawal)
    result.violations += _check_fault(cluster, result, records, attempts, healed_ms)
    result.violations += check_no_attempt_after_departure(
        attempts, cluster.left_at_ms, DEPARTURE_LIMIT_MS
    )
    result.violations += check_allowed_versions(records, attempts, ALLOWED_VERSIONS)
    result.violations += check_refused_not_run(records, read_engine_runs(folder))
    result.violations += check_session_versions(records)
    result.violations += check_answer_texts(records, expected_text)
    result.violations += check_run_at_most_once(read_service_run_keys(folder))
    return result


def _check_fault(
    cluster: Cluster,
    result: ScenarioResult,
    records: list[CallerRecord],
    attempts: list[EngineRun],
    healed_ms: int,
) -> list[Violation]:
    """Check what the fault permits; ``healed_ms`` is the wall time of its end in milliseconds."""
    violations = [Violation("repair", problem) for problem in cluster.problems]
    period_start_ms, period_end_ms = cluster.no_work_period_ms
    forbidden_attempts = [
        attempt.request_id
        for attempt in attempts
        if period_start_ms < attempt.started_ms < period_end_ms
    ]
    if forbidden_attempts:
        violations.append(
            Violation("lease", f"{len(forbidden_attempts)} attempts without a control majority")
        )
    if cluster.crash_count > MAX_CRASHES:
        violations.append(Violation("crash", f"{cluster.crash_count} backend servers crashed"))
    violations += [
        Violation("crash", f"{record.prompt} is quarantined but crashes no backend server")
        for record in records
        if record.result_code == int(ResultCode.QUARANTINED)
    ]
    if cluster.is_planned_stop and result.interrupted_count:
        violations.append(
            Violation("planned stop", f"{result.interrupted_count} requests were interrupted")
        )
    if not any(record.finished and record.started_ms > healed_ms for record in records):
        violations.append(Violation("service", "no request is served after the fault"))
    return violations


def expected_text(record: CallerRecord) -> str:
    """Return the text that an emulated engine generates for a caller's prompt."""
    return answer_text([{"role": "user", "content": record.prompt}], record.max_tokens)


async def _configure(cluster: Cluster) -> None:
    """Store the configuration and wait until it is in force and all hosts are known."""
    versions = [
        version_row("small", "1", cost_per_1k_tokens=0.1),
        version_row("small", "2"),
        version_row("large", "1", cost_per_1k_tokens=2.0),
    ]
    accounts = [
        account_row("desk", DESK_API_KEY, "small", services=["waiver"]),
        account_row("crew", CREW_API_KEY, "large"),
    ]
    answer = await cluster.put(class_row(), class_row("raced"), *versions, *accounts, route_row())
    await wait_for(lambda: leader_knows_hosts(cluster, 2, len(ENGINES) + len(SERVICES)), 15)
    # A new leader reports no revision in force for the duration of one lease. That time must not
    # count towards the withdrawal during the fault.
    await wait_in_force(cluster, answer["revision"])


async def _collect(
    cluster: Cluster,
    result: ScenarioResult,
    records: list[CallerRecord],
    changes: list[ChangeRecord],
) -> None:
    """Add the counts to the result, and the violations seen in the configuration and the bills.

    The read waits for a leader: an election may be under way, and it may last as long as a change
    may take to come into force.
    """
    await wait_for(lambda: leader_knows_hosts(cluster, 0, 0), IN_FORCE_LIMIT_MS / 1000)
    _, config = await cluster.admin("GET", "/config")
    rows = {entry["key"]: entry["row"] for entry in config["rows"]}
    contested_class = rows["class/raced"]
    if rows["version/small@1"]["state"] != "withdrawn":
        result.violations.append(Violation("reverted", "the withdrawn version is not withdrawn"))
    result.violations += check_billed_once(records, await fetch_billed_ids(cluster))
    result.violations += check_changes(changes, contested_class["total_ms"])
    result.finished_count = sum(record.finished for record in records)
    result.refused_count = sum(record.run_state == "no" for record in records)
    result.interrupted_count = sum(
        not record.finished and record.run_state != "no" for record in records
    )
    result.accepted_change_count = sum(change.accepted for change in changes)
