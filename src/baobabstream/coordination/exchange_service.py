"""Answers the exchanges of gateways.

An exchange is a long poll: a gateway sends its report, an ``ExchangeRequest``, and receives what
has changed since its last exchange, or waits for a change. Here, "request" is this message, except
for quarantined requests: these are client requests that crash backend servers.

A rollout moves a service from its base version to a target version. Sessions that were active when
it began are pinned: they stay on the base version. While it is in progress, gateways and
coordination hosts send each other their sets of pinned sessions, in the field ``held_sessions``, if
the digests of the sets differ, which are numbers that are computed from their content.

Backend servers announce themselves to a coordination host. A row is the newest announcement of one
server; the feed numbers announcements by positions, which are valid within one epoch, the lifetime
of the feed. Evidence is the numbers of good and bad answers of each server, by which the versions
of a rollout are compared. The work of a gateway is its requests in flight at each server. Each
start of a gateway process is a new incarnation, a number that distinguishes it from earlier
processes on the same host.

The committed state is what a majority of the coordination hosts has stored: the routing
configuration, which the messages call a document, and the rollouts. ``document_version`` is the
version of the configuration, and ``rollout_revision`` counts the changes of all rollouts.
"""

import asyncio
from collections.abc import Callable

from baobabstream.coordination.announcement_feed import AnnouncementFeed
from baobabstream.coordination.crash_reports import CrashReports
from baobabstream.coordination.gateway_contacts import GatewayContacts
from baobabstream.coordination.limit_tokens import LimitTokens
from baobabstream.coordination.regression_detector import EvidenceLedger
from baobabstream.coordination.state import CoordinationState
from baobabstream.routing.pinned_sessions import PinnedSessions
from baobabstream.routing.session_versions import rollout_key
from baobabstream.wire.coordination_messages import ExchangeReply, ExchangeRequest, RolloutState

__all__ = ["ExchangeService"]

# Upper bound of the wait for a change; no gateway asks for a longer one.
MAX_WAIT_S = 5.0
# The same while the target of a rollout gets all requests: the gateways then report their counts
# of its answers soon, since it may have to be rolled back before it is completed.
FULL_SHARE_WAIT_S = 0.1
# Delay of a reply whose only news is pinned sessions or crashes, since several gateways report them
# at once. All hosts learn pinned sessions within this time and one exchange. That is shorter than
# the first step of a rollout, in which no session gets the target version yet.
COALESCING_DELAY_S = 0.05
# Interval at which ``wait_until_confirmed`` checks the reports of the gateways; short compared to
# the time within which the departure of a backend server must take effect.
CONFIRMATION_POLL_S = 0.01


