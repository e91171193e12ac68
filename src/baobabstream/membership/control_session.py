"""Polls the control leader for the configuration, the backend servers and the lease.

An entry is a host that accepts requests of clients. The control hosts replicate the configuration;
one of them is the leader. A poll is a request that the leader answers at once if something has
changed, else after a wait. A successful poll renews the entry's lease, the permission to serve
requests by its copy of the configuration for a time.

Polls also carry evidence, which is the results of each model version that this entry has counted:
successes, errors and ratings of answers. It is sent in numbered batches, and is urgent if a version
has given several bad results. The registry is the leader's list of the backend servers. The
revision of the configuration and the version of the registry are numbers that rise with each
change.
"""

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

# Longest time that the leader may wait for a change before it answers a poll.
POLL_WAIT_MS = 500
# Time limit of a poll, twice the wait. If no reply has arrived then, most of the lease is left for
# finding the leader.
POLL_TIMEOUT_S = 1.0
# Time limit of one poll while this entry searches for the leader, and the delay between two
# searches.
SEARCH_TIMEOUT_S = 0.4
SEARCH_RETRY_DELAY_S = 0.1
# Minimum time between two polls with urgent evidence; it limits their rate while a version fails.
URGENT_INTERVAL_S = 0.05

_log = get_logger("membership")


class ControlSession:
    """Keeps an entry's view of the cluster up to date by polls.

    Parameters
    ----------
    host, availability_zone
        Name and availability zone of this entry host.
    control_peers
        Addresses of the control hosts.
    codec
        Codec of this cluster's messages.
    view
        Configuration and backend servers as this entry knows them; updated in place.
    on_change
        Called after each poll that has changed the view.

    Attributes
    ----------
    incarnation
        Start time of this process in nanoseconds, which distinguishes it from earlier ones.
    availability_zones
        Availability zone of each control host, by its name.
    lease
        Lease during which this entry may serve requests by its view.
    evidence
        Results of each version, which are sent with the polls.
    draining
        Whether this entry is about to stop; sent with each poll.
    """

    def __init__(
        self,
        host: str,
        availability_zone: str,
        control_peers: list[ControlPeer],
        codec: WireCodec,
        view: ClusterView,
        on_change: Callable[[], None],
    ) -> None:
        self._host = host
        self._availability_zone = availability_zone
        self._view = view
        self._on_change = on_change
        self.incarnation = time.time_ns()
        self._clients = {
            peer.host: RpcClient(f"tcp://{peer.ip}:{peer.port}", codec) for peer in control_peers
        }
        self.availability_zones = {peer.host: peer.availability_zone for peer in control_peers}
        # Control host that is taken for the leader: any one until the first reply.
        self._leader_host = next(iter(self._clients))
        self._updater = ViewUpdater(view)
        self.lease = Lease()
        self.evidence = EvidenceCollector()
        self.draining = False

    async def run(self) -> None:
        """Poll the leader, and send urgent evidence in additional polls, until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._poll_leader())
            tasks.create_task(self._send_urgent_evidence())

    async def call_leader(self, message: Struct, timeout_s: float):
        """Send a message to the leader and return its reply; raises PeerError if that fails.

        The message is sent only to the host that is taken for the leader. An error that names
        another leader changes the host that is called next. ``timeout_s`` is the time limit for the
        reply in seconds.
        """
        try:
            return await self._clients[self._leader_host].call(message, timeout_s)
        except PeerError as error:
            self._update_leader(error)
            raise

    async def call_host(self, host: str, message: Struct, timeout_s: float):
        """Send a message to a control host and return its reply; raises PeerError if that fails.

        ``timeout_s`` is the time limit for the reply in seconds.
        """
        return await self._clients[host].call(message, timeout_s)

    def close(self) -> None:
        """Close the connections to all control hosts."""
        for client in self._clients.values():
            client.close()

    async def _poll_leader(self) -> None:
        """Poll continuously and send evidence along; after a failure find the leader first."""
        while True:
            try:
                batch = self.evidence.next_batch()
                await self._poll_host(self._leader_host, POLL_WAIT_MS, POLL_TIMEOUT_S, batch)
            except PeerError as error:
                _log.info("Poll of %s failed: %s.", self._leader_host, error.detail)
                await self._find_leader()

    async def _send_urgent_evidence(self) -> None:
        """Send urgent evidence at once in additional polls that do not wait for a change."""
        while True:
            await self.evidence.urgent.wait()
            batch = self.evidence.next_batch()
            # The number 0 means that there is no evidence to send.
            if batch.sequence:
                try:
                    # The leader waits 0 ms, so it answers at once.
                    await self._poll_host(self._leader_host, 0, POLL_TIMEOUT_S, batch)
                except PeerError:
                    _log.info(
                        "Sending evidence batch %d failed; it is sent again with a later poll.",
                        batch.sequence,
                    )
            await asyncio.sleep(URGENT_INTERVAL_S)

    async def _find_leader(self) -> None:
        """Poll all control hosts concurrently until one of them answers as the leader.

        Polling one after the other would wait for the timeout of each failed host, and a lease of
        a few seconds is too short for that. Hosts that do not lead reply with an error.
        """
        while True:
            # The hosts wait 0 ms for a change, and receive no evidence: only the leader counts it.
            polls = [
                asyncio.create_task(self._poll_host(host, 0, SEARCH_TIMEOUT_S, EvidenceBatch()))
                for host in self._clients
            ]
            try:
                # A poll that succeeds has stored the host that answered as the leader.
                if await _any_succeeds(polls):
                    return
            finally:
                for poll in polls:
                    poll.cancel()
            await asyncio.sleep(SEARCH_RETRY_DELAY_S)

    async def _poll_host(
        self, host: str, wait_ms: int, timeout_s: float, batch: EvidenceBatch
    ) -> None:
        """Poll a host once, apply its reply and renew the lease; a host that replies is the leader.

        Parameters
        ----------
        host
            Control host to poll.
        wait_ms
            Time in milliseconds that the host may wait for a change.
        timeout_s
            Time limit for the reply in seconds.
        batch
            Evidence to send.

        Raises
        ------
        PeerError
            If there is no reply, or it is of an earlier leader. Without a reply the batch is
            available for sending again.

        Notes
        -----
        The poll tells what this entry has: ``applied_revision`` of the configuration, and of the
        registry of backend servers the instance (``epoch``) and ``registry_version``. ``host`` and
        ``incarnation`` identify this process. By ``evidence_sequence``, the number of the batch,
        the leader recognises a batch that it has counted already.
        """
        sent_s = asyncio.get_running_loop().time()
        request = PollRequest(
            host=self._host,
            incarnation=self.incarnation,
            availability_zone=self._availability_zone,
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
            self.evidence.mark_failed(batch.sequence)
            raise
        self.evidence.acknowledge(batch.sequence)
        is_changed = self._updater.apply(reply)
        self._leader_host = host
        # 1,000 converts milliseconds to seconds.
        self.lease.renew(sent_s, reply.lease_ms / 1000)
        if is_changed:
            self._on_change()

    def _update_leader(self, error: PeerError) -> None:
        """Take the host that an error names for the leader, if it is a known control host."""
        if error.leader in self._clients:
            self._leader_host = error.leader


async def _any_succeeds(tasks: Iterable[asyncio.Task[None]]) -> bool:
    """Return True as soon as a task ends without PeerError, or False once all ended with one."""
    for completed_task in asyncio.as_completed(tasks):
        try:
            await completed_task
        except PeerError:
            continue
        return True
    return False
