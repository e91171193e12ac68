"""Runs the log in a simulated network, with all mechanisms and with one of them switched off.

A schedule is one simulated run with the faults that its seed determines. A mechanism is a rule of
the log, such as to store votes; without it a schedule must end in a ``Violation``. A leader lease
is the time in which only the current leader may serve. A save is a numbered change of a member's
storage, and a learner a member that only receives the log.
"""

from collections.abc import Sequence
from dataclasses import replace

import pytest

from baobabstream.consensus.core import Role
from baobabstream.consensus.records import Answer, Save
from baobabstream.consensus.storage import MemoryStorage
from consensus.simulation import (
    CompactingCore,
    ScheduleOptions,
    Simulation,
    Violation,
    run_schedule,
)

# Seeds of the schedules that run in continuous integration.
CI_SEEDS = range(40)


class _VotesNotSynced(MemoryStorage):
    """Storage that does not store votes."""

    def write(self, saves: Sequence[Save]) -> None:
        super().write([replace(save, vote=None) for save in saves])


class _AnswersBeforeSync(CompactingCore):
    """Core whose answers do not wait for saves."""

    def _make_answer(self, message) -> Answer:
        # Saves are numbered from 1, so save 0 is always durable.
        return Answer(message, 0)


class _NoLeaderLease(CompactingCore):
    """Core whose leader serves without a confirmation by a quorum."""

    def holds_lease(self, now_s: float) -> bool:
        return self.role is Role.LEADER and self.applied_index >= self._term_start_index


class _NoWaitForOldLease(CompactingCore):
    """Core whose new leader serves before the lease of the old one is over."""

    def _become_leader(self, now_s, leader_ages_s):
        actions = super()._become_leader(now_s, leader_ages_s)
        self._serve_after_s = now_s
        return actions


class _PromotesEarly(CompactingCore):
    """Core that promotes learners that have not caught up."""

    def learner_caught_up(self, member_id: str) -> bool:
        return True


class _NoPreVote(CompactingCore):
    """Core that starts an election without a pre-vote."""

    def _campaign(self, now_s, pre_vote, transfer=False):
        # False: an election instead of a pre-vote.
        return super()._campaign(now_s, False, transfer)


# For each mechanism that is switched off: the options, a seed whose schedule depends on the
# mechanism, and a text of the violation that is then reported.
SWITCHED_OFF = {
    "votes are not synced": (ScheduleOptions(storage=_VotesNotSynced), 85, "election safety"),
    "answers do not wait for the sync": (ScheduleOptions(core=_AnswersBeforeSync), 0, "caught up"),
    "no leader lease": (ScheduleOptions(core=_NoLeaderLease), 15, "overlap"),
    "no wait for the old lease": (ScheduleOptions(core=_NoWaitForOldLease), 15, "overlap"),
    "learner promoted early": (ScheduleOptions(core=_PromotesEarly), 0, "before it caught up"),
    "lost disk keeps its identity": (
        ScheduleOptions(lost_disk_keeps_identity=True),
        1,
        "leader completeness",
    ),
}


@pytest.mark.parametrize("seed", CI_SEEDS)
def test_properties_hold_under_faults(seed):
    """Guards against lost, reordered or repeated changes after crashes, cuts and lost disks."""
    assert run_schedule(seed, ScheduleOptions()).accepted_count > 0


@pytest.mark.parametrize("name", SWITCHED_OFF)
def test_each_mechanism_is_needed(name):
    """Guards against checks that cannot fail: without the mechanism the same seed must fail."""
    options, seed, violation = SWITCHED_OFF[name]
    run_schedule(seed, ScheduleOptions())
    with pytest.raises(Violation, match=violation):
        run_schedule(seed, options)


@pytest.mark.parametrize(("core", "expected_terms"), [(CompactingCore, 1), (_NoPreVote, 2)])
def test_isolated_host_does_not_depose_the_leader(core, expected_terms):
    """Guards against a host that returns with a higher term and interrupts a working leader.

    Without pre-votes there is more than one term with a leader; 2 stands for any such number.
    """
    simulation = Simulation(
        # The seed.
        3,
        ScheduleOptions(core=core, injects_random_faults=False, drop_probability=0.0),
    )
    # From 4 s on, for 4 s.
    simulation.isolate("c", 4.0, 4.0)
    simulation.run()
    assert (len(simulation.leader_by_term) == 1) == (expected_terms == 1)


def test_schedules_are_deterministic():
    """Guards against another clock or random source, with which a seed could not be repeated."""
    first, second = (run_schedule(5, ScheduleOptions()) for _ in range(2))
    assert first.leader_by_term == second.leader_by_term
    assert first.accepted_count == second.accepted_count
