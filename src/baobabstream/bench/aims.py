"""Aims of the design page, checked on the figures of a workload."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from baobabstream.bench.fake_engine import EngineSpeed
from baobabstream.bench.workload import Workload
from baobabstream.policy.plan_choice import Plan, cheapest_mix_cost

__all__ = ["AIMS", "Aim", "AimResult", "check_aims"]

Figures = Mapping[str, float]
References = Mapping[str, Figures]


@dataclass(frozen=True, slots=True)
class Aim:
    """One aim.

    Attributes
    ----------
    value
        Computes the measured value from the figures and those of the reference workloads.
    at_most
        Whether the value must be at most the limit, otherwise at least.
    """

    text: str
    value: Callable[[Figures, References], float]
    limit: float
    at_most: bool = True

    def passed(self, value: float) -> bool:
        """Return whether a value passes."""
        return value <= self.limit if self.at_most else value >= self.limit


@dataclass(frozen=True, slots=True)
class AimResult:
    """Values of an aim over the seeds, and whether the worst one passes."""

    text: str
    values: tuple[float, ...]
    limit: float
    passed: bool


def _figure(name: str) -> Callable[[Figures, References], float]:
    return lambda figures, _references: figures[name]


def _ratio(name: str, reference: str) -> Callable[[Figures, References], float]:
    return lambda figures, references: figures[name] / max(1e-9, references[reference][name])


def _of(name: str, whole: float) -> Callable[[Figures, References], float]:
    return lambda figures, _references: figures[name] / whole


def _without(name: str) -> Callable[[Figures, References], float]:
    return lambda figures, _references: 1.0 - figures[name]


def _above(name: str, target: float) -> Callable[[Figures, References], float]:
    return lambda figures, _references: figures[name] - target


def serveable_per_s(engines: int, output_tokens: float, prompt_tokens: float) -> float:
    """Return the requests per second that full batches serve."""
    speed = EngineSpeed()
    gap_s = speed.gap_s + speed.gap_per_job_s * speed.slots
    read_s = prompt_tokens / speed.prefill_tokens_per_s
    return engines / (output_tokens * gap_s / speed.slots + read_s)


def oracle_cost(workload: Workload, class_name: str) -> float:
    """Return the cost of the cheapest mix of versions for one who knows their qualities."""
    target = next(row for row in workload.classes if row.name == class_name)
    plans = [
        Plan(row, None, workload.true_quality(row.model, row.version, 0.0), row.cost_per_1k_tokens)
        for row in workload.versions
    ]
    return cheapest_mix_cost(plans, target.quality)


_HEDGES = Aim("hedges and moves per request", _figure("hedge_share"), 0.05)
_MET = Aim("admitted requests that meet the target", _figure("met_share_of_admitted"), 0.99, False)

AIMS: dict[str, tuple[Aim, ...]] = {
    "bus-peak": (
        _MET,
        Aim(
            "goodput in the peak, of what full batches serve",
            _of("peak_goodput_per_s", serveable_per_s(6, 100, 200)),
            0.95,
            False,
        ),
        Aim("p99 time to a refusal in ms", _figure("refusal_p99_ms"), 50.0),
        Aim("callers admitted on return", _figure("returns_admitted_share"), 0.9, False),
        Aim("seconds to normal after the peak", _figure("normal_after_s"), 5.0),
        Aim("small accounts' requests met in the peak", _figure("small_met_share"), 0.95, False),
    ),
    "many-entries": (
        Aim("share of requests refused", _without("admitted_share"), 0.01),
        Aim(
            "p99 time to first token to that of power of two choices",
            _ratio("answer_first_p99_ms", "power-of-two"),
            1.0,
        ),
        Aim(
            "p99 total time to that of power of two choices",
            _ratio("answer_total_p99_ms", "power-of-two"),
            1.0,
        ),
    ),
    "crews-start": (_MET, _HEDGES),
    "gate-histories": (
        Aim(
            "p99 of checks to p99 without long work",
            _ratio("check_total_p99_ms", "gate-checks-only"),
            1.2,
        ),
        Aim(
            "long throughput to that without checks",
            _ratio("history_tokens_per_s", "gate-histories-only"),
            0.9,
            False,
        ),
        _HEDGES,
    ),
    "slowed-servers": (
        Aim("p99 to unslowed p99", _ratio("answer_total_p99_ms", "unslowed-servers"), 1.5),
        _HEDGES,
    ),
    "bad-at-once": (
        Aim("bad answers", _figure("bad_answers"), 20.0),
        Aim("seconds of new work after the stop", _figure("new_work_after_stop_s"), 2.0),
        Aim("stops", _figure("stops"), 1.0, False),
    ),
    "bad-after-rollout": (
        Aim("bad answers", _figure("bad_answers"), 20.0),
        Aim("seconds of new work after the stop", _figure("new_work_after_stop_s"), 2.0),
        Aim("stops", _figure("stops"), 1.0, False),
    ),
    "bad-slowly": (
        Aim("bad answers", _figure("bad_answers"), 200.0),
        Aim("stops", _figure("stops"), 1.0, False),
    ),
    "shared-fault": (Aim("stops", _figure("stops"), 0.0),),
    "crash-request": (
        Aim("servers lost", _figure("servers_lost"), 2.0),
        Aim("innocent requests met", _figure("met_share_of_admitted"), 0.97, False),
    ),
    "account-flood": (
        Aim("small accounts' requests met", _figure("small_met_share"), 0.95, False),
        _MET,
    ),
}


def check_aims(
    workload: Workload, runs: Sequence[Figures], references: Sequence[References]
) -> list[AimResult]:
    """Check each aim of a workload on every seed; the worst seed decides."""
    aims = AIMS.get(workload.name, ())
    if workload.name == "waiver-answers":
        aims = _cost_aims(workload)
    results = []
    for aim in aims:
        values = tuple(aim.value(run, known) for run, known in zip(runs, references, strict=True))
        worst = max(values) if aim.at_most else min(values)
        results.append(AimResult(aim.text, values, aim.limit, aim.passed(worst)))
    return results


def _cost_aims(workload: Workload) -> tuple[Aim, ...]:
    aims = []
    for row in workload.classes:
        cost = oracle_cost(workload, row.name)
        aims += [
            Aim(f"{row.name}: cost to the oracle's", _of(f"{row.name}_cost", cost), 1.1),
            Aim(
                f"{row.name}: share of good answers less target",
                _above(f"{row.name}_good_share", row.quality),
                0.0,
                False,
            ),
        ]
    return tuple(aims)
