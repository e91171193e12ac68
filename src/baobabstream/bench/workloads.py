"""Catalogue of the named workloads of both deployments."""

from collections.abc import Callable
from dataclasses import replace

from baobabstream.bench.workload import Stream, Workload, always
from baobabstream.wire.rows import AccountRow, ClassRow, RolloutRow, RolloutState, VersionRow

__all__ = ["WORKLOADS", "workload_named"]

SMALL, MEDIUM, LARGE = ("small", "1"), ("medium", "1"), ("large", "1")
QUALITIES = {SMALL: 0.84, MEDIUM: 0.90, LARGE: 0.96}
MODELS = ("small", "medium", "large")
ALL_VERSIONS = (
    VersionRow("small", "1", 0.1, 0.85),
    VersionRow("medium", "1", 0.4, 0.9),
    VersionRow("large", "1", 1.5, 0.95),
)
ONE_VERSION = (VersionRow("small", "1", 0.1, 0.9),)
ANSWER = ClassRow("answer", 0.88, 1000.0, 6000.0, priority=1)
CHECK = ClassRow("check", 0.8, 800.0, 3000.0, priority=2)
PLAN = ClassRow("plan", 0.88, 2000.0, 15000.0)
HISTORY = ClassRow("history", 0.8, 5000.0, 60000.0)
# Requests per second of 100 output and 200 prompt tokens that six engines serve with full batches.
CAPACITY = 46.0


def _quality(model: str, version: str, _now_s: float) -> float:
    return QUALITIES.get((model, version), 0.9)


def _accounts(*names: str, models: tuple[str, ...] = MODELS) -> tuple[AccountRow, ...]:
    return tuple(AccountRow(name, f"digest-{name}", models) for name in names)


def _step(before: float, during: float, start_s: float, end_s: float) -> Callable[[float], float]:
    return lambda now_s: during if start_s <= now_s < end_s else before


def _bus_peak() -> Workload:
    names = ("resort", "tours", "school", "club", "family-a", "family-b")
    normal = (0.24, 0.14, 0.04, 0.04, 0.02, 0.02)
    peak = (1.9, 0.9, 0.1, 0.06, 0.02, 0.02)
    streams = tuple(
        Stream(name, "answer", _step(CAPACITY * low, CAPACITY * high, 20, 50), retries=1)
        for name, low, high in zip(names, normal, peak, strict=True)
    )
    return Workload(
        "bus-peak",
        "Tour buses arrive: three times the capacity for 30 s, then half of it.",
        streams,
        (replace_class(ANSWER, quality=0.8),),
        _accounts(*names),
        ONE_VERSION,
        lambda *_: 0.9,
        duration_s=80.0,
        tail_s=320.0,
        peak=(20.0, 50.0),
        small_accounts=("club", "family-a", "family-b"),
    )


def replace_class(row: ClassRow, quality: float) -> ClassRow:
    """Return a class with another quality target."""
    return ClassRow(
        row.name,
        quality,
        row.first_token_ms,
        row.total_ms,
        row.cost_per_1k_tokens,
        row.priority,
    )


def _crews_start() -> Workload:
    streams = (
        Stream("north", "answer", _step(1, 12, 15, 45), 800, 80, conversations=40, retries=1),
        Stream("south", "answer", _step(1, 8, 15, 45), 800, 80, conversations=40, retries=1),
        Stream("north", "check", _step(1, 10, 15, 45), 150, 20, retries=1),
        Stream("islands", "plan", _step(0.2, 1.5, 15, 45), 1500, 250, conversations=10),
    )
    return Workload(
        "crews-start",
        "Every crew starts at the same hour with questions, checks and plans.",
        streams,
        (ANSWER, CHECK, PLAN),
        _accounts("north", "south", "islands"),
        ALL_VERSIONS,
        _quality,
    )


CHECKS = (
    Stream("crew-a", "check", always(12.0), 150, 20, retries=1),
    Stream("crew-b", "check", always(6.0), 150, 20, retries=1),
)
HISTORIES = (Stream("office", "history", always(0.9), 6000, 1200, retries=1),)


def _gates(name: str, summary: str, streams: tuple[Stream, ...]) -> Workload:
    return Workload(
        name,
        summary,
        streams,
        (CHECK, HISTORY),
        _accounts("crew-a", "crew-b", "office"),
        ONE_VERSION,
        lambda *_: 0.9,
        warm_up_s=20.0,
        duration_s=90.0,
    )


def _slow_periods(engine: int, now_s: float) -> float:
    slowed = 20 <= now_s < 30 or 45 <= now_s < 55
    return 5.0 if engine in (1, 4) and slowed else 1.0


def _slowed(name: str, summary: str, slow: bool) -> Workload:
    streams = tuple(
        Stream(name, "answer", always(CAPACITY * part), 200, 100, retries=1)
        for name, part in (("crew-a", 0.25), ("crew-b", 0.15))
    )
    workload = Workload(
        name,
        summary,
        streams,
        (replace_class(ANSWER, quality=0.8),),
        _accounts("crew-a", "crew-b"),
        ONE_VERSION,
        lambda *_: 0.9,
        duration_s=70.0,
        report_lag_s=2.0,
    )
    return replace(workload, slow_factor=_slow_periods) if slow else workload


