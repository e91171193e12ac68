"""Tests single rules of the Raft core. Times are seconds.

A term is a numbered period with at most one leader. An append is a request of the leader with log
entries; its reply says whether it was accepted and up to which index the logs match. A leader lease
is the time in which only the current leader may serve, 1.5 s from the sending of requests that a
quorum, a majority of the voters, acknowledged. Members give no vote for 0.5 s after they heard a
leader or were started. A save is a change that is durable once it is reported to the core.
"""

from random import Random

import pytest

from baobabstream.consensus.core import RaftCore, Role
from baobabstream.consensus.membership_log import encode_membership, next_membership
from baobabstream.consensus.records import Answer, DurableState, Save, Timing, VoteState
from baobabstream.wire.consensus_messages import (
    AppendReply,
    AppendRequest,
    EntryKind,
    LogEntry,
    Member,
    Membership,
    VoteReply,
    VoteRequest,
)

# A member has an id and a host.
A, B, C = (Member(f"{host}#1", host) for host in "abc")
# First entry of the log (index 1, term 1): the membership of the group.
MEMBERSHIP_ENTRY = LogEntry(1, 1, EntryKind.MEMBERSHIP, encode_membership(Membership((A, B, C))))


def make_core(core_class=RaftCore, term=1, entries=(MEMBERSHIP_ENTRY,)) -> RaftCore:
    """Return member A of a group of three, as a follower that was started at time 0.

    ``term`` is its current term and ``entries`` its log.
    """
    durable = DurableState(VoteState(term), entries=entries)
    # The seed of the random source is 1; a leader's first entry of a term has no payload.
    return core_class(A, durable, Timing(), Random(1), 0.0, lambda term: b"")


def make_leader(core_class=RaftCore, entries=(MEMBERSHIP_ENTRY,)) -> RaftCore:
    """Return member A as leader of term 4, elected by B at time 2.

    Its log holds ``entries`` and then the first entry of its term.
    """
    # Term 3; the election raises it to 4. At time 2 the election timeout is over.
    core = make_core(core_class, 3, entries)
    save_all(core, core.tick(2.0))
    for _ in ("pre-vote", "vote"):
        request = core.request_for(B.member_id, 2.0)
        # The vote is granted (True) by a voter that heard the last leader 2 s ago; the request was
        # sent and answered at time 2.
        save_all(core, core.handle_reply(request, VoteReply(core.term, True, 2.0), 2.0, 2.0))
    assert core.role is Role.LEADER
    return core


def save_all(core: RaftCore, actions) -> None:
    """Report all saves among the actions as durable at time 2, and those that follow from them."""
    for save in [action for action in actions if isinstance(action, Save)]:
        save_all(core, core.on_saved(save.sequence, 2.0))


class _CommitsAnyTerm(RaftCore):
    """Core that commits entries of earlier terms as soon as a quorum stores them."""

    def _advance_commit(self, now_s):
        # The index up to which each of the three members stores the log; two store it up to the
        # middle one.
        matches = sorted([self.saved_index, *(p.match_index for p in self._progress.values())])
        return self._commit_through(matches[1])


@pytest.mark.parametrize(("core_class", "committed_index"), [(RaftCore, 0), (_CommitsAnyTerm, 2)])
def test_earlier_terms_are_not_committed_by_counting(core_class, committed_index):
    """Guards against committing an old entry that a later leader may still replace.

    Entry 2 is of term 2, and entry 3 the leader's first one of term 4. The core that ignores terms
    commits entry 2 as soon as B stores it.
    """
    core = make_leader(core_class, (MEMBERSHIP_ENTRY, LogEntry(2, 2, EntryKind.COMMAND, b"old")))
    # In term 4, after the entry with index 1 and term 1, without entries, with commit index 0.
    request = AppendRequest(A.member_id, B.member_id, 4, 1, 1, (), 0)
    # The replies of term 4 accept the append (True); B stores the log up to index 2, then 3.
    core.handle_reply(request, AppendReply(4, True, 2), 2.0, 2.0)
    assert core.commit_index == committed_index
    core.handle_reply(request, AppendReply(4, True, 3), 2.0, 2.0)
    assert core.commit_index == 3


def test_lease_counts_from_when_the_append_was_sent():
    """Guards against a lease that replies which arrive late make too long."""
    core = make_leader()
    # Sent at 3.0 and answered at 4.2: the lease ends at 4.5.
    request = core.request_for(B.member_id, 3.0)
    core.handle_reply(request, AppendReply(4, True, 2), 3.0, 4.2)
    assert core.lease_end_s() == 3.0 + Timing().lease_s
    assert not core.holds_lease(4.6)
    core.tick(4.6)
    assert core.role is Role.FOLLOWER


def test_silent_voter_is_not_responsive():
    """Guards against a group that reports ready while the loss of another host would stop it."""
    # A voter is responsive if it acknowledged a request sent within the last 0.5 s, which is five
    # heartbeat intervals. At 3.9 the last acknowledged request to C is 0.9 s old.
    core = make_leader()
    for peer in (B, C):
        request = core.request_for(peer.member_id, 3.0)
        core.handle_reply(request, AppendReply(4, True, 2), 3.0, 3.1)
    assert core.all_voters_responsive(3.4)
    request = core.request_for(B.member_id, 3.8)
    core.handle_reply(request, AppendReply(4, True, 2), 3.8, 3.9)
    assert not core.all_voters_responsive(3.9)


