"""Records of callers' requests and of runs at backend servers, and checks over these histories.

Each check returns a ``Violation`` for every case in which the history breaks its requirement. The
requirement names are those of the test cases in ``test_faults``.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = [
    "CallerRecord",
    "EngineRun",
    "Violation",
    "check_allowed_versions",
    "check_billed_once",
    "check_no_attempt_after_departure",
    "check_refused_not_run",
    "check_run_at_most_once",
    "check_session_versions",
    "check_answer_texts",
    "check_no_run_after_withdrawal",
]


@dataclass(frozen=True)
class CallerRecord:
    """A request of a caller and its outcome; times are wall times in milliseconds.

    Attributes
    ----------
    prompt
        Prompt, unique to the request.
    client_account
        Client account of the caller.
    request_id
        Identity that the entry host gave to the request.
    result_code
        Result code, 0 for success, or a negative code of ``system.callers``.
    run_state
        Whether a backend server ran the request: "yes", "no" or "unknown".
    version
        Model version that answered.
    text
        Answer.
    finished
        Whether the whole answer was received without an error.
    session
        Session that the request belongs to, or empty.
    max_tokens
        Requested length of the answer in tokens.
    used_open_connection
        Whether the request was sent on a connection that had been open before. It may cross the
        close of such a connection at the end of a planned stop.
    """

    prompt: str
    client_account: str
    request_id: str = ""
    started_ms: int = 0
    ended_ms: int = 0
    result_code: int = 0
    run_state: str = "yes"
    version: str = ""
    text: str = ""
    finished: bool = False
    session: str = ""
    max_tokens: int = 0
    used_open_connection: bool = False


@dataclass(frozen=True)
class EngineRun:
    """A run of a request at a backend server, or an attempt that an entry host sent to it.

    ``started_ms`` is the wall time in milliseconds.
    """

    backend_server: str
    request_id: str
    model_version: str
    started_ms: int


@dataclass(frozen=True)
class Violation:
    """A requirement that a history breaks, with a description of the case."""

    requirement: str
    detail: str


def check_allowed_versions(
    records: Iterable[CallerRecord],
    runs: Iterable[EngineRun],
    allowed_versions: dict[str, set[str]],
) -> list[Violation]:
    """Check that each run used a version that the request's client account allows.

    ``allowed_versions`` maps client accounts to their ``model@version`` names.
    """
    accounts = {record.request_id: record.client_account for record in records}
    return [
        Violation("allowed", f"{run.request_id} ran on {run.model_version}")
        for run in runs
        if run.request_id in accounts
        and run.model_version not in allowed_versions[accounts[run.request_id]]
    ]


def check_no_run_after_withdrawal(
    runs: Iterable[EngineRun], model_version: str, in_force_ms: int
) -> list[Violation]:
    """Check that no run of a version started after its withdrawal was in force."""
    return [
        Violation("withdrawn", f"{run.request_id} started {run.started_ms - in_force_ms} ms after")
        for run in runs
        if run.model_version == model_version and run.started_ms > in_force_ms
    ]


def check_no_attempt_after_departure(
    attempts: Iterable[EngineRun], left_at_ms: dict[str, int], limit_ms: int
) -> list[Violation]:
    """Check that no backend server got an attempt later than ``limit_ms`` after it left.

    ``left_at_ms`` holds the wall time in milliseconds at which each backend server left.
    """
    return [
        Violation(
            "left", f"{attempt.backend_server} got {attempt.request_id} {delay_ms} ms after it left"
        )
        for attempt in attempts
        if (
            delay_ms := attempt.started_ms
            - left_at_ms.get(attempt.backend_server, attempt.started_ms)
        )
        > limit_ms
    ]


def check_session_versions(records: Iterable[CallerRecord]) -> list[Violation]:
    """Check that all finished requests of a session used the same model version."""
    versions: dict[str, str] = {}
    violations = []
    for record in records:
        if not record.session or not record.finished:
            continue
        first_version = versions.setdefault(record.session, record.version)
        if record.version != first_version:
            violations.append(
                Violation("session", f"{record.session}: {first_version}, {record.version}")
            )
    return violations


def check_billed_once(
    records: Iterable[CallerRecord], billed_ids: Iterable[str]
) -> list[Violation]:
    """Check that each finished request has exactly one bill, and no refused request has one."""
    bill_counts = Counter(billed_ids)
    records = list(records)
    wrong_counts = [
        Violation("billed", f"{record.request_id} has {bill_counts[record.request_id]} bills")
        for record in records
        if record.finished and bill_counts[record.request_id] != 1
    ]
    refused_ids = {record.request_id for record in records if record.run_state == "no"}
    billed_refusals = [
        Violation("billed", f"{request_id} was refused and billed")
        for request_id in bill_counts
        if request_id in refused_ids
    ]
    return wrong_counts + billed_refusals


def check_answer_texts(records: Iterable[CallerRecord], expected_text) -> list[Violation]:
    """Check that each finished answer equals ``expected_text(record)``."""
    return [
        Violation("whole", f"{record.request_id} got {record.text[:80]!r}")
        for record in records
        if record.finished and record.text != expected_text(record)
    ]


def check_refused_not_run(
    records: Iterable[CallerRecord], runs: Iterable[EngineRun]
) -> list[Violation]:
    """Check that no request that was refused as not run has a run."""
    started_ids = {run.request_id for run in runs}
    return [
        Violation("not run", f"{record.request_id} ran, code {record.result_code}")
        for record in records
        if record.run_state == "no" and record.request_id in started_ids
    ]


def check_run_at_most_once(run_keys: Iterable[str]) -> list[Violation]:
    """Check that each non-idempotent call, given by its idempotency key, ran at most once."""
    return [
        Violation("at most once", f"{key} ran {count} times")
        for key, count in Counter(run_keys).items()
        if count > 1
    ]
