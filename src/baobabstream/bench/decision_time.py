"""Time of a decision at several numbers of replicas and 30 versions."""

from collections.abc import Sequence
from random import Random
from time import perf_counter

from baobabstream.bench.metrics import percentile
from baobabstream.policy.decisions import Dispatch
from baobabstream.policy.events import (
    AnswerRated,
    AttemptFinished,
    FirstToken,
    RequestArrived,
    RequestInfo,
    ViewChanged,
)
from baobabstream.policy.outcome_policy import OutcomePolicy
from baobabstream.policy.view import ClusterView
from baobabstream.wire.rows import (
    AccountRow,
    BackendKind,
    BackendRecord,
    ClassRow,
    ConfigRow,
    LoadedVersion,
    RowEntry,
    VersionRow,
    row_key,
)

__all__ = ["measure_decision_time"]

VERSIONS_PER_SERVER = 3


def measure_decision_time(
    replicas: Sequence[int], versions: int = 30, decisions: int = 5000
) -> list[dict[str, float]]:
    """Return microseconds per decision on an arrival, at each number of replicas."""
    return [_measure(count, versions, decisions) for count in replicas]


def _measure(replicas: int, versions: int, decisions: int) -> dict[str, float]:
    random = Random(1)
    policy = OutcomePolicy(random, "zone-1")
    started = perf_counter()
    policy.handle(ViewChanged(_view(replicas, versions)), 0.0)
    view_us = (perf_counter() - started) * 1e6
    times = []
    for number in range(decisions):
        now_s = number * 0.001
        request = RequestInfo(
            f"r{number}", "desk", "answer", "", "", 200, 100, fingerprint=f"f{number}"
        )
        started = perf_counter()
        made = policy.handle(RequestArrived(request), now_s)
        times.append((perf_counter() - started) * 1e6)
        for item in made:
            if isinstance(item, Dispatch):
                policy.handle(FirstToken(item.request_id, 1), now_s)
                policy.handle(AttemptFinished(item.request_id, 1, 100), now_s)
                good = random.random() < 0.9
                policy.handle(AnswerRated(item.request_id, item.model, item.version, good), now_s)
    return {
        "replicas": replicas,
        "versions": versions,
        "median_us": round(percentile(times, 50), 1),
        "mean_us": round(sum(times) / len(times), 1),
        "p99_us": round(percentile(times, 99), 1),
        "first_view_us": round(view_us, 1),
    }


def _view(replicas: int, versions: int) -> ClusterView:
    rows: list[ConfigRow] = [
        VersionRow(f"model-{n % 10}", f"{n // 10}", 0.1 + 0.1 * n, 0.8 + 0.005 * n)
        for n in range(versions)
    ]
    loaded = [LoadedVersion(row.model, row.version) for row in rows if isinstance(row, VersionRow)]
    rows.append(AccountRow("desk", "digest", tuple(f"model-{n}" for n in range(10))))
    rows.append(ClassRow("answer", 0.88, 1000.0, 6000.0))
    view = ClusterView()
    view.apply_rows(1, [RowEntry(row_key(row), 1, row) for row in rows])
    records = [
        BackendRecord(
            f"engine-{n}",
            1,
            BackendKind.ENGINE,
            "",
            f"zone-{n % 23}",
            loaded=tuple(loaded[(n + k) % versions] for k in range(VERSIONS_PER_SERVER)),
            slots=16,
        )
        for n in range(replicas)
    ]
    view.apply_backends(records, (), True)
    return view
