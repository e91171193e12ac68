"""Interface of the state machine that the replicated log applies commands to.

A command is a change of the state that a caller proposes to the leader; its outcome is what the
caller gets back. An entry is one record of the log, and its payload is an encoded command. A
command is committed once a majority of the voters has stored it and no leader can replace it. The
members keep copies of the log; voters are those that elect the leader, which alone adds entries. A
term is a numbered period with at most one leader.
"""

from abc import ABC, abstractmethod
from typing import Generic, TypeVar

__all__ = ["StateMachine"]

CommandT = TypeVar("CommandT")
OutcomeT = TypeVar("OutcomeT")


class StateMachine(ABC, Generic[CommandT, OutcomeT]):
    """State that depends only on the committed commands and their order.

    All members apply the same commands in the same order and so have the same state.
    """

    @abstractmethod
    def encode_command(self, command: CommandT) -> bytes:
        """Return a command as the payload of a log entry."""

    @abstractmethod
    def decode_command(self, payload: bytes) -> CommandT:
        """Return the command in the payload of a log entry."""

    @abstractmethod
    def leader_started(self, host: str, term: int) -> CommandT:
        """Return the command for the first entry that a new leader appends in its term.

        The leader needs such an entry, since entries of earlier terms are committed only together
        with one of its own term.

        Parameters
        ----------
        host
            Host name of the new leader.
        term
            Number of the term in which it leads.
        """

    @abstractmethod
    def apply(self, command: CommandT) -> OutcomeT:
        """Apply a committed command and return its result."""

    @abstractmethod
    def snapshot(self) -> bytes:
        """Return the whole state, encoded; it replaces the commands applied so far in the log."""

    @abstractmethod
    def restore(self, data: bytes) -> None:
        """Replace the state by an encoded one, in place, so that references to it stay valid."""
