"""State that the replicated log of the coordination hosts builds."""

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
    """First command of a term."""

    host: str
    term: int


class StoreDocument(Struct, frozen=True, tag="document"):
    """Replace the routing configuration if its version is higher than the one held."""

    version: int
    document: bytes


class StartRollout(Struct, frozen=True, tag="start"):
    """Begin to move a service to another version; a repeat changes nothing."""

    service: str
    target: str
    duration_s: float


class MoveRollout(Struct, frozen=True, tag="move"):
    """Change a rollout that is in progress towards the same target."""

    service: str
    target: str
    state: RolloutState
    share: float
    settled: bool
    elapsed_s: float


class AdoptVersion(Struct, frozen=True, tag="adopt"):
    """Note the version that a service without a rollout runs on."""

    service: str
    version: str


CoordinationCommand = LeaderBegan | StoreDocument | StartRollout | MoveRollout | AdoptVersion


class CoordinationState(Struct):
    """Newest routing configuration, as compressed text, and the rollout of each service.

    ``rollout_revision`` rises with each change of a rollout.
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
        State to change; the object stays the same.
    """

    def __init__(self, state: CoordinationState) -> None:
        self._state = state
        self._encoder = Encoder()
        self._commands: Decoder[CoordinationCommand] = Decoder(CoordinationCommand)
        self._states = Decoder(CoordinationState)

    def encode_command(self, command: CoordinationCommand) -> bytes:
        """Return the log payload of a command."""
        return self._encoder.encode(command)

    def decode_command(self, payload: bytes) -> CoordinationCommand:
        """Return the command of a log payload."""
        return self._commands.decode(payload)

    def leader_started(self, host: str, term: int) -> CoordinationCommand:
        """Return the command that a new leader writes first."""
        return LeaderBegan(host, term)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return self._encoder.encode(self._state)

    def restore(self, data: bytes) -> None:
        """Replace the fields of the state."""
        restored = self._states.decode(data)
        for name in CoordinationState.__struct_fields__:
            setattr(self._state, name, getattr(restored, name))

    def apply(self, command: CoordinationCommand) -> None:
        """Apply a committed command."""
        state = self._state
        match command:
            case StoreDocument():
                if command.version > state.document_version:
                    state.document_version = command.version
                    state.document = command.document
            case StartRollout():
                self._start(command)
            case MoveRollout():
                self._move(command)
            case AdoptVersion():
                if command.service not in state.rollouts:
                    self._put(RolloutRow(command.service, command.version))

    def _start(self, command: StartRollout) -> None:
        known = self._state.rollouts.get(command.service, RolloutRow(command.service))
        if known.target == command.target or known.base == command.target:
            return
        self._put(
            RolloutRow(
                command.service,
                known.base,
                command.target,
                RolloutState.IN_PROGRESS,
                duration_s=command.duration_s,
            )
        )

    def _move(self, command: MoveRollout) -> None:
        known = self._state.rollouts.get(command.service)
        if known is None or known.target != command.target:
            return
        if known.state is not RolloutState.IN_PROGRESS:
            return
        completed = command.state is RolloutState.COMPLETED
        self._put(
            replace(
                known,
                base=command.target if completed else known.base,
                state=command.state,
                share=command.share,
                settled=command.settled,
                elapsed_s=max(known.elapsed_s, command.elapsed_s),
            )
        )

    def _put(self, row: RolloutRow) -> None:
        self._state.rollouts[row.service] = row
        self._state.rollout_revision += 1
