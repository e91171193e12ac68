"""History of callers' requests, and checkers over it and the timelines."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "CallerRecord",
    "EngineRun",
    "Violation",
    "check_allowed",
    "check_billed_once",
    "check_left",
    "check_not_run",
    "check_run_at_most_once",
    "check_sessions",
    "check_whole",
    "check_withdrawn",
]


@dataclass(frozen=True)
class CallerRecord:
    """What a caller sent and got; times in milliseconds of wall time."""

    marker: str
    client_account: str
    request_id: str = ""
    started_ms: int = 0
    ended_ms: int = 0
    code: int = 0
    ran: str = "yes"
    version: str = ""
    text: str = ""
    finished: bool = False
    session: str = ""
    tokens: int = 0


@dataclass(frozen=True)
class EngineRun:
    """A run that a backend server recorded."""

    backend_server: str
    request_id: str
    model_version: str
    started_ms: int


@dataclass(frozen=True)
class Violation:
    """A requirement that a history breaks."""

    requirement: str
    detail: str


def check_allowed(
    records: Iterable[CallerRecord],
    runs: Iterable[EngineRun],
    allowed: dict[str, set[str]],
) -> list[Violation]:
    """Check that each run used a version that the request's account allows."""
    accounts = {record.request_id: record.client_account for record in records}
    return [
        Violation("allowed", f"{run.request_id} ran on {run.model_version}")
        for run in runs
        if run.request_id in accounts and run.model_version not in allowed[accounts[run.request_id]]
    ]


def check_withdrawn(
    runs: Iterable[EngineRun], model_version: str, in_force_ms: int
) -> list[Violation]:
    """Check that a version got no new work after its withdrawal was in force."""
    return [
        Violation("withdrawn", f"{run.request_id} started {run.started_ms - in_force_ms} ms after")
        for run in runs
        if run.model_version == model_version and run.started_ms > in_force_ms
    ]


def check_left(
    attempts: Iterable[EngineRun], left_ms: dict[str, int], limit_ms: int
) -> list[Violation]:
    """Check that no backend server got new work later than a time after it left."""
    return [
        Violation("left", f"{run.backend_server} got {run.request_id} {late_ms} ms after it left")
        for run in attempts
        if (late_ms := run.started_ms - left_ms.get(run.backend_server, run.started_ms)) > limit_ms
    ]


def check_sessions(records: Iterable[CallerRecord]) -> list[Violation]:
    """Check that all finished requests of a session used one version."""
    versions: dict[str, str] = {}
    violations = []
    for record in records:
        if not record.session or not record.finished:
            continue
        first = versions.setdefault(record.session, record.version)
        if record.version != first:
            violations.append(Violation("session", f"{record.session}: {first}, {record.version}"))
    return violations


def check_billed_once(
    records: Iterable[CallerRecord], billed_ids: Iterable[str]
) -> list[Violation]:
    """Check that each finished request has one bill, and no other request has one."""
    counts = Counter(billed_ids)
    records = list(records)
    missing = [
        Violation("billed", f"{record.request_id} has {counts[record.request_id]} bills")
        for record in records
        if record.finished and counts[record.request_id] != 1
    ]
    refused = {record.request_id for record in records if record.ran == "no"}
    wrong = [
        Violation("billed", f"{request_id} was refused and billed")
        for request_id in counts
        if request_id in refused
    ]
    return missing + wrong


def check_whole(records: Iterable[CallerRecord], expected) -> list[Violation]:
    """Check that each finished answer equals ``expected(record)``."""
    return [
        Violation("whole", f"{record.request_id} got {record.text[:80]!r}")
        for record in records
        if record.finished and record.text != expected(record)
    ]


def check_not_run(records: Iterable[CallerRecord], runs: Iterable[EngineRun]) -> list[Violation]:
    """Check that a request refused as not run has no run."""
    started = {run.request_id for run in runs}
    return [
        Violation("not run", f"{record.request_id} ran, code {record.code}")
        for record in records
        if record.ran == "no" and record.request_id in started
    ]


def check_run_at_most_once(runs: Iterable[str]) -> list[Violation]:
    """Check that each non-idempotent call, named by its key, ran at most once."""
    return [
        Violation("at most once", f"{key} ran {count} times")
        for key, count in Counter(runs).items()
        if count > 1
    ]
