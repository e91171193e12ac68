"""Checks operator changes of configuration rows before they are accepted.

The configuration is stored as rows with keys such as ``class/batch``. A change puts and deletes
rows. It is valid if the fields of each row are valid, the changed rows may take their new state, no
two rows share a unique value, and each reference leads to a row, except those of finished rollouts.
A deleted row remains as a tombstone, a row entry without a row. Some fields are set only by the
control hosts, which store the configuration and carry out the rollouts.

A rollout replaces one model version (``from_version``, the old one) by another (``to_version``, the
new one). Engines, the backend servers that run models, first load the new version; then its share
of the traffic rises in steps. A rollout is active until it is completed (the new version has all
traffic) or stopped (the old one has). An operator's withdrawal of a rollout stops it: the traffic
returns to the old version and no more engines are ordered to load the new one. The withdrawal of a
version is final: it never gets requests again.

The functions whose names end in ``_problem`` return what is wrong as a sentence, or an empty
string; those whose names end in ``_problems`` yield such sentences with the key of the row.
"""

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

# Number of rows that one change may put or delete.
MAX_ROWS_IN_CHANGE = 1000

_RowsByKey = Mapping[str, ConfigRow]


def validate_change(rows: Mapping[str, RowEntry], change: ConfigChange) -> Result[None, str]:
    """Check a change against the present rows.

    Parameters
    ----------
    rows
        Present rows and tombstones by key.
    change
        Rows to put and keys of the rows to delete.

    Returns
    -------
    Result
        ``Ok(None)`` if the change is valid, else ``Err`` with what is wrong with it.
    """
    present_rows = {
        key: row_entry.row for key, row_entry in rows.items() if row_entry.row is not None
    }
    changed_keys = [row_key(row) for row in change.put] + list(change.delete)
    if not changed_keys or len(changed_keys) > MAX_ROWS_IN_CHANGE:
        return Err(f"a change holds 1 to {MAX_ROWS_IN_CHANGE} rows")
    if len(set(changed_keys)) < len(changed_keys):
        return Err("the change names a row more than once")
    missing_keys = [key for key in change.delete if key not in present_rows]
    if missing_keys:
        return Err(f"{missing_keys[0]} does not exist")
    put_rows = {row_key(row): row for row in change.put}
    resulting_rows = {
        key: row for key, row in present_rows.items() if key not in change.delete
    } | put_rows
    problem = next(_change_problems(present_rows, put_rows, resulting_rows, change.delete), "")
    return Err(problem) if problem else Ok(None)


def _change_problems(
    present_rows: _RowsByKey,
    put_rows: _RowsByKey,
    resulting_rows: _RowsByKey,
    deleted_keys: Iterable[str],
) -> Iterator[str]:
    """Yield what is wrong with a change.

    Parameters
    ----------
    present_rows
        Rows by key before the change.
    put_rows
        Rows by key that the change puts.
    resulting_rows
        Rows by key after the change.
    deleted_keys
        Keys of the rows that the change deletes; each must be in ``present_rows``.
    """
    for key, row in put_rows.items():
        problem = field_problem(row) or _transition_problem(
            row, present_rows.get(key), resulting_rows
        )
        if problem:
            yield f"{key}: {problem}"
    for key in deleted_keys:
        problem = _deletion_problem(present_rows[key])
        if problem:
            yield f"{key}: {problem}"
    # References are checked in all resulting rows, so that a row in use cannot be deleted.
    for key, row in resulting_rows.items():
        problem = _reference_problem(row, resulting_rows)
        if problem:
            yield f"{key}: {problem}"
    yield from _uniqueness_problems(resulting_rows)