def test_vote_is_given_once_per_term_and_after_it_is_saved():
    """Guards against two leaders in one term.

    B and C ask for a vote in term 2; the last entry of their logs has index 1 and term 1.
    """
    core = make_core()
    first, second = (VoteRequest(m.member_id, A.member_id, 2, 1, 1) for m in (B, C))
    save, answer = core.handle(first, 3.0)[-2:]
    assert save.vote == VoteState(2, B.member_id)
    # Granted (True); no leader was heard for 3 s. The answer waits for the save of the vote.
    assert answer == Answer(VoteReply(2, True, 3.0), save.sequence)
    assert not core.handle(second, 3.0)[-1].message.granted


def test_no_vote_against_a_leader_that_was_just_heard():
    """Guards against a vote during the lease of another leader, also just after a restart.

    At 0.3 s after the start the vote is refused, unless the leader gave its lease up (transfer).
    """
    core = make_core()
    early_request = VoteRequest(B.member_id, A.member_id, 2, 1, 1)
    assert not core.handle(early_request, 0.3)[-1].message.granted
    transfer_request = VoteRequest(B.member_id, A.member_id, 2, 1, 1, transfer=True)
    assert core.handle(transfer_request, 0.3)[-1].message.granted


@pytest.mark.parametrize("is_leader", [True, False])
def test_due_times_cover_all_effects_of_time(is_leader):
    """Guards against a caller that sleeps past an election, a heartbeat or the end of a lease."""
    core = make_leader() if is_leader else make_core()
    if is_leader:
        # Answer until there is nothing to send before the next heartbeat.
        while (request := core.request_for(B.member_id, 2.0)) is not None:
            core.handle_reply(request, AppendReply(4, True, 2), 2.0, 2.0)
        due_s = core.request_due_s(B.member_id)
        assert core.request_for(B.member_id, due_s - 0.01) is None
        assert core.request_for(B.member_id, due_s) is not None
    # A leader steps down at the end of its lease; a follower starts an election.
    start_s = 2.0 if is_leader else 0.0
    role = core.role
    tick_s = core.tick_due_s(start_s)
    core.tick(tick_s - 0.01)
    assert core.role is role
    core.tick(tick_s)
    assert core.role is not role


def test_leadership_transfer_gives_up_the_lease():
    """Guards against an old leader that still serves while its successor does."""
    core = make_leader()
    request = core.request_for(B.member_id, 5.0)
    core.handle_reply(request, AppendReply(4, True, 2), 5.0, 5.0)
    assert core.holds_lease(5.1)
    assert core.start_leadership_transfer()
    assert not core.holds_lease(5.1)
    # Item 0 is the new entry; there is none, since the command is refused.
    assert core.propose(b"late")[0] is None
    assert core.request_for(B.member_id, 5.1).receiver == B.member_id


def test_repair_steps():
    """Guards against promoting a learner before it caught up, and against two changes at once.

    Host a lost its disk, so it asks to join as a new member. A learner only receives the log. The
    functions given to ``next_membership`` say whether the learner has caught up.
    """
    new = Member("a#2", "a")
    group = Membership((A, B, C))
    learner = next_membership(group, {"a": new}, lambda _: False)
    assert learner == Membership((A, B, C), (new,))
    assert next_membership(learner, {"a": new}, lambda _: False) is None
    removed = next_membership(learner, {"a": new}, lambda _: True)
    assert removed == Membership((B, C), (new,))
    assert next_membership(removed, {}, lambda _: False) is None
    assert next_membership(removed, {}, lambda _: True) == Membership((B, C, new))


def test_a_read_is_confirmed_by_messages_sent_after_it():
    """Guards against a deposed leader that answers from its state before it was suspended.

    A request that was sent at 3.0 and acknowledged confirms a read that began at 2.9, but not one
    that began at 3.05, although the reply came later. A follower confirms none.
    """
    core = make_leader()
    own_entry_index = core.log.last_index
    request = core.request_for(B.member_id, 3.0)
    core.handle_reply(request, AppendReply(4, True, own_entry_index), 3.0, 3.1)
    assert core.quorum_confirmed_since(2.9)
    assert not core.quorum_confirmed_since(3.05)
    assert not make_core().quorum_confirmed_since(0.0)


def test_a_new_leader_confirms_no_read_before_its_own_entry():
    """Guards against a read that misses what an earlier leader had committed."""
    core = make_leader()
    request = core.request_for(B.member_id, 3.0)
    # B refuses the append (False), so the leader's first entry is not committed.
    core.handle_reply(request, AppendReply(4, False, 0), 3.0, 3.1)
    assert not core.quorum_confirmed_since(2.9)


def test_restarted_member_has_caught_up_only_with_what_was_committed():
    """Guards against serving the state of the disk, in which a withdrawn key may still be valid.

    Member A restarts with a log up to index 2 of term 3. Its leader B of term 4 has committed index
    3 in its own term, and at first knows only that index 1 of an earlier term is committed.
    """
    core = make_core(
        term=4, entries=(MEMBERSHIP_ENTRY, LogEntry(2, 3, EntryKind.COMMAND, b"withdraw key"))
    )
    own_entry = LogEntry(3, 4, EntryKind.COMMAND, b"")
    for entries, commit_index, has_caught_up in (
        ((), 1, False),
        ((), 3, False),
        ((own_entry,), 3, True),
    ):
        request = AppendRequest(B.member_id, A.member_id, 4, 2, 3, entries, commit_index)
        save_all(core, core.handle(request, 2.0))
        assert core.has_caught_up is has_caught_up


def test_leader_has_caught_up_with_its_own_first_entry():
    """Guards against a new leader that serves what it had applied before its election."""
    core = make_leader()
    assert not core.has_caught_up
    request = AppendRequest(A.member_id, B.member_id, 4, 1, 1, (), 0)
    core.handle_reply(request, AppendReply(4, True, 2), 2.0, 2.0)
    assert core.has_caught_up
