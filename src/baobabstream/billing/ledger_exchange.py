"""Replicates bills between the ledgers of the control hosts until all hold the same set.

Each control host reads the records that the other hosts, its peers, have appended to their ledger
files. It stores up to which file offset it has read each peer's ledger: its position there. A pull
reads one page, a limited number of the bills that follow the position, and stores them in the
ledger of this host. The identity of a ledger is a random number that its file gets when it is
created.
"""

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

# Time between two reads of a peer's ledger once all its bills have been read.
PULL_INTERVAL_S = 1.0
# Limit on one call to a peer.
CALL_TIMEOUT_S = 2.0
# Minimum time between two writes of the positions file. Bills after a position that is out of date
# are only read again.
POSITIONS_SAVE_INTERVAL_S = 10.0

_log = get_logger("billing")


class _PeerPosition(Struct):
    """Offset in bytes in a peer's ledger file up to which it has been read.

    ``ledger_id`` is the identity of the file; it is empty before the first read.
    """

    ledger_id: str = ""
    offset: int = 0


class _SavedPositions(Struct):
    """Content of the positions file.

    The ledger of this host, with identity ``ledger_id``, holds every bill before the position of
    each peer. ``peers`` maps the name of a peer to this position.
    """

    ledger_id: str = ""
    peers: dict[str, _PeerPosition] = field(default_factory=dict)


class LedgerExchange:
    """Copies new bills from the ledgers of the peers into the ledger of this host.

    A host that lost its disk has no positions and therefore reads the peers' ledgers from the
    start. A peer that lost its disk has a new ledger identity and is also read from the start.

    Parameters
    ----------
    host
        Name of this host.
    ledger
        Ledger of this host.
    peers
        Connections to the other control hosts, by host name.
    positions_path
        File that preserves the positions across a restart.
    """

    def __init__(
        self, host: str, ledger: Ledger, peers: Mapping[str, RpcClient], positions_path: Path
    ) -> None:
        self._host = host
        self._ledger = ledger
        self._peers = peers
        self._positions_path = positions_path
        self._positions = self._load_positions()
        # Whether the peer's ledger was equal to this one after the last pull from it, by host name.
        self._peer_has_same_bills: dict[str, bool] = {}
        # Event loop time in seconds of the last write of the positions file; -inf before the first.
        self._last_save_s = float("-inf")

    async def run(self) -> None:
        """Pull bills from all peers until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            for peer in self._peers:
                tasks.create_task(self._pull_repeatedly(peer))

    def holds_same_bills_as(self, peer: str) -> bool:
        """Return whether a peer's ledger was equal to this one after the last pull from it."""
        return self._peer_has_same_bills.get(peer, False)

    async def answer(self, request: LedgerSyncRequest) -> LedgerSyncReply:
        """Return some of the bills that follow a peer's position in this ledger.

        ``from_index`` and ``next_index`` of the messages are offsets in bytes in this ledger's
        file. If the position belongs to another ledger file, reading starts at the first bill. The
        number of bills and the digest of the whole ledger let the peer check whether both are
        equal.
        """
        is_current_ledger = request.ledger_id == self._ledger.ledger_id
        page = await self._ledger.read(request.from_index if is_current_ledger else 0)
        return LedgerSyncReply(
            page.next_offset,
            page.bills,
            self._ledger.ledger_id,
            len(self._ledger),
            self._ledger.digest,
        )

    async def pull(self, peer: str) -> bool:
        """Copy one page of a peer's ledger and return whether there may be more.

        There may be more if the position has advanced. Equal ledgers are recognised by the number
        and the digest of their bills: ``count`` and ``digest`` of the reply, for the peer's whole
        ledger. Bills that this host has already are not stored again.
        """
        position = self._positions.peers.setdefault(peer, _PeerPosition())
        # The third field stays empty, since ``answer`` does not use it.
        request = LedgerSyncRequest(self._host, position.offset, (), position.ledger_id)
        reply = await self._peers[peer].call(request, CALL_TIMEOUT_S)
        if reply.bills:
            await self._ledger.put(reply.bills)
        self._peer_has_same_bills[peer] = (reply.count, reply.digest) == (
            len(self._ledger),
            self._ledger.digest,
        )
        has_advanced = (position.ledger_id, position.offset) != (reply.ledger_id, reply.next_index)
        # The position advances only after the bills have been synced to the disk of this host, so
        # that a crash before that does not skip them.
        position.ledger_id, position.offset = reply.ledger_id, reply.next_index
        return has_advanced

    async def _pull_repeatedly(self, peer: str) -> None:
        """Pull all new bills from one peer at each interval; errors are logged and retried."""
        while True:
            try:
                may_have_more = await self.pull(peer)
                self._save_positions()
            except BaobabstreamError as error:
                _log.debug("Pulling bills from %s failed: %s.", peer, error.detail)
                may_have_more = False
            if not may_have_more:
                await asyncio.sleep(PULL_INTERVAL_S)

    def _load_positions(self) -> _SavedPositions:
        """Return the saved positions, or empty ones if they do not apply to this host's ledger.

        They do not apply if the ledger is another file, or if a record was cut off its end that may
        have been copied from a peer.
        """
        initial_positions = _SavedPositions(self._ledger.ledger_id)
        if self._ledger.tail_was_cut or not self._positions_path.exists():
            return initial_positions
        try:
            saved_positions = json.decode(self._positions_path.read_bytes(), type=_SavedPositions)
        except DecodeError:
            return initial_positions
        return (
            saved_positions
            if saved_positions.ledger_id == initial_positions.ledger_id
            else initial_positions
        )

    def _save_positions(self) -> None:
        """Write the positions file, at most once per save interval."""
        now_s = asyncio.get_running_loop().time()
        if now_s < self._last_save_s + POSITIONS_SAVE_INTERVAL_S:
            return
        self._last_save_s = now_s
        temporary_path = self._positions_path.with_suffix(".new")
        temporary_path.write_bytes(json.encode(self._positions))
        os.replace(temporary_path, self._positions_path)
