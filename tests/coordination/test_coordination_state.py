"""Tests what committed commands do, in any order that races and repeats may bring."""

from baobabstream.coordination.gateway_contacts import CRASHES_TO_QUARANTINE, GatewayContacts
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


def built(*commands) -> CoordinationState:
    state = CoordinationState()
    machine = CoordinationMachine(state)
    for command in commands:
        machine.apply(machine.decode_command(machine.encode_command(command)))
    return state


def moved(state: RolloutState, share: float = 1.0) -> MoveRollout:
    return MoveRollout("engine", "v2", state, share, True, 6.0)


def test_only_a_higher_version_replaces_the_document():
    """Guards against a late resend, or other content under the held number, taking effect."""
    state = built(StoreDocument(4, b"four"), StoreDocument(9, b"nine"), StoreDocument(9, b"other"))
    assert (state.document_version, state.document) == (9, b"nine")
    assert built(StoreDocument(9, b"nine"), StoreDocument(4, b"four")).document == b"nine"


def test_repeated_start_does_not_restart_a_rollout():
    """Guards against a resent order that undoes a rollback or starts the time anew."""
    state = built(AdoptVersion("engine", "v1"), START, moved(RolloutState.ROLLED_BACK, 0.0), START)
    row = state.rollouts["engine"]
    assert (row.state, row.base, row.share) == (RolloutState.ROLLED_BACK, "v1", 0.0)


def test_ended_rollout_does_not_move():
    """Guards against a late command of an earlier leader that revives a rollout."""
    state = built(
        AdoptVersion("engine", "v1"),
        START,
        moved(RolloutState.COMPLETED),
        moved(RolloutState.ROLLED_BACK, 0.0),
    )
    assert state.rollouts["engine"].state is RolloutState.COMPLETED
    assert state.rollouts["engine"].base == "v2"


def test_snapshot_restores_everything():
    """Guards against losing acknowledged orders when the log is compacted."""
    state = built(StoreDocument(4, b"four"), AdoptVersion("engine", "v1"), START)
    restored = CoordinationState()
    CoordinationMachine(restored).restore(CoordinationMachine(state).snapshot())
    assert restored == state


def report(*suspects: str, host: str = "gw-1") -> ExchangeRequest:
    return ExchangeRequest(host, 1, 0, 0, 0, 0, 0.0, crash_suspects=suspects)


def test_request_that_crashes_servers_is_quarantined():
    """Guards against a request that crashes one server after another through several gateways."""
    contacts = GatewayContacts()
    for n in range(CRASHES_TO_QUARANTINE - 1):
        contacts.note(report(f"f00d:i-{n}", host=f"gw-{n}"), 1.0)
    contacts.note(report("f00d:i-0", host="gw-9"), 1.0)
    assert contacts.quarantined(1.0) == ()
    assert contacts.note(report("f00d:i-9"), 2.0)
    assert contacts.quarantined(2.0) == ("f00d",)


def test_load_of_silent_gateways_is_forgotten():
    """Guards against counting requests of a gateway that is gone."""
    contacts = GatewayContacts()
    request = ExchangeRequest("gw-1", 1, 0, 0, 0, 0, 0.0, work={"i-1": ServerWork(3, 40)})
    contacts.note(request, 1.0)
    assert contacts.work(2.0) == {"i-1": ServerWork(3, 40)}
    assert contacts.work(2.0, without="gw-1") == {}
    assert contacts.work(9.0) == {}
