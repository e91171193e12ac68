"""Feeds events to the routing policy and hands its decisions to the requests."""

import asyncio
from collections.abc import Callable
from typing import Any

from baobabstream.policy.base import RoutingPolicy
from baobabstream.policy.decisions import Decision, StopVersion
from baobabstream.policy.events import PolicyEvent, TimerFired
from baobabstream.wire.messages import VersionEvidence

__all__ = ["DecisionLoop"]


class DecisionLoop:
    """Runs one policy on the event loop's clock.

    Parameters
    ----------
    policy
        The routing policy of this entry.
    on_stop
        Called with each ``StopVersion`` decision.
    on_evidence
        Called with the counts of results that the policy collected for the control leader.
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
        self._inboxes: dict[str, asyncio.Queue[Any]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_s: float | None = None

    def open(self, request_id: str, inbox: asyncio.Queue[Any]) -> None:
        """Put the decisions about a request into its queue from now on."""
        self._inboxes[request_id] = inbox

    def close(self, request_id: str) -> None:
        """Forget a request."""
        self._inboxes.pop(request_id, None)

    def feed(self, event: PolicyEvent) -> None:
        """Tell the policy of an event and deliver its decisions."""
        now_s = asyncio.get_running_loop().time()
        for decision in self._policy.handle(event, now_s):
            self._deliver(decision)
        for evidence in self._policy.drain_evidence():
            self._on_evidence(evidence)
        self._arm()

    def _deliver(self, decision: Decision) -> None:
        if isinstance(decision, StopVersion):
            self._on_stop(decision)
            return
        inbox = self._inboxes.get(decision.request_id)
        if inbox is not None:
            inbox.put_nowait(decision)

    def _arm(self) -> None:
        at_s = self._policy.next_timer_s()
        if at_s == self._timer_s:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._timer_s = at_s
        if at_s is not None:
            self._timer = asyncio.get_running_loop().call_at(at_s, self._fire)

    def _fire(self) -> None:
        self._timer = None
        self._timer_s = None
        self.feed(TimerFired())
