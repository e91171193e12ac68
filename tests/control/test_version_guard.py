"""Evidence reported by entry hosts stops a bad version and returns traffic to the old one.

Evidence is counts of successes and errors per model version. A verdict names a version that the
health test has found bad.
"""

from random import Random

from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, LessThan

from baobabstream.control.commands import AdvanceRollout, Command, ConfigChange
from baobabstream.control.evidence_deduplicator import EvidenceDeduplicator
from baobabstream.control.state import ConfigState
from baobabstream.control.version_guard import VersionGuard
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.policy.version_health import VersionHealth
from baobabstream.wire.messages import PollRequest, VersionEvidence
from baobabstream.wire.rows import RolloutRow, RolloutState, VersionRow, VersionState


class GuardedRollout:
    """A version guard over a state with a running rollout.

    ``failing_proposals`` is the number of proposals that fail before one is committed.
    """

    def __init__(self, failing_proposals: int = 0) -> None:
        self.state = ConfigState()
        self.failing_proposals = failing_proposals
        rows = (
            VersionRow("m", "1", 1.0),
            VersionRow("m", "2", 1.0),
            RolloutRow("r", "m", "1", "2"),
        )
        self.state.apply(ConfigChange("c", "op", 0, rows))
        # From state LOADING and step 0 to state RUNNING, step 1 and a quarter of the traffic.
        start_traffic = AdvanceRollout("r", RolloutState.LOADING, 0, RolloutState.RUNNING, 1, 0.25)
        self.state.apply(start_traffic)
        # 0.001 is the largest fraction of rollouts of healthy versions that may be stopped.
        self.guard = VersionGuard(self.state, VersionHealth(0.001), self.propose)

    async def propose(self, command: Command):
        """Apply a command, or fail as if the log could not commit it."""
        if self.failing_proposals:
            self.failing_proposals -= 1
            raise PeerError(ResultCode.CHANGE_UNKNOWN)
        return self.state.apply(command)

    async def count_bad_answers_until_stop(self) -> int:
        """Report results of both versions and return the new version's bad answers until its stop.

        The new version is good for 300 answers and then only gives errors.
        """
        random = Random(4)
        bad_answers = 0
        for step in range(1000):
            now_s = step * 0.1
            is_bad = step >= 300
            # The numbers count successes and errors; in 1 of 100 steps the old version has none.
            old_evidence = VersionEvidence("m", "1", 0 if random.random() < 0.01 else 1, 0)
            new_evidence = VersionEvidence("m", "2", 0 if is_bad else 1, 1 if is_bad else 0)
            self.guard.observe(
                [old_evidence, new_evidence, VersionEvidence("absent", "1", 0, 1)], now_s
            )
            bad_answers += is_bad
            await self.guard.stop_bad_versions(now_s)
            if self.state.row("version/m@2").state is VersionState.STOPPED:
                break
        return bad_answers


async def test_bad_version_is_stopped_and_traffic_returns() -> None:
    """Guards against a bad version that keeps its traffic until an operator acts."""
    guarded = GuardedRollout()
    assert_that(await guarded.count_bad_answers_until_stop(), LessThan(21))
    row = guarded.state.row("rollout/r")
    assert_that((row.state, row.share), Equals((RolloutState.STOPPED, 0.0)))
    assert_that(guarded.state.row("version/m@1").state, Is(VersionState.ACTIVE))


async def test_verdict_survives_a_failed_proposal() -> None:
    """Guards against a verdict that is lost because the log could not commit the stop at once."""
    guarded = GuardedRollout(failing_proposals=5)
    assert_that(await guarded.count_bad_answers_until_stop(), LessThan(30))
    assert_that(guarded.state.row("version/m@2").state, Is(VersionState.STOPPED))


def test_evidence_is_counted_once() -> None:
    """Guards against results counted twice when a poll is sent again or overtakes another."""
    deduplicator = EvidenceDeduplicator()
    evidence = (VersionEvidence("m", "1", 0, 1),)

    def is_accepted(sequence: int, incarnation: int = 1) -> bool:
        """Return whether the evidence of a poll with this sequence number is counted."""
        request = PollRequest("h", incarnation, "z", 0, 0, 0, 0, sequence, evidence)
        return bool(deduplicator.accept(request))

    acceptances = [is_accepted(n) for n in (1, 1, 3, 2, 3, 2, 4)]
    assert_that(acceptances, Equals([True, False, True, True, False, False, True]))
    assert_that(is_accepted(1, incarnation=2), Is(True))
    assert_that([is_accepted(n) for n in range(10, 300, 2)], Equals([True] * 145))
