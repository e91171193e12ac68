"""Soft state of one leader: registry, leases, polls, evidence and the work it drives."""

import asyncio
import time
from collections.abc import Awaitable, Callable

from aiohttp import ClientSession

from baobabstream.control.commands import Command, EntryGone
from baobabstream.control.engine_orders import EngineOrders
from baobabstream.control.entry_leases import EntryLeases
from baobabstream.control.evidence_pool import EvidencePool
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
from baobabstream.telemetry.timeline import EventKind, TimeLine
from baobabstream.wire.messages import PollRequest

__all__ = ["Leadership"]

FALSE_ALARM_RATE = 0.001
TICK_S = 0.25
RESTART_DELAY_S = 1.0
# An entry without contact for this time is taken for gone; its open claims become unknown.
ENTRY_GONE_S = 30.0

_log = get_logger("control")


class Leadership:
    """What a control host holds only while it leads; a new leader starts with an empty one.

    Parameters
    ----------
    settings
        Settings of this host.
    term
        Term of this leader.
    state
        State built by the replicated log.
    propose
        Commits a command.
    leads
        Returns whether this host holds the leader lease.
    timeline
        Event timeline of this host.
    """

    def __init__(
        self,
        settings: ControlSettings,
        term: int,
        state: ConfigState,
        propose: Callable[[Command], Awaitable[Outcome]],
        leads: Callable[[], bool],
        timeline: TimeLine,
    ) -> None:
        now_s = time.monotonic()
        self.term = term
        self._state = state
        self._propose = propose
        self._timeline = timeline
        self.registry = BackendRegistry(
            time.time_ns(), settings.announcement_expiry_s, now_s, state.departed
        )
        self.leases = EntryLeases(settings.entry_lease_s, now_s)
        self.polls = PollService(
            state, self.registry, self.leases, time.monotonic, self._take_evidence
        )
        self.in_force_watch = InForceWatch(self.polls, state.revision, leads, timeline)
        self.guard = VersionGuard(state, VersionHealth(FALSE_ALARM_RATE), propose)
        self._http = ClientSession()
        orders = EngineOrders(self._http, term, lambda: state.revision, leads, timeline)
        self._driver = RolloutDriver(
            state,
            self.registry,
            self.leases,
            orders,
            propose,
            settings.weight_store_loads,
            timeline,
        )
        self._evidence = EvidencePool()
        self._contact_s: dict[tuple[str, int], float] = {}
        self._evidence_came = asyncio.Event()
        self._tasks = [
            asyncio.create_task(_keep_running(work))
            for work in (
                self._tick,
                self._guard_versions,
                self._driver.run,
                self.in_force_watch.run,
            )
        ]

    async def close(self) -> None:
        """Stop the work that the leader drives."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.polls.close()
        await self._http.close()

    def _take_evidence(self, request: PollRequest) -> None:
        now_s = time.monotonic()
        self._contact_s[request.host, request.incarnation] = now_s
        # Claims that name no incarnation belong to any process of the host.
        self._contact_s[request.host, 0] = now_s
        evidence = self._evidence.accept(request)
        if evidence:
            self.guard.observe(evidence, now_s)
            self._evidence_came.set()
        for item in evidence:
            self._driver.note_work(item.model, item.version)

    async def _guard_versions(self) -> None:
        while True:
            try:
                async with asyncio.timeout(TICK_S):
                    await self._evidence_came.wait()
            except TimeoutError:
                pass
            self._evidence_came.clear()
            for verdict in await self.guard.evaluate(time.monotonic()):
                name = f"{verdict.model}@{verdict.version}"
                _log.warning("Version %s is stopped: %s.", name, verdict.reason)
                detail = f"{name} {verdict.reason}"
                self._timeline.emit(EventKind.VERSION_STOPPED, detail=detail)
                self.polls.notify()

    async def _tick(self) -> None:
        while True:
            now_s = time.monotonic()
            for identity in self.registry.expire(now_s):
                self._timeline.emit(EventKind.BACKEND_GONE, detail=identity)
                self.polls.notify_registry()
            self.leases.drop_expired(now_s)
            await self._declare_gone(now_s)
            await asyncio.sleep(TICK_S)

    async def _declare_gone(self, now_s: float) -> None:
        """Make the claims of entry processes unknown that have ended or lost contact."""
        owners = set(self._state.claims.owners_of_open_claims())
        for owner in owners:
            self._contact_s.setdefault(owner, now_s)
        newest: dict[str, int] = {}
        for host, incarnation in self._contact_s:
            newest[host] = max(newest.get(host, 0), incarnation)
        gone = [
            (host, incarnation)
            for (host, incarnation), contact_s in self._contact_s.items()
            if 0 < incarnation < newest[host] or contact_s + ENTRY_GONE_S <= now_s
        ]
        for owner in gone:
            try:
                if owner in owners:
                    await self._propose(EntryGone(*owner))
            except BaobabstreamError as error:
                _log.warning("Claims of %s stay open: %s.", owner[0], error.detail)
                continue
            del self._contact_s[owner]
            self._evidence.forget([owner])


async def _keep_running(work: Callable[[], Awaitable[None]]) -> None:
    """Run a loop of the leader again if it fails, so that one fault does not end it for good."""
    while True:
        try:
            await work()
        except Exception:
            _log.exception("A task of the leader failed; it starts again.")
        await asyncio.sleep(RESTART_DELAY_S)
