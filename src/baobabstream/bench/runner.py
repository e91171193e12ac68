"""Runs workloads under several policies and seeds, and sums up the figures."""

from collections.abc import Sequence
from dataclasses import asdict, fields
from statistics import median
from typing import Any

from baobabstream.bench.aims import check_aims
from baobabstream.bench.metrics import measure
from baobabstream.bench.workload import Workload
from baobabstream.bench.workloads import workload_named
from baobabstream.bench.world import PolicyMaker, World
from baobabstream.policy.baselines import LeastInFlight, PowerOfTwo, RoundRobin
from baobabstream.policy.outcome_policy import OutcomePolicy
from baobabstream.policy.switches import PolicySwitches

__all__ = ["POLICIES", "REFERENCES", "policy_maker", "run_workload"]

POLICIES = ("outcome", "round-robin", "least-in-flight", "power-of-two")
OFF_PREFIX = "outcome-without-"
REFERENCES = {
    "gate-histories": ("gate-checks-only", "gate-histories-only"),
    "slowed-servers": ("unslowed-servers",),
}
# Policies whose figures on the same workload an aim refers to.
PEERS = {"many-entries": ("power-of-two",)}


def policy_maker(name: str) -> PolicyMaker | None:
    """Return a maker of a policy; ``outcome-without-SWITCH`` has one mechanism off."""
    if name == "outcome":
        return lambda random, zone: OutcomePolicy(random, zone)
    if name.startswith(OFF_PREFIX):
        switch = name.removeprefix(OFF_PREFIX).replace("-", "_")
        if switch not in {item.name for item in fields(PolicySwitches)}:
            return None
        switches = PolicySwitches(**{switch: False})
        return lambda random, zone: OutcomePolicy(random, zone, switches)
    makers: dict[str, PolicyMaker] = {
        "round-robin": lambda random, _zone: RoundRobin(random),
        "least-in-flight": lambda random, _zone: LeastInFlight(random),
        "power-of-two": lambda random, _zone: PowerOfTwo(random),
    }
    return makers.get(name)


def run_workload(
    workload: Workload, policies: Sequence[str], seeds: Sequence[int]
) -> dict[str, Any]:
    """Run a workload and return the figures per policy.

    Raises
    ------
    ValueError
        A policy is not known.
    """
    results: dict[str, Any] = {"workload": workload.name, "seeds": list(seeds), "policies": {}}
    for name in policies:
        make = policy_maker(name)
        if make is None:
            raise ValueError(f"no policy {name}")
        runs = [_run(workload, make, seed) for seed in seeds]
        references = [_references(workload, make, seed) for seed in seeds]
        results["policies"][name] = {
            "figures": {key: _spread([run[key] for run in runs]) for key in runs[0]},
            "aims": [asdict(item) for item in check_aims(workload, runs, references)],
        }
    return results


def _references(workload: Workload, make: PolicyMaker, seed: int) -> dict[str, dict[str, float]]:
    others = {other: _run(_known(other), make, seed) for other in REFERENCES.get(workload.name, ())}
    for name in PEERS.get(workload.name, ()):
        peer = policy_maker(name)
        assert peer is not None
        others[name] = _run(workload, peer, seed)
    return others


def _known(name: str) -> Workload:
    workload = workload_named(name)
    assert workload is not None
    return workload


def _run(workload: Workload, make: PolicyMaker, seed: int) -> dict[str, float]:
    world = World(workload, make, seed)
    world.run()
    return measure(world)


def _spread(values: Sequence[float]) -> dict[str, float]:
    return {
        "min": round(min(values), 4),
        "median": round(median(values), 4),
        "max": round(max(values), 4),
    }
