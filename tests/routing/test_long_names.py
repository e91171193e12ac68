"""Tests that names of any length and number, as callers choose them, are not kept in memory."""

from baobabstream.routing.response_time_estimator import MAX_SERIES, ResponseTimeEstimator
from baobabstream.routing.stable_hashing import MAX_KEY_LENGTH, short_key

LONG_NAME_LENGTH = 16_000


def test_long_names_are_remembered_by_a_short_key():
    """Guards against caches whose keys callers make as long as a head may be."""
    names = ["n" * LONG_NAME_LENGTH, "m" + "n" * (LONG_NAME_LENGTH - 1), "n" * MAX_KEY_LENGTH]
    keys = [short_key(name) for name in names]
    assert len(set(keys)) == len(names)
    assert max(map(len, keys)) <= MAX_KEY_LENGTH
    assert short_key("llama-7b") == "llama-7b"


def test_many_models_of_callers_are_not_all_remembered():
    """Guards against an estimate for each model that any caller has ever named."""
    estimator = ResponseTimeEstimator()
    assert estimator.slowdown("real", 1, 1.0) == 1.0
    for number in range(MAX_SERIES - 1):
        estimator.slowdown("m" * LONG_NAME_LENGTH + str(number), 1, 1.0)
    assert estimator.expected_s("real", 1) == 1.0
    estimator.slowdown("one more", 1, 1.0)
    assert estimator.expected_s("real", 1) == 0.0
