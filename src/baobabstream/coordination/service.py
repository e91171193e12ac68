"""Operations that operators and backend servers may call on any coordination host.

The coordination hosts are the members of a consensus group with one leader. Orders (writes) and
queries of operators are forwarded to the leader. They concern the routing configuration, which the
messages call a document, and rollouts, which move a service to a target version.

Announcements, by which backend servers tell their address and state, are stored on this host only,
from which each gateway fetches them. A row is the newest announcement of one server. A gateway
confirms an announcement by its next exchange, a long poll in which it reports to this host.
"""

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

# Time limit of an order or query on this host or the leader. It is shorter than the second, or more
# for a large configuration, after which callers try another host.
ORDER_TIMEOUT_S = 0.9
# Time limit for the gateways' confirmation of an announcement. It is within the second that backend
# servers wait for the answer to the announcement.
CONFIRMATION_TIMEOUT_S = 0.6
# Time after its start within which a host accepts announcements without contact to a gateway.
# Gateways exchange twice a second, so a host without contact after this time cannot relay
# announcements, and its refusal sends backend servers to another host.
FIRST_CONTACT_GRACE_S = 2.0
# zlib level at which configurations are compressed for sending and storing; 1 is the fastest one.
COMPRESSION_LEVEL = 1

# Messages that only the leader answers.
LeaderCall = DocumentOrder | DocumentQuery | RolloutOrder | RolloutQuery


