"""Interface between the control state machine and the replicated log."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from baobabstream.wire.consensus_messages import Member, Membership

__all__ = ["CommandApplier", "CommandLog", "LocalLog"]

CommandApplier = Callable[[Any], Any]


class CommandLog(ABC):
    """Orders commands and applies them on every member."""

    @abstractmethod
    async def propose(self, command: Any, timeout_s: float) -> Any:
        """Commit a command and return what applying it gave.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` if this member does not lead; nothing was proposed.
            ``CHANGE_UNKNOWN`` if it is not known whether the command was committed.
        """

    @abstractmethod
    def holds_leader_lease(self) -> bool:
        """Return whether this member leads and a quorum has confirmed it recently."""

    @property
    @abstractmethod
    def leader(self) -> str:
        """Host name of the leader, or empty."""

    @property
    @abstractmethod
    def term(self) -> int:
        """Current term."""

    @abstractmethod
    def all_voters_responsive(self) -> bool:
        """Return whether this member leads and each voter has answered lately."""

    @property
    @abstractmethod
    def membership(self) -> Membership:
        """Voters and learners of the log."""


class LocalLog(CommandLog):
    """Log of a single member without storage, for tests and development."""

    def __init__(self, host: str, apply_function: CommandApplier) -> None:
        self._host = host
        self._apply = apply_function

    async def propose(self, command: Any, timeout_s: float) -> Any:
        """Apply a command at once."""
        return self._apply(command)

    def holds_leader_lease(self) -> bool:
        """Return True: a single member always leads."""
        return True

    @property
    def leader(self) -> str:
        """Host name of this member."""
        return self._host

    @property
    def term(self) -> int:
        """Return 1: the only term."""
        return 1

    def all_voters_responsive(self) -> bool:
        """Return True: there are no other voters."""
        return True

    @property
    def membership(self) -> Membership:
        """The only member."""
        return Membership((Member(self._host, self._host),))
