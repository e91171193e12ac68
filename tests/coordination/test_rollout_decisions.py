"""Tests when a target version is detected as bad, and the steps of a rollout."""

from dataclasses import replace
from itertools import pairwise
from random import Random

import pytest
from msgspec.structs import replace as row_replace

from baobabstream.coordination.regression_detector import (
    AnswerCounts,
    EvidenceLedger,
    RegressionDetector,
)
from baobabstream.coordination.rollout_plan import (
    MAX_CANARY_SHARE,
    Exposure,
    RolloutStep,
    plan_step,
)
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState, ServerEvidence

ROLLOUT = RolloutRow("engine", "v1", "v2", RolloutState.IN_PROGRESS, duration_s=20.0)
LIMIT = Exposure(0.15, 30.0)


def answers_until_bad(
    bad_share: float, seed: int, answer_limit: int, base_bad_share: float = 0.01
) -> int | None:
    """Return after how many answers the target is detected as bad, or None.

    Parameters
    ----------
    bad_share
        Share of bad answers of the target.
    seed
        Seed of the random answers.
    answer_limit
        Number of answers of the target after which the search ends.
    base_bad_share
        Share of bad answers of the base version, which has given 200 answers.
    """
    random = Random(seed)
    detector = RegressionDetector("v1", "v2")
    base_counts = {"b1": AnswerCounts(int(200 * (1 - base_bad_share)), int(200 * base_bad_share))}
    target_counts = {"t1": AnswerCounts(), "t2": AnswerCounts()}
    for count in range(1, answer_limit + 1):
        server_counts = target_counts[random.choice(("t1", "t2"))]
        if random.random() < bad_share:
            server_counts.bad += 1
        else:
            server_counts.good += 1
        if detector.update({"v1": base_counts, "v2": target_counts}):
            return count
    return None


def test_bad_version_is_detected_within_the_exposure():
    """Guards against 50 bad answers before a version with 38% failures is stopped."""
    answer_counts = [answers_until_bad(0.38, seed, 200) for seed in range(100)]
    assert all(count is not None and count * 0.38 < 50 for count in answer_counts)


def test_no_regression_if_both_versions_fail_equally():
    """Guards against rolling back a version that fails as often as the one it replaces."""
    answer_counts = [answers_until_bad(0.14, seed, 300, base_bad_share=0.14) for seed in range(100)]
    assert sum(count is not None for count in answer_counts) <= 2


def test_one_faulty_server_is_no_regression():
    """Guards against a rollback because a single server of the new version fails."""
    detector = RegressionDetector("v1", "v2")
    target_counts = {"t1": AnswerCounts(0, 60), "t2": AnswerCounts(60, 0)}
    assert not detector.update({"v1": {"b1": AnswerCounts(200, 2)}, "v2": target_counts})


def test_late_regression_is_detected_after_many_good_answers():
    """Guards against a long good history that hides a version that turns bad."""
    detector = RegressionDetector("v1", "v2")
    base_counts = {"b1": AnswerCounts(400, 4)}
    target_counts = {"t1": AnswerCounts(500, 2), "t2": AnswerCounts(500, 2)}
    assert not detector.update({"v1": base_counts, "v2": target_counts})
    target_counts = {"t1": AnswerCounts(508, 8), "t2": AnswerCounts(508, 8)}
    assert detector.update({"v1": base_counts, "v2": target_counts})


def test_repeated_reports_are_counted_once():
    """Guards against counting a report twice that was sent to several hosts or resent."""
    ledger = EvidenceLedger()
    # 5 good and 3 bad answers of the server ``t1``, counted by incarnation 7 of the gateway.
    counter = ServerEvidence("engine", "v2", "t1", 5, 3)
    for _ in range(3):
        ledger.record_counters("gw-1", 7, (counter,))
    # 1 good answer of the same server, counted by incarnation 8 of the gateway.
    ledger.record_counters("gw-1", 8, (ServerEvidence("engine", "v2", "t1", 1, 0),))
    server_counts = ledger.totals("engine")["v2"]["t1"]
    assert (server_counts.good, server_counts.bad) == (6, 3)


