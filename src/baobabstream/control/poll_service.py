"""Answers the long polls of the entry daemons on the leader."""

import asyncio
from collections.abc import Callable
from itertools import islice

from baobabstream.control.entry_leases import EntryLease, EntryLeases
from baobabstream.control.registry import BackendRegistry
from baobabstream.control.state import ConfigState
from baobabstream.wire.messages import PollReply, PollRequest

__all__ = ["PollService"]

# A poll returns at least this often, so that lease renewals double as heartbeats.
MAX_WAIT_S = 0.5
# Changes of the registry alone are collected for this time, so that a restart of many backend
# servers does not wake every entry for each of them.
REGISTRY_DELAY_S = 0.1
# Departures named to entries that hold the registry of an earlier leader.
NAMED_DEPARTURES = 256


class PollService:
    """Holds each poll until something changed, then answers with the deltas.

    Parameters
    ----------
    state
        State built by the replicated log.
    registry
        Announced backend servers.
    leases
        Leases of the entries.
    clock
        Returns the time in seconds. It must not lag behind the arrival of a poll, or a lease
        would be counted as expired here while the entry still holds it.
    on_poll
        Called with each poll when it arrives.
    """

    def __init__(
        self,
        state: ConfigState,
        registry: BackendRegistry,
        leases: EntryLeases,
        clock: Callable[[], float],
        on_poll: Callable[[PollRequest], None],
    ) -> None:
        self._state = state
        self._registry = registry
        self._leases = leases
        self._clock = clock
        self._on_poll = on_poll
        self._changed = asyncio.Event()
        self._applied = asyncio.Event()
        self._published_version = 0
        self._publish_timer: asyncio.TimerHandle | None = None

    def notify(self) -> None:
        """Wake all waiting polls: the configuration changed."""
        self._changed.set()
        self._changed = asyncio.Event()

    def notify_registry(self) -> None:
        """Wake all waiting polls shortly: the registry changed."""
        if self._publish_timer is None:
            loop = asyncio.get_running_loop()
            self._publish_timer = loop.call_later(REGISTRY_DELAY_S, self._publish)

    def close(self) -> None:
        """Stop the timer and let waiting polls return."""
        if self._publish_timer is not None:
            self._publish_timer.cancel()
        self.notify()

    async def poll(self, request: PollRequest, term: int) -> PollReply:
        """Renew the entry's lease and return what changed.

        Notes
        -----
        The entry counts its lease from when it sent the poll. The leader counts it from the
        arrival of the poll, which is later.
        """
        self._renew(request)
        self._on_poll(request)
        wait_s = min(request.wait_ms / 1000, MAX_WAIT_S)
        if wait_s > 0 and not self._has_news(request):
            try:
                async with asyncio.timeout(wait_s):
                    await self._wait_for_news(request)
            except TimeoutError:
                pass
        return self._reply(request, term)

    async def wait_in_force(self, revision: int, timeout_s: float) -> bool:
        """Wait until a revision is in force and return whether it is."""
        end_s = self._clock() + timeout_s
        while not self._leases.in_force(revision, self._clock()):
            now_s = self._clock()
            if now_s >= end_s:
                return False
            check_s = min(self._leases.next_check_s(revision, now_s), end_s)
            try:
                async with asyncio.timeout(max(check_s - now_s, 0.001)):
                    await self._applied.wait()
            except TimeoutError:
                pass
        return True

    async def _wait_for_news(self, request: PollRequest) -> None:
        while not self._has_news(request):
            await self._changed.wait()

    def _has_news(self, request: PollRequest) -> bool:
        return (
            request.applied_revision != self._state.revision
            or request.epoch != self._registry.epoch
            or request.registry_version < self._published_version
        )

    def _publish(self) -> None:
        self._publish_timer = None
        self._published_version = self._registry.urgent_version
        self.notify()

    def _renew(self, request: PollRequest) -> None:
        self._leases.renew(
            EntryLease(
                request.host,
                request.incarnation,
                request.availability_zone,
                request.applied_revision,
                self._clock() + self._leases.lease_s,
                request.draining,
            )
        )
        self._applied.set()
        self._applied = asyncio.Event()

    def _reply(self, request: PollRequest, term: int) -> PollReply:
        delta = self._registry.delta(request.epoch, request.registry_version)
        is_warm = self._registry.is_warm(self._clock())
        departed = {} if is_warm or not delta.complete else self._last_departures()
        return PollReply(
            term=term,
            revision=self._state.revision,
            lease_ms=int(self._leases.lease_s * 1000),
            rows=self._state.rows_after(request.applied_revision),
            rows_complete=self._state.rows_complete(request.applied_revision),
            epoch=self._registry.epoch,
            registry_version=delta.version,
            registry_complete=delta.complete,
            registry_warm=is_warm,
            departed=departed,
            backends=delta.changed,
            backends_gone=delta.gone,
            loads=delta.loads,
            evidence_sequence=request.evidence_sequence,
        )

    def _last_departures(self) -> dict[str, int]:
        departed = self._state.departed
        names = islice(reversed(departed), NAMED_DEPARTURES)
        return {name: departed[name] for name in names}
