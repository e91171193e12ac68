"""Replicated state of the coordination hosts, and the commands that change it.

The leader commits commands to a replicated log; every host applies them in the same order. A term
is the time from one election of a leader to the next; terms are numbered.

A rollout moves a service from its base version to a target version. The row of a service, which is
part of the state, holds its base version and its last rollout. A document is a routing
configuration. The tag of a command class identifies it in the encoded command.
"""

from msgspec import Struct, field
from msgspec.msgpack import Decoder, Encoder
from msgspec.structs import replace

from baobabstream.consensus.state_machine import StateMachine
from baobabstream.wire.coordination_messages import RolloutRow, RolloutState

__all__ = [
    "AdoptVersion",
    "CoordinationCommand",
    "CoordinationMachine",
    "CoordinationState",
    "LeaderBegan",
    "MoveRollout",
    "StartRollout",
    "StoreDocument",
]


class LeaderBegan(Struct, frozen=True, tag="leader"):
    """First command of a term; it changes nothing.

    ``host`` is the new leader, and ``term`` the number of its term.
    """

    host: str
    term: int


class StoreDocument(Struct, frozen=True, tag="document"):
    """Replaces the routing configuration if its version is higher than the stored one.

    ``document`` is the compressed text of the configuration.
    """

    version: int
    document: bytes


class StartRollout(Struct, frozen=True, tag="start"):
    """Starts a rollout of a service to a target version; a repeat changes nothing.

    The rollout ends within ``duration_s`` seconds.
    """

    service: str
    target: str
    duration_s: float


class MoveRollout(Struct, frozen=True, tag="move"):
    """Changes a rollout in progress; ignored if its target is another one or it has ended.

    The fields are those of ``RolloutRow``: ``share`` is the part (0 to 1) of the new sessions that
    the target version gets, ``settled`` tells whether sessions that began on the base version move
    to the target too, and ``elapsed_s`` is the number of seconds since the start of the rollout.
    """

    service: str
    target: str
    state: RolloutState
    share: float
    settled: bool
    elapsed_s: float


class AdoptVersion(Struct, frozen=True, tag="adopt"):
    """Stores the present version of a service that has no row yet, as its base version."""

    service: str
    version: str


CoordinationCommand = LeaderBegan | StoreDocument | StartRollout | MoveRollout | AdoptVersion


class CoordinationState(Struct):
    """Newest routing configuration and the last rollout of each service.

    ``document`` is the configuration as compressed text, empty before the first one.
    ``rollout_revision`` is the number of changes of rows so far, by which gateways find out whether
    they have the newest ones, and ``rollouts`` holds the row of each service.
    """

    document_version: int = 0
    document: bytes = b""
    rollout_revision: int = 0
    rollouts: dict[str, RolloutRow] = field(default_factory=dict)


class CoordinationMachine(StateMachine[CoordinationCommand, None]):
    """Applies commands to a ``CoordinationState``.

    Parameters
    ----------
    state
        State that commands change in place.
    """

    def __init__(self, state: CoordinationState) -> None:
        self._state = state
        self._encoder = Encoder()
        self._command_decoder: Decoder[CoordinationCommand] = Decoder(CoordinationCommand)
        self._state_decoder = Decoder(CoordinationState)

    def encode_command(self, command: CoordinationCommand) -> bytes:
        """Return the log payload of a command."""
        return self._encoder.encode(command)

    def decode_command(self, payload: bytes) -> CoordinationCommand:
        """Return the command of a log payload."""
        return self._command_decoder.decode(payload)

    def leader_started(self, host: str, term: int) -> CoordinationCommand:
        """Return the command that a new leader commits first; it changes nothing."""
        return LeaderBegan(host, term)

    def snapshot(self) -> bytes:
        """Return the encoded state, which replaces the log entries that led to it."""
        return self._encoder.encode(self._state)

    def restore(self, data: bytes) -> None:
        """Replace all fields of the state by those of a snapshot.

        The object stays the same, since other parts of the daemon refer to it.
        """
        restored = self._state_decoder.decode(data)
        for name in CoordinationState.__struct_fields__:
            setattr(self._state, name, getattr(restored, name))

    def apply(self, command: CoordinationCommand) -> None:
        """Apply a committed command to the state; the first command of a term changes nothing."""
        state = self._state
        match command:
            case StoreDocument():
                if command.version > state.document_version:
                    state.document_version = command.version
                    state.document = command.document
            case StartRollout():
                self._start_rollout(command)
            case MoveRollout():
                self._move_rollout(command)
            case AdoptVersion():
                if command.service not in state.rollouts:
                    self._store_row(RolloutRow(command.service, command.version))

    def _start_rollout(self, command: StartRollout) -> None:
        """Begin a rollout unless its target is the last target or the present base version.

        A service without a row gets one with an empty base version. A rollout in progress to
        another target is replaced. The share and the elapsed time of the new one are 0.
        """
        stored_row = self._state.rollouts.get(command.service, RolloutRow(command.service))
        if stored_row.target == command.target or stored_row.base == command.target:
            return
        self._store_row(
            RolloutRow(
                command.service,
                stored_row.base,
                command.target,
                RolloutState.IN_PROGRESS,
                duration_s=command.duration_s,
            )
        )

    def _move_rollout(self, command: MoveRollout) -> None:
        """Change a rollout in progress; a completed one makes its target the base version.

        The elapsed time never falls, also if a new leader has measured less than the last one.
        """
        stored_row = self._state.rollouts.get(command.service)
        if stored_row is None or stored_row.target != command.target:
            return
        if stored_row.state is not RolloutState.IN_PROGRESS:
            return
        is_completed = command.state is RolloutState.COMPLETED
        self._store_row(
            replace(
                stored_row,
                base=command.target if is_completed else stored_row.base,
                state=command.state,
                share=command.share,
                settled=command.settled,
                elapsed_s=max(stored_row.elapsed_s, command.elapsed_s),
            )
        )

    def _store_row(self, row: RolloutRow) -> None:
        """Store the row of a service and count the change in the revision."""
        self._state.rollouts[row.service] = row
        self._state.rollout_revision += 1