class ExchangeService:
    """Sends changes to the gateways and stores their reports.

    Parameters
    ----------
    state
        Committed state as applied on this host.
    feed
        Announcements of backend servers that reached this host.
    member_hosts
        Returns the names of all coordination hosts, which are their IP addresses.
    may_send_state
        Returns whether the committed state is recent enough to be sent. After a restart it is at
        first that of the disk, in which a withdrawn key or version may still be valid.
    availability_zone
        Availability zone of this host, by which gateways choose where they get the load from.
    holds_leader_lease
        Returns whether this host leads, and so divides the limits of servers.

    Attributes
    ----------
    contacts
        Recent reports of the gateways.
    crash_reports
        Crashes of backend servers, and the requests that are quarantined for them.
    evidence
        Good and bad answers that the gateways have counted, by version and server.
    pinned_sessions
        Sessions that stay on the base version of a rollout.
    """

    def __init__(
        self,
        state: CoordinationState,
        feed: AnnouncementFeed,
        member_hosts: Callable[[], tuple[str, ...]],
        may_send_state: Callable[[], bool] = lambda: True,
        availability_zone: str = "",
        holds_leader_lease: Callable[[], bool] = lambda: False,
    ) -> None:
        self.contacts = GatewayContacts()
        self.crash_reports = CrashReports()
        self._limit_tokens = LimitTokens()
        self.evidence = EvidenceLedger()
        self.pinned_sessions = PinnedSessions()
        self._state = state
        self._feed = feed
        self._member_hosts = member_hosts
        self._may_send_state = may_send_state
        self._availability_zone = availability_zone
        self._holds_leader_lease = holds_leader_lease
        # Set at the next call of notify(), then replaced by a new event.
        self._state_changed = asyncio.Event()

    def notify(self) -> None:
        """Wake the waiting exchanges after a change of anything but announcements.

        That is the committed state, the quarantines or the pinned sessions; changes of
        announcements wake them through the feed. Pinned sessions of rollouts that have ended are
        dropped; the sets are stored by rollout key, which consists of service and target version.
        """
        self.pinned_sessions.retain(
            rollout_key(rollout)
            for rollout in self._state.rollouts.values()
            if rollout.state is RolloutState.IN_PROGRESS
        )
        self._state_changed.set()
        self._state_changed = asyncio.Event()

    async def answer(self, request: ExchangeRequest) -> ExchangeReply:
        """Store the report of a gateway and return what has changed, after a wait if nothing has.

        The wait lasts for the ``wait_s`` seconds of the request, at most for ``MAX_WAIT_S``. It
        ends early if the sets of pinned sessions differ here and at the gateway. Other exchanges
        that wait are woken if this report has changed the quarantines or the pinned sessions.
        ``host`` and ``incarnation`` identify the gateway process to which the counters in
        ``evidence`` belong.
        """
        loop = asyncio.get_running_loop()
        self.evidence.record_counters(request.host, request.incarnation, request.evidence)
        for server in request.leaving:
            self._feed.mark_draining(server.server_id, server.born_ms)
        digests_before = self.pinned_sessions.digests()
        self.pinned_sessions.merge(request.held_sessions)
        self.contacts.record_report(request, loop.time())
        self._limit_tokens.record(request, loop.time())
        crashes_changed = self.crash_reports.record(request, loop.time())
        if crashes_changed or self.pinned_sessions.digests() != digests_before:
            self.notify()
        deadline_s = loop.time() + min(request.wait_s, self._longest_wait_s())
        while not self._has_changes(request) and loop.time() < deadline_s:
            if (
                self._sessions_differ(request)
                or request.crash_revision != self.crash_reports.revision
            ):
                # Limits the rate of exchanges if the two sets stay different. For instance, a set
                # that has reached its maximum size takes no further sessions.
                await asyncio.sleep(COALESCING_DELAY_S)
                break
            await self._wait_for_change(deadline_s - loop.time())
        return self._reply(request, loop.time())

    def _longest_wait_s(self) -> float:
        """Return the longest wait of an exchange, short while a target gets all requests."""
        is_judging_full_share = any(
            row.state is RolloutState.IN_PROGRESS and row.settled
            for row in self._state.rollouts.values()
        )
        return FULL_SHARE_WAIT_S if is_judging_full_share else MAX_WAIT_S

    async def wait_until_confirmed(self, timeout_s: float) -> bool:
        """Wait until every active gateway has confirmed the present announcements.

        A gateway confirms the position of the feed that it has received by naming it in its next
        exchange, with the epoch of the feed. Active gateways are those that have reported recently.

        Parameters
        ----------
        timeout_s
            Longest time to wait in seconds.

        Returns
        -------
        bool
            Whether all of them have confirmed within the time; true without active gateways.
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
        return (
            self._has_newer_document(request)
            or self._has_newer_rollouts(request)
            or self._feed.has_changes(request.epoch, request.position)
        )

    def _has_newer_document(self, request: ExchangeRequest) -> bool:
        """Return whether there is a newer configuration than the gateway's, and may be sent."""
        is_newer = request.document_version < self._state.document_version
        return is_newer and self._may_send_state()

    def _has_newer_rollouts(self, request: ExchangeRequest) -> bool:
        """Return whether there are newer rollouts than the gateway's, and may be sent."""
        is_newer = request.rollout_revision < self._state.rollout_revision
        return is_newer and self._may_send_state()

    def _sessions_differ(self, request: ExchangeRequest) -> bool:
        """Return whether the gateway has other pinned sessions than this host.

        They are compared only if both sides know the same revision of the rollouts. Otherwise, one
        side may still have the sessions of a rollout that the other one has dropped. Replying at
        once would not make the sets equal, so exchanges would follow each other without a wait.
        """
        has_same_rollouts = request.rollout_revision == self._state.rollout_revision
        return has_same_rollouts and request.session_digests != self.pinned_sessions.digests()

    async def _wait_for_change(self, timeout_s: float) -> None:
        """Wait until a row or anything else changes, at most for ``timeout_s`` seconds."""
        wait_tasks = [
            asyncio.ensure_future(event.wait())
            for event in (self._state_changed, self._feed.rows_changed)
        ]
        try:
            await asyncio.wait(wait_tasks, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for wait_task in wait_tasks:
                wait_task.cancel()

    def _reply(self, request: ExchangeRequest, now_s: float) -> ExchangeReply:
        """Return what has changed since the versions and the position of a request.

        Parameters
        ----------
        request
            Report of the gateway that receives the reply.
        now_s
            Time of the event loop in seconds.

        Notes
        -----
        ``hosts`` are all coordination hosts. ``document`` is the compressed configuration and
        ``rollouts`` are all rollouts; each is empty if the gateway has the newest. ``rows`` are the
        changed announcements, and ``refreshed`` the identities of servers that have announced
        themselves again without a change, so that the gateway does not consider them lost.
        ``gateways`` is the number of active gateways, and ``gateway_position`` that of this one.
        ``work`` is the work of all other gateways by server; the gateway itself knows its own
        better than by its last report.
        ``session_digests`` are the digests of this host's sets of pinned sessions, and
        ``held_sessions`` holds those sets that differ from the gateway's.
        """
        state = self._state
        delta = self._feed.delta(request.epoch, request.position)
        has_newer_document = self._has_newer_document(request)
        has_newer_rollouts = self._has_newer_rollouts(request)
        rank = self.contacts.rank(now_s, request.host)
        return ExchangeReply(
            hosts=self._member_hosts(),
            document_version=state.document_version,
            document=state.document if has_newer_document else b"",
            rollout_revision=state.rollout_revision if has_newer_rollouts else 0,
            rollouts=tuple(state.rollouts.values()) if has_newer_rollouts else (),
            epoch=self._feed.epoch,
            position=delta.position,
            rows=delta.rows,
            refreshed=delta.refreshed,
            gateways=rank.count,
            gateway_position=rank.position,
            # The work of all gateways but the one on ``request.host``, which asks.
            work=(
                self.contacts.work_by_server(now_s, request.host) if request.wants_work else None
            ),
            availability_zone=self._availability_zone,
            session_digests=self.pinned_sessions.digests(),
            held_sessions=self.pinned_sessions.differing_sets(request.session_digests),
            quarantines=self.crash_reports.quarantines(now_s),
            suspects=(
                self.crash_reports.suspects(now_s)
                if request.survivals or request.crash_revision != self.crash_reports.revision
                else None
            ),
            crash_revision=self.crash_reports.revision,
            limits=self._limit_tokens.limits(now_s),
            tokens=(
                self._limit_tokens.give_tokens(request.wanted_tokens, now_s)
                if self._holds_leader_lease()
                else None
            ),
            tunnel_peers=(
                self.contacts.tunnel_peers(now_s, request.host) if request.wants_work else None
            ),
        )
