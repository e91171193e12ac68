"""Sequential tests that find versions that have become worse than the ones they replace."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from baobabstream.bench.false_stops import count_false_stops
from baobabstream.policy.version_health import VersionHealth
from baobabstream.wire.messages import VersionEvidence


class VersionHealthTest(TestCase):
    """Guards against bad versions that stay in service and healthy ones that are stopped.

    Version 2 of model m replaces version 1, the baseline. ``now_s`` is the simulated time, and
    ``bad_answers`` counts the bad answers of version 2 in the last call of ``serve``.
    """

    def setUp(self) -> None:
        super().setUp()
        self.random = Random(5)
        self.health = VersionHealth()
        self.health.set_baseline("m", "2", "1")
        self.now_s = 0.0
        self.bad_answers = 0

    def serve(
        self, answers: int, new_share: float, new_good_rate: float, old_good_rate: float = 0.9
    ):
        """Simulate answers, one each 0.1 s, up to the first verdict; return it or None.

        Parameters
        ----------
        answers
            Largest number of answers of both versions.
        new_share
            Fraction of the answers that version 2 gives.
        new_good_rate, old_good_rate
            Probability that an answer of version 2 or of version 1 is rated good.
        """
        self.bad_answers = 0
        for _ in range(answers):
            self.now_s += 0.1
            is_new = self.random.random() < new_share
            is_good = self.random.random() < (new_good_rate if is_new else old_good_rate)
            self.bad_answers += is_new and not is_good
            version = "2" if is_new else "1"
            evidence = VersionEvidence("m", version, 1, 0, int(is_good), int(not is_good))
            self.health.observe(evidence, self.now_s)
            verdicts = self.health.verdicts(self.now_s)
            if verdicts:
                return verdicts[0]
        return None

    def test_a_version_that_turns_bad_at_once_is_found_early(self) -> None:
        """The share of good answers falls from 90% to 10%; fewer than 20 bad ones are allowed."""
        assert self.serve(2000, 0.5, 0.9) is None
        self.assertThat(self.serve(2000, 0.5, 0.1).version, Equals("2"))
        self.assertThat(self.bad_answers, LessThan(20))

    def test_a_version_that_is_bad_from_a_cold_start_is_found_early(self) -> None:
        """The replaced version has hardly any answers to compare with, so the prior must help."""
        for seed in range(20):
            self.random = Random(seed)
            self.health = VersionHealth()
            self.health.set_baseline("m", "2", "1")
            verdict = self.serve(400, 0.5, 0.1)
            assert (
                verdict is not None
            ), f"seed {seed}: not found after {self.bad_answers} bad answers"
            self.assertThat(verdict.version, Equals("2"))
            self.assertThat(self.bad_answers, LessThan(21))

    def test_a_healthy_version_survives_a_cold_start(self) -> None:
        """Few answers of the replaced version must not make ordinary bad answers stand out."""
        stopped_versions = 0
        for seed in range(40):
            self.random = Random(seed)
            self.health = VersionHealth()
            self.health.set_baseline("m", "2", "1")
            stopped_versions += self.serve(400, 0.5, 0.85, old_good_rate=0.85) is not None
        self.assertThat(stopped_versions, Equals(0))

    def test_a_version_is_found_after_its_rollout(self) -> None:
        """The replaced version gets no more traffic, so its earlier rate is the reference."""
        assert self.serve(2000, 0.5, 0.9) is None
        assert self.serve(2000, 1.0, 0.9) is None
        self.assertThat(self.serve(2000, 1.0, 0.1).version, Equals("2"))
        self.assertThat(self.bad_answers, LessThan(20))

    def test_a_version_ten_points_worse_is_found(self) -> None:
        """The share of good answers falls from 90% to 80%."""
        assert self.serve(4000, 0.5, 0.9) is None
        self.assertThat(self.serve(8000, 0.5, 0.8).version, Equals("2"))
        self.assertThat(self.bad_answers, LessThan(200))

    def test_a_shared_fault_stops_no_version(self) -> None:
        """Both versions turn bad and recover at the same time."""
        assert self.serve(2000, 0.5, 0.9) is None
        assert self.serve(600, 0.5, 0.2, old_good_rate=0.2) is None
        assert self.serve(2000, 0.5, 0.9) is None

    def test_reported_errors_lead_to_a_verdict(self) -> None:
        """An engine that reports errors gives no answers to rate, only errors to count.

        The numbers in ``VersionEvidence`` are successes, errors, good and bad ratings.
        """
        assert self.serve(1000, 0.5, 0.9) is None
        for second in range(40):
            evidence = VersionEvidence("m", "2", 0, 1)
            self.health.observe(evidence, self.now_s + second)
            self.health.observe(VersionEvidence("m", "1", 1, 0), self.now_s + second)
        self.assertThat(self.health.verdicts(self.now_s + 40), GreaterThan([]))

    def test_healthy_rollouts_are_not_stopped(self) -> None:
        """None of 8 simulated rollouts of a version as good as the old one is stopped."""
        self.assertThat(count_false_stops(8, seed=3), Equals(0))
