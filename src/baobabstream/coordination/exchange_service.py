"""Answers the exchanges of gateways.

An exchange is a long poll: a gateway reports its observations and receives what has changed since
its last exchange, or waits for a change. While a rollout is in progress, gateways and hosts also
exchange the sets of pinned sessions, which are the ones that stay on the base version.
"""

import asyncio
from collections.abc import Callable

from baobabstream.coordination.announcement_feed import AnnouncementFeed
from baobabstream.coordination.gateway_contacts import GatewayContacts
from baobabstream.coordination.regression_detector import EvidenceLedger
from baobabstream.coordination.state import CoordinationState
from baobabstream.routing.pinned_sessions import PinnedSessions
from baobabstream.routing.session_versions import rollout_key
from baobabstream.wire.coordination_messages import ExchangeReply, ExchangeRequest, RolloutState

__all__ = ["ExchangeService"]

# Upper bound of the wait for a change, above the wait that any gateway asks for.
MAX_WAIT_S = 5.0
# Delay of a reply whose only content are pinned sessions. All hosts learn them within this time
# and one exchange; the first step of a rollout is longer than that.
PINNED_SESSIONS_DELAY_S = 0.05
# Interval of checks for confirmations; short compared to the time within which a departure must
# take effect.
CONFIRMATION_POLL_S = 0.01


class ExchangeService:
    """Sends changes to the gateways and stores their reports.

    Parameters
    ----------
    state
        Committed state as applied on this host.
    feed
        Announcements that reached this host.
    member_hosts
        Returns the coordination hosts.

    Attributes
    ----------
    contacts
        Recent reports of the gateways.
    evidence
        Answers that the gateways have counted, by version and server.
    pinned_sessions
        Sessions that stay on the base version of a rollout.
    """

    def __init__(
        self,
        state: CoordinationState,
        feed: AnnouncementFeed,
        member_hosts: Callable[[], tuple[str, ...]],
    ) -> None:
        self.contacts = GatewayContacts()
        self.evidence = EvidenceLedger()
        self.pinned_sessions = PinnedSessions()
        self._state = state
        self._feed = feed
        self._member_hosts = member_hosts
        # Set at the next call of notify(), then replaced by a new event.
        self._state_changed = asyncio.Event()

    def notify(self) -> None:
        """Wake the waiting exchanges after a change of anything but announcements.

        That is the committed state, the quarantined requests or the pinned sessions. Pinned
        sessions of rollouts that have ended are dropped.
        """
        self.pinned_sessions.retain(
            rollout_key(row)
            for row in self._state.rollouts.values()
            if row.state is RolloutState.IN_PROGRESS
        )
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    async def answer(self, request: ExchangeRequest) -> ExchangeReply:
        """Store the report of a gateway and return what has changed, after a wait if nothing has.

        Pinned sessions that differ end the wait early.
        """
        loop = asyncio.get_running_loop()
        self.evidence.record_counters(request.host, request.incarnation, request.evidence)
        digests_before = self.pinned_sessions.digests()
        self.pinned_sessions.merge(request.held_sessions)
        if (
            self.contacts.record_report(request, loop.time())
            or self.pinned_sessions.digests() != digests_before
        ):
            self.notify()
        deadline_s = loop.time() + min(request.wait_s, MAX_WAIT_S)
        while not self._has_changes(request) and loop.time() < deadline_s:
            if self._sessions_differ(request):
                # Limits the rate if two hosts cannot agree, for instance at the size limit.
                await asyncio.sleep(PINNED_SESSIONS_DELAY_S)
                break
            await self._wait_for_change(deadline_s - loop.time())
        return self._reply(request, loop.time())

    async def wait_until_confirmed(self, timeout_s: float) -> bool:
        """Wait until every active gateway has confirmed the present announcements.

        A gateway confirms a position of the feed by its next exchange.

        Returns
        -------
        bool
            Whether all of them have confirmed within the time.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        position = self._feed.position
        while loop.time() < deadline_s:
            if all(
                report.epoch == self._feed.epoch and report.position >= position
                for report in self.contacts.active_reports(loop.time())
            ):
                return True
            await asyncio.sleep(CONFIRMATION_POLL_S)
        return False

    def _has_changes(self, request: ExchangeRequest) -> bool:
        """Return whether there is a configuration, rollout or row that the gateway lacks."""
        state = self._state
        return (
            request.document_version < state.document_version
            or request.rollout_revision < state.rollout_revision
            or self._feed.has_changes(request.epoch, request.position)
        )

    def _sessions_differ(self, request: ExchangeRequest) -> bool:
        """Return whether the gateway has other pinned sessions for the same rollouts.

        At another revision of the rollouts, one side may still have the sessions of a rollout that
        the other one has dropped; exchanging them at once would repeat without end.
        """
        has_same_rollouts = request.rollout_revision == self._state.rollout_revision
        return has_same_rollouts and request.session_digests != self.pinned_sessions.digests()

    async def _wait_for_change(self, timeout_s: float) -> None:
        """Wait until an announcement or anything else changes, at most for a time."""
        waits = [
            asyncio.ensure_future(event.wait())
            for event in (self._state_changed, self._feed.rows_changed)
        ]
        try:
            await asyncio.wait(waits, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    def _reply(self, request: ExchangeRequest, now_s: float) -> ExchangeReply:
        """Return what has changed since the versions and the position of a request."""
        state = self._state
        delta = self._feed.delta(request.epoch, request.position)
        has_newer_document = request.document_version < state.document_version
        has_newer_rollouts = request.rollout_revision < state.rollout_revision
        return ExchangeReply(
            hosts=self._member_hosts(),
            document_version=state.document_version,
            document=state.document if has_newer_document else b"",
            rollout_revision=state.rollout_revision,
            rollouts=tuple(state.rollouts.values()) if has_newer_rollouts else (),
            epoch=self._feed.epoch,
            position=delta.position,
            rows=delta.rows,
            refreshed=delta.refreshed,
            gateways=len(self.contacts.active_reports(now_s)),
            quarantined=self.contacts.quarantined_fingerprints(now_s),
            work=self.contacts.work_by_server(now_s, request.host),
            session_digests=self.pinned_sessions.digests(),
            held_sessions=self.pinned_sessions.differing_sets(request.session_digests),
        )
