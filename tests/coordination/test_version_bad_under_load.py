"""Tests that a version which fails only under the load of all requests is not completed.

The pattern: a service of a few to many requests a second, whose answers come soon and whose
gateways report their counts some time later; from the step with all requests on, half of the
answers fail.
"""

from collections import deque
from dataclasses import replace
from random import Random

import pytest
from msgspec.structs import replace as row_replace

from baobabstream.coordination.regression_detector import AnswerCounts, RegressionDetector
from baobabstream.coordination.rollout_plan import Exposure, plan_step
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState

ROLLOUT = RolloutRow("app", "v1", "v2", RolloutState.IN_PROGRESS, duration_s=16.0)
LIMIT = Exposure(0.15, 30.0)
TICK_S = 0.2
# Ticks until an answer has been counted, reported and evaluated.
REPORT_TICKS = 2
SEEDS = range(100)


def play(answers_per_s: float, bad_share: float, seed: int) -> tuple[bool, float]:
    """Return whether a rollout completes, and how many requests the target had before its deadline.

    ``bad_share`` is the share of the target's answers that fail while it gets all requests.
    """
    random = Random(seed)
    detector = RegressionDetector(ROLLOUT.base, ROLLOUT.target)
    row, answers, target_requests = ROLLOUT, 0.0, 0.0
    # Counts of both versions, the newest last; the first ones are those that are evaluated.
    history = deque([(AnswerCounts(100, 1), [AnswerCounts(), AnswerCounts()])], REPORT_TICKS + 1)
    for tick in range(int(ROLLOUT.duration_s / TICK_S)):
        elapsed_s = tick * TICK_S
        base, targets = history[0]
        if detector.update({"v1": {"b1": base}, "v2": dict(zip("ab", targets, strict=True))}):
            return False, target_requests
        exposure = replace(
            LIMIT,
            target_requests=int(target_requests),
            service_answers=int(answers),
            observed_s=elapsed_s,
        )
        step = plan_step(row, elapsed_s, exposure, detector.is_suspicious(row.share))
        if step.completes:
            return True, target_requests + (ROLLOUT.duration_s - elapsed_s) * answers_per_s
        if step.rolls_back:
            return False, target_requests
        row = row_replace(row, share=step.share, settled=step.moves_sessions)
        answers += answers_per_s * TICK_S
        base, targets = history[-1]
        targets = [replace(target) for target in targets]
        expected = answers_per_s * TICK_S * step.share
        count = int(expected) + (random.random() < expected % 1)
        target_requests += count
        for _ in range(count):
            is_bad = step.moves_sessions and random.random() < bad_share
            target = random.choice(targets)
            target.bad += is_bad
            target.good += not is_bad
        history.append((replace(base, good=base.good + int(answers_per_s * TICK_S)), targets))
    return False, target_requests


@pytest.mark.parametrize("answers_per_s", [10.0, 29.0, 100.0])
def test_version_that_fails_under_full_load_is_rolled_back_within_the_limit(answers_per_s):
    """Guards against completing a version after too short a time with all requests."""
    results = [play(answers_per_s, 0.5, seed) for seed in SEEDS]
    allowed = LIMIT.allowed_share * answers_per_s * ROLLOUT.duration_s
    allowed += LIMIT.allowed_extra_requests
    assert sum(completes for completes, _ in results) <= 1
    assert all(requests <= allowed for completes, requests in results if not completes)


@pytest.mark.parametrize("answers_per_s", [10.0, 29.0, 100.0])
def test_good_version_is_completed_within_the_limit(answers_per_s):
    """Guards against a time with all requests that a good version can't have."""
    results = [play(answers_per_s, 0.0, seed) for seed in SEEDS]
    allowed = LIMIT.allowed_share * answers_per_s * ROLLOUT.duration_s
    allowed += LIMIT.allowed_extra_requests
    assert all(completes and requests <= allowed for completes, requests in results)


def test_rollout_without_a_server_of_its_target_is_not_completed():
    """Guards against completing a version that never started, after which nothing serves."""
    exposure = replace(LIMIT, service_answers=150, observed_s=15.0)
    row = row_replace(ROLLOUT, share=0.1)
    assert plan_step(row, 16.0, exposure, has_target_servers=False).rolls_back
    assert not plan_step(row, 15.0, exposure, has_target_servers=False).moves_sessions


def test_suspicious_target_is_rolled_back_before_it_exceeds_its_limit():
    """Guards against too many requests to a bad version, at a peak during its last step."""
    row = row_replace(ROLLOUT, share=1.0, settled=True)
    exposure = replace(LIMIT, target_requests=30, service_answers=155, observed_s=15.0)
    assert plan_step(row, 15.0, exposure, is_suspicious=True).moves_sessions
    exposure = replace(exposure, target_requests=45)
    assert plan_step(row, 15.0, exposure, is_suspicious=False).moves_sessions
    assert plan_step(row, 15.0, exposure, is_suspicious=True).rolls_back
