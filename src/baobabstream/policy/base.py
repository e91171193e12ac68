"""Interface of all routing policies.

An entry is a host process that accepts requests and sends them to backend servers. Its policy turns
events, such as an arrived request, into decisions, such as a dispatch. The control leader is the
host that manages the configuration for all entries.
"""

from abc import ABC, abstractmethod

from baobabstream.policy.decisions import Decision
from baobabstream.policy.events import PolicyEvent
from baobabstream.wire.messages import VersionEvidence

__all__ = ["RoutingPolicy"]


class RoutingPolicy(ABC):
    """Decides on the requests of one entry; uses no I/O, clock or global random source."""

    @abstractmethod
    def handle(self, event: PolicyEvent, now_s: float) -> list[Decision]:
        """Process an event and return the decisions that follow from it.

        Parameters
        ----------
        event
            What happened.
        now_s
            Time of the event in seconds, on any monotonic clock.

        Returns
        -------
        list of Decision
            Decisions in the order in which they must be carried out.
        """

    def drain_evidence(self) -> tuple[VersionEvidence, ...]:
        """Return and reset the counts of results per version since the last call.

        Results are successes, errors, and good and bad ratings of answers. The entry sends the
        counts to the control leader, which tests versions on those of all entries. A policy that
        counts nothing returns no counts, as here.
        """
        return ()

    @abstractmethod
    def next_timer_s(self) -> float | None:
        """Return the time, on the clock of ``handle``, at which ``TimerFired`` is due, or None."""
