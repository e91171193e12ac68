"""Short soak runs with seeds that once broke a promise to a caller."""

from pathlib import Path

import pytest

from soak.soak_run import run_soak

# Seed 1: a reload during the start of a daemon ended its process. Seed 13: fake backend servers
# stopped announcing themselves after a host had reset one of their calls, because the task that
# sends the announcements ended with that error.
REGRESSION_SEEDS = (1, 13)
# Time during which faults are injected.
FAULT_DURATION_S = 5.0


@pytest.mark.parametrize("seed", REGRESSION_SEEDS)
async def test_promises_hold_under_faults(seed: int, tmp_path: Path) -> None:
    """Guards against repeated runs, false refusals, lost changes and hosts that do not recover."""
    report = await run_soak(seed, FAULT_DURATION_S, tmp_path)
    assert not report.violations, "\n".join([*report.violations, *report.faults])
    assert report.outcomes["sign 200"]
    assert report.outcomes["chat 200"]
