"""Tests how a group that admits unknown hosts grows and replaces lost members.

A membership consists of voters, which elect the leader and commit entries, and of learners, which
only receive the log. Joiners are members that ask to be admitted. A silent voter has not answered
for so long that a learner may replace it.
"""

import pytest

from baobabstream.consensus.membership_log import next_membership
from baobabstream.wire.consensus_messages import Member, Membership

A, B, C, D, E, F = (Member(f"{host}#1", host) for host in "abcdef")
FIVE = Membership((A, B, C, D, E))


def apply_all_changes(
    membership: Membership, joiners=(), silent_members=(), wanted_voters=5
) -> list[Membership]:
    """Return the memberships after each change until none is needed; all learners caught up.

    ``joiners`` and ``silent_members`` are members; ``wanted_voters`` is the number of voters to
    which the group grows.
    """
    changes = []
    joining_members = {member.host: member for member in joiners}
    while True:
        change = next_membership(
            membership,
            joining_members,
            lambda _: True,
            lambda member_id: member_id in {member.member_id for member in silent_members},
            wanted_voters,
        )
        if change is None:
            return changes
        changes.append(change)
        membership = change
        # The changes must come to an end; no test here needs as many.
        assert len(changes) < 20


def test_group_grows_from_its_founders_to_the_wanted_size():
    """Guards against hosts that stay without a vote because the settings do not name them."""
    changes = apply_all_changes(Membership((A, B, C)), [D, E, F])
    assert changes[-1] == Membership((A, B, C, D, E), (F,))


def test_each_change_moves_one_voter():
    """Guards against two majorities that share no member during a change."""
    before = Membership((A, B, C))
    for after in apply_all_changes(before, [D, E]):
        # Voters in one of the two memberships only.
        assert len(set(before.voters) ^ set(after.voters)) <= 1
        before = after


def test_new_host_replaces_a_silent_voter():
    """Guards against a replaced host that leaves the group with one voter less."""
    changes = apply_all_changes(FIVE, [F], [C])
    assert [len(change.voters) for change in changes] == [5, 4, 5]
    assert set(changes[-1].voters) == {A, B, D, E, F}


def test_responsive_voters_are_not_replaced():
    """Guards against a spare host that replaces a healthy voter."""
    assert apply_all_changes(FIVE, [F]) == [Membership(FIVE.voters, (F,))]


def test_silent_voter_stays_without_a_successor():
    """Guards against a group that shrinks during an outage and loses what it stored."""
    assert apply_all_changes(FIVE, silent_members=[B, C]) == []


def test_group_with_too_many_voters_removes_a_silent_one():
    """Guards against a planned replacement after which the removed host still has a vote."""
    oversized = Membership((A, B, C, D, E, F))
    assert apply_all_changes(oversized, silent_members=[A])[-1] == Membership((B, C, D, E, F))


def test_member_with_emptied_disk_replaces_the_former_member_of_its_host():
    """Guards against votes of both a member that no longer exists and its successor."""
    replacement = Member("c#2", "c")
    changes = apply_all_changes(FIVE, [replacement])
    assert set(changes[-1].voters) == {A, B, replacement, D, E}
    assert all(not {C, replacement} <= set(change.voters) for change in changes)


@pytest.mark.parametrize("wanted_voters", [0, 5])
def test_lagging_learner_gets_no_vote(wanted_voters):
    """Guards against a voter that does not store all committed entries.

    E has not caught up, and all voters are silent. 0 wanted voters stand for no bound.
    """
    group = Membership((A, B, C, D), (E,))
    change = next_membership(group, {}, lambda _: False, lambda _: True, wanted_voters)
    assert change is None
