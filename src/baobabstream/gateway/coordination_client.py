"""Client of a gateway for its exchanges with all coordination hosts.

In an exchange, the gateway reports what it has observed, and a coordination host replies with what
has changed: routing document (the operator's configuration), announcements of backend servers,
rollouts, and the load of the servers by other gateways.

A coordination host numbers the changes of announcements that it knows of. The number of a change is
its position, and the epoch identifies the process of the host that gave the numbers. A member is a
coordination host that takes part at present; replies name all members.
"""

import asyncio
import zlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from msgspec.structs import replace

from baobabstream.errors.exceptions import PeerError
from baobabstream.gateway.load_source import LoadSource
from baobabstream.gateway.sent_evidence import SentEvidence
from baobabstream.telemetry.decision_log import DecisionEvent, DecisionLog
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.coordination_messages import ExchangeReply, ExchangeRequest
from baobabstream.wire.rpc import RpcClient

__all__ = ["CoordinationClient", "ExchangeHandler", "HostContact"]

_log = get_logger("coordination_client")

# Longest time in seconds for which a coordination host waits for a change before it replies.
# Reports of the load are half this old on average. A shorter wait makes more exchanges, each of
# which costs a quarter of a millisecond.
EXCHANGE_WAIT_S = 0.5
# Longest wait for a reply; longer than the host itself waits for a change.
CALL_TIMEOUT_S = 1.5
# Pause after a failed exchange.
RETRY_DELAY_S = 0.2
# A host that is not a member any more and has not replied for this time is not called any more.
DROP_HOST_AFTER_S = 20.0
# Longest time without a reply of any host after which the announcements of backend servers are
# still taken to be complete. After a longer time the gateway could not learn of them, so the time
# in which a server must announce itself again starts anew with the next reply.
MAX_SILENCE_S = 2.0


@dataclass
class HostContact:
    """What one process of a coordination host and this gateway know of each other.

    Parameters
    ----------
    epoch, position
        Last change of announcements that this gateway has received from the host, so that the host
        replies with later ones only; both 0 before the first reply.
    known_digests
        Digests of the host's sets of pinned sessions at its last reply, by rollout. Sessions that
        are pinned stay on the version that the rollout replaces.
    crash_revision, suspects
        Revision of the host's view of crashes, and the keys whose survivals it asks for.
    reported_crashes
        Number of the last crash that the host has been told of.
    sent_evidence
        Evidence that the host has confirmed.
    """

    epoch: int = 0
    position: int = 0
    known_digests: dict[str, int] = field(default_factory=dict)
    crash_revision: int = 0
    suspects: tuple[str, ...] = ()
    reported_crashes: int = 0
    sent_evidence: SentEvidence = field(default_factory=SentEvidence)


class ExchangeHandler(ABC):
    """Interface by which a gateway gives reports and receives replies."""

    @abstractmethod
    def report(self, contact: HostContact, wait_s: float) -> ExchangeRequest:
        """Return the next report to a host.

        Parameters
        ----------
        contact
            What the host knows already. Of the pinned sessions the report contains the sets whose
            digests differ, and of the crashes those that the host has not been told of.
        wait_s
            Seconds for which the host may wait for a change.
        """

    @property
    @abstractmethod
    def last_crash_number(self) -> int:
        """Number of the newest crash that a report contains now, or 0."""

    @abstractmethod
    def apply_document(self, version: int, text: bytes) -> None:
        """Apply a new configuration.

        Parameters
        ----------
        version
            Number of the configuration; a higher one is newer.
        text
            Configuration as the operator wrote it, uncompressed.
        """

    @abstractmethod
    def apply_reply(self, host: str, reply: ExchangeReply) -> None:
        """Apply all parts of the reply of a coordination host but the configuration."""

    @abstractmethod
    def contact_resumed(self) -> None:
        """Handle the first reply after more than ``MAX_SILENCE_S`` without one of any host."""


