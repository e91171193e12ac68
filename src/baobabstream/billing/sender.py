"""Delivers bills to two control hosts in different availability zones."""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from msgspec import Struct

from baobabstream.errors.exceptions import PeerError
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.messages import Bill, BillRequest

__all__ = ["BillSender", "HostCaller"]

COPIES = 2
CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.2
MAX_BILLS_PER_CALL = 256

_log = get_logger("billing")


class HostCaller(Protocol):
    """Calls control hosts by name; raises PeerError if that fails."""

    async def call_host(self, host: str, message: Struct, timeout_s: float) -> Any:
        """Call one control host."""


@dataclass(slots=True)
class _Delivery:
    """A bill on its way, with the availability zones that have synced it."""

    bill: Bill
    stored: asyncio.Event = field(default_factory=asyncio.Event)
    zones: set[str] = field(default_factory=set)


class BillSender:
    """Stores each bill on two control hosts in different availability zones.

    Parameters
    ----------
    session
        Connections to the control hosts.
    zones
        Availability zone of each control host.

    Attributes
    ----------
    alarms
        Number of answers that were released before their bill had two copies.

    Notes
    -----
    Each bill goes to every control host at once, since all of them hold the whole ledger in the
    end, and the two fastest availability zones decide when it is stored. Sending is repeated only
    until then; exchange between the control hosts does the rest. Bills for the same host are sent
    together, one call at a time.
    """

    def __init__(self, session: HostCaller, zones: Mapping[str, str]) -> None:
        self._session = session
        self._zones = zones
        self._wanted = min(COPIES, len(set(zones.values())))
        self._queues: dict[str, list[_Delivery]] = {host: [] for host in zones}
        self._senders: dict[str, asyncio.Task[None]] = {}
        self._pending: set[asyncio.Task[None]] = set()
        self.alarms = 0

    async def store(self, bill: Bill, timeout_s: float) -> bool:
        """Store a bill; keeps trying in the background after the timeout.

        Returns
        -------
        bool
            Whether enough copies were synced within ``timeout_s``.
        """
        delivery = _Delivery(bill)
        task = asyncio.create_task(self._deliver(delivery))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)
        await asyncio.wait({task}, timeout=timeout_s)
        if not delivery.stored.is_set():
            self.alarms += 1
            _log.error(
                "Alarm: bill %s has %d of %d copies; still sending.",
                bill.request_id,
                len(delivery.zones),
                self._wanted,
            )
        return delivery.stored.is_set()

    async def drain(self) -> None:
        """Wait until every bill has enough copies."""
        while self._pending:
            await asyncio.wait(set(self._pending))

    async def _deliver(self, delivery: _Delivery) -> None:
        for host in self._zones:
            self._enqueue(host, delivery)
        await delivery.stored.wait()

    def _enqueue(self, host: str, delivery: _Delivery) -> None:
        self._queues[host].append(delivery)
        if host not in self._senders:
            self._senders[host] = asyncio.create_task(self._send_all(host))

    async def _send_all(self, host: str) -> None:
        queue = self._queues[host]
        try:
            while queue:
                batch = queue[:MAX_BILLS_PER_CALL]
                del queue[:MAX_BILLS_PER_CALL]
                if not await self._send(host, batch):
                    await asyncio.sleep(RETRY_DELAY_S)
                    queue[:0] = [item for item in batch if self._needs(item, host)]
        finally:
            del self._senders[host]

    def _needs(self, delivery: _Delivery, host: str) -> bool:
        return not delivery.stored.is_set() and self._zones[host] not in delivery.zones

    async def _send(self, host: str, batch: list[_Delivery]) -> bool:
        request = BillRequest(tuple(item.bill for item in batch))
        try:
            await self._session.call_host(host, request, CALL_TIMEOUT_S)
        except PeerError:
            return False
        for item in batch:
            item.zones.add(self._zones[host])
            if len(item.zones) >= self._wanted:
                item.stored.set()
        return True
