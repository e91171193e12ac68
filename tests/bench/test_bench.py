"""Bench runs."""

from dataclasses import replace

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan

from baobabstream.bench.runner import policy_maker, run_workload
from baobabstream.bench.workloads import WORKLOADS, workload_named


class BenchTest(TestCase):
    """Guards against a bench that is not reproducible or measures a broken policy."""

    def test_same_seed_same_figures(self) -> None:
        workload = replace(workload_named("crews-start"), duration_s=15.0)
        first = run_workload(workload, ["outcome"], [1])
        self.assertThat(run_workload(workload, ["outcome"], [1]), Equals(first))

    def test_peak_goodput_is_above_the_baseline(self) -> None:
        """Admission must keep the engines at work that is in time."""
        workload = replace(workload_named("bus-peak"), duration_s=32.0, tail_s=1.0)
        results = run_workload(workload, ["outcome", "power-of-two"], [1])["policies"]
        goodput = {
            name: result["figures"]["met_per_s"]["median"] for name, result in results.items()
        }
        self.assertThat(goodput["outcome"], GreaterThan(2 * goodput["power-of-two"]))

    def test_crash_request_loses_two_servers(self) -> None:
        workload = replace(workload_named("crash-request"), duration_s=30.0)
        result = run_workload(workload, ["outcome"], [1])["policies"]["outcome"]
        self.assertThat(result["figures"]["servers_lost"]["max"], Equals(2.0))

    def test_names(self) -> None:
        names = [item.name for item in WORKLOADS]
        self.assertThat(len(set(names)), Equals(len(names)))
        assert policy_maker("outcome-without-nothing") is None