class CoordinationClient:
    """Exchanges with each coordination host, one task per host.

    Parameters
    ----------
    seeds
        Coordination hosts that the settings name; further ones are learned from replies.
    port
        Port of the protocol between the daemons.
    codec
        Codec of this protocol.
    handler
        Gives reports and receives replies.
    decisions
        Log of decisions.
    load_source
        Chooses the host that sends the load of the other gateways.

    Attributes
    ----------
    last_reply_s
        Time of the last reply of any host, in seconds; negative infinity before the first.
    """

    def __init__(
        self,
        seeds: Iterable[str],
        port: int,
        codec: WireCodec,
        handler: ExchangeHandler,
        decisions: DecisionLog,
        load_source: LoadSource,
    ) -> None:
        self._load_source = load_source
        self._seeds = set(seeds)
        self._port = port
        self._codec = codec
        self._handler = handler
        self._decisions = decisions
        # By host: the task that makes the exchanges with it.
        self._tasks: dict[str, asyncio.Task[None]] = {}
        # By host: the coordination hosts that its last reply named.
        self._members_by_host: dict[str, tuple[str, ...]] = {}
        self._clock: Callable[[], float] = asyncio.get_running_loop().time
        self.last_reply_s = float("-inf")

    def start(self) -> None:
        """Start the exchanges with the seeds."""
        for host in self._seeds:
            self._start_exchanges(host)

    def add_seeds(self, seeds: Iterable[str]) -> None:
        """Start exchanges with further hosts that the settings name now."""
        self._seeds.update(seeds)
        self.start()

    async def stop(self) -> None:
        """Cancel all exchanges."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def age_s(self) -> float:
        """Return the seconds since the last reply of any host; infinite before the first."""
        return self._clock() - self.last_reply_s

    def _start_exchanges(self, host: str) -> None:
        """Start the task of a host unless it is running."""
        if host not in self._tasks:
            self._tasks[host] = asyncio.create_task(self._run_exchanges(host))

    async def _run_exchanges(self, host: str) -> None:
        """Exchange with a host until it is neither reachable nor needed.

        The first exchange asks for a reply at once, since the gateway knows nothing yet.
        ``is_lost`` says whether the last exchange failed.
        """
        client = RpcClient(f"tcp://{host}:{self._port}", self._codec)
        contact = HostContact()
        last_reply_s = self._clock()
        is_lost = False
        try:
            while not is_lost or self._is_needed(host, last_reply_s):
                reported_crashes = self._handler.last_crash_number
                try:
                    request = self._next_request(host, contact)
                    reply: ExchangeReply = await client.call(request, CALL_TIMEOUT_S)
                except PeerError as error:
                    if not is_lost:
                        self._log_lost(host, error)
                    is_lost = True
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                except Exception:
                    # Whatever is wrong with this report, later changes must still arrive.
                    _log.exception("The report to coordination host %s cannot be sent.", host)
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                now_s = self._clock()
                try:
                    self._handle_reply(host, reply, now_s)
                except Exception:
                    # Whatever is wrong with this reply, later changes must still arrive.
                    _log.exception("The reply of coordination host %s cannot be applied.", host)
                    await asyncio.sleep(RETRY_DELAY_S)
                    continue
                if is_lost:
                    self._log_regained(host, now_s - last_reply_s)
                is_lost = False
                last_reply_s = now_s
                if reply.epoch != contact.epoch:
                    # Another process of the host, which has none of the evidence.
                    contact = HostContact(reply.epoch)
                else:
                    contact.sent_evidence.record_sent(request.evidence)
                    contact.reported_crashes = reported_crashes
                self._load_source.record_reply(host, reply.availability_zone, now_s)
                contact.position, contact.known_digests = reply.position, reply.session_digests
                contact.crash_revision = reply.crash_revision
                if reply.suspects is not None:
                    contact.suspects = reply.suspects
        finally:
            client.close()
            self._tasks.pop(host, None)

    def _next_request(self, host: str, contact: HostContact) -> ExchangeRequest:
        """Return the next report to a host, without the evidence that it has confirmed."""
        wait_s = 0.0 if contact.epoch == 0 else EXCHANGE_WAIT_S
        report = self._handler.report(contact, wait_s)
        return replace(
            report,
            evidence=contact.sent_evidence.unsent(report.evidence),
            wants_work=self._load_source.is_source(host, self._clock()),
        )

    def _handle_reply(self, host: str, reply: ExchangeReply, now_s: float) -> None:
        """Pass a reply to the handler, and start exchanges with the hosts that it names.

        ``now_s`` is the time of the reply in seconds. The reply contains a document, compressed,
        only if the gateway has an older one.
        """
        if now_s - self.last_reply_s > MAX_SILENCE_S:
            self._handler.contact_resumed()
        self.last_reply_s = now_s
        if reply.document:
            self._handler.apply_document(reply.document_version, zlib.decompress(reply.document))
        self._handler.apply_reply(host, reply)
        self._members_by_host[host] = reply.hosts
        for member in reply.hosts:
            self._start_exchanges(member)

    def _is_needed(self, host: str, last_reply_s: float) -> bool:
        """Return whether to keep calling a host that does not reply.

        A host is needed while another host names it as a member, while the settings name it, and
        for ``DROP_HOST_AFTER_S`` after its last reply.

        Parameters
        ----------
        host
            Coordination host that does not reply.
        last_reply_s
            Time of its last reply in seconds.
        """
        is_member = any(
            host in members
            for reporting_host, members in self._members_by_host.items()
            if reporting_host != host
        )
        return is_member or host in self._seeds or self._clock() - last_reply_s < DROP_HOST_AFTER_S

    def _log_lost(self, host: str, error: PeerError) -> None:
        """Log the first failed exchange with a host after a successful one."""
        self._decisions.record(
            DecisionEvent.DEPENDENCY_LOST, dependency=f"coordination {host}", reason=error.detail
        )

    def _log_regained(self, host: str, away_s: float) -> None:
        """Log that a host replies again, ``away_s`` seconds after its previous reply."""
        self._decisions.record(
            DecisionEvent.DEPENDENCY_REGAINED,
            dependency=f"coordination {host}",
            away_ms=int(away_s * 1000),
        )
