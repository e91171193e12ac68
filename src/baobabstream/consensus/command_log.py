"""Interface of a log that orders commands, and a log of a single member without storage.

A command is a change of the shared state. It is committed once no leader can replace it in the log
any more. A term is a numbered period with at most one leader. A quorum is a majority of the voters.
A member id names one data folder, the storage of a member, and is generated with it; a host whose
disk was lost therefore gets another member id.
"""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Any

from baobabstream.wire.consensus_messages import Member, Membership

__all__ = ["CommandApplier", "CommandLog", "LocalLog"]

# Applies one command to the state and returns the outcome.
CommandApplier = Callable[[Any], Any]


class CommandLog(ABC):
    """Orders commands and applies them in the same order on every member.

    The leader of the current term accepts commands while a quorum of the voters confirms it (the
    leader lease). A member is a voter, or a learner that only receives the log.
    """

    @abstractmethod
    async def propose(self, command: Any, timeout_s: float) -> Any:
        """Commit a command and return the result of applying it.

        Parameters
        ----------
        command
            Command of the state machine, which holds the shared state.
        timeout_s
            Longest time in seconds to wait until the command is committed and applied.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` if this member does not lead; nothing was proposed.
            ``CHANGE_UNKNOWN`` if it is not known whether the command was committed.
        """

    @abstractmethod
    def holds_leader_lease(self) -> bool:
        """Return whether this member may serve: it leads and its leader lease has not ended.

        The lease lasts for a fixed time after the latest requests that a quorum has acknowledged
        were sent.
        """

    @property
    @abstractmethod
    def leader(self) -> str:
        """Host name of the leader, or empty if none is known."""

    @property
    @abstractmethod
    def term(self) -> int:
        """Current term."""

    @abstractmethod
    def all_voters_responsive(self) -> bool:
        """Return whether this member leads and each voter has answered recently.

        Recently means within a few of the intervals at which a leader sends to every voter.
        A group of at least three voters then keeps a quorum if one of them fails.
        """

    @property
    @abstractmethod
    def membership(self) -> Membership:
        """Voters and learners of the log."""


class LocalLog(CommandLog):
    """Log of a single member without storage, for tests and development.

    Parameters
    ----------
    host
        Host name of the member.
    apply_function
        Applies one command and returns its result.
    """

    def __init__(self, host: str, apply_function: CommandApplier) -> None:
        self._host = host
        self._apply = apply_function

    async def propose(self, command: Any, timeout_s: float) -> Any:
        """Apply a command at once and return the result; ``timeout_s`` is not used."""
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
        """Membership with this member as the only voter."""
        # Member id and host name. A member id usually names a data folder; this log has none, so
        # the host name serves for both.
        return Membership((Member(self._host, self._host),))
