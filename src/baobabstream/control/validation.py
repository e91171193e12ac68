"""Checks operator changes before they are accepted."""

from collections.abc import Iterable, Iterator, Mapping

from result import Err, Ok, Result

from baobabstream.control.commands import ConfigChange
from baobabstream.control.rollout_machine import ACTIVE_STATES
from baobabstream.control.row_checks import field_problem
from baobabstream.wire.rows import (
    AccountRow,
    ClassRow,
    ConfigRow,
    RolloutRow,
    RolloutState,
    RouteRow,
    RowEntry,
    VersionRow,
    VersionState,
    row_key,
)

__all__ = ["validate_change"]

MAX_ROWS_IN_CHANGE = 1000

_Rows = Mapping[str, ConfigRow]


def validate_change(rows: Mapping[str, RowEntry], change: ConfigChange) -> Result[None, str]:
    """Check a change against the present rows.

    Parameters
    ----------
    rows
        Present rows by key.
    change
        The change.

    Returns
    -------
    Result
        ``Ok`` if the change is valid, else ``Err`` with what is wrong with it.
    """
    present = {key: entry.row for key, entry in rows.items() if entry.row is not None}
    keys = [row_key(row) for row in change.put] + list(change.delete)
    if not keys or len(keys) > MAX_ROWS_IN_CHANGE:
        return Err(f"a change holds 1 to {MAX_ROWS_IN_CHANGE} rows")
    if len(set(keys)) < len(keys):
        return Err("the change names a row more than once")
    missing = [key for key in change.delete if key not in present]
    if missing:
        return Err(f"{missing[0]} does not exist")
    put = {row_key(row): row for row in change.put}
    after = {key: row for key, row in present.items() if key not in change.delete} | put
    problem = next(_problems(present, put, after, change.delete), "")
    return Err(problem) if problem else Ok(None)


def _problems(present: _Rows, put: _Rows, after: _Rows, deleted: Iterable[str]) -> Iterator[str]:
    for key, row in put.items():
        problem = field_problem(row) or _transition_problem(row, present.get(key), after)
        if problem:
            yield f"{key}: {problem}"
    for key in deleted:
        problem = _deletion_problem(present[key])
        if problem:
            yield f"{key}: {problem}"
    # References are checked over the whole result, so that deleting a row in use is refused too.
    for key, row in after.items():
        problem = _reference_problem(row, after)
        if problem:
            yield f"{key}: {problem}"
    yield from _uniqueness_problems(after)


def _transition_problem(row: ConfigRow, before: ConfigRow | None, after: _Rows) -> str:
    match row:
        case VersionRow():
            withdrawn = isinstance(before, VersionRow) and before.state is VersionState.WITHDRAWN
            if withdrawn and row.state is not VersionState.WITHDRAWN:
                return "it is withdrawn for good"
        case RolloutRow():
            if isinstance(before, RolloutRow) and before.state in ACTIVE_STATES:
                return f"it is {before.state.value}; withdraw it first"
            fresh = RolloutRow(row.name, row.model, row.from_version, row.to_version)
            if _progress(row) != _progress(fresh):
                return "its progress is set by the control hosts"
            for version in (row.from_version, row.to_version):
                found = after.get(f"version/{row.model}@{version}")
                if isinstance(found, VersionRow) and found.state is VersionState.WITHDRAWN:
                    return f"version {row.model}@{version} is withdrawn"
    return ""


def _progress(row: RolloutRow) -> tuple[RolloutState, int, float, bool]:
    return row.state, row.step, row.share, row.retired


def _deletion_problem(row: ConfigRow) -> str:
    if isinstance(row, VersionRow) and row.state is VersionState.WITHDRAWN:
        return "a withdrawn version stays on record so that it cannot come back"
    if isinstance(row, RolloutRow) and row.state in ACTIVE_STATES:
        return f"it is {row.state.value}; withdraw it first"
    return ""


def _reference_problem(row: ConfigRow, after: _Rows) -> str:
    match row:
        case AccountRow():
            if row.default_class and f"class/{row.default_class}" not in after:
                return f"class {row.default_class} does not exist"
            unknown = next((name for name in row.models if not _model_exists(name, after)), "")
            if unknown:
                return f"model {unknown} does not exist"
        case RolloutRow() if row.state in ACTIVE_STATES:
            for version in (row.from_version, row.to_version):
                if f"version/{row.model}@{version}" not in after:
                    return f"version {row.model}@{version} does not exist"
    return ""


def _model_exists(name: str, rows: _Rows) -> bool:
    if "@" in name:
        return f"version/{name}" in rows
    return any(key.startswith(f"version/{name}@") for key in rows)


def _uniqueness_problems(after: _Rows) -> Iterator[str]:
    holders: dict[tuple[str, str], str] = {}
    for key, row in after.items():
        match row:
            case AccountRow():
                unique = ("API key", row.key_digest)
            case RouteRow():
                unique = ("path prefix", row.path_prefix)
            case RolloutRow() if row.state in ACTIVE_STATES:
                unique = ("rollout of the model", row.model)
            case ClassRow() | _:
                continue
        if unique in holders:
            yield f"{key}: {holders[unique]} has the same {unique[0]}"
        holders[unique] = key