def _transition_problem(
    row: ConfigRow, previous_row: ConfigRow | None, resulting_rows: _RowsByKey
) -> str:
    """Return why a row may not replace the previous row, or an empty string.

    A withdrawn version cannot become active again. An active rollout cannot be replaced, and a
    change cannot set the progress of a rollout or start one that involves a withdrawn version.

    Parameters
    ----------
    row
        Row that the change puts.
    previous_row
        Present row of the same key, or None if there is none.
    resulting_rows
        Rows by key after the change.
    """
    match row:
        case VersionRow():
            was_withdrawn = (
                isinstance(previous_row, VersionRow)
                and previous_row.state is VersionState.WITHDRAWN
            )
            if was_withdrawn and row.state is not VersionState.WITHDRAWN:
                return "it is withdrawn for good"
        case RolloutRow():
            if isinstance(previous_row, RolloutRow) and previous_row.state in ACTIVE_STATES:
                return f"it is {previous_row.state.value}; withdraw it first"
            # A new rollout, whose progress has its default values.
            initial_row = RolloutRow(row.name, row.model, row.from_version, row.to_version)
            if _rollout_progress(row) != _rollout_progress(initial_row):
                return "its progress is set by the control hosts"
            for version in (row.from_version, row.to_version):
                version_row = resulting_rows.get(f"version/{row.model}@{version}")
                if (
                    isinstance(version_row, VersionRow)
                    and version_row.state is VersionState.WITHDRAWN
                ):
                    return f"version {row.model}@{version} is withdrawn"
    return ""


def _rollout_progress(row: RolloutRow) -> tuple[RolloutState, int, float, bool]:
    """Return the fields of a rollout that only the control hosts set as it goes on.

    These are its state, the index of its present step, the new version's present fraction of the
    traffic (0 to 1), and whether the old version is retired, that is, its engines may unload it.
    """
    return row.state, row.step, row.share, row.retired


def _deletion_problem(row: ConfigRow) -> str:
    """Return why a present row may not be deleted, or an empty string.

    A withdrawn version must stay, since a new row of that name could be active. In an active
    rollout the new version may have traffic, or engines may be loading it; an operator must first
    withdraw the rollout, which ends both.
    """
    if isinstance(row, VersionRow) and row.state is VersionState.WITHDRAWN:
        return "a withdrawn version stays on record so that it cannot come back"
    if isinstance(row, RolloutRow) and row.state in ACTIVE_STATES:
        return f"it is {row.state.value}; withdraw it first"
    return ""


def _reference_problem(row: ConfigRow, resulting_rows: _RowsByKey) -> str:
    """Return which row that a row refers to does not exist, or an empty string.

    A client account refers to its default class (the class of work of its requests that name none)
    and to the models that it may use, an active rollout to its two versions.
    Finished rollouts are not checked, so that their versions can be deleted.
    """
    match row:
        case AccountRow():
            if row.default_class and f"class/{row.default_class}" not in resulting_rows:
                return f"class {row.default_class} does not exist"
            missing_model = next(
                (name for name in row.models if not _model_exists(name, resulting_rows)), ""
            )
            if missing_model:
                return f"model {missing_model} does not exist"
        case RolloutRow() if row.state in ACTIVE_STATES:
            for version in (row.from_version, row.to_version):
                if f"version/{row.model}@{version}" not in resulting_rows:
                    return f"version {row.model}@{version} does not exist"
    return ""


def _model_exists(model_name: str, rows: _RowsByKey) -> bool:
    """Return whether a model exists; ``model_name`` may be ``model`` or ``model@version``."""
    if "@" in model_name:
        return f"version/{model_name}" in rows
    return any(key.startswith(f"version/{model_name}@") for key in rows)


def _uniqueness_problems(resulting_rows: _RowsByKey) -> Iterator[str]:
    """Yield the rows that share a value which only one row may have.

    These are the API keys of client accounts, compared by their digests, the path prefixes that
    select the route of a request, and the models of active rollouts.
    """
    # Key of the row that has a value; each value is a pair of its description and the value itself.
    keys_by_unique_value: dict[tuple[str, str], str] = {}
    for key, row in resulting_rows.items():
        match row:
            case AccountRow():
                unique_value = ("API key", row.key_digest)
            case RouteRow():
                unique_value = ("path prefix", row.path_prefix)
            case RolloutRow() if row.state in ACTIVE_STATES:
                unique_value = ("rollout of the model", row.model)
            case ClassRow() | _:
                continue
        if unique_value in keys_by_unique_value:
            yield f"{key}: {keys_by_unique_value[unique_value]} has the same {unique_value[0]}"
        keys_by_unique_value[unique_value] = key
