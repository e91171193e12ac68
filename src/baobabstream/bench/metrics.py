"""Figures of one run, from what the callers saw."""

from collections.abc import Callable, Iterable, Sequence
from math import inf

from baobabstream.bench.records import CallerRecord
from baobabstream.bench.workload import Workload
from baobabstream.bench.world import World

__all__ = ["measure", "percentile"]

NORMAL_WINDOW_S = 1.0
NORMAL_SHARE = 0.95
MILLISECONDS = 1000.0


def percentile(values: Iterable[float], percent: float) -> float:
    """Return a percentile of the values; 0 when there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def measure(world: World) -> dict[str, float]:
    """Return the figures of a finished run, with the unit in each name."""
    workload = world.workload
    records = [item for item in world.records if item.arrived_s >= workload.warm_up_s]
    innocent = [item for item in records if not item.crashes]
    admitted = [item for item in innocent if not item.refused]
    met = [item for item in admitted if meets(workload, item)]
    figures = {
        "requests": float(len(innocent)),
        "admitted_share": _share(len(admitted), len(innocent)),
        "met_share_of_admitted": _share(len(met), len(admitted)),
        "met_per_s": len(met) / (workload.duration_s - workload.warm_up_s),
        "hedge_share": _share(sum(item.hedges + item.moves for item in records), len(records)),
        "good_share": _share(sum(item.good for item in admitted), len(admitted)),
        "refusal_p99_ms": MILLISECONDS
        * percentile((item.total_s for item in records if item.refused), 99),
        "returns_admitted_share": _returns(records),
        "servers_lost": float(world.servers_lost),
        "cost_per_1k_tokens": MILLISECONDS
        * _share(sum(i.cost for i in admitted), sum(i.output_tokens for i in admitted)),
    }
    for row in workload.classes:
        figures |= _class_figures(workload, row.name, admitted)
    if workload.peak is not None:
        figures |= _peak_figures(workload, innocent, workload.peak)
    if workload.bad_version is not None:
        figures |= _bad_version_figures(world, workload.bad_version)
    return figures


def meets(workload: Workload, record: CallerRecord) -> bool:
    """Return whether an answer came whole and within its class's latency target."""
    target = next(row for row in workload.classes if row.name == record.work_class)
    return (
        record.finished
        and record.first_token_s * MILLISECONDS <= target.first_token_ms
        and record.total_s * MILLISECONDS <= target.total_ms
    )


def _share(part: float, whole: float) -> float:
    return part / whole if whole else 0.0


def _class_figures(
    workload: Workload, name: str, admitted: Sequence[CallerRecord]
) -> dict[str, float]:
    mine = [item for item in admitted if item.work_class == name and item.finished]
    seconds = workload.duration_s - workload.warm_up_s
    return {
        f"{name}_first_p50_ms": MILLISECONDS * percentile((i.first_token_s for i in mine), 50),
        f"{name}_first_p99_ms": MILLISECONDS * percentile((i.first_token_s for i in mine), 99),
        f"{name}_total_p50_ms": MILLISECONDS * percentile((i.total_s for i in mine), 50),
        f"{name}_total_p99_ms": MILLISECONDS * percentile((i.total_s for i in mine), 99),
        f"{name}_tokens_per_s": sum(item.output_tokens for item in mine) / seconds,
        f"{name}_good_share": _share(sum(item.good for item in mine), len(mine)),
        f"{name}_cost": MILLISECONDS
        * _share(sum(i.cost for i in mine), sum(i.output_tokens for i in mine)),
    }


def _returns(records: Sequence[CallerRecord]) -> float:
    """Return the share of callers that came back after a refusal and were admitted."""
    returned = [item for item in records if item.returns]
    return _share(sum(not item.refused for item in returned), len(returned))


def _peak_figures(
    workload: Workload, records: Sequence[CallerRecord], peak: tuple[float, float]
) -> dict[str, float]:
    start_s, end_s = peak
    met = [item for item in records if meets(workload, item)]
    in_peak = [item for item in met if start_s + 2 <= (item.end_s or inf) < end_s]
    small = [
        item
        for item in records
        if item.account in workload.small_accounts and start_s <= item.arrived_s < end_s
    ]
    return {
        "peak_goodput_per_s": len(in_peak) / (end_s - start_s - 2),
        "small_met_share": _share(sum(meets(workload, i) for i in small), len(small)),
        "normal_after_s": _normal_after(records, end_s, lambda item: meets(workload, item)),
    }


def _normal_after(
    records: Sequence[CallerRecord], end_s: float, good: Callable[[CallerRecord], bool]
) -> float:
    """Return the time after a peak from which new requests meet their targets again."""
    last = 0.0
    fresh = [item for item in records if item.arrived_s >= end_s and not item.returns]
    for second in range(30):
        window = [
            item
            for item in fresh
            if end_s + second * NORMAL_WINDOW_S
            <= item.arrived_s
            < end_s + (second + 1) * NORMAL_WINDOW_S
        ]
        if window and sum(map(good, window)) < NORMAL_SHARE * len(window):
            last = (second + 1) * NORMAL_WINDOW_S
    return last


def _bad_version_figures(world: World, bad: tuple[str, str]) -> dict[str, float]:
    from_s = world.workload.bad_from_s
    answers = [
        item
        for item in world.records
        if (item.model, item.version) == bad and not item.good and (item.end_s or 0.0) >= from_s
    ]
    stopped_s = world.leader.stopped_at.get(bad)
    sent = [
        item.arrived_s
        for item in world.records
        if stopped_s is not None
        and (item.model, item.version) == bad
        and item.arrived_s > stopped_s
    ]
    return {
        "bad_answers": float(len(answers)),
        "stopped_after_s": stopped_s - from_s if stopped_s is not None else -1.0,
        "new_work_after_stop_s": max(sent) - stopped_s if sent and stopped_s is not None else 0.0,
        "stops": float(len(world.leader.stopped_at)),
    }
