"""Contact of a gateway with all coordination hosts."""

import asyncio
import zlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

from baobabstream.errors.exceptions import PeerError
from baobabstream.telemetry.decision_log import DecisionEvent, DecisionLog
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.coordination_messages import ExchangeReply, ExchangeRequest
from baobabstream.wire.rpc import RpcClient

__all__ = ["ControlContact", "ExchangeParty"]

# Load reports are half this old on average; each exchange costs a quarter of a millisecond.
EXCHANGE_WAIT_S = 0.5
CALL_TIMEOUT_S = 1.5
RETRY_DELAY_S = 0.2
# A host that is no member any more and does not answer is forgotten after this time.
FORGET_AFTER_S = 20.0
# Without an answer of any host for this time, announcements are not expected either.
SILENCE_S = 2.0


class ExchangeParty(ABC):
    """Side of a gateway that takes part in exchanges."""

    @abstractmethod
    def report(
        self, epoch: int, position: int, wait_s: float, known_digests: dict[str, int]
    ) -> ExchangeRequest:
        """Return the next report to a host, given the last position and digests seen there."""

    @abstractmethod
    def take_document(self, version: int, text: bytes) -> None:
        """Take a newer configuration text."""

    @abstractmethod
    def take_reply(self, reply: ExchangeReply) -> None:
        """Take everything else of a reply."""

    @abstractmethod
    def contact_resumed(self) -> None:
        """Note that a host answers again after none has for some time."""


class ControlContact:
    """Exchanges with each coordination host, one task per host.

    Parameters
    ----------
    seeds
        Hosts known from the start.
    port
        Port of the inner protocol.
    codec
        Codec of the inner protocol.
    party
        Gives reports and takes replies.
    decisions
        Log of decisions.
    """

    def __init__(
        self,
        seeds: Iterable[str],
        port: int,
        codec: WireCodec,
        party: ExchangeParty,
        decisions: DecisionLog,
    ) -> None:
        self._seeds = set(seeds)
        self._port = port
        self._codec = codec
        self._party = party
        self._decisions = decisions
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._members: dict[str, tuple[str, ...]] = {}
        self._clock: Callable[[], float] = asyncio.get_running_loop().time
        self.answered_s = float("-inf")

    def start(self) -> None:
        """Begin the exchanges with the seeds."""
        for host in self._seeds:
            self._contact(host)

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Contact further hosts that the settings name now."""
        self._seeds.update(seeds)
        self.start()

    async def stop(self) -> None:
        """End all exchanges."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def age_s(self) -> float:
        """Return the time since a host has answered last."""
        return self._clock() - self.answered_s

    def _contact(self, host: str) -> None:
        if host not in self._tasks:
            self._tasks[host] = asyncio.create_task(self._exchange_with(host))

    async def _exchange_with(self, host: str) -> None:
        client = RpcClient(f"tcp://{host}:{self._port}", self._codec)
        epoch = position = 0
        digests: dict[str, int] = {}
        answered_s = self._clock()
        lost = False
        try:
            while not lost or self._wanted(host, answered_s):
                wait_s = 0.0 if epoch == 0 else EXCHANGE_WAIT_S
                request = self._party.report(epoch, position, wait_s, digests)
                try:
                    reply: ExchangeReply = await client.call(request, CALL_TIMEOUT_S)
                except PeerError as error:
                    if not lost:
                        self._note_lost(host, error)
                    lost = True
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                now_s = self._clock()
                if lost:
                    self._note_regained(host, now_s - answered_s)
                lost = False
                answered_s = now_s
                epoch, position, digests = reply.epoch, reply.position, reply.session_digests
                self._take(host, reply, now_s)
        finally:
            client.close()
            self._tasks.pop(host, None)

    def _take(self, host: str, reply: ExchangeReply, now_s: float) -> None:
        if now_s - self.answered_s > SILENCE_S:
            self._party.contact_resumed()
        self.answered_s = now_s
        if reply.document:
            self._party.take_document(reply.document_version, zlib.decompress(reply.document))
        self._party.take_reply(reply)
        self._members[host] = reply.hosts
        for member in reply.hosts:
            self._contact(member)

    def _wanted(self, host: str, answered_s: float) -> bool:
        member = any(host in hosts for other, hosts in self._members.items() if other != host)
        return member or host in self._seeds or self._clock() - answered_s < FORGET_AFTER_S

    def _note_lost(self, host: str, error: PeerError) -> None:
        self._decisions.record(
            DecisionEvent.DEPENDENCY_LOST, dependency=f"coordination {host}", reason=error.detail
        )

    def _note_regained(self, host: str, away_s: float) -> None:
        self._decisions.record(
            DecisionEvent.DEPENDENCY_REGAINED,
            dependency=f"coordination {host}",
            away_ms=int(away_s * 1000),
        )
