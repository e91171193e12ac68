"""What operators and backend servers may ask of any coordination host."""

import asyncio
import zlib
from collections.abc import Callable
from typing import Any

from msgspec import Struct

from baobabstream.consensus.replicated_log import ReplicatedLog
from baobabstream.coordination.announcement_feed import AnnouncementFeed
from baobabstream.coordination.exchange_service import ExchangeService
from baobabstream.coordination.state import CoordinationState, StartRollout, StoreDocument
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, PeerError
from baobabstream.telemetry.decision_log import DecisionEvent, DecisionLog
from baobabstream.telemetry.statistics import StatisticName
from baobabstream.wire.coordination_messages import (
    DocumentOrder,
    DocumentQuery,
    DocumentReply,
    RolloutOrder,
    RolloutQuery,
    RolloutReply,
    RolloutRow,
    ServerRow,
)
from baobabstream.wire.rpc import RpcClient

__all__ = ["CoordinationService"]

# Callers move on after a second; a large configuration is given longer by them.
ORDER_TIMEOUT_S = 0.9
# Within the second that backend servers wait for an answer.
TOLD_TIMEOUT_S = 0.6
# Gateways exchange twice a second. A host that none of them has reached for this time cannot pass
# announcements on, so it sends backend servers to another one.
LISTENERS_GONE_S = 2.0
COMPRESSION_LEVEL = 1

Call = DocumentOrder | DocumentQuery | RolloutOrder | RolloutQuery


class CoordinationService:
    """Orders of operators and announcements of backend servers.

    Parameters
    ----------
    host
        Name of this member.
    state
        Committed state as applied on this host.
    log
        Replicated log.
    feed
        Announcements that reached this host.
    exchange
        Contact with the gateways.
    client
        Returns the client of another member.
    decisions
        Log of decisions.
    """

    def __init__(
        self,
        host: str,
        state: CoordinationState,
        log: ReplicatedLog,
        feed: AnnouncementFeed,
        exchange: ExchangeService,
        client: Callable[[str], RpcClient],
        decisions: DecisionLog,
    ) -> None:
        self._host = host
        self._state = state
        self._log = log
        self._feed = feed
        self._exchange = exchange
        self._client = client
        self._decisions = decisions
        self._started_s = asyncio.get_running_loop().time()

    async def store_document(self, version: int, text: bytes) -> int:
        """Store a checked configuration on a majority; returns the version then held.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` or a 4xxx code if it may not have been stored.
        """
        order = DocumentOrder(version, zlib.compress(text, COMPRESSION_LEVEL))
        reply: DocumentReply = await self._ask_leader(order)
        return reply.version

    async def read_document(self) -> bytes | None:
        """Return the newest configuration as it was stored, or None if there is none."""
        reply: DocumentReply = await self._ask_leader(DocumentQuery())
        return zlib.decompress(reply.document) if reply.document else None

    async def start_rollout(self, service: str, target: str, duration_s: float) -> None:
        """Start a rollout; a repeat of the same order changes nothing."""
        await self._ask_leader(RolloutOrder(service, target, duration_s))

    async def rollout(self, service: str) -> RolloutRow | None:
        """Return the last rollout of a service, or None if it had none."""
        reply: RolloutReply = await self._ask_leader(RolloutQuery(service))
        return reply.rollout if reply.rollout and reply.rollout.target else None

    async def announce(self, row: ServerRow) -> None:
        """Take an announcement; returns once it may be acknowledged.

        Raises
        ------
        BaobabstreamError
            ``PEER_UNREACHABLE`` if no gateway is in contact that would learn of it.
        """
        self._require_listeners()
        changed = self._feed.announce(row)
        await self._tell(changed, row.server_id, "announced")

    async def withdraw(self, server_id: str, born_ms: int | None) -> None:
        """Note that a backend server has left; returns once it may be acknowledged."""
        self._require_listeners()
        changed = self._feed.withdraw(server_id, born_ms)
        await self._tell(changed, server_id, "left")

    async def answer(self, message: Call) -> Struct:
        """Carry out an order or query on the leader.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` if this host does not lead.
        """
        match message:
            case DocumentOrder():
                if message.version > self._state.document_version:
                    await self._propose(StoreDocument(message.version, message.document))
                else:
                    await self._log.read_barrier(ORDER_TIMEOUT_S)
                return DocumentReply(self._state.document_version)
            case RolloutOrder():
                await self._propose(
                    StartRollout(message.service, message.target, message.duration_s)
                )
                return RolloutReply(self._state.rollouts.get(message.service))
            case DocumentQuery():
                await self._log.read_barrier(ORDER_TIMEOUT_S)
                return DocumentReply(self._state.document_version, self._state.document)
            case RolloutQuery():
                await self._log.read_barrier(ORDER_TIMEOUT_S)
                return RolloutReply(self._state.rollouts.get(message.service))

    async def _propose(self, command: Any) -> None:
        await self._log.propose(command, ORDER_TIMEOUT_S)

    async def _ask_leader(self, message: Call) -> Any:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        name = type(message).__name__
        try:
            leader = self._log.leader
            if leader == self._host:
                reply = await self.answer(message)
            elif leader:
                reply = await self._client(leader).call(message, ORDER_TIMEOUT_S)
            else:
                raise PeerError(ResultCode.NO_LEADER)
        except BaobabstreamError as error:
            self._note_order(name, f"code {int(error.code)}", error.detail, began_s)
            raise
        self._note_order(name, "done", "", began_s)
        return reply

    def _note_order(self, order: str, outcome: str, detail: str, began_s: float) -> None:
        elapsed_s = asyncio.get_running_loop().time() - began_s
        statistics = self._decisions.statistics
        statistics.add(StatisticName.ORDERS, order, outcome)
        statistics.observe(StatisticName.ORDER_SECONDS, elapsed_s, order)
        self._decisions.record(
            DecisionEvent.ORDER_DECIDED,
            important=outcome != "done",
            order=order,
            outcome=outcome,
            detail=detail,
            elapsed_ms=int(elapsed_s * 1000),
        )

    def _require_listeners(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._started_s < LISTENERS_GONE_S or self._exchange.contacts.active(now_s):
            return
        raise PeerError(ResultCode.PEER_UNREACHABLE, "no gateway is in contact with this host")

    async def _tell(self, changed: bool, server_id: str, reason: str) -> None:
        outcome = reason if changed else "repeated"
        self._decisions.statistics.add(StatisticName.ANNOUNCEMENTS, outcome)
        if not changed:
            return
        row = self._feed.table.get(server_id)
        if row is not None:
            self._decisions.record(
                DecisionEvent.SERVER_CHANGED,
                server=server_id,
                service=row.service,
                address=row.address,
                state=row.state,
                version=row.version,
                reason=reason,
            )
        await self._exchange.wait_told(TOLD_TIMEOUT_S)
