"""Answers the long polls of the entry hosts on the control leader.

A long poll is a request that the leader answers as soon as something has changed, or after a wait
if nothing has. Each poll also renews the lease of its entry process: while the lease lasts, the
process may act on its configuration. An entry process, a process of an entry host, receives the
callers' requests. The revision is the number of the last change of the configuration; it is in
force once every process with a live lease has applied it.

The registry lists the backend servers that have announced themselves to this leader. Its version
rises with each change, and its epoch identifies the instance, since each leader has its own. The
registry is warm once every running server has had time to announce itself here. The term is the
number of the election that this leader won. Evidence is a batch of counts of successes, errors and
ratings per model version, which a poll may carry.
"""

import asyncio
from collections.abc import Callable
from itertools import islice

from baobabstream.control.entry_leases import EntryLease, EntryLeases
from baobabstream.control.registry import BackendRegistry
from baobabstream.control.state import ConfigState
from baobabstream.wire.messages import PollReply, PollRequest

__all__ = ["PollService"]

# Longest wait of a poll, so that each entry process renews its lease at least this often.
MAX_POLL_WAIT_S = 0.5
# Delay between a change of the registry and the wake-up of the waiting polls. One wake-up then
# covers the changes of many backend servers that restart together.
REGISTRY_WAKE_DELAY_S = 0.1
# Number of the latest departures of backend servers that a reply lists for entry hosts whose
# registry comes from an earlier leader.
MAX_REPORTED_DEPARTURES = 256


class PollService:
    """Lets each poll wait until something has changed, then answers it with the changes.

    Parameters
    ----------
    state
        State built by the replicated log.
    registry
        Backend servers that have announced themselves to this leader.
    leases
        Leases of the entry processes.
    clock
        Returns a monotonic time in seconds. It must not be earlier than the arrival of a poll, or a
        lease would expire here while the entry process may still use it.
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
        self._change_event = asyncio.Event()
        self._lease_renewal_event = asyncio.Event()
        # Version of the registry for which polls are answered before their wait has ended; 0 is the
        # empty registry.
        self._published_registry_version = 0
        # None unless a change of the registry waits for its delayed wake-up.
        self._registry_wake_timer: asyncio.TimerHandle | None = None

    def wake_polls(self) -> None:
        """Wake all waiting polls at once, so that each checks whether something changed for it."""
        # The set event wakes the present polls; later ones wait for the new event.
        self._change_event.set()
        self._change_event = asyncio.Event()

    def wake_polls_after_delay(self) -> None:
        """Wake all waiting polls for a change of the registry, after ``REGISTRY_WAKE_DELAY_S``.

        Further calls during the delay have no effect, since the wake-up covers their changes.
        """
        if self._registry_wake_timer is None:
            loop = asyncio.get_running_loop()
            self._registry_wake_timer = loop.call_later(
                REGISTRY_WAKE_DELAY_S, self._publish_registry_version
            )

    def close(self) -> None:
        """Cancel the delayed wake-up for registry changes and wake the waiting polls at once.

        A woken poll still waits on if nothing has changed for it, at most ``MAX_POLL_WAIT_S``.
        """
        if self._registry_wake_timer is not None:
            self._registry_wake_timer.cancel()
        self.wake_polls()

    async def poll(self, request: PollRequest, term: int) -> PollReply:
        """Renew the lease of an entry process and return what changed since its last poll.

        If nothing has changed, wait for a change for as long as the poll asks, at most
        ``MAX_POLL_WAIT_S``.

        Parameters
        ----------
        request
            Poll with the revision and the version of the registry that the process has applied.
        term
            Consensus term of this leader.

        Notes
        -----
        The entry process counts its lease from when it sent the poll. The leader counts it from the
        arrival of the poll, which is later.
        """
        self._renew_lease(request)
        self._on_poll(request)
        # Converts milliseconds to seconds.
        wait_s = min(request.wait_ms / 1000, MAX_POLL_WAIT_S)
        if wait_s > 0 and not self._has_changes(request):
            try:
                async with asyncio.timeout(wait_s):
                    await self._wait_for_changes(request)
            except TimeoutError:
                pass
        return self._make_reply(request, term)

    async def wait_in_force(self, revision: int, timeout_s: float) -> bool:
        """Wait up to ``timeout_s`` seconds until a revision is in force; return whether it is.

        A revision can come into force when a poll reports it as applied, or when a lease of a
        process that has not applied it expires.
        """
        deadline_s = self._clock() + timeout_s
        while not self._leases.in_force(revision, self._clock()):
            now_s = self._clock()
            if now_s >= deadline_s:
                return False
            wake_at_s = min(self._leases.next_check_s(revision, now_s), deadline_s)
            try:
                # Waits at least 1 ms, so that the loop does not spin.
                async with asyncio.timeout(max(wake_at_s - now_s, 0.001)):
                    await self._lease_renewal_event.wait()
            except TimeoutError:
                pass
        return True

    async def _wait_for_changes(self, request: PollRequest) -> None:
        """Wait without a time limit until something has changed for the sender of a poll."""
        while not self._has_changes(request):
            await self._change_event.wait()

    def _has_changes(self, request: PollRequest) -> bool:
        """Return whether the sender of a poll lacks the current configuration or registry.

        A change of the registry counts once its version has been published.
        """
        return (
            request.applied_revision != self._state.revision
            or request.epoch != self._registry.epoch
            or request.registry_version < self._published_registry_version
        )

    def _publish_registry_version(self) -> None:
        """Publish the version of the last registry change other than of load; wake the polls.

        A change of load alone wakes no poll; the next reply contains it.
        """
        self._registry_wake_timer = None
        self._published_registry_version = self._registry.urgent_version
        self.wake_polls()

    def _renew_lease(self, request: PollRequest) -> None:
        """Renew the lease of the poll's sender and wake the callers of ``wait_in_force``."""
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
        self._lease_renewal_event.set()
        self._lease_renewal_event = asyncio.Event()

    def _make_reply(self, request: PollRequest, term: int) -> PollReply:
        """Return the changes since the revision and registry version that a poll names.

        While this leader is still collecting announcements, the entry process keeps the servers
        that it knows from the previous leader. The reply then lists the servers that have left,
        which the process must not keep; else ``departed`` is empty. ``rows_complete`` and
        ``registry_complete`` say that rows or servers that the reply does not list do not exist.
        ``lease_ms`` is the duration of the lease in milliseconds. The repeated
        ``evidence_sequence``, the sequence number of a batch, acknowledges the evidence that the
        poll carried.
        """
        delta = self._registry.delta(request.epoch, request.registry_version)
        is_warm = self._registry.is_warm(self._clock())
        departed = {} if is_warm or not delta.complete else self._latest_departures()
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

    def _latest_departures(self) -> dict[str, int]:
        """Return the latest departures of backend servers.

        Maps the identity of each server to its lowest incarnation that has not left. The
        incarnation rises with each restart of a server.
        """
        departed = self._state.departed
        identities = islice(reversed(departed), MAX_REPORTED_DEPARTURES)
        return {identity: departed[identity] for identity in identities}
