"""Histories of concurrent runs on real daemons under one fault each."""

from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from system.faults import FAULTS
from system.scenario import run_scenario

SEED = 11
CI_FAULTS = ("none",)


@pytest.mark.parametrize("name", CI_FAULTS)
async def test_history_under_fault(tmp_path: Path, name: str) -> None:
    """Guards against broken requirements while a fault happens and heals."""
    result = await run_scenario(tmp_path, FAULTS[name], SEED)
    assert_that(result.violations, Equals([]))
    assert_that(result.finished, GreaterThan(10))
    assert_that(result.changes_accepted, GreaterThan(0))
    assert_that(result.signatures, GreaterThan(0))
