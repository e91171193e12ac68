"""Delivery of bills from an entry host to the control hosts.

A bill records the tokens and the cost of one request. Entry hosts accept the requests of callers;
control hosts store the bills. A bill counts as stored when control hosts in two different
availability zones have synced it to disk.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

from msgspec import Struct

from baobabstream.errors.exceptions import PeerError
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.messages import Bill, BillRequest

__all__ = ["BillSender", "HostCaller"]

# Number of availability zones that must have synced a bill, if there are that many.
REQUIRED_COPIES = 2
# Limit on one call to a control host.
CALL_TIMEOUT_S = 1.0
# Delay after a failed call before the bills are sent to the same host again.
RETRY_DELAY_S = 0.2
MAX_BILLS_PER_CALL = 256

_log = get_logger("billing")


class HostCaller(Protocol):
    """Interface for calls to control hosts by host name."""

    async def call_host(self, host: str, message: Struct, timeout_s: float) -> Any:
        """Send a message to one control host and return its reply; raises PeerError on failure."""


@dataclass(slots=True)
class _Delivery:
    """State of the delivery of one bill.

    Attributes
    ----------
    bill
        The bill.
    stored_event
        Set when enough availability zones have synced the bill.
    synced_availability_zones
        Availability zones in which a control host has synced the bill.
    """

    bill: Bill
    stored_event: asyncio.Event = field(default_factory=asyncio.Event)
    synced_availability_zones: set[str] = field(default_factory=set)


class BillSender:
    """Stores each bill on control hosts in two different availability zones.

    Parameters
    ----------
    host_caller
        Connections to the control hosts.
    availability_zones
        Availability zone of each control host, by host name.

    Attributes
    ----------
    timed_out_bills
        Number of bills without enough copies when ``store`` timed out. The callers got the complete
        answers nevertheless. A copy is an availability zone that has synced the bill.

    Notes
    -----
    Each bill is sent to every control host at once, since each of them eventually stores all bills.
    The two fastest availability zones determine when a bill counts as stored. Failed calls are
    repeated only until then; after that, the control hosts replicate the bill among themselves.
    Bills for the same host are sent in batches, one call at a time.
    """

    def __init__(self, host_caller: HostCaller, availability_zones: Mapping[str, str]) -> None:
        self._host_caller = host_caller
        self._availability_zones = availability_zones
        self._required_copies = min(REQUIRED_COPIES, len(set(availability_zones.values())))
        # Bills to send, and the running task that sends them, by host name.
        self._queues: dict[str, list[_Delivery]] = {host: [] for host in availability_zones}
        self._sender_tasks: dict[str, asyncio.Task[None]] = {}
        self._pending_deliveries: set[asyncio.Task[None]] = set()
        self.timed_out_bills = 0

    async def store(self, bill: Bill, timeout_s: float) -> bool:
        """Store a bill; the delivery continues in the background after the timeout.

        Parameters
        ----------
        bill
            The bill.
        timeout_s
            Time in seconds to wait for the copies.

        Returns
        -------
        bool
            Whether enough availability zones synced the bill within ``timeout_s``. False does not
            mean that the bill is lost: it is still being sent, and some hosts may have stored it.
        """
        delivery = _Delivery(bill)
        task = asyncio.create_task(self._deliver_to_all_hosts(delivery))
        self._pending_deliveries.add(task)
        task.add_done_callback(self._pending_deliveries.discard)
        await asyncio.wait({task}, timeout=timeout_s)
        if not delivery.stored_event.is_set():
            self.timed_out_bills += 1
            _log.error(
                "Alarm: bill %s has %d of %d copies; still sending.",
                bill.request_id,
                len(delivery.synced_availability_zones),
                self._required_copies,
            )
        return delivery.stored_event.is_set()

    async def drain(self) -> None:
        """Wait, without a time limit, until all pending bills have enough copies."""
        while self._pending_deliveries:
            await asyncio.wait(set(self._pending_deliveries))

    async def _deliver_to_all_hosts(self, delivery: _Delivery) -> None:
        """Queue a bill for every control host and wait until it counts as stored."""
        for host in self._availability_zones:
            self._enqueue(host, delivery)
        await delivery.stored_event.wait()

    def _enqueue(self, host: str, delivery: _Delivery) -> None:
        """Add a bill to the queue of a host and start a task that sends the queue if none runs."""
        self._queues[host].append(delivery)
        if host not in self._sender_tasks:
            self._sender_tasks[host] = asyncio.create_task(self._send_queue(host))

    async def _send_queue(self, host: str) -> None:
        """Send the queue of a host in batches until it is empty.

        After a failed call, the bills of the batch that still need this host go back to the front
        of the queue.
        """
        queue = self._queues[host]
        try:
            while queue:
                batch = queue[:MAX_BILLS_PER_CALL]
                del queue[:MAX_BILLS_PER_CALL]
                if not await self._send_batch(host, batch):
                    await asyncio.sleep(RETRY_DELAY_S)
                    queue[:0] = [
                        delivery for delivery in batch if self._needs_retry(delivery, host)
                    ]
        finally:
            del self._sender_tasks[host]

    def _needs_retry(self, delivery: _Delivery, host: str) -> bool:
        """Return whether a bill must be sent again to a host after a failed call."""
        return (
            not delivery.stored_event.is_set()
            and self._availability_zones[host] not in delivery.synced_availability_zones
        )

    async def _send_batch(self, host: str, batch: list[_Delivery]) -> bool:
        """Send bills to a host in one call and return whether it synced them.

        After a failed call it is unknown whether the host has synced them, so they count as not
        synced there and may be sent again.
        """
        request = BillRequest(tuple(delivery.bill for delivery in batch))
        try:
            await self._host_caller.call_host(host, request, CALL_TIMEOUT_S)
        except PeerError:
            return False
        for delivery in batch:
            delivery.synced_availability_zones.add(self._availability_zones[host])
            if len(delivery.synced_availability_zones) >= self._required_copies:
                delivery.stored_event.set()
        return True
