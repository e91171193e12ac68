"""Rollouts on real daemons: pacing, shares, sessions and interruptions."""

from pathlib import Path

from testtools.assertions import assert_that
from testtools.matchers import Equals, LessThan

from system.rollout_interruptions import INTERRUPTIONS
from system.rollouts import STEPS, WEIGHT_STORE_LOADS, faults_of, run_rollout

SEED = 5


async def test_rollout_under_load(tmp_path: Path) -> None:
    """Guards against unpaced loads, jumps of the share, moved sessions and cut requests."""
    run = await run_rollout(tmp_path, INTERRUPTIONS["no_interruption"], SEED)
    assert_that(faults_of(run, "completed"), Equals([]))
    assert_that(run.most_loading, Equals(WEIGHT_STORE_LOADS))
    assert_that(run.observed_share(STEPS[0]), LessThan(run.observed_share(STEPS[1])))
