"""Polls the control leader for configuration, registry and lease."""

import asyncio
import time
from collections.abc import Callable
from itertools import cycle

from msgspec import Struct

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError
from baobabstream.membership.lease import Lease
from baobabstream.policy.view import ClusterView
from baobabstream.settings.models import ControlPeer
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.messages import PollReply, PollRequest
from baobabstream.wire.rpc import RpcClient

__all__ = ["ControlSession"]

POLL_WAIT_MS = 1000
POLL_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.1

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
        self._incarnation = time.time_ns()
        self._clients = {
            peer.host: RpcClient(f"tcp://{peer.ip}:{peer.port}", codec) for peer in control
        }
        self.zones = {peer.host: peer.availability_zone for peer in control}
        self._next_host = cycle(self._clients)
        self._leader = next(self._next_host)
        self._epoch = 0
        self._registry_version = 0
        self.lease = Lease()
        self.draining = False

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                await self._poll_once()
            except PeerError as error:
                self._follow(error)
                await asyncio.sleep(RETRY_DELAY_S)

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

    async def _poll_once(self) -> None:
        sent_s = asyncio.get_running_loop().time()
        request = PollRequest(
            host=self._host,
            incarnation=self._incarnation,
            availability_zone=self._zone,
            applied_revision=self._view.revision,
            epoch=self._epoch,
            registry_version=self._registry_version,
            wait_ms=POLL_WAIT_MS,
            draining=self.draining,
        )
        reply = await self._clients[self._leader].call(request, POLL_TIMEOUT_S)
        self._apply(reply, sent_s)

    def _apply(self, reply: PollReply, sent_s: float) -> None:
        if reply.revision < self._view.revision:
            _log.warning("Leader is behind at revision %d.", reply.revision)
            raise PeerError(ResultCode.NO_LEADER)
        changed = reply.rows or reply.backends or reply.backends_gone or reply.registry_complete
        self._view.apply_rows(reply.revision, reply.rows)
        self._view.apply_backends(reply.backends, reply.backends_gone, reply.registry_complete)
        self._epoch = reply.epoch
        self._registry_version = reply.registry_version
        self.lease.renew(sent_s, reply.lease_ms / 1000)
        if changed:
            self._on_change()

    def _follow(self, error: PeerError) -> None:
        if error.leader in self._clients:
            self._leader = error.leader
        else:
            self._leader = next(self._next_host)