class CoordinationService:
    """Handles orders and queries of operators and announcements of backend servers.

    Parameters
    ----------
    host
        Name of this member, which is its IP address.
    state
        Committed state as applied on this host.
    log
        Replicated log.
    feed
        Announcements of backend servers that reached this host.
    exchange
        Exchanges with the gateways.
    client_for
        Returns the RPC client for another member, given by its IP address.
    decisions
        Decision log, which records what the daemon decides.
    """

    def __init__(
        self,
        host: str,
        state: CoordinationState,
        log: ReplicatedLog,
        feed: AnnouncementFeed,
        exchange: ExchangeService,
        client_for: Callable[[str], RpcClient],
        decisions: DecisionLog,
    ) -> None:
        self._host = host
        self._state = state
        self._log = log
        self._feed = feed
        self._exchange = exchange
        self._client_for = client_for
        self._decisions = decisions
        # Time of the event loop in seconds.
        self._started_s = asyncio.get_running_loop().time()

    async def store_document(self, version: int, text: bytes) -> int:
        """Store a valid configuration on a majority of the members.

        Nothing changes if this version or a higher one is stored already.

        Parameters
        ----------
        version
            Version of the configuration.
        text
            Configuration as the operator sent it, not compressed.

        Returns
        -------
        int
            Version that is stored afterwards, which is a higher one if that was stored before.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER``, or a code from 4000 to 4999 for a failed call between hosts, if the
            configuration may not have been stored.
        """
        order = DocumentOrder(version, zlib.compress(text, COMPRESSION_LEVEL))
        reply: DocumentReply = await self._ask_leader(order)
        return reply.version

    async def read_document(self) -> bytes | None:
        """Return the text of the newest configuration, or None if there is none."""
        reply: DocumentReply = await self._ask_leader(DocumentQuery())
        # The document is empty if none is stored.
        return zlib.decompress(reply.document) if reply.document else None

    async def start_rollout(self, service: str, target: str, duration_s: float) -> None:
        """Start a rollout of a service to a target version, to be finished within ``duration_s``.

        A repeat of the same order changes nothing, so callers may send it again after a failure.
        """
        await self._ask_leader(RolloutOrder(service, target, duration_s))

    async def rollout(self, service: str) -> RolloutRow | None:
        """Return the last rollout of a service, or None if it had none.

        The row of a service without a rollout has no target version.
        """
        reply: RolloutReply = await self._ask_leader(RolloutQuery(service))
        return reply.rollout if reply.rollout and reply.rollout.target else None

    async def announce(self, row: ServerRow) -> None:
        """Store an announcement of a backend server, which the caller then acknowledges.

        After a change this waits for the gateways' confirmation, so that an acknowledged change is
        in use at the gateways. It waits at most for ``CONFIRMATION_TIMEOUT_S``, so that the
        acknowledgement is not too late, and then returns without an error.

        Parameters
        ----------
        row
            The announcement.

        Raises
        ------
        BaobabstreamError
            ``PEER_UNREACHABLE`` if no gateway is in contact with this host.
        """
        self._require_gateway_contact()
        is_changed = self._feed.announce(row)
        await self._publish_change(is_changed, row.server_id, "announced")

    async def withdraw(self, server_id: str, born_ms: int | None) -> None:
        """Mark a backend server as gone; waits and raises like ``announce``.

        Parameters
        ----------
        server_id
            Identity of the server.
        born_ms
            Start time in milliseconds of the server process (its incarnation) that has left, or
            None for the known one.
        """
        self._require_gateway_contact()
        is_changed = self._feed.withdraw(server_id, born_ms)
        await self._publish_change(is_changed, server_id, "left")

    async def answer(self, message: LeaderCall) -> Struct:
        """Execute an order or query on this host, which must be the leader.

        Everything that changes nothing is answered after a read barrier: it confirms that this host
        still leads and has applied all commands that were committed before. The ``document`` of a
        message is the compressed configuration.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` if this host does not lead; ``CHANGE_UNKNOWN`` if an order may or may not
            have been committed.
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
        """Commit a command to the replicated log within the time limit of orders."""
        await self._log.propose(command, ORDER_TIMEOUT_S)

    async def _ask_leader(self, message: LeaderCall) -> Any:
        """Execute an order or query here or on the leader, and log its outcome.

        Returns
        -------
        DocumentReply or RolloutReply
            The reply, of the type that belongs to the message.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` if no leader is known, or what the leader raises.
        """
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        order_name = type(message).__name__
        try:
            leader = self._log.leader
            if leader == self._host:
                reply = await self.answer(message)
            elif leader:
                reply = await self._client_for(leader).call(message, ORDER_TIMEOUT_S)
            else:
                raise PeerError(ResultCode.NO_LEADER)
        except BaobabstreamError as error:
            self._record_order(order_name, f"code {int(error.code)}", error.detail, started_s)
            raise
        self._record_order(order_name, "done", "", started_s)
        return reply

    def _record_order(self, order_name: str, outcome: str, detail: str, started_s: float) -> None:
        """Add an order or query to the statistics and to the decision log.

        Parameters
        ----------
        order_name
            Type of its message.
        outcome
            ``done``, or the code of the error. Other outcomes than ``done`` are logged also at a
            load at which lines of the log are dropped.
        detail
            Text of the error.
        started_s
            Time of the event loop in seconds at which it arrived.
        """
        elapsed_s = asyncio.get_running_loop().time() - started_s
        statistics = self._decisions.statistics
        statistics.add(StatisticName.ORDERS, order_name, outcome)
        statistics.observe(StatisticName.ORDER_SECONDS, elapsed_s, order_name)
        self._decisions.record(
            DecisionEvent.ORDER_DECIDED,
            important=outcome != "done",
            order=order_name,
            outcome=outcome,
            detail=detail,
            # 1,000 converts seconds to milliseconds.
            elapsed_ms=int(elapsed_s * 1000),
        )

    def _require_gateway_contact(self) -> None:
        """Raise PeerError if no gateway is in contact, except shortly after the start.

        The error makes a backend server announce itself to another host: this one could not relay
        the announcement.
        """
        now_s = asyncio.get_running_loop().time()
        # ``active_reports`` is empty if no gateway has reported recently.
        if (
            now_s - self._started_s < FIRST_CONTACT_GRACE_S
            or self._exchange.contacts.active_reports(now_s)
        ):
            return
        raise PeerError(ResultCode.PEER_UNREACHABLE, "no gateway is in contact with this host")

    async def _publish_change(self, is_changed: bool, server_id: str, reason: str) -> None:
        """Count an announcement; log a change and wait a limited time for its confirmation.

        Parameters
        ----------
        is_changed
            Whether the announcement has changed a row.
        server_id
            Identity of the backend server.
        reason
            Cause of the change for the statistics and the log: ``announced`` or ``left``. An
            announcement without a change is counted as ``repeated``.
        """
        outcome = reason if is_changed else "repeated"
        self._decisions.statistics.add(StatisticName.ANNOUNCEMENTS, outcome)
        if not is_changed:
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
        await self._exchange.wait_until_confirmed(CONFIRMATION_TIMEOUT_S)
