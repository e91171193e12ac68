"""Sequential tests of versions."""

from random import Random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from baobabstream.bench.false_stops import count_false_stops
from baobabstream.policy.version_health import VersionHealth
from baobabstream.wire.messages import VersionEvidence


class VersionHealthTest(TestCase):
    """Guards against bad versions that stay in service and healthy ones that are stopped."""

    def setUp(self) -> None:
        super().setUp()
        self.random = Random(5)
        self.health = VersionHealth()
        self.health.set_baseline("m", "2", "1")
        self.now_s = 0.0
        self.bad = 0

    def serve(self, answers: int, share: float, new: float, old: float = 0.9):
        """Return the first verdict; ``bad`` counts the new version's bad answers."""
        self.bad = 0
        for _ in range(answers):
            self.now_s += 0.1
            is_new = self.random.random() < share
            good = self.random.random() < (new if is_new else old)
            self.bad += is_new and not good
            version = "2" if is_new else "1"
            evidence = VersionEvidence("m", version, 1, 0, int(good), int(not good))
            self.health.observe(evidence, self.now_s)
            found = self.health.verdicts(self.now_s)
            if found:
                return found[0]
        return None

    def test_a_version_that_turns_bad_at_once_is_found_early(self) -> None:
        assert self.serve(2000, 0.5, 0.9) is None
        self.assertThat(self.serve(2000, 0.5, 0.1).version, Equals("2"))
        self.assertThat(self.bad, LessThan(20))

    def test_a_version_that_is_bad_from_a_cold_start_is_found_early(self) -> None:
        """The replaced version has hardly any answers to compare with."""
        for seed in range(20):
            self.random = Random(seed)
            self.health = VersionHealth()
            self.health.set_baseline("m", "2", "1")
            verdict = self.serve(400, 0.5, 0.1)
            assert verdict is not None, f"seed {seed}: not found after {self.bad} bad answers"
            self.assertThat(verdict.version, Equals("2"))
            self.assertThat(self.bad, LessThan(21))

    def test_a_healthy_version_survives_a_cold_start(self) -> None:
        """Few answers of the replaced version must not make ordinary bad answers stand out."""
        stopped = 0
        for seed in range(40):
            self.random = Random(seed)
            self.health = VersionHealth()
            self.health.set_baseline("m", "2", "1")
            stopped += self.serve(400, 0.5, 0.85, old=0.85) is not None
        self.assertThat(stopped, Equals(0))

    def test_a_version_is_found_after_its_rollout(self) -> None:
        """The replaced version gets no more traffic to compare with."""
        assert self.serve(2000, 0.5, 0.9) is None
        assert self.serve(2000, 1.0, 0.9) is None
        self.assertThat(self.serve(2000, 1.0, 0.1).version, Equals("2"))
        self.assertThat(self.bad, LessThan(20))

    def test_ten_points_are_found(self) -> None:
        assert self.serve(4000, 0.5, 0.9) is None
        self.assertThat(self.serve(8000, 0.5, 0.8).version, Equals("2"))
        self.assertThat(self.bad, LessThan(200))

    def test_a_shared_fault_stops_no_version(self) -> None:
        assert self.serve(2000, 0.5, 0.9) is None
        assert self.serve(600, 0.5, 0.2, old=0.2) is None
        assert self.serve(2000, 0.5, 0.9) is None

    def test_errors_count(self) -> None:
        """An engine that reports errors gives no ratings."""
        assert self.serve(1000, 0.5, 0.9) is None
        for number in range(40):
            evidence = VersionEvidence("m", "2", 0, 1)
            self.health.observe(evidence, self.now_s + number)
            self.health.observe(VersionEvidence("m", "1", 1, 0), self.now_s + number)
        self.assertThat(self.health.verdicts(self.now_s + 40), GreaterThan([]))

    def test_healthy_rollouts_go_on(self) -> None:
        self.assertThat(count_false_stops(8, seed=3), Equals(0))
