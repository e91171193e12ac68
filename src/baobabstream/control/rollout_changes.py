"""Effects of commands on rollouts and versions; pure functions of the state machine."""

from collections.abc import Iterable, Mapping

from msgspec.structs import replace

from baobabstream.control.commands import AdvanceRollout, ControlRollout, RolloutAction
from baobabstream.control.rollout_machine import ACTIVE_STATES, move_allowed, resumed_state
from baobabstream.wire.rows import (
    ConfigRow,
    RolloutRow,
    RolloutState,
    VersionRow,
    VersionState,
    row_key,
)

__all__ = ["advanced", "controlled", "prepared_rows", "rollouts_after_stop"]

_NEEDS_ACTIVE_VERSION = (RolloutState.LOADING, RolloutState.RUNNING, RolloutState.COMPLETED)


def prepared_rows(
    put: Iterable[ConfigRow], present: Mapping[str, ConfigRow]
) -> dict[str, ConfigRow | None]:
    """Return the rows to store for an operator's rows.

    Notes
    -----
    A version keeps its state when an operator changes its cost, so that such a change does not
    bring a stopped version back. A new rollout replaces finished ones of the same model that
    exclude its target version from service.
    """
    changed: dict[str, ConfigRow | None] = {}
    for row in put:
        match row:
            case VersionRow():
                before = present.get(row_key(row))
                changed[row_key(row)] = _kept_state(row, before)
                if row.state is not VersionState.ACTIVE:
                    changed |= rollouts_after_stop(present, row)
            case RolloutRow():
                changed |= dict.fromkeys(_superseded(row, present))
                changed[row_key(row)] = replace(row, reason="", loading=())
            case _:
                changed[row_key(row)] = row
    return changed


def rollouts_after_stop(
    present: Mapping[str, ConfigRow], version: VersionRow
) -> dict[str, ConfigRow | None]:
    """Return the rollouts that change because a version got a state other than active.

    Traffic returns to the old version if the new one is stopped, and moves to the new version if
    the old one is stopped while the new one serves.
    """
    if version.state is VersionState.ACTIVE:
        return {}
    name = f"{version.model}@{version.version}"
    changed: dict[str, ConfigRow | None] = {}
    for key, row in present.items():
        if not isinstance(row, RolloutRow) or row.model != version.model:
            continue
        reason = f"{name} is {version.state.value}: {version.reason}"
        if row.to_version == version.version and row.state is not RolloutState.STOPPED:
            changed[key] = _stopped(row, reason)
        elif row.from_version == version.version and row.state in ACTIVE_STATES:
            changed[key] = _completed(row, reason) if row.share > 0 else _stopped(row, reason)
    return changed


def controlled(row: RolloutRow, command: ControlRollout) -> RolloutRow | None:
    """Return a rollout after an operator's action, or None if the action is not allowed."""
    match command.action:
        case RolloutAction.PAUSE:
            if row.state is RolloutState.PAUSED:
                return row
            wanted = RolloutState.PAUSED
        case RolloutAction.RESUME:
            if row.state in (RolloutState.LOADING, RolloutState.RUNNING):
                return row
            wanted = resumed_state(row)
        case RolloutAction.WITHDRAW:
            if row.state is RolloutState.STOPPED:
                return row
            # The old version is no longer loaded, so traffic cannot return to it.
            if row.retired:
                return None
            return _stopped(row, command.reason or f"withdrawn by {command.operator}")
    if not move_allowed(row.state, wanted):
        return None
    return replace(row, state=wanted, reason=command.reason)


def advanced(row: RolloutRow, command: AdvanceRollout, usable: bool) -> RolloutRow | None:
    """Return a rollout after a move by the leader, or None if the move is out of date.

    Parameters
    ----------
    row
        The present rollout.
    command
        The move.
    usable
        Whether the new version is active.
    """
    if (row.state, row.step) != (command.expected_state, command.expected_step):
        return None
    if command.state is not row.state and not move_allowed(row.state, command.state):
        return None
    if command.state in _NEEDS_ACTIVE_VERSION and not usable:
        return None
    return replace(
        row,
        state=command.state,
        step=command.step,
        share=command.share,
        reason=command.reason,
        loading=command.loading,
        retired=row.retired or command.retired,
    )


def _kept_state(row: VersionRow, before: ConfigRow | None) -> VersionRow:
    if not isinstance(before, VersionRow) or row.state is not VersionState.ACTIVE:
        return row
    return replace(row, state=before.state, reason=before.reason)


def _superseded(row: RolloutRow, present: Mapping[str, ConfigRow]) -> list[str]:
    return [
        key
        for key, other in present.items()
        if isinstance(other, RolloutRow)
        and other.model == row.model
        and other.state not in ACTIVE_STATES
        and row.to_version in (other.from_version, other.to_version)
    ]


def _stopped(row: RolloutRow, reason: str) -> RolloutRow:
    return replace(row, state=RolloutState.STOPPED, share=0.0, reason=reason, loading=())


def _completed(row: RolloutRow, reason: str) -> RolloutRow:
    return replace(row, state=RolloutState.COMPLETED, share=1.0, reason=reason, loading=())
