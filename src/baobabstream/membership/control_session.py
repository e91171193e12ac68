"""Polls the control leader for configuration, registry and lease."""

import asyncio
import time
from collections.abc import Callable, Iterable

from msgspec import Struct

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.membership.evidence import EvidenceBatch, EvidenceCollector
from baobabstream.membership.lease import Lease
from baobabstream.membership.view_updater import ViewUpdater
from baobabstream.policy.view import ClusterView
from baobabstream.settings.models import ControlPeer
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.messages import PollReply, PollRequest
from baobabstream.wire.rpc import RpcClient

__all__ = ["ControlSession"]

POLL_WAIT_MS = 500
# Twice the wait. A silent connection is given up after this time and leaves most of the lease for
# finding the leader.
POLL_TIMEOUT_S = 1.0
SEARCH_TIMEOUT_S = 0.4
RETRY_DELAY_S = 0.1
# Least time between two sends of urgent evidence.
URGENT_INTERVAL_S = 0.05

_log = get_logger("membership")


class ControlSession:
    """Keeps an entry's view of the cluster current.

    Parameters
    ----------
    host, availability_zone
        Name and zone of this entry host.
    control
        Addresses of the control hosts.
    codec
        Codec of this cluster.
    view
        View that is updated.
    on_change
        Called after each change of the view.

    Attributes
    ----------
    lease
        Lease under which this entry may act on its view.
    evidence
        Results per version that are sent with the polls.
    """

    def __init__(
        self,
        host: str,
        availability_zone: str,
        control: list[ControlPeer],
        codec: WireCodec,
        view: ClusterView,
        on_change: Callable[[], None],
    ) -> None:
        self._host = host
        self._zone = availability_zone
        self._view = view
        self._on_change = on_change
        self.incarnation = time.time_ns()
        self._clients = {
            peer.host: RpcClient(f"tcp://{peer.ip}:{peer.port}", codec) for peer in control
        }
        self.zones = {peer.host: peer.availability_zone for peer in control}
        self._leader = next(iter(self._clients))
        self._updater = ViewUpdater(view)
        self.lease = Lease()
        self.evidence = EvidenceCollector()
        self.draining = False

    async def run(self) -> None:
        """Poll until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._poll())
            tasks.create_task(self._send_urgent())

    async def call_leader(self, message: Struct, timeout_s: float):
        """Call the leader; raises PeerError like ``RpcClient.call``."""
        try:
            return await self._clients[self._leader].call(message, timeout_s)
        except PeerError as error:
            self._follow(error)
            raise

    async def call_host(self, host: str, message: Struct, timeout_s: float):
        """Call one control host; raises PeerError like ``RpcClient.call``."""
        return await self._clients[host].call(message, timeout_s)

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            client.close()

    async def _poll(self) -> None:
        while True:
            try:
                batch = self.evidence.take()
                await self._poll_host(self._leader, POLL_WAIT_MS, POLL_TIMEOUT_S, batch)
            except PeerError as error:
                _log.info("Poll of %s failed: %s.", self._leader, error.detail)
                await self._search()

    async def _send_urgent(self) -> None:
        while True:
            await self.evidence.urgent.wait()
            batch = self.evidence.take()
            if batch.sequence:
                try:
                    await self._poll_host(self._leader, 0, POLL_TIMEOUT_S, batch)
                except PeerError:
                    _log.info("Evidence %d is sent again with a poll.", batch.sequence)
            await asyncio.sleep(URGENT_INTERVAL_S)

    async def _search(self) -> None:
        """Ask all control hosts at once until one of them answers as the leader.

        Trying one after the other would wait for the time-out of each lost host, which a lease
        of a few seconds does not leave time for.
        """
        while True:
            polls = [
                asyncio.create_task(self._poll_host(host, 0, SEARCH_TIMEOUT_S, EvidenceBatch()))
                for host in self._clients
            ]
            try:
                if await _first_success(polls):
                    return
            finally:
                for poll in polls:
                    poll.cancel()
            await asyncio.sleep(RETRY_DELAY_S)

    async def _poll_host(
        self, host: str, wait_ms: int, timeout_s: float, batch: EvidenceBatch
    ) -> None:
        sent_s = asyncio.get_running_loop().time()
        request = PollRequest(
            host=self._host,
            incarnation=self.incarnation,
            availability_zone=self._zone,
            applied_revision=self._view.revision,
            epoch=self._updater.epoch,
            registry_version=self._updater.registry_version,
            wait_ms=wait_ms,
            evidence_sequence=batch.sequence,
            evidence=batch.evidence,
            draining=self.draining,
        )
        try:
            reply = await self._clients[host].call(request, timeout_s)
            if not isinstance(reply, PollReply):
                raise PeerError(ResultCode.MESSAGE_MALFORMED, f"{host} gave no poll reply")
        except (PeerError, asyncio.CancelledError):
            self.evidence.failed(batch.sequence)
            raise
        self.evidence.acknowledge(batch.sequence)
        changed = self._updater.apply(reply)
        self._leader = host
        self.lease.renew(sent_s, reply.lease_ms / 1000)
        if changed:
            self._on_change()

    def _follow(self, error: PeerError) -> None:
        if error.leader in self._clients:
            self._leader = error.leader


async def _first_success(tasks: Iterable[asyncio.Task[None]]) -> bool:
    for done in asyncio.as_completed(tasks):
        try:
            await done
        except PeerError:
            continue
        return True
    return False
