"""Tests the estimated response times over the size of the prompt."""

from random import Random

import pytest

from baobabstream.routing.response_time_estimator import ResponseTimeEstimator


def test_long_prompts_are_expected_to_take_longer():
    """Guards against sending a long prompt to a model that cannot process it in time."""
    estimator, random = ResponseTimeEstimator(), Random(1)
    for _ in range(60):
        tokens = random.randrange(200, 12_000)
        estimator.slowdown("large", tokens, 0.15 + tokens * 4e-5)
    assert estimator.expected_s("large", 500) == pytest.approx(0.17, abs=0.03)
    assert estimator.expected_s("large", 50_000) == pytest.approx(2.15, abs=0.3)


def test_estimate_adapts_to_the_load():
    """Guards against an estimate under peak load that still rests on responses at low load."""
    estimator = ResponseTimeEstimator()
    for _ in range(50):
        estimator.slowdown("large", 1000, 0.2)
    for _ in range(80):
        estimator.slowdown("large", 1000, 0.6)
    assert estimator.expected_s("large", 1000) == pytest.approx(0.6, abs=0.1)


def test_one_very_slow_response_changes_the_estimate_little():
    """Guards against one response of a stalled server that raises the estimate for all."""
    estimator = ResponseTimeEstimator()
    for _ in range(50):
        estimator.slowdown("large", 1000, 0.2)
    assert estimator.slowdown("large", 1000, 20.0) == pytest.approx(100.0)
    assert estimator.expected_s("large", 1000) < 0.3


def test_estimate_is_zero_before_the_first_response():
    """Guards against a division by zero before the first response."""
    assert ResponseTimeEstimator().expected_s("large", 1000) == 0.0
    assert ResponseTimeEstimator().slowdown("large", 0, 0.0) == 1.0
