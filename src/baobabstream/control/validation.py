"""Checks operator changes before they are accepted."""

from collections.abc import Mapping

from baobabstream.control.commands import ConfigChange
from baobabstream.wire.rows import (
    AccountRow,
    ClassRow,
    ConfigRow,
    RolloutRow,
    RowEntry,
    VersionRow,
    VersionState,
    row_key,
)

__all__ = ["validate_change"]


def validate_change(rows: Mapping[str, RowEntry], change: ConfigChange) -> str:
    """Return what is wrong with a change, or an empty string.

    Parameters
    ----------
    rows
        Present rows by key.
    change
        The change.
    """
    if not change.put and not change.delete:
        return "the change is empty"
    present = {key: entry.row for key, entry in rows.items() if entry.row is not None}
    missing = [key for key in change.delete if key not in present]
    if missing:
        return f"{missing[0]} does not exist"
    after = present | {row_key(row): row for row in change.put}
    problems = (_problem(row, present.get(row_key(row)), after) for row in change.put)
    return next((problem for problem in problems if problem), "")


def _problem(row: ConfigRow, before: ConfigRow | None, after: Mapping[str, ConfigRow]) -> str:
    match row:
        case AccountRow():
            if row.share <= 0 or row.max_in_flight < 1:
                return f"account {row.name}: share and max_in_flight must be positive"
            if row.default_class and f"class/{row.default_class}" not in after:
                return f"account {row.name}: class {row.default_class} does not exist"
        case ClassRow():
            if not 0 <= row.quality <= 1:
                return f"class {row.name}: quality must lie between 0 and 1"
            if row.first_token_ms <= 0 or row.total_ms < row.first_token_ms:
                return f"class {row.name}: 0 < first_token_ms <= total_ms must hold"
        case VersionRow():
            withdrawn = isinstance(before, VersionRow) and before.state is VersionState.WITHDRAWN
            if withdrawn and row.state is not VersionState.WITHDRAWN:
                return f"version {row.model}@{row.version}: it is withdrawn for good"
        case RolloutRow():
            for version in (row.from_version, row.to_version):
                if f"version/{row.model}@{version}" not in after:
                    return f"rollout {row.name}: version {row.model}@{version} does not exist"
            if not row.steps or list(row.steps) != sorted(row.steps) or row.steps[-1] != 1.0:
                return f"rollout {row.name}: steps must rise and end at 1.0"
    return ""
