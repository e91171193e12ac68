"""One member of the control group: log, configuration, ledger and its term as leader."""

import asyncio
from contextlib import suppress

from baobabstream.billing.ledger import Ledger
from baobabstream.billing.ledger_exchange import LedgerExchange
from baobabstream.consensus.disk_failure import end_on_disk_failure
from baobabstream.control.commands import Command
from baobabstream.control.leadership import Leadership
from baobabstream.control.log_setup import open_log
from baobabstream.control.outcome import Outcome
from baobabstream.control.state import ConfigState
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError, StorageError
from baobabstream.settings.models import ControlSettings
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.timeline import TimeLine
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.messages import ForwardReply, ForwardRequest
from baobabstream.wire.rpc import RpcClient

__all__ = ["GroupMember"]

PROPOSE_TIMEOUT_S = 2.0
LEADERSHIP_CHECK_S = 0.05
# A follower is woken when it is elected; this bounds the effect of a missed event.
FOLLOWER_CHECK_S = 1.0

_log = get_logger("control")


class GroupMember:
    """What one control host holds of the group's state, and its soft state while it leads.

    Parameters
    ----------
    settings
        Validated settings.
    codec
        Codec of the inner protocol.
    timeline
        Time line of this host.
    """

    def __init__(self, settings: ControlSettings, codec: WireCodec, timeline: TimeLine) -> None:
        self.settings = settings
        self.timeline = timeline
        self.state = ConfigState()
        self.leadership: Leadership | None = None
        self._notified_revision = 0
        self._elected = asyncio.Event()
        # Takes the lock on the data folder, so it comes before the ledger.
        self.log = open_log(settings, self.state, codec, timeline, self.notify_applied)
        self.ledger = Ledger(settings.data_folder / "ledger.log", _end_on_disk_failure)
        self.peers = {
            peer.host: RpcClient(f"tcp://{peer.ip}:{peer.port}", codec)
            for peer in settings.control
            if peer.host != settings.host
        }
        self.ledger_exchange = LedgerExchange(
            settings.host, self.ledger, self.peers, settings.data_folder / "ledger-sync.json"
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def leads(self) -> bool:
        """Whether this host leads and may answer for the group."""
        return self.log.leader == self.settings.host and self.log.holds_leader_lease()

    async def start(self) -> None:
        """Join the group."""
        await self.log.start()
        self._tasks += [
            asyncio.create_task(self._watch_leadership()),
            asyncio.create_task(self.ledger_exchange.run()),
        ]

    async def stop(self) -> None:
        """Leave the leadership and end the log; calls to peers and the ledger stay open."""
        await self.log.stop()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._end_leadership()

    async def close(self) -> None:
        """Close the connections to the peers, and the ledger."""
        for peer in self.peers.values():
            peer.close()
        await self.ledger.close()

    def require_leadership(self) -> Leadership:
        """Return the soft state of this leader.

        Raises
        ------
        PeerError
            ``NO_LEADER`` with the leader's name if this host may not answer for the group.
        """
        if not self.leads:
            error = PeerError(ResultCode.NO_LEADER)
            error.leader = self.log.leader
            raise error
        if self.leadership is None or self.leadership.term != self.log.term:
            self._begin_leadership()
        assert self.leadership is not None
        return self.leadership

    async def propose(self, command: Command) -> Outcome:
        """Commit a command on the leader and wake the polls if a row changed.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` if this host does not lead, ``CHANGE_UNKNOWN`` if it is not known
            whether the command was committed.
        """
        self.require_leadership()
        outcome = await self.log.propose(command, PROPOSE_TIMEOUT_S)
        self.notify_applied()
        return outcome

    def notify_applied(self) -> None:
        """Wake the polls if applied commands changed a row; called by the log."""
        if self.leadership is None and self.log.leader == self.settings.host:
            self._elected.set()
        if self.leadership is not None and self.state.revision != self._notified_revision:
            self._notified_revision = self.state.revision
            self.leadership.poll_service.notify()
            self.leadership.in_force_watch.add_revisions_through(self.state.revision)

    async def forward(self, request: ForwardRequest, timeout_s: float) -> ForwardReply:
        """Send an HTTP call to the leader and return its answer."""
        leader = self.peers.get(self.log.leader)
        if leader is None:
            raise PeerError(ResultCode.NO_LEADER)
        return await leader.call(request, timeout_s)

    async def _watch_leadership(self) -> None:
        while True:
            if self.leads:
                self.require_leadership()
            elif self.leadership is not None:
                await self._end_leadership()
            # The lease of a leader begins and ends without an event of the log.
            if self.leadership is not None or self.log.leader == self.settings.host:
                await asyncio.sleep(LEADERSHIP_CHECK_S)
                continue
            self._elected.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(FOLLOWER_CHECK_S):
                    await self._elected.wait()

    def _begin_leadership(self) -> None:
        """Start with fresh soft state; a lease that was lost and regained counts as new.

        Backend servers announced nothing here meanwhile, so the old registry is out of date.
        """
        previous = self.leadership
        self.leadership = Leadership(
            self.settings,
            self.log.term,
            self.state,
            self.propose,
            lambda: self.leads,
            self.timeline,
        )
        if previous is not None:
            self._tasks.append(asyncio.create_task(previous.close()))
        _log.info("Serving as leader in term %d.", self.log.term)

    async def _end_leadership(self) -> None:
        leadership, self.leadership = self.leadership, None
        if leadership is not None:
            await leadership.close()
            _log.info("No longer serving as leader.")


def _end_on_disk_failure(error: StorageError) -> None:
    end_on_disk_failure(_log, "ledger", f"{error.detail}.")
