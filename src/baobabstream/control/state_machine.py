"""Adapter between the replicated log and the configuration state.

The log stores commands as bytes and calls this adapter to apply them on every control host. It
replaces commands that have been applied by a snapshot of the whole state.
"""

from msgspec.msgpack import Decoder, Encoder

from baobabstream.consensus.state_machine import StateMachine
from baobabstream.control.claims import ClaimTable
from baobabstream.control.commands import Command, LeaderStarted
from baobabstream.control.outcome import Outcome
from baobabstream.control.state import ConfigState

__all__ = ["ConfigStateMachine"]


class ConfigStateMachine(StateMachine[Command, Outcome]):
    """Encodes commands for the replicated log and applies committed ones to a ``ConfigState``.

    Parameters
    ----------
    state
        State that is changed in place. Other components hold a reference to it.
    """

    def __init__(self, state: ConfigState) -> None:
        self._state = state
        self._encoder = Encoder()
        self._state_decoder = Decoder(ConfigState)
        self._command_decoder: Decoder[Command] = Decoder(Command)

    def encode_command(self, command: Command) -> bytes:
        """Return the payload of a command in the log (msgpack)."""
        return self._encoder.encode(command)

    def decode_command(self, payload: bytes) -> Command:
        """Return the command that a log payload contains."""
        return self._command_decoder.decode(payload)

    def leader_started(self, host: str, term: int) -> Command:
        """Return the command that a new leader appends first.

        Parameters
        ----------
        host
            Host of the new leader.
        term
            Consensus term in which it leads, the number of its election.
        """
        return LeaderStarted(host, term)

    def apply(self, command: Command) -> Outcome:
        """Apply a committed command to the state and return its result."""
        return self._state.apply(command)

    def snapshot(self) -> bytes:
        """Return the whole state as msgpack."""
        return self._encoder.encode(self._state)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot, keeping the state object and its claim table object.

        The objects stay since other components hold references to them, so their fields are set.
        """
        restored = self._state_decoder.decode(data)
        for name in ClaimTable.__struct_fields__:
            setattr(self._state.claims, name, getattr(restored.claims, name))
        for name in ConfigState.__struct_fields__:
            if name != "claims":
                setattr(self._state, name, getattr(restored, name))
