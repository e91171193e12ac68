"""Tests committed commands that arrive late or repeatedly, and the reports of gateways."""

from baobabstream.coordination.gateway_contacts import GatewayContacts
from baobabstream.coordination.state import (
    AdoptVersion,
    CoordinationMachine,
    CoordinationState,
    MoveRollout,
    StartRollout,
    StoreDocument,
)
from baobabstream.wire.coordination_messages import ExchangeRequest, RolloutState, ServerWork

START = StartRollout("engine", "v2", 12.0)


def state_after(*commands) -> CoordinationState:
    """Return the state after the commands, each of which is encoded and decoded once."""
    state = CoordinationState()
    machine = CoordinationMachine(state)
    for command in commands:
        machine.apply(machine.decode_command(machine.encode_command(command)))
    return state


def move(state: RolloutState, share: float = 1.0) -> MoveRollout:
    """Return a command that moves the rollout of ``START`` to a state and a share."""
    # True: sessions move to the target too. 6.0: seconds since the start of the rollout.
    return MoveRollout("engine", "v2", state, share, True, 6.0)


def test_only_a_higher_version_replaces_the_document():
    """Guards against a late resend, or other content with the same version, taking effect."""
    state = state_after(
        StoreDocument(4, b"four"), StoreDocument(9, b"nine"), StoreDocument(9, b"other")
    )
    assert (state.document_version, state.document) == (9, b"nine")
    assert state_after(StoreDocument(9, b"nine"), StoreDocument(4, b"four")).document == b"nine"


def test_repeated_start_does_not_restart_a_rollout():
    """Guards against a resent order that undoes a rollback or restarts the rollout's time."""
    state = state_after(
        AdoptVersion("engine", "v1"), START, move(RolloutState.ROLLED_BACK, 0.0), START
    )
    row = state.rollouts["engine"]
    assert (row.state, row.base, row.share) == (RolloutState.ROLLED_BACK, "v1", 0.0)


def test_ended_rollout_does_not_change():
    """Guards against a late command of an earlier leader that changes an ended rollout."""
    state = state_after(
        AdoptVersion("engine", "v1"),
        START,
        move(RolloutState.COMPLETED),
        move(RolloutState.ROLLED_BACK, 0.0),
    )
    assert state.rollouts["engine"].state is RolloutState.COMPLETED
    assert state.rollouts["engine"].base == "v2"


def test_snapshot_restores_all_fields():
    """Guards against losing acknowledged orders when the log is compacted."""
    state = state_after(StoreDocument(4, b"four"), AdoptVersion("engine", "v1"), START)
    restored = CoordinationState()
    CoordinationMachine(restored).restore(CoordinationMachine(state).snapshot())
    assert restored == state


def test_work_of_silent_gateways_is_not_counted():
    """Guards against counting requests of a gateway that no longer reports."""
    contacts = GatewayContacts()
    # 3 requests in flight at the server ``i-1``, whose prompts take 40 ms.
    request = ExchangeRequest("gw-1", 1, 0, 0, 0, 0, 0.0, work={"i-1": ServerWork(3, 40)})
    contacts.record_report(request, 1.0)
    assert contacts.work_by_server(2.0) == {"i-1": ServerWork(3, 40)}
    assert contacts.work_by_server(2.0, excluded_host="gw-1") == {}
    assert contacts.work_by_server(9.0) == {}