def _rollout(name: str, summary: str, new_quality: Callable[[float], float]) -> Workload:
    def quality(model: str, version: str, now_s: float) -> float:
        return new_quality(now_s) if (model, version) == ("small", "2") else QUALITIES[MEDIUM]

    streams = (Stream("desk", "answer", always(10.0), 200, 60),)
    return Workload(
        name,
        summary,
        streams,
        (replace_class(ANSWER, quality=0.85),),
        _accounts("desk", models=("small",)),
        (VersionRow("small", "1", 0.1, 0.9), VersionRow("small", "2", 0.1, 0.9)),
        quality,
        (RolloutRow("small-2", "small", "1", "2", state=RolloutState.RUNNING, step=2, share=0.5),),
        duration_s=240.0,
        bad_version=("small", "2"),
        bad_from_s=60.0,
    )


def _conversations() -> Workload:
    streams = tuple(
        Stream(name, "answer", always(rate), 1500, 60, conversations=150, retries=1)
        for name, rate in (("crew-a", 14.0), ("crew-b", 8.0))
    )
    return Workload(
        "conversations",
        "Long conversations, three times as many as one engine caches.",
        streams,
        (replace_class(ANSWER, quality=0.8),),
        _accounts("crew-a", "crew-b"),
        ONE_VERSION,
        lambda *_: 0.9,
        warm_up_s=40.0,
        duration_s=100.0,
        report_lag_s=2.0,
    )


def _completed(name: str, summary: str) -> Workload:
    workload = _rollout(name, summary, lambda now_s: 0.9 if now_s < 60 else 0.1)
    done = RolloutRow("small-2", "small", "1", "2", state=RolloutState.COMPLETED, share=1.0)
    return replace(workload, extra_rows=(done,), duration_s=150.0)


def _shared_fault() -> Workload:
    healthy = _rollout(
        "shared-fault", "The rating service rejects most answers of all versions.", always(0.9)
    )
    return replace(healthy, rating_fault=_step(1.0, 0.3, 60, 100), duration_s=150.0)


def _crash() -> Workload:
    streams = (
        Stream("desk", "answer", always(12.0), 200, 80, retries=2),
        Stream(
            "guest",
            "answer",
            _step(0.0001, 0.4, 15, 60),
            200,
            60,
            fingerprint="crasher",
            crashes=True,
        ),
    )
    return Workload(
        "crash-request",
        "One request crashes each server that runs it and is sent again and again.",
        streams,
        (replace_class(ANSWER, quality=0.8),),
        _accounts("desk", "guest"),
        ONE_VERSION,
        lambda *_: 0.9,
        duration_s=75.0,
    )


def _flood() -> Workload:
    streams = (
        Stream("large", "answer", _step(5.0, 120.0, 15, 45), retries=1),
        Stream("small-a", "answer", always(2.0), retries=1),
        Stream("small-b", "answer", always(2.0), retries=1),
        Stream("small-c", "answer", always(1.0), retries=1),
    )
    return Workload(
        "account-flood",
        "One large account floods the entries while small accounts go on as usual.",
        streams,
        (replace_class(ANSWER, quality=0.8),),
        _accounts("large", "small-a", "small-b", "small-c"),
        ONE_VERSION,
        lambda *_: 0.9,
        tail_s=320.0,
        peak=(15.0, 45.0),
        small_accounts=("small-a", "small-b", "small-c"),
    )


def _cost_mix() -> Workload:
    return Workload(
        "waiver-answers",
        "Steady waiver questions on three models of different cost and quality.",
        (Stream("desk", "answer", always(15.0)), Stream("tours", "plan", always(2.0), 400, 150)),
        (ANSWER, replace_class(PLAN, quality=0.93)),
        _accounts("desk", "tours"),
        ALL_VERSIONS,
        _quality,
        warm_up_s=60.0,
        duration_s=240.0,
    )


def _many_entries() -> Workload:
    rate = 0.7 * CAPACITY * 24 / 6
    parts = (("resort", 0.5), ("tours", 0.3), ("school", 0.2))
    return Workload(
        "many-entries",
        "40 entries in front of 24 engines at 0.7 of their capacity.",
        tuple(Stream(name, "answer", always(rate * part)) for name, part in parts),
        (replace_class(ANSWER, quality=0.8),),
        _accounts("resort", "tours", "school"),
        ONE_VERSION,
        lambda *_: 0.9,
        duration_s=50.0,
        engines=24,
        entries=40,
    )


WORKLOADS: tuple[Workload, ...] = (
    _cost_mix(),
    _many_entries(),
    _bus_peak(),
    _crews_start(),
    _conversations(),
    _gates("gate-histories", "Gate histories beside batch checks.", CHECKS + HISTORIES),
    _gates("gate-checks-only", "The batch checks of gate-histories alone.", CHECKS),
    _gates("gate-histories-only", "The gate histories of gate-histories alone.", HISTORIES),
    _slowed("slowed-servers", "Two of six servers slowed five-fold, reports 2 s late.", True),
    _slowed("unslowed-servers", "The requests of slowed-servers on undisturbed servers.", False),
    _rollout(
        "bad-at-once",
        "A version in rollout turns bad at once.",
        lambda now_s: 0.9 if now_s < 60 else 0.1,
    ),
    _completed("bad-after-rollout", "A version turns bad after its rollout has completed."),
    replace(
        _rollout(
            "bad-slowly",
            "A version becomes 10 points worse within 60 s.",
            lambda now_s: 0.9 - 0.1 * min(1.0, max(0.0, (now_s - 120) / 60)),
        ),
        bad_from_s=120.0,
        duration_s=500.0,
    ),
    _shared_fault(),
    _crash(),
    _flood(),
)


def workload_named(name: str) -> Workload | None:
    """Return a workload of the catalogue."""
    return next((item for item in WORKLOADS if item.name == name), None)
