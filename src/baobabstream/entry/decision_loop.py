"""Passes events to the routing policy and its decisions to the requests that they are about.

The routing policy decides, among other things, to which backend server a request is sent. It
receives events, such as the arrival of a request, and returns decisions. The inbox of a request is
the queue from which its handler takes them.

An entry is a host that accepts the requests of callers. The control leader is the control host that
tells the entries the configuration and collects their evidence, the counts of good and bad results
per model version.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from baobabstream.policy.base import RoutingPolicy
from baobabstream.policy.decisions import Decision, StopVersion
from baobabstream.policy.events import PolicyEvent, TimerFired
from baobabstream.wire.messages import VersionEvidence

__all__ = ["DecisionLoop"]


class DecisionLoop:
    """Runs one routing policy on the event loop's clock.

    Parameters
    ----------
    policy
        The routing policy of this entry.
    on_stop
        Called with each ``StopVersion`` decision: to stop the use of a model version. It is the
        only decision that is not about a request.
    on_evidence
        Called with the counts of results per model version that the policy collected for the
        control leader.
    """

    def __init__(
        self,
        policy: RoutingPolicy,
        on_stop: Callable[[StopVersion], None],
        on_evidence: Callable[[VersionEvidence], None],
    ) -> None:
        self._policy = policy
        self._on_stop = on_stop
        self._on_evidence = on_evidence
        # Inboxes by request identity; each may also receive other items from its request.
        self._inboxes: dict[str, asyncio.Queue[Any]] = {}
        self._timer: asyncio.TimerHandle | None = None
        # Time in seconds on the event loop's clock at which the timer fires; None without a timer.
        self._scheduled_timer_s: float | None = None

    def register_inbox(self, request_id: str, inbox: asyncio.Queue[Any]) -> None:
        """Put the decisions about a request into its queue ``inbox`` from now on."""
        self._inboxes[request_id] = inbox

    def unregister_inbox(self, request_id: str) -> None:
        """Discard later decisions about a request."""
        self._inboxes.pop(request_id, None)

    def process_event(self, event: PolicyEvent) -> None:
        """Pass an event to the policy, deliver its decisions and evidence, and set its timer anew.

        Evidence is the counts of results per model version that are not yet passed on;
        ``drain_evidence`` returns each count only once.
        """
        now_s = asyncio.get_running_loop().time()
        for decision in self._policy.handle(event, now_s):
            self._deliver_decision(decision)
        for evidence in self._policy.drain_evidence():
            self._on_evidence(evidence)
        self._schedule_timer()

    def _deliver_decision(self, decision: Decision) -> None:
        """Pass ``StopVersion`` to its callback, any other decision to the inbox of its request."""
        if isinstance(decision, StopVersion):
            self._on_stop(decision)
            return
        inbox = self._inboxes.get(decision.request_id)
        if inbox is not None:
            inbox.put_nowait(decision)

    def _schedule_timer(self) -> None:
        """Set the timer to the time that the policy returns, or to none if it returns None.

        The policy must be called then, even without another event, since a limit that it sets may
        have passed.
        """
        timer_s = self._policy.next_timer_s()
        if timer_s == self._scheduled_timer_s:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._scheduled_timer_s = timer_s
        if timer_s is not None:
            self._timer = asyncio.get_running_loop().call_at(timer_s, self._handle_timer)

    def _handle_timer(self) -> None:
        """Pass the event of a fired timer to the policy."""
        self._timer = None
        self._scheduled_timer_s = None
        self.process_event(TimerFired())
