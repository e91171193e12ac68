"""States of a rollout and the moves between them."""

from transitions import Machine, MachineError

from baobabstream.wire.rows import RolloutRow, RolloutState

__all__ = ["ACTIVE_STATES", "move_allowed", "resumed_state"]

ACTIVE_STATES = frozenset({RolloutState.LOADING, RolloutState.RUNNING, RolloutState.PAUSED})

_S = RolloutState
_TRANSITIONS = [
    {"trigger": _S.LOADING.value, "source": [_S.LOADING, _S.PAUSED], "dest": _S.LOADING},
    {
        "trigger": _S.RUNNING.value,
        "source": [_S.LOADING, _S.RUNNING, _S.PAUSED],
        "dest": _S.RUNNING,
    },
    {"trigger": _S.PAUSED.value, "source": [_S.LOADING, _S.RUNNING], "dest": _S.PAUSED},
    {"trigger": _S.COMPLETED.value, "source": [_S.RUNNING, _S.COMPLETED], "dest": _S.COMPLETED},
    {
        "trigger": _S.STOPPED.value,
        "source": [_S.LOADING, _S.RUNNING, _S.PAUSED, _S.COMPLETED],
        "dest": _S.STOPPED,
    },
]


class _Position:
    """State of one rollout while a move is checked."""

    state: RolloutState


_machine: Machine = Machine(
    model=None, states=RolloutState, transitions=_TRANSITIONS, initial=None, auto_transitions=False
)


def move_allowed(current: RolloutState, wanted: RolloutState) -> bool:
    """Return whether a rollout may move from one state to another."""
    position = _Position()
    _machine.add_model(position, initial=current)
    try:
        return bool(position.trigger(wanted.value))  # type: ignore[attr-defined]
    except (MachineError, AttributeError):
        return False
    finally:
        _machine.remove_model(position)


def resumed_state(row: RolloutRow) -> RolloutState:
    """Return the state in which a paused rollout goes on."""
    return RolloutState.RUNNING if row.share > 0 else RolloutState.LOADING
