"""Tests that a target version whose streams are slower is detected.

The pattern: a version under trial gets few requests, and its streams take twice as long as those of
the base version, but not long enough for a single one to count as bad.
"""

from math import log
from random import Random

import pytest

from baobabstream.coordination.regression_detector import (
    SUSPICIOUS_PACE_LOG_RATIO,
    AnswerCounts,
    RegressionDetector,
)

# Standard deviation of the logarithm of the pace; a stream may take from a third of the expected
# time to three times as long.
SPREAD = 0.6


def make_counts(stream_count: int, median_pace: float, random: Random) -> AnswerCounts:
    """Return good answers with random paces around a median."""
    log_paces = [random.gauss(log(median_pace), SPREAD) for _ in range(stream_count)]
    return AnswerCounts(
        stream_count,
        0,
        stream_count,
        sum(log_paces),
        sum(log_pace * log_pace for log_pace in log_paces),
    )


def judge(target_pace: float, seed: int, server_count: int = 2) -> tuple[bool, float]:
    """Return whether a target with 16 streams is detected as bad, and the evidence against it.

    The base version has 300 streams at 0.8 times the expected time.
    """
    random = Random(seed)
    totals = {
        "v1": {f"b{n}": make_counts(50, 0.8, random) for n in range(6)},
        "v2": {
            f"t{n}": make_counts(16 // server_count, target_pace, random)
            for n in range(server_count)
        },
    }
    detector = RegressionDetector("v1", "v2")
    return detector.update(totals), detector.log_ratio


def test_version_with_slow_streams_is_not_completed():
    """Guards against completing a version that is twice as slow, since no stream is an outlier."""
    evidence = [judge(1.6, seed)[1] for seed in range(200)]
    assert sum(log_ratio >= SUSPICIOUS_PACE_LOG_RATIO for log_ratio in evidence) >= 190


def test_good_version_is_not_stopped_by_chance():
    """Guards against rolling back a version that is as fast as the base version, or faster."""
    for pace in (0.4, 0.8):
        results = [judge(pace, seed) for seed in range(500)]
        assert not any(is_bad for is_bad, _ in results)
        assert sum(log_ratio >= SUSPICIOUS_PACE_LOG_RATIO for _, log_ratio in results) <= 25


def test_very_slow_version_is_stopped_at_once():
    """Guards against a trial that goes on although the streams take six times as long."""
    assert all(judge(5.0, seed)[0] for seed in range(50))


def test_single_slow_server_does_not_stop_its_version():
    """Guards against taking a faulty server for a bad version."""
    random = Random(1)
    totals = {
        "v1": {"b1": make_counts(100, 0.8, random)},
        "v2": {"t1": make_counts(16, 6.0, random), "t2": AnswerCounts()},
    }
    assert not RegressionDetector("v1", "v2").update(totals)


@pytest.mark.parametrize(("base_streams", "target_streams"), [(0, 16), (100, 4), (0, 0)])
def test_few_streams_are_no_evidence(base_streams, target_streams):
    """Guards against a judgement by a handful of streams."""
    random = Random(1)
    totals = {
        "v1": {"b1": make_counts(base_streams, 0.8, random)},
        "v2": {"t1": make_counts(target_streams, 6.0, random)},
    }
    detector = RegressionDetector("v1", "v2")
    assert not detector.update(totals)
    assert detector.log_ratio == 0.0
