"""Answers the exchanges of gateways."""

import asyncio
from collections.abc import Callable

from baobabstream.coordination.announcement_feed import AnnouncementFeed
from baobabstream.coordination.gateway_contacts import GatewayContacts
from baobabstream.coordination.rollout_judge import EvidenceLedger
from baobabstream.coordination.state import CoordinationState
from baobabstream.routing.pinned_sessions import PinnedSessions
from baobabstream.routing.session_versions import rollout_key
from baobabstream.wire.coordination_messages import ExchangeReply, ExchangeRequest, RolloutState

__all__ = ["ExchangeService"]

# Longest wait for a change; longer than any gateway asks for.
MAX_WAIT_S = 5.0
# Sessions are learned within this time and an exchange; a rollout waits longer for them.
SESSIONS_DELAY_S = 0.05
# Short beside the time in which a departure must be in force.
TOLD_POLL_S = 0.01


class ExchangeService:
    """Tells gateways what has changed, and keeps what they report.

    Parameters
    ----------
    state
        Committed state as applied on this host.
    feed
        Announcements that reached this host.
    hosts
        Returns the hosts of the group.
    """

    def __init__(
        self,
        state: CoordinationState,
        feed: AnnouncementFeed,
        hosts: Callable[[], tuple[str, ...]],
    ) -> None:
        self.contacts = GatewayContacts()
        self.evidence = EvidenceLedger()
        self.held = PinnedSessions()
        self._state = state
        self._feed = feed
        self._hosts = hosts
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake the gateways that wait: committed state, a quarantine or held sessions changed."""
        self.held.retain(
            rollout_key(row)
            for row in self._state.rollouts.values()
            if row.state is RolloutState.IN_PROGRESS
        )
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, request: ExchangeRequest) -> ExchangeReply:
        """Keep the report of a gateway and return the news, waiting for some if there are none."""
        loop = asyncio.get_running_loop()
        self.evidence.report(request.host, request.incarnation, request.evidence)
        digests = self.held.digests()
        self.held.merge(request.held_sessions)
        if self.contacts.note(request, loop.time()) or self.held.digests() != digests:
            self.notify()
        deadline_s = loop.time() + min(request.wait_s, MAX_WAIT_S)
        while not self._has_news(request) and loop.time() < deadline_s:
            if self._sessions_differ(request):
                # Bounds the rate if two hosts cannot agree, for instance at the size limit.
                await asyncio.sleep(SESSIONS_DELAY_S)
                break
            await self._wait(deadline_s - loop.time())
        return self._reply(request, loop.time())

    async def wait_told(self, timeout_s: float) -> bool:
        """Wait until every gateway in contact has confirmed the present announcements.

        Returns
        -------
        bool
            Whether all of them have.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        position = self._feed.position
        while loop.time() < deadline_s:
            if all(
                item.epoch == self._feed.epoch and item.position >= position
                for item in self.contacts.active(loop.time())
            ):
                return True
            await asyncio.sleep(TOLD_POLL_S)
        return False

    def _has_news(self, request: ExchangeRequest) -> bool:
        state = self._state
        return (
            request.document_version < state.document_version
            or request.rollout_revision < state.rollout_revision
            or self._feed.has_news(request.epoch, request.position)
        )

    def _sessions_differ(self, request: ExchangeRequest) -> bool:
        same_rollouts = request.rollout_revision == self._state.rollout_revision
        return same_rollouts and request.session_digests != self.held.digests()

    async def _wait(self, limit_s: float) -> None:
        waits = [
            asyncio.ensure_future(event.wait()) for event in (self._changed, self._feed.changed)
        ]
        try:
            await asyncio.wait(waits, timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait in waits:
                wait.cancel()

    def _reply(self, request: ExchangeRequest, now_s: float) -> ExchangeReply:
        state = self._state
        delta = self._feed.delta(request.epoch, request.position)
        newer_document = request.document_version < state.document_version
        newer_rollouts = request.rollout_revision < state.rollout_revision
        return ExchangeReply(
            hosts=self._hosts(),
            document_version=state.document_version,
            document=state.document if newer_document else b"",
            rollout_revision=state.rollout_revision,
            rollouts=tuple(state.rollouts.values()) if newer_rollouts else (),
            epoch=self._feed.epoch,
            position=delta.position,
            rows=delta.rows,
            refreshed=delta.refreshed,
            gateways=len(self.contacts.active(now_s)),
            quarantined=self.contacts.quarantined(now_s),
            work=self.contacts.work(now_s, request.host),
            session_digests=self.held.digests(),
            held_sessions=self.held.differing_sets(request.session_digests),
        )
