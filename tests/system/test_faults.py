"""Histories of concurrent runs on real daemons, with all mechanisms and with one switched off."""

import asyncio
from collections.abc import Iterable
from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, GreaterThan

from system.faults import FAULTS
from system.scenario import ScenarioResult, run_scenario

SEED = 11
# Each run has ten processes; more runs at once would disturb the times that they measure.
RUNS_AT_ONCE = 3
# A run with a mechanism off only has to show its violation.
AFTER_S = 2.0
AFTER_WITHOUT_S = 0.5
CI_FAULTS = ("none", "isolate_entry", "leave_engine", "cross_answers", "cut_answers")
# Requirement, fault, role, and the mechanism that is switched off.
MECHANISMS_OFF = (
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
    """Return the result of each run by fault and mechanism that is off."""
    cases = [(name, "", "") for name in CI_FAULTS]
    cases += [(fault, role, mechanism) for _, fault, role, mechanism in MECHANISMS_OFF]
    return asyncio.run(_run_all(cases, tmp_path_factory.mktemp("runs")))


async def _run_all(
    cases: Iterable[tuple[str, str, str]], folder: Path
) -> dict[tuple[str, str], ScenarioResult]:
    limit = asyncio.Semaphore(RUNS_AT_ONCE)

    async def run(fault: str, role: str, mechanism: str) -> ScenarioResult:
        files = folder / f"{fault}-{mechanism}"
        files.mkdir()
        without = {role: mechanism} if mechanism else {}
        after_s = AFTER_WITHOUT_S if mechanism else AFTER_S
        async with limit:
            return await run_scenario(files, FAULTS[fault], SEED, after_s=after_s, without=without)

    cases = list(cases)
    done = await asyncio.gather(*[run(*case) for case in cases])
    return {
        (fault, mechanism): result
        for (fault, _, mechanism), result in zip(cases, done, strict=True)
    }


@pytest.mark.parametrize("name", CI_FAULTS)
def test_history_under_fault(results, name: str) -> None:
    """Guards against broken requirements while a fault happens and heals."""
    result = results[name, ""]
    assert_that(result.violations, Equals([]))
    assert_that(result.finished, GreaterThan(10))
    assert_that(result.changes_accepted, GreaterThan(0))
    assert_that(result.signatures, GreaterThan(0))


@pytest.mark.parametrize(("requirement", "fault", "_role", "mechanism"), MECHANISMS_OFF)
def test_check_finds_the_missing_mechanism(
    results, requirement: str, fault: str, _role: str, mechanism: str
) -> None:
    """Guards against a check that passes whether or not its mechanism works."""
    found = {violation.requirement for violation in results[fault, mechanism].violations}
    assert_that(found, Contains(requirement))
