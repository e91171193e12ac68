"""Answers the long polls of the entry daemons on the leader."""

import asyncio

from baobabstream.control.entry_leases import EntryLease, EntryLeases
from baobabstream.control.registry import BackendRegistry
from baobabstream.control.state import ConfigState
from baobabstream.wire.messages import PollReply, PollRequest

__all__ = ["PollService"]

# A poll returns at least this often, so that lease renewals double as heartbeats.
MAX_WAIT_S = 1.0


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
    """

    def __init__(self, state: ConfigState, registry: BackendRegistry, leases: EntryLeases) -> None:
        self._state = state
        self._registry = registry
        self._leases = leases
        self._changed = asyncio.Event()

    def notify(self) -> None:
        """Wake all waiting polls."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def poll(self, request: PollRequest, term: int) -> PollReply:
        """Renew the entry's lease and return what changed.

        Notes
        -----
        The lease starts when the entry sent the poll, so the wait is part of it. The leader
        counts it from the arrival of the poll, which is later.
        """
        now_s = asyncio.get_running_loop().time()
        self._renew(request, now_s)
        wait_s = min(request.wait_ms / 1000, MAX_WAIT_S)
        if not self._has_news(request):
            try:
                async with asyncio.timeout(wait_s):
                    await self._wait_for_news(request)
            except TimeoutError:
                pass
        self._renew(request, now_s)
        return self._reply(request, term)

    async def _wait_for_news(self, request: PollRequest) -> None:
        while not self._has_news(request):
            await self._changed.wait()

    def _has_news(self, request: PollRequest) -> bool:
        return (
            request.applied_revision != self._state.revision
            or request.epoch != self._registry.epoch
            or request.registry_version != self._registry.version
        )

    def _renew(self, request: PollRequest, now_s: float) -> None:
        self._leases.renew(
            EntryLease(
                request.host,
                request.incarnation,
                request.availability_zone,
                request.applied_revision,
                now_s + self._leases.lease_s,
                request.draining,
            )
        )

    def _reply(self, request: PollRequest, term: int) -> PollReply:
        delta = self._registry.delta(request.epoch, request.registry_version)
        return PollReply(
            term=term,
            revision=self._state.revision,
            lease_ms=int(self._leases.lease_s * 1000),
            rows=self._state.rows_after(request.applied_revision),
            epoch=self._registry.epoch,
            registry_version=delta.version,
            registry_complete=delta.complete,
            backends=delta.changed,
            backends_gone=delta.gone,
            evidence_sequence=request.evidence_sequence,
        )
