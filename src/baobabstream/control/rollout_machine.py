"""States of a rollout and the allowed transitions between them.

A rollout replaces an old model version by a new one. It is LOADING while engines load the new
version, RUNNING while the new version's share of the traffic rises in steps, PAUSED while an
operator holds it in its present step, COMPLETED once the new version has all traffic, and STOPPED
if the traffic has returned to the old version. An engine is a backend server that runs models.
"""

from transitions import Machine, MachineError

from baobabstream.wire.rows import RolloutRow, RolloutState

__all__ = ["ACTIVE_STATES", "transition_allowed", "resumed_state"]

# States of a rollout that is not finished.
ACTIVE_STATES = frozenset({RolloutState.LOADING, RolloutState.RUNNING, RolloutState.PAUSED})

_State = RolloutState
# A trigger is the name by which a transition is requested; here it is the value of the state that
# the transition leads to (``dest``) from each of the states in ``source``.
_TRANSITIONS = [
    {
        "trigger": _State.LOADING.value,
        "source": [_State.LOADING, _State.PAUSED],
        "dest": _State.LOADING,
    },
    {
        "trigger": _State.RUNNING.value,
        "source": [_State.LOADING, _State.RUNNING, _State.PAUSED],
        "dest": _State.RUNNING,
    },
    {
        "trigger": _State.PAUSED.value,
        "source": [_State.LOADING, _State.RUNNING],
        "dest": _State.PAUSED,
    },
    {
        "trigger": _State.COMPLETED.value,
        "source": [_State.RUNNING, _State.COMPLETED],
        "dest": _State.COMPLETED,
    },
    {
        "trigger": _State.STOPPED.value,
        "source": [_State.LOADING, _State.RUNNING, _State.PAUSED, _State.COMPLETED],
        "dest": _State.STOPPED,
    },
]


class _MachineModel:
    """Object whose ``state`` the state machine sets while a transition is checked."""

    state: RolloutState


# Has no model object and no initial state, since each check adds its own object with the state of
# the rollout. Without automatic transitions, only those in ``_TRANSITIONS`` are possible.
_machine: Machine = Machine(
    model=None, states=RolloutState, transitions=_TRANSITIONS, initial=None, auto_transitions=False
)


def transition_allowed(current: RolloutState, new_state: RolloutState) -> bool:
    """Return whether a rollout may change from one state to another.

    The state machine tries the transition on an object that exists only for this check.
    """
    machine_model = _MachineModel()
    _machine.add_model(machine_model, initial=current)
    try:
        return bool(machine_model.trigger(new_state.value))  # type: ignore[attr-defined]
    # The machine raises MachineError if the trigger is not allowed in the current state, and
    # AttributeError if no transition has that trigger.
    except (MachineError, AttributeError):
        return False
    finally:
        _machine.remove_model(machine_model)


def resumed_state(row: RolloutRow) -> RolloutState:
    """Return the state in which a paused rollout continues when it is resumed.

    A rollout whose new version has no share of the traffic yet was paused while engines loaded it.
    """
    return RolloutState.RUNNING if row.share > 0 else RolloutState.LOADING
