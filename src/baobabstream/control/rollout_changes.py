"""Effects of commands on rollout and version rows; pure functions of the state machine.

A rollout replaces a model version (``from_version``, the old one) by another (``to_version``,
the new one); ``share`` is the new version's fraction of the traffic (0 to 1), and ``loading`` names
the engines that are ordered to load it. A rollout is active while it is loading, running or paused,
and finished once it is completed (the new version has all traffic) or stopped (the old one has).
The old version is retired when its engines may unload it. An engine is a backend server that runs
models.

An operator's withdrawal of a rollout stops it. A version is active, stopped or withdrawn: a stopped
one gets no requests until it is activated again, and a withdrawn one never again. The leader of the
control hosts, which store the configuration, advances the rollouts.
"""

from collections.abc import Iterable, Mapping

from msgspec.structs import replace

from baobabstream.control.commands import AdvanceRollout, ControlRollout, RolloutAction
from baobabstream.control.rollout_machine import ACTIVE_STATES, resumed_state, transition_allowed
from baobabstream.wire.rows import (
    ConfigRow,
    RolloutRow,
    RolloutState,
    VersionRow,
    VersionState,
    row_key,
)

__all__ = ["advance_rollout", "apply_rollout_action", "rollouts_after_stop", "rows_to_store"]

# States that the leader may give a rollout only while its new version is in state ACTIVE, since the
# new version gets traffic in these states or is about to get it.
_STATES_NEEDING_ACTIVE_TARGET = (RolloutState.LOADING, RolloutState.RUNNING, RolloutState.COMPLETED)


def rows_to_store(
    put_rows: Iterable[ConfigRow], present_rows: Mapping[str, ConfigRow]
) -> dict[str, ConfigRow | None]:
    """Return the rows to store, by key, for the rows that an operator puts; None deletes a row.

    Notes
    -----
    A put of a version in state ACTIVE keeps the version's present state, so that a change of its
    cost does not reactivate a stopped version. A put in another state stops the version and its
    rollouts. A new rollout deletes the finished rollouts of the same model that involve its new
    version, and starts without a reason and loading engines, which only the control hosts set.
    """
    changed_rows: dict[str, ConfigRow | None] = {}
    for row in put_rows:
        match row:
            case VersionRow():
                previous_row = present_rows.get(row_key(row))
                changed_rows[row_key(row)] = _with_previous_state(row, previous_row)
                if row.state is not VersionState.ACTIVE:
                    changed_rows |= rollouts_after_stop(present_rows, row)
            case RolloutRow():
                changed_rows |= dict.fromkeys(_superseded_rollout_keys(row, present_rows))
                changed_rows[row_key(row)] = replace(row, reason="", loading=())
            case _:
                changed_rows[row_key(row)] = row
    return changed_rows


def rollouts_after_stop(
    present_rows: Mapping[str, ConfigRow], version: VersionRow
) -> dict[str, ConfigRow | None]:
    """Return the rollouts that change because a version is stopped or withdrawn.

    ``version`` is the row of that version after the change. Traffic returns to the old version if
    the new one is stopped. It moves to the new version if the old one is stopped while the new one
    has a share of the traffic; without a share, the rollout is stopped, since the new version may
    not be loaded yet.
    """
    if version.state is VersionState.ACTIVE:
        return {}
    version_name = f"{version.model}@{version.version}"
    changed_rows: dict[str, ConfigRow | None] = {}
    for key, row in present_rows.items():
        if not isinstance(row, RolloutRow) or row.model != version.model:
            continue
        reason = f"{version_name} is {version.state.value}: {version.reason}"
        if row.to_version == version.version and row.state is not RolloutState.STOPPED:
            changed_rows[key] = _stopped_rollout(row, reason)
        elif row.from_version == version.version and row.state in ACTIVE_STATES:
            changed_rows[key] = (
                _completed_rollout(row, reason) if row.share > 0 else _stopped_rollout(row, reason)
            )
    return changed_rows


def apply_rollout_action(row: RolloutRow, command: ControlRollout) -> RolloutRow | None:
    """Return a rollout after an operator's action, or None if the action is not allowed.

    An action that the rollout's state already fulfils returns the rollout unchanged.
    """
    match command.action:
        case RolloutAction.PAUSE:
            if row.state is RolloutState.PAUSED:
                return row
            new_state = RolloutState.PAUSED
        case RolloutAction.RESUME:
            if row.state in (RolloutState.LOADING, RolloutState.RUNNING):
                return row
            new_state = resumed_state(row)
        case RolloutAction.WITHDRAW:
            if row.state is RolloutState.STOPPED:
                return row
            # A retired old version may already be unloaded, so traffic cannot return to it.
            if row.retired:
                return None
            return _stopped_rollout(row, command.reason or f"withdrawn by {command.operator}")
    if not transition_allowed(row.state, new_state):
        return None
    return replace(row, state=new_state, reason=command.reason)


def advance_rollout(
    row: RolloutRow, command: AdvanceRollout, target_is_active: bool
) -> RolloutRow | None:
    """Return a rollout after a command of the leader, or None if it is outdated or not allowed.

    A command is outdated if the rollout has left the state and step that the command was based on.
    A step is an index into the traffic shares that the new version gets one after another.

    Parameters
    ----------
    row
        The present rollout.
    command
        New progress, with the state and step that it was based on.
    target_is_active
        Whether the new version is in state ACTIVE.
    """
    if (row.state, row.step) != (command.expected_state, command.expected_step):
        return None
    if command.state is not row.state and not transition_allowed(row.state, command.state):
        return None
    if command.state in _STATES_NEEDING_ACTIVE_TARGET and not target_is_active:
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


def _with_previous_state(row: VersionRow, previous_row: ConfigRow | None) -> VersionRow:
    """Return a put version with the state of the stored one, unless the put stops or withdraws it.

    A put in state ACTIVE gets the stored state and the reason for it. ``previous_row`` is the
    stored row, or None for a new version.
    """
    if not isinstance(previous_row, VersionRow) or row.state is not VersionState.ACTIVE:
        return row
    return replace(row, state=previous_row.state, reason=previous_row.reason)


def _superseded_rollout_keys(row: RolloutRow, present_rows: Mapping[str, ConfigRow]) -> list[str]:
    """Return the keys of the finished rollouts that a new rollout replaces.

    Those are the ones of the same model whose old or new version is the new version of ``row``.
    """
    return [
        key
        for key, present_row in present_rows.items()
        if isinstance(present_row, RolloutRow)
        and present_row.model == row.model
        and present_row.state not in ACTIVE_STATES
        and row.to_version in (present_row.from_version, present_row.to_version)
    ]


def _stopped_rollout(row: RolloutRow, reason: str) -> RolloutRow:
    """Return a stopped rollout: all traffic goes to the old version (share 0 for the new one).

    No more engines are ordered to load the new version.
    """
    return replace(row, state=RolloutState.STOPPED, share=0.0, reason=reason, loading=())


def _completed_rollout(row: RolloutRow, reason: str) -> RolloutRow:
    """Return a completed rollout: all traffic (share 1) goes to the new version.

    No more engines are ordered to load the new version.
    """
    return replace(row, state=RolloutState.COMPLETED, share=1.0, reason=reason, loading=())
