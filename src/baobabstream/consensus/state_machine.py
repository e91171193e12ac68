"""Interface of the state that the replicated log builds."""

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

__all__ = ["StateMachine"]

CommandT = TypeVar("CommandT")
OutcomeT = TypeVar("OutcomeT")


class StateMachine(ABC, Generic[CommandT, OutcomeT]):
    """Deterministic state built from committed commands."""

    @abstractmethod
    def encode_command(self, command: CommandT) -> bytes:
        """Return the log payload of a command."""

    @abstractmethod
    def decode_command(self, payload: bytes) -> CommandT:
        """Return the command of a log payload."""

    @abstractmethod
    def leader_started(self, host: str, term: int) -> CommandT:
        """Return the command that a new leader writes first."""

    @abstractmethod
    def apply(self, command: CommandT) -> OutcomeT:
        """Apply a committed command."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state."""

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the state in place, so that references to it stay valid."""
