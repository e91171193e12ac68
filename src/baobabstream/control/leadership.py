"""Components that run only on the leader of the control hosts.

Their state is soft: it is not replicated, and a new leader builds it again from the polls of
the entry hosts and the announcements of the backend servers.

An entry process, a process of an entry host, receives the callers' requests; its incarnation tells
it apart from earlier processes of the host. With each poll it renews its lease, without which it
may not act on its configuration. A claim on a non-idempotent request lets one entry process run it;
the claim is open until its owner, that process, reports the outcome. Evidence is a batch of counts
of successes, errors and ratings per model version. A rollout replaces one model version by another,
which engines, the backend servers that run models, first load from the weight store. The term is
the number of the election that this leader won.

A poll asks for changes; the leader leaves it waiting until something has changed. The version guard
gives a verdict, a bad version and the reason, for each version that its health test finds bad.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

from aiohttp import ClientSession

from baobabstream.backends.strict_http import StrictConnector
from baobabstream.control.commands import Command, EntryGone
from baobabstream.control.engine_orders import EngineOrders
from baobabstream.control.entry_leases import EntryLeases
from baobabstream.control.evidence_deduplicator import EvidenceDeduplicator
from baobabstream.control.in_force_watch import InForceWatch
from baobabstream.control.outcome import Outcome
from baobabstream.control.poll_service import PollService
from baobabstream.control.registry import BackendRegistry
from baobabstream.control.rollout_driver import RolloutDriver
from baobabstream.control.state import ConfigState
from baobabstream.control.version_guard import VersionGuard
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.policy.version_health import VersionHealth
from baobabstream.settings.models import ControlSettings
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.timeline import EventKind, TimelineWriter
from baobabstream.wire.messages import PollRequest

__all__ = ["Leadership"]

# Upper bound of the fraction of rollouts of healthy versions that the health test stops.
FALSE_ALARM_RATE = 0.001
# Interval of the checks for expired registrations and leases, and longest interval of the checks
# for bad versions, which also run when new evidence arrives.
CHECK_INTERVAL_S = 0.25
# Delay before a failed background task is run again.
TASK_RESTART_DELAY_S = 1.0
# An entry process that has not polled for this time counts as gone; its open claims become
# unknown.
ENTRY_CONTACT_TIMEOUT_S = 30.0

_log = get_logger("control")


class Leadership:
    """Registry, leases, polls and background tasks of a control host while it leads.

    Parameters
    ----------
    settings
        Settings of this host.
    term
        Consensus term in which this host leads.
    state
        State built by the replicated log.
    propose
        Commits a command to the replicated log.
    leads
        Returns whether this host holds the leader lease.
    timeline
        Event timeline of this host.

    Attributes
    ----------
    term
        Consensus term in which this host leads.
    registry
        Backend servers that have announced themselves to this leader.
    leases
        Leases of the entry processes and the revisions that they have applied.
    poll_service
        Answers the long polls of the entry hosts.
    in_force_watch
        Records when each revision, the number of a change of the configuration, is in force, that
        is, applied by all entry processes with a lease.
    version_guard
        Stops versions whose results are too bad.
    """

    def __init__(
        self,
        settings: ControlSettings,
        term: int,
        state: ConfigState,
        propose: Callable[[Command], Awaitable[Outcome]],
        leads: Callable[[], bool],
        timeline: TimelineWriter,
    ) -> None:
        now_s = time.monotonic()
        self.term = term
        self._state = state
        self._propose = propose
        self._timeline = timeline
        # The wall time in nanoseconds serves as the epoch, which identifies this instance of the
        # registry, since versions of the registries of two leaders are not comparable.
        self.registry = BackendRegistry(
            time.time_ns(), settings.announcement_expiry_s, now_s, state.departed
        )
        self.leases = EntryLeases(settings.entry_lease_s, now_s)
        self.poll_service = PollService(
            state, self.registry, self.leases, time.monotonic, self._process_poll
        )
        self.in_force_watch = InForceWatch(self.poll_service, state.revision, leads, timeline)
        self.version_guard = VersionGuard(state, VersionHealth(FALSE_ALARM_RATE), propose)
        self._http = ClientSession(connector=StrictConnector())
        engine_orders = EngineOrders(self._http, term, lambda: state.revision, leads, timeline)
        self._rollout_driver = RolloutDriver(
            state,
            self.registry,
            self.leases,
            engine_orders,
            propose,
            # Largest number of engines that may load weights from the weight store at once.
            settings.weight_store_loads,
            timeline,
        )
        self._evidence_deduplicator = EvidenceDeduplicator()
        # Time of the last poll on the monotonic clock, by host and incarnation of the process.
        self._last_contact_s: dict[tuple[str, int], float] = {}
        self._evidence_received = asyncio.Event()
        self._tasks = [
            asyncio.create_task(_restart_on_failure(run_task))
            for run_task in (
                self._run_expiry,
                self._run_version_guard,
                self._rollout_driver.run,
                self.in_force_watch.run,
            )
        ]

    async def close(self) -> None:
        """Cancel the background tasks and close the poll service and the HTTP session.

        The tasks end first, since they wake polls and send orders to engines over the session.
        """
        for task in self._tasks:
            task.cancel()
        # Waits for all tasks; their exceptions, cancellations included, are ignored.
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.poll_service.close()
        await self._http.close()

    def _process_poll(self, request: PollRequest) -> None:
        """Record the contact of an entry process and pass on the new evidence of its poll.

        The version guard tests whether a version is too bad. The rollout driver records that a
        version is in use, so that it stays loaded.
        """
        now_s = time.monotonic()
        self._last_contact_s[request.host, request.incarnation] = now_s
        # Incarnation 0 stands for claims that carry no incarnation; they are kept open by a poll of
        # any process of the host.
        self._last_contact_s[request.host, 0] = now_s
        evidence = self._evidence_deduplicator.accept(request)
        if evidence:
            self.version_guard.observe(evidence, now_s)
            self._evidence_received.set()
        for version_evidence in evidence:
            self._rollout_driver.record_version_use(
                version_evidence.model, version_evidence.version
            )

    async def _run_version_guard(self) -> None:
        """Stop bad versions when new evidence arrives, and at regular intervals.

        Each stop is logged and wakes the waiting polls, so that the entry processes learn of it.
        """
        while True:
            try:
                async with asyncio.timeout(CHECK_INTERVAL_S):
                    await self._evidence_received.wait()
            except TimeoutError:
                pass
            # Cleared before the check, so that evidence that arrives during it causes another one.
            self._evidence_received.clear()
            for verdict in await self.version_guard.stop_bad_versions(time.monotonic()):
                version_name = f"{verdict.model}@{verdict.version}"
                _log.warning("Stopped version %s: %s.", version_name, verdict.reason)
                detail = f"{version_name} {verdict.reason}"
                self._timeline.emit(EventKind.VERSION_STOPPED, detail=detail)
                self.poll_service.wake_polls()

    async def _run_expiry(self) -> None:
        """Drop expired backend servers, leases and entry processes at regular intervals.

        The polls are woken for a dropped backend server, so that no more requests are sent to it.
        """
        while True:
            now_s = time.monotonic()
            for identity in self.registry.expire(now_s):
                self._timeline.emit(EventKind.BACKEND_GONE, detail=identity)
                self.poll_service.wake_polls_after_delay()
            self.leases.drop_expired(now_s)
            await self._declare_processes_gone(now_s)
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _declare_processes_gone(self, now_s: float) -> None:
        """Mark the claims of entry processes as unknown that were restarted or no longer poll.

        A process counts as restarted if a higher incarnation of its host is known. Incarnation 0
        stands for claims that carry none, so it is never an earlier process. Processes that own
        claims but have not polled this leader get the whole contact timeout. If the command cannot
        be committed, the process is tried again in the next check. Processes without open claims
        need no command.
        """
        open_claim_owners = set(self._state.claims.owners_of_open_claims())
        for process in open_claim_owners:
            self._last_contact_s.setdefault(process, now_s)
        newest_incarnations: dict[str, int] = {}
        for host, incarnation in self._last_contact_s:
            newest_incarnations[host] = max(newest_incarnations.get(host, 0), incarnation)
        gone_processes = [
            (host, incarnation)
            for (host, incarnation), last_contact_s in self._last_contact_s.items()
            if 0 < incarnation < newest_incarnations[host]
            or last_contact_s + ENTRY_CONTACT_TIMEOUT_S <= now_s
        ]
        for process in gone_processes:
            try:
                if process in open_claim_owners:
                    await self._propose(EntryGone(*process))
            except BaobabstreamError as error:
                _log.warning(
                    "Could not mark the open claims of entry host %s as unknown: %s.",
                    process[0],  # The name of the host.
                    error.detail,
                )
                continue
            del self._last_contact_s[process]
            self._evidence_deduplicator.forget([process])


async def _restart_on_failure(run_task: Callable[[], Awaitable[None]]) -> None:
    """Run a background task, and run it again after a delay whenever it fails or returns.

    Without this, one exception would end the task for the rest of the leader's term.
    """
    while True:
        try:
            await run_task()
        # A cancellation is not an ``Exception``, so it ends the loop.
        except Exception:
            _log.exception("A background task of the leader failed and is restarted.")
        await asyncio.sleep(TASK_RESTART_DELAY_S)
