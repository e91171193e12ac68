"""Interface of the state that the replicated log builds."""

from abc import ABC, abstractmethod

from baobabstream.control.commands import Command
from baobabstream.control.outcome import Outcome

__all__ = ["StateMachine"]


class StateMachine(ABC):
    """Deterministic state built from committed commands."""

    @abstractmethod
    def apply(self, command: Command) -> Outcome:
        """Apply a committed command."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state."""

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the state in place, so that references to it stay valid."""
