"""Connects the configuration state to the replicated log."""

from msgspec.msgpack import Decoder, Encoder

from baobabstream.consensus.state_machine import StateMachine
from baobabstream.control.claims import ClaimTable
from baobabstream.control.commands import Command, LeaderStarted
from baobabstream.control.outcome import Outcome
from baobabstream.control.state import ConfigState

__all__ = ["ConfigStateMachine"]


class ConfigStateMachine(StateMachine[Command, Outcome]):
    """Applies commands to a ``ConfigState``.

    Parameters
    ----------
    state
        State to change; the object stays the same.
    """

    def __init__(self, state: ConfigState) -> None:
        self._state = state
        self._encoder = Encoder()
        self._decoder = Decoder(ConfigState)
        self._commands: Decoder[Command] = Decoder(Command)

    def encode_command(self, command: Command) -> bytes:
        """Return the log payload of a command."""
        return self._encoder.encode(command)

    def decode_command(self, payload: bytes) -> Command:
        """Return the command of a log payload."""
        return self._commands.decode(payload)

    def leader_started(self, host: str, term: int) -> Command:
        """Return the command that a new leader writes first."""
        return LeaderStarted(host, term)

    def apply(self, command: Command) -> Outcome:
        """Apply a committed command."""
        return self._state.apply(command)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return self._encoder.encode(self._state)

    def restore(self, data: bytes) -> None:
        """Replace the fields of the state, and the contents of its claim table."""
        restored = self._decoder.decode(data)
        for name in ClaimTable.__struct_fields__:
            setattr(self._state.claims, name, getattr(restored.claims, name))
        for name in ConfigState.__struct_fields__:
            if name != "claims":
                setattr(self._state, name, getattr(restored, name))
