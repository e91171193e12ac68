"""Runs the log in a simulated network, with all mechanisms and with single ones switched off."""

from collections.abc import Sequence
from dataclasses import replace

import pytest

from baobabstream.consensus.core import Role
from baobabstream.consensus.records import Answer, Save
from baobabstream.consensus.storage import MemoryStorage
from consensus.simulation import CompactingCore, Options, Simulation, Violation, run_schedule

CI_SEEDS = range(40)


class _VotesNotSynced(MemoryStorage):
    def write(self, saves: Sequence[Save]) -> None:
        super().write([replace(save, vote=None) for save in saves])


class _AnswersBeforeSync(CompactingCore):
    def _make_answer(self, message) -> Answer:
        return Answer(message, 0)


class _NoLeaderLease(CompactingCore):
    def holds_lease(self, now_s: float) -> bool:
        return self.role is Role.LEADER and self.applied_index >= self._term_start_index


class _NoWaitForOldLease(CompactingCore):
    def _become_leader(self, now_s, ages_s):
        actions = super()._become_leader(now_s, ages_s)
        self._serve_after_s = now_s
        return actions


class _PromotesEarly(CompactingCore):
    def learner_caught_up(self, member_id: str) -> bool:
        return True


class _NoPreVote(CompactingCore):
    def _campaign(self, now_s, pre_vote, transfer=False):
        return super()._campaign(now_s, False, transfer)


# For each mechanism that is switched off: the options, a seed whose schedule needs it, and the
# property that then fails.
SWITCHED_OFF = {
    "votes are not synced": (Options(storage=_VotesNotSynced), 85, "election safety"),
    "answers do not wait for the sync": (Options(core=_AnswersBeforeSync), 0, "caught up"),
    "no leader lease": (Options(core=_NoLeaderLease), 15, "overlap"),
    "no wait for the old lease": (Options(core=_NoWaitForOldLease), 15, "overlap"),
    "learner promoted early": (Options(core=_PromotesEarly), 0, "before it caught up"),
    "lost disk keeps its identity": (
        Options(lost_disk_keeps_identity=True),
        1,
        "leader completeness",
    ),
}


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_properties_hold_under_faults(seed):
    """Guards against lost, reordered or doubled changes after crashes, cuts and lost disks."""
    assert run_schedule(seed, Options()).accepted_count > 0


@pytest.mark.parametrize("name", SWITCHED_OFF)
def test_each_mechanism_is_needed(name):
    """Guards against checks that cannot fail: without the mechanism the same seed must fail."""
    options, seed, violation = SWITCHED_OFF[name]
    run_schedule(seed, Options())
    with pytest.raises(Violation, match=violation):
        run_schedule(seed, options)


@pytest.mark.parametrize(("core", "terms"), [(CompactingCore, 1), (_NoPreVote, 2)])
def test_isolated_host_does_not_depose_the_leader(core, terms):
    """Guards against a host that returns with a higher term and interrupts a working leader."""
    simulation = Simulation(3, Options(core=core, random_faults=False, drop=0.0))
    simulation.isolate("c", 4.0, 4.0)
    simulation.run()
    assert (len(simulation.leaders) == 1) == (terms == 1)


def test_schedules_are_deterministic():
    """Guards against a hidden clock or random source, which would make seeds worthless."""
    first, second = (run_schedule(5, Options()) for _ in range(2))
    assert first.leaders == second.leaders
    assert first.accepted_count == second.accepted_count
