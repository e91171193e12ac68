"""Delivers bills to two control hosts in different availability zones."""

import asyncio
from collections.abc import Mapping

from baobabstream.errors.exceptions import PeerError
from baobabstream.membership.control_session import ControlSession
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.messages import Bill, BillReply, BillRequest

__all__ = ["BillSender"]

COPIES = 2
CALL_TIMEOUT_S = 1.0
RETRY_DELAY_S = 0.2

_log = get_logger("billing")


class BillSender:
    """Stores each bill on two control hosts in different availability zones.

    Parameters
    ----------
    session
        Connections to the control hosts.
    zones
        Availability zone of each control host.
    """

    def __init__(self, session: ControlSession, zones: Mapping[str, str]) -> None:
        self._session = session
        self._zones = zones
        self._pending: set[asyncio.Task[None]] = set()

    async def store(self, bill: Bill, timeout_s: float) -> bool:
        """Store a bill; keeps trying in the background after the timeout.

        Returns
        -------
        bool
            Whether enough copies were synced within ``timeout_s``.
        """
        task = asyncio.create_task(self._store(bill))
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)
        done, _ = await asyncio.wait({task}, timeout=timeout_s)
        if not done:
            _log.warning("Bill %s has too few copies; still sending.", bill.request_id)
        return bool(done)

    async def drain(self) -> None:
        """Wait until every bill has enough copies."""
        while self._pending:
            await asyncio.wait(set(self._pending))

    async def _store(self, bill: Bill) -> None:
        stored_zones: set[str] = set()
        wanted = min(COPIES, len(set(self._zones.values())))
        while len(stored_zones) < wanted:
            hosts = [host for host, zone in self._zones.items() if zone not in stored_zones]
            replies = await asyncio.gather(*(self._send(host, bill) for host in hosts))
            stored_zones |= {reply.availability_zone for reply in replies if reply is not None}
            if len(stored_zones) < wanted:
                await asyncio.sleep(RETRY_DELAY_S)

    async def _send(self, host: str, bill: Bill) -> BillReply | None:
        try:
            return await self._session.call_host(host, BillRequest((bill,)), CALL_TIMEOUT_S)
        except PeerError:
            return None
