"""Tests expected times over the size of the prompt."""

from random import Random

import pytest

from baobabstream.routing.response_time_estimator import AnswerTimes


def test_long_prompts_are_expected_to_take_longer():
    """Guards against a long prompt that is sent to a model that cannot read it in time."""
    times, random = AnswerTimes(), Random(1)
    for _ in range(60):
        tokens = random.randrange(200, 12_000)
        times.ratio("large", tokens, 0.15 + tokens * 4e-5)
    assert times.expected_s("large", 500) == pytest.approx(0.17, abs=0.03)
    assert times.expected_s("large", 50_000) == pytest.approx(2.15, abs=0.3)


def test_the_expectation_follows_the_load():
    """Guards against an expectation from a calm time at the crest."""
    times = AnswerTimes()
    for _ in range(50):
        times.ratio("large", 1000, 0.2)
    for _ in range(80):
        times.ratio("large", 1000, 0.6)
    assert times.expected_s("large", 1000) == pytest.approx(0.6, abs=0.1)


def test_one_stuck_answer_changes_little():
    """Guards against one answer of a stalled server that makes slow answers expected."""
    times = AnswerTimes()
    for _ in range(50):
        times.ratio("large", 1000, 0.2)
    assert times.ratio("large", 1000, 20.0) == pytest.approx(100.0)
    assert times.expected_s("large", 1000) < 0.3


def test_nothing_is_expected_before_the_first_answer():
    """Guards against a division by nothing at the start."""
    assert AnswerTimes().expected_s("large", 1000) == 0.0
    assert AnswerTimes().ratio("large", 0, 0.0) == 1.0
