"""Tests when a new version is found bad and how a rollout moves along."""

from dataclasses import replace
from random import Random

import pytest
from msgspec.structs import replace as row_replace

from baobabstream.coordination.rollout_judge import AnswerCounts, EvidenceLedger, RolloutJudge
from baobabstream.coordination.rollout_plan import (
    CANARY_PART,
    Exposure,
    RolloutStep,
    planned_step,
)
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState, ServerEvidence

ROLLOUT = RolloutRow("engine", "v1", "v2", RolloutState.IN_PROGRESS, 0.1, duration_s=20.0)


def answers_until_bad(
    bad_share: float, seed: int, limit: int, base_bad: float = 0.01
) -> int | None:
    """Return after how many answers of the target the judge decides, or None."""
    random = Random(seed)
    judge = RolloutJudge("v1", "v2")
    base = {"b1": AnswerCounts(int(200 * (1 - base_bad)), int(200 * base_bad))}
    target = {"t1": AnswerCounts(), "t2": AnswerCounts()}
    for count in range(1, limit + 1):
        server = target[random.choice(("t1", "t2"))]
        if random.random() < bad_share:
            server.bad += 1
        else:
            server.good += 1
        if judge.judge({"v1": base, "v2": target}):
            return count
    return None


def test_bad_version_is_found_within_the_exposure():
    """Guards against 50 bad answers before a version with 38% failures is stopped."""
    found = [answers_until_bad(0.38, seed, 200) for seed in range(100)]
    assert all(count is not None and count * 0.38 < 50 for count in found)


def test_version_of_a_failing_service_is_not_blamed():
    """Guards against rolling back a good version of a service whose answers often fail."""
    found = [answers_until_bad(0.14, seed, 300, base_bad=0.14) for seed in range(100)]
    assert sum(count is not None for count in found) <= 2


def test_one_faulty_server_does_not_condemn_its_version():
    """Guards against a rollback because a single server of the new version fails."""
    judge = RolloutJudge("v1", "v2")
    target = {"t1": AnswerCounts(0, 60), "t2": AnswerCounts(60, 0)}
    assert not judge.judge({"v1": {"b1": AnswerCounts(200, 2)}, "v2": target})


def test_late_turn_is_found_after_many_good_answers():
    """Guards against a long good history that hides a version that turns bad."""
    judge = RolloutJudge("v1", "v2")
    base = {"b1": AnswerCounts(400, 4)}
    target = {"t1": AnswerCounts(500, 2), "t2": AnswerCounts(500, 2)}
    assert not judge.judge({"v1": base, "v2": target})
    target = {"t1": AnswerCounts(508, 8), "t2": AnswerCounts(508, 8)}
    assert judge.judge({"v1": base, "v2": target})


def test_repeated_reports_count_once():
    """Guards against evidence that grows because a report was sent to several hosts or twice."""
    ledger = EvidenceLedger()
    row = ServerEvidence("engine", "v2", "t1", 5, 3)
    for _ in range(3):
        ledger.report("gw-1", 7, (row,))
    ledger.report("gw-1", 8, (ServerEvidence("engine", "v2", "t1", 1, 0),))
    counts = ledger.totals("engine")["v2"]["t1"]
    assert (counts.good, counts.bad) == (6, 3)


def steps(limit: Exposure, rate: float) -> list[tuple[float, RolloutStep]]:
    """Return the steps of a rollout at a rate of answers per second."""
    row, taken, target = ROLLOUT, [], 0.0
    for tick in range(int(ROLLOUT.duration_s * 5)):
        elapsed_s = tick / 5
        seen = replace(
            limit, target_answers=int(target), all_answers=int(rate * elapsed_s), seen_s=elapsed_s
        )
        step = planned_step(row, elapsed_s, seen)
        target += step.share * rate / 5
        row = row_replace(row, share=step.share, settled=step.settled)
        taken.append((elapsed_s, step))
        if step.complete:
            break
    return taken


@pytest.mark.parametrize("share", [0.15, 0.0975])
@pytest.mark.parametrize("rate", [5.0, 30.0, 60.0, 300.0])
def test_exposure_stays_under_its_limit_until_the_end(rate, share):
    """Guards against a version that shows only late, or never, that it is bad."""
    limit = Exposure(share, 30.0)
    taken = steps(limit, rate)
    exposed = sum(step.share * rate / 5 for _, step in taken)
    assert exposed <= share * rate * ROLLOUT.duration_s + 30
    assert taken[-1][1].complete
    assert taken[-1][0] < ROLLOUT.duration_s


def test_sessions_move_in_the_second_half_only():
    """Guards against conversations that change their version early."""
    for elapsed_s, step in steps(Exposure(0.15, 30.0), 30.0):
        assert not step.settled or elapsed_s > ROLLOUT.duration_s / 2
        assert step.share <= CANARY_PART * 0.15 or step.settled


def test_a_rollout_begins_with_a_share_of_nothing():
    """Guards against sessions that move before the hosts know which ones are alive."""
    assert planned_step(ROLLOUT, 0.5, Exposure(0.15, 30.0)).share == 0.0


def test_a_suspicious_version_stays_a_canary_and_is_rolled_back():
    """Guards against all requests on a version that has looked bad, though not for certain."""
    limit = Exposure(0.15, 30.0, all_answers=400, seen_s=15.0)
    late = planned_step(ROLLOUT, 18.6, limit, log_ratio=4.0)
    assert (late.share, late.settled) == (CANARY_PART * 0.15, False)
    assert planned_step(ROLLOUT, 19.5, limit, log_ratio=4.0).give_up
    settled = row_replace(ROLLOUT, share=1.0, settled=True)
    assert planned_step(settled, 19.5, limit, log_ratio=4.0).give_up
    assert planned_step(ROLLOUT, 19.5, limit, log_ratio=0.5).complete
