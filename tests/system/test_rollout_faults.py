"""Rollouts on real daemons: pacing, shares, sessions, a change of leader and a faulty version."""

from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from system.bad_version import run_bad_version
from system.rollout_interruptions import INTERRUPTIONS
from system.rollouts import STEP_SHARES, WEIGHT_STORE_LOADS, failed_checks, run_rollout

SEED = 5
# Limits of the design page.
MAX_LAST_ATTEMPT_MS = 2000
MAX_BAD_ANSWERS = 20
HTTP_CONFLICT = 409


async def test_rollout_goes_on_after_the_leader_is_killed(tmp_path: Path) -> None:
    """Guards against too many loads at once, skipped shares, moved sessions and lost requests.

    The leader is killed while engines load, so the next one must continue from the stored row.
    """
    run = await run_rollout(tmp_path, INTERRUPTIONS["kill_leader_while_loading"], SEED)
    assert_that(failed_checks(run, "completed"), Equals([]))
    # Engines that accepted an order of the second leader must refuse those of the first.
    assert_that(run.deposed_statuses, Equals({HTTP_CONFLICT}))
    assert_that(run.max_loading, Equals(WEIGHT_STORE_LOADS))
    assert_that(run.observed_share(STEP_SHARES[0]), LessThan(run.observed_share(STEP_SHARES[1])))


@pytest.mark.parametrize("fault", ["bad_share", "error_share"])
async def test_bad_version_is_stopped_without_an_operator(tmp_path: Path, fault: str) -> None:
    """Guards against a rollout that continues with a version that returns bad answers or errors."""
    run = await run_bad_version(tmp_path, fault, SEED)
    assert_that((run.row["state"], run.row["share"]), Equals(("stopped", 0.0)))
    assert_that(run.last_attempt_ms, LessThan(MAX_LAST_ATTEMPT_MS))
    assert_that(run.bad_before_stop + run.bad_after_stop, LessThan(MAX_BAD_ANSWERS + 1))
    assert_that(run.old_after_stop, GreaterThan(0))
