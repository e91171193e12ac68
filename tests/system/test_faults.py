"""Histories of requests on real daemons under faults, with and without single mechanisms.

A run with all mechanisms must break no requirement. A run with one mechanism switched off must
break the requirement that it ensures, which shows that the check of that requirement works.
"""

import asyncio
from collections.abc import Iterable
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan

from system.faults import FAULTS
from system.scenario import ScenarioResult, run_scenario

SEED = 11
# Each run has ten processes; more concurrent runs would disturb the times that they measure.
MAX_CONCURRENT_RUNS = 3
# Time of load after the fault. Runs with a disabled mechanism only have to show a violation.
LOAD_AFTER_FAULT_S = 2.0
LOAD_AFTER_FAULT_DISABLED_S = 0.5
TESTED_FAULTS = ("none", "isolate_entry", "leave_engine", "cross_answers", "cut_answers")
# Requirement, fault, role, and the mechanism that is switched off.
DISABLED_MECHANISMS = (
    ("allowed", "none", "entry", "allowance"),
    ("withdrawn", "isolate_entry", "entry", "entry_lease"),
    ("session", "none", "entry", "session_pin"),
    ("billed", "none", "control", "bill_key"),
    ("whole", "cross_answers", "entry", "answer_identity"),
    ("not run", "cut_answers", "entry", "run_state"),
    ("at most once", "none", "entry", "claims"),
    ("left", "leave_engine", "entry", "departure"),
    ("race", "none", "control", "base_revision"),
)


@pytest.fixture(scope="module")
def results(tmp_path_factory: pytest.TempPathFactory) -> dict[tuple[str, str], ScenarioResult]:
    """Return the result of each run by fault and disabled mechanism, "" for none."""
    cases = [(name, "", "") for name in TESTED_FAULTS]
    cases += [(fault, role, mechanism) for _, fault, role, mechanism in DISABLED_MECHANISMS]
    return asyncio.run(_run_all(cases, tmp_path_factory.mktemp("runs")))


async def _run_all(
    cases: Iterable[tuple[str, str, str]], folder: Path
) -> dict[tuple[str, str], ScenarioResult]:
    """Run all cases of (fault, role, mechanism), a few at a time, and return their results."""
    run_limit = asyncio.Semaphore(MAX_CONCURRENT_RUNS)

    async def run(fault: str, role: str, mechanism: str) -> ScenarioResult:
        run_folder = folder / f"{fault}-{mechanism}"
        run_folder.mkdir()
        disabled_mechanisms = {role: mechanism} if mechanism else {}
        after_s = LOAD_AFTER_FAULT_DISABLED_S if mechanism else LOAD_AFTER_FAULT_S
        async with run_limit:
            return await run_scenario(
                run_folder,
                FAULTS[fault],
                SEED,
                after_s=after_s,
                disabled_mechanisms=disabled_mechanisms,
            )

    cases = list(cases)
    run_results = await asyncio.gather(*[run(*case) for case in cases])
    return {
        (fault, mechanism): result
        for (fault, _, mechanism), result in zip(cases, run_results, strict=True)
    }


@pytest.mark.parametrize("name", TESTED_FAULTS)
def test_history_under_fault(results, name: str) -> None:
    """Guards against broken requirements while a fault happens and heals."""
    result = results[name, ""]
    assert_that(result.violations, Equals([]))
    assert_that(result.finished_count, GreaterThan(10))
    assert_that(result.accepted_change_count, GreaterThan(0))
    assert_that(result.signature_count, GreaterThan(0))


@pytest.mark.parametrize(("requirement", "fault", "_role", "mechanism"), DISABLED_MECHANISMS)
def test_check_finds_the_disabled_mechanism(
    results, requirement: str, fault: str, _role: str, mechanism: str
) -> None:
    """Guards against a check that passes although the mechanism behind it does not work."""
    broken_requirements = {
        violation.requirement for violation in results[fault, mechanism].violations
    }
    assert_that(broken_requirements, Contains(requirement))
