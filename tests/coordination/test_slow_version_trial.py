"""Tests whether the trial of a version gathers enough evidence that its streams are slower.

The pattern: a short rollout, during which a version under trial gets a few requests a second, of
which half have streams long enough to be measured; half of its streams take several times as long.
"""

from dataclasses import replace
from math import log
from random import Random

import pytest
from msgspec.structs import replace as row_replace

from baobabstream.coordination.regression_detector import AnswerCounts, RegressionDetector
from baobabstream.coordination.rollout_plan import Exposure, plan_step
from baobabstream.routing.version_evidence import BAD_EVENT_SLOWDOWN
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState

ROLLOUT = RolloutRow("engine", "v1", "v2", RolloutState.IN_PROGRESS, duration_s=15.0)
LIMIT = Exposure(0.15, 30.0)
TICK_S = 0.2
ANSWERS_PER_S = 26.0
# Fraction of the streams that are long enough to be measured.
MEASURED_FRACTION = 0.5
# Fraction of the requests whose sessions began after the rollout; the others stay on the base.
NEW_SESSION_FRACTION = 0.55
# Median and standard deviation of the logarithm of the pace of the base version, and how many times
# as long the slow half of the streams of a bad version takes.
BASE_PACE, SPREAD, SLOW_FACTOR = 0.8, 0.6, 4.0
# Streams of the base version that were measured before the rollout.
EARLIER_STREAMS = 100


def add_streams(counts: AnswerCounts, count: float, slow_share: float, random: Random) -> None:
    """Add the answers of one tick, of which some are measured streams."""
    whole_count = int(count) + (random.random() < count - int(count))
    counts.good += whole_count
    for _ in range(whole_count):
        if random.random() < MEASURED_FRACTION:
            factor = SLOW_FACTOR if random.random() < slow_share else 1.0
            log_pace = random.gauss(log(BASE_PACE * factor), SPREAD)
            if log_pace > log(BAD_EVENT_SLOWDOWN):
                counts.good -= 1
                counts.bad += 1
            counts.paces += 1
            counts.log_pace_sum += log_pace
            counts.log_pace_squares += log_pace * log_pace


def ends_completed(slow_share: float, seed: int, answers_per_s: float = ANSWERS_PER_S) -> bool:
    """Return whether a rollout completes, whose target has a share of slow streams."""
    random = Random(seed)
    base, targets = AnswerCounts(), [AnswerCounts(), AnswerCounts()]
    for _ in range(EARLIER_STREAMS):
        add_streams(base, 1.0, 0.0, random)
    detector = RegressionDetector(ROLLOUT.base, ROLLOUT.target)
    row, answer_count = ROLLOUT, 0.0
    for tick in range(int(ROLLOUT.duration_s / TICK_S)):
        elapsed_s = tick * TICK_S
        totals = {"v1": {"b1": base}, "v2": {"t1": targets[0], "t2": targets[1]}}
        if detector.update(totals):
            return False
        exposure = replace(
            LIMIT,
            target_requests=sum(target.good + target.bad for target in targets),
            service_answers=int(answer_count),
            observed_s=elapsed_s,
        )
        step = plan_step(row, elapsed_s, exposure, detector.is_suspicious(row.share))
        if step.completes or step.rolls_back:
            return step.completes
        row = row_replace(row, share=step.share, settled=step.moves_sessions)
        answer_count += answers_per_s * TICK_S
        target_share = step.share * (1.0 if step.moves_sessions else NEW_SESSION_FRACTION)
        add_streams(base, answers_per_s * TICK_S * (1 - target_share), 0.0, random)
        for target in targets:
            add_streams(target, answers_per_s * TICK_S * target_share / 2, slow_share, random)
    return False


def test_version_of_which_half_the_streams_are_slow_is_not_completed():
    """Guards against completing a slow version since its trial has measured too few streams."""
    assert sum(ends_completed(0.5, seed) for seed in range(300)) <= 3


@pytest.mark.parametrize("answers_per_s", [0.5, 26.0, 300.0])
def test_good_version_is_completed(answers_per_s):
    """Guards against rolling back more than one good version in ten, also with little traffic."""
    completed = sum(ends_completed(0.0, seed, answers_per_s) for seed in range(300))
    assert completed >= 0.9 * 300


def test_canary_gets_the_planned_requests_although_sessions_stay_on_the_base():
    """Guards against a trial with half of the intended requests, too few to judge a version."""
    row, target_requests, service_answers = ROLLOUT, 0.0, 0.0
    for tick in range(int(12.0 / TICK_S)):
        exposure = replace(
            LIMIT,
            target_requests=int(target_requests),
            service_answers=int(service_answers),
            observed_s=tick * TICK_S,
        )
        step = plan_step(row, tick * TICK_S, exposure)
        row = row_replace(row, share=step.share, settled=step.moves_sessions)
        service_answers += ANSWERS_PER_S * TICK_S
        target_requests += ANSWERS_PER_S * TICK_S * step.share * NEW_SESSION_FRACTION
    # Half of the share that the limit allows; the rest is for the step with all requests.
    assert target_requests >= 0.5 * LIMIT.allowed_share * service_answers


def test_version_whose_streams_are_hardly_ever_measured_is_suspicious():
    """Guards against completing a version as nothing speaks against it, for lack of evidence."""
    random = Random(1)
    base, target = AnswerCounts(), AnswerCounts()
    detector = RegressionDetector("v1", "v2")
    detector.update({"v1": {"b1": base}, "v2": {"t1": target}})
    add_streams(base, 400.0, 0.0, random)
    add_streams(target, 4.0, 0.0, random)
    detector.update({"v1": {"b1": base}, "v2": {"t1": target}})
    assert detector.is_suspicious(share=0.1)
    add_streams(target, 36.0, 0.0, random)
    detector.update({"v1": {"b1": base}, "v2": {"t1": target}})
    assert not detector.is_suspicious(share=0.1)
