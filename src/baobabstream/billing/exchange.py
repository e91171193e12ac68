"""Exchanges bills between control hosts until all hold the same set."""

import asyncio
import os
from collections.abc import Mapping
from pathlib import Path

from msgspec import DecodeError, Struct, field, json

from baobabstream.billing.ledger import Ledger
from baobabstream.errors.exceptions import BaobabstreamError
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.messages import LedgerSyncReply, LedgerSyncRequest
from baobabstream.wire.rpc import RpcClient

__all__ = ["LedgerExchange"]

INTERVAL_S = 1.0
CALL_TIMEOUT_S = 2.0
SAVE_INTERVAL_S = 10.0

_log = get_logger("billing")


class _Position(Struct):
    ledger_id: str = ""
    offset: int = 0


class _Positions(Struct):
    """Positions in the peers' ledgers up to which this ledger holds every bill."""

    ledger_id: str = ""
    peers: dict[str, _Position] = field(default_factory=dict)


class LedgerExchange:
    """Reads what the peers' ledgers hold beyond the last position and stores it here.

    A host that lost its disk has no positions and so reads everything; a peer that lost its disk
    has a new ledger identity and is read from the start.

    Parameters
    ----------
    host
        Name of this host.
    ledger
        Ledger of this host.
    peers
        Connections to the other control hosts.
    path
        File that keeps the positions over a restart.
    """

    def __init__(
        self, host: str, ledger: Ledger, peers: Mapping[str, RpcClient], path: Path
    ) -> None:
        self._host = host
        self._ledger = ledger
        self._peers = peers
        self._path = path
        self._positions = self._load()
        self._equal: dict[str, bool] = {}
        self._saved_s = float("-inf")

    async def run(self) -> None:
        """Exchange with all peers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for name in self._peers:
                tasks.create_task(self._follow(name))

    def equal_to(self, peer: str) -> bool:
        """Return whether the peer held the same bills when it answered last."""
        return self._equal.get(peer, False)

    async def answer(self, request: LedgerSyncRequest) -> LedgerSyncReply:
        """Return the bills after a peer's position in this ledger."""
        known = request.ledger_id == self._ledger.ledger_id
        page = await self._ledger.read(request.from_index if known else 0)
        return LedgerSyncReply(
            page.next_offset,
            page.bills,
            self._ledger.ledger_id,
            len(self._ledger),
            self._ledger.digest,
        )

    async def pull(self, peer: str) -> bool:
        """Read one part of a peer's ledger and return whether there may be more."""
        position = self._positions.peers.setdefault(peer, _Position())
        request = LedgerSyncRequest(self._host, position.offset, (), position.ledger_id)
        reply = await self._peers[peer].call(request, CALL_TIMEOUT_S)
        if reply.bills:
            await self._ledger.put(reply.bills)
        self._equal[peer] = (reply.count, reply.digest) == (len(self._ledger), self._ledger.digest)
        moved = (position.ledger_id, position.offset) != (reply.ledger_id, reply.next_index)
        # Moved on only after the bills are synced here.
        position.ledger_id, position.offset = reply.ledger_id, reply.next_index
        return moved

    async def _follow(self, peer: str) -> None:
        while True:
            try:
                more = await self.pull(peer)
                self._save()
            except BaobabstreamError as error:
                _log.debug("No bills from %s: %s.", peer, error.detail)
                more = False
            if not more:
                await asyncio.sleep(INTERVAL_S)

    def _load(self) -> _Positions:
        fresh = _Positions(self._ledger.ledger_id)
        if self._ledger.tail_was_cut or not self._path.exists():
            return fresh
        try:
            known = json.decode(self._path.read_bytes(), type=_Positions)
        except DecodeError:
            return fresh
        return known if known.ledger_id == fresh.ledger_id else fresh

    def _save(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s < self._saved_s + SAVE_INTERVAL_S:
            return
        self._saved_s = now_s
        temporary = self._path.with_suffix(".new")
        temporary.write_bytes(json.encode(self._positions))
        os.replace(temporary, self._path)
