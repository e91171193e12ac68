"""Tests how a group that admits unknown hosts grows and replaces lost members."""

import pytest

from baobabstream.consensus.membership_log import next_membership
from baobabstream.wire.consensus_messages import Member, Membership

A, B, C, D, E, F = (Member(f"{host}#1", host) for host in "abcdef")
FIVE = Membership((A, B, C, D, E))


def steps(membership: Membership, joiners=(), silent=(), wanted_voters=5) -> list[Membership]:
    """Return all changes until none is needed, with every learner caught up."""
    taken = []
    asking = {item.host: item for item in joiners}
    while True:
        change = next_membership(
            membership,
            asking,
            lambda _: True,
            lambda member_id: member_id in {item.member_id for item in silent},
            wanted_voters,
        )
        if change is None:
            return taken
        taken.append(change)
        membership = change
        assert len(taken) < 20


def test_group_grows_from_its_founders_to_the_wanted_size():
    """Guards against hosts that stay without a vote because the settings do not name them."""
    taken = steps(Membership((A, B, C)), [D, E, F])
    assert taken[-1] == Membership((A, B, C, D, E), (F,))


def test_each_change_moves_one_voter():
    """Guards against two majorities that share no member during a change."""
    before = Membership((A, B, C))
    for after in steps(before, [D, E]):
        assert len(set(before.voters) ^ set(after.voters)) <= 1
        before = after


def test_new_host_replaces_a_silent_voter():
    """Guards against a group that survives one loss less after each replaced host."""
    taken = steps(FIVE, [F], [C])
    assert [len(item.voters) for item in taken] == [5, 4, 5]
    assert set(taken[-1].voters) == {A, B, D, E, F}


def test_voters_that_answer_keep_their_place():
    """Guards against a spare host that pushes out a healthy one."""
    assert steps(FIVE, [F]) == [Membership(FIVE.voters, (F,))]


def test_silent_voter_stays_without_a_successor():
    """Guards against a group that shrinks during an outage and loses what it stored."""
    assert steps(FIVE, silent=[B, C]) == []


def test_a_crowded_group_drops_a_silent_voter():
    """Guards against a planned replacement that leaves a vote with the removed host."""
    crowded = Membership((A, B, C, D, E, F))
    assert steps(crowded, silent=[A])[-1] == Membership((B, C, D, E, F))


def test_emptied_disk_takes_the_place_of_its_host():
    """Guards against a vote of a member that no longer exists beside its successor's."""
    again = Member("c#2", "c")
    taken = steps(FIVE, [again])
    assert set(taken[-1].voters) == {A, B, again, D, E}
    assert all(not {C, again} <= set(item.voters) for item in taken)


@pytest.mark.parametrize("wanted_voters", [0, 5])
def test_learner_that_lags_gets_no_vote(wanted_voters):
    """Guards against a voter that does not hold what is committed."""
    group = Membership((A, B, C, D), (E,))
    change = next_membership(group, {}, lambda _: False, lambda _: True, wanted_voters)
    assert change is None
