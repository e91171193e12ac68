"""Rollouts on real daemons: pacing, shares, sessions and interruptions."""

from pathlib import Path

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from system.bad_version import run_bad_version
from system.rollout_interruptions import INTERRUPTIONS
from system.rollouts import STEPS, WEIGHT_STORE_LOADS, faults_of, run_rollout

SEED = 5
# Limits of the design page.
LAST_ATTEMPT_LIMIT_MS = 2000
BAD_ANSWERS_LIMIT = 20
CONFLICT = 409


async def test_rollout_goes_on_after_the_leader_is_killed(tmp_path: Path) -> None:
    """Guards against unpaced loads, jumps of the share, moved sessions and cut requests.

    The leader is killed while engines load, so the rollout must also go on from its row.
    """
    run = await run_rollout(tmp_path, INTERRUPTIONS["kill_leader_while_loading"], SEED)
    assert_that(faults_of(run, "completed"), Equals([]))
    # Engines that got an order of the second leader refuse those of the first.
    assert_that(run.deposed_statuses, Equals({CONFLICT}))
    assert_that(run.most_loading, Equals(WEIGHT_STORE_LOADS))
    assert_that(run.observed_share(STEPS[0]), LessThan(run.observed_share(STEPS[1])))


@pytest.mark.parametrize("fault", ["bad_share", "error_share"])
async def test_bad_version_is_stopped_without_an_operator(tmp_path: Path, fault: str) -> None:
    """Guards against a rollout that goes on with a version that turned bad."""
    run = await run_bad_version(tmp_path, fault, SEED)
    assert_that((run.row["state"], run.row["share"]), Equals(("stopped", 0.0)))
    assert_that(run.last_attempt_ms, LessThan(LAST_ATTEMPT_LIMIT_MS))
    assert_that(run.bad_before_stop + run.bad_after_stop, LessThan(BAD_ANSWERS_LIMIT + 1))
    assert_that(run.old_after_stop, GreaterThan(0))