def steps(
    limit: Exposure, answers_per_s: float, peak_requests: int = 0
) -> list[tuple[float, RolloutStep]]:
    """Return the steps of ``ROLLOUT``, evaluated five times a second, with their times.

    ``peak_requests`` is the number of requests that the target got beside its share.
    """
    row, timed_steps, target_answers = ROLLOUT, [], float(peak_requests)
    for tick in range(int(ROLLOUT.duration_s * 5)):
        elapsed_s = tick / 5
        exposure = replace(
            limit,
            target_requests=int(target_answers),
            service_answers=int(answers_per_s * elapsed_s),
            observed_s=elapsed_s,
        )
        step = plan_step(row, elapsed_s, exposure)
        target_answers += step.share * answers_per_s / 5
        row = row_replace(row, share=step.share, settled=step.moves_sessions)
        timed_steps.append((elapsed_s, step))
        if step.completes:
            break
    return timed_steps


@pytest.mark.parametrize("allowed_share", [0.15, 0.0975])
@pytest.mark.parametrize("answers_per_s", [5.0, 30.0, 60.0, 300.0])
def test_exposure_stays_under_its_limit_until_the_end(answers_per_s, allowed_share):
    """Guards against too many requests to a bad version that is detected late or never."""
    limit = Exposure(allowed_share, 30.0)
    timed_steps = steps(limit, answers_per_s)
    exposed = sum(step.share * answers_per_s / 5 for _, step in timed_steps)
    assert exposed <= allowed_share * answers_per_s * ROLLOUT.duration_s + 30
    assert timed_steps[-1][1].completes
    assert timed_steps[-1][0] < ROLLOUT.duration_s


def test_peak_during_the_trial_does_not_break_the_limit_at_the_end():
    """Guards against a rollout that ends early although its target has had nearly all it may get.

    From its end to the deadline the target gets all requests.
    """
    answers_per_s, peak_requests = 30.0, 35
    timed_steps = steps(Exposure(0.15, 30.0), answers_per_s, peak_requests)
    exposed = peak_requests + sum(step.share * answers_per_s / 5 for _, step in timed_steps)
    exposed += (ROLLOUT.duration_s - timed_steps[-1][0] - 1 / 5) * answers_per_s
    assert timed_steps[-1][1].completes
    assert exposed <= 0.15 * answers_per_s * ROLLOUT.duration_s + 30


def test_large_service_gets_time_with_all_requests_at_the_new_version():
    """Guards against completing a version that is bad under load only, seen for 0.4 s."""
    timed_steps = steps(Exposure(0.15, 30.0), 150.0)
    full_share_s = [elapsed_s for elapsed_s, step in timed_steps if step.moves_sessions]
    assert full_share_s[-1] - full_share_s[0] >= 1.0


@pytest.mark.parametrize("answers_per_s", [5.0, 30.0, 300.0])
def test_share_never_falls_and_rises_in_the_second_half_only(answers_per_s):
    """Guards against sessions that change their version as the share of the target changes."""
    shares = [(elapsed_s, step.share) for elapsed_s, step in steps(LIMIT, answers_per_s)]
    for (_, earlier_share), (elapsed_s, share) in pairwise(shares):
        assert share >= earlier_share
        assert not earlier_share or share == earlier_share or elapsed_s >= ROLLOUT.duration_s / 2


def test_sessions_move_in_the_second_half_only():
    """Guards against sessions that change their version early in a rollout."""
    for elapsed_s, step in steps(Exposure(0.15, 30.0), 30.0):
        assert not step.moves_sessions or elapsed_s > ROLLOUT.duration_s / 2
        assert step.share <= MAX_CANARY_SHARE or step.moves_sessions


def test_rollout_begins_with_a_share_of_zero():
    """Guards against moving sessions before all hosts know the open ones."""
    assert plan_step(ROLLOUT, 0.5, Exposure(0.15, 30.0)).share == 0.0


def test_suspicious_version_stays_a_canary_and_is_rolled_back():
    """Guards against sending all requests to a version with some evidence against it."""
    limit = Exposure(0.15, 30.0, service_answers=400, observed_s=15.0)
    late_step = plan_step(ROLLOUT, 18.6, limit, is_suspicious=True)
    assert late_step.share <= MAX_CANARY_SHARE
    assert not late_step.moves_sessions
    assert plan_step(ROLLOUT, 19.5, limit, is_suspicious=True).rolls_back
    full_share_row = row_replace(ROLLOUT, share=1.0, settled=True)
    assert plan_step(full_share_row, 19.5, limit, is_suspicious=True).rolls_back
    assert plan_step(ROLLOUT, 19.5, limit).completes
