"""Parts of one control host: replicated log, configuration, ledger and leadership.

The control hosts form a group with one leader. The leader answers for the group only while it
holds the leader lease, which ends when it no longer reaches a majority. Its soft state, such as the
registry of backend servers, is not replicated. Every control host has a ledger of bills, which
state the cost of requests.

The revision is the number of the last change of the configuration. It is in force once every entry
process (a process that receives the callers' requests) with a lease has applied it. Entry processes
learn of changes by polls, which the leader leaves waiting until something has changed. The term is
the number of an election.
"""

import asyncio
from contextlib import suppress

from baobabstream.billing.ledger import Ledger
from baobabstream.billing.ledger_exchange import LedgerExchange
from baobabstream.consensus.disk_failure import end_on_disk_failure
from baobabstream.control.commands import Command
from baobabstream.control.leadership import Leadership
from baobabstream.control.outcome import Outcome
from baobabstream.control.replicated_log_setup import open_log
from baobabstream.control.state import ConfigState
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError, StorageError
from baobabstream.settings.models import ControlSettings
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.timeline import TimelineWriter
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.messages import ForwardReply, ForwardRequest
from baobabstream.wire.rpc import RpcClient

__all__ = ["GroupMember"]

# Time limit for the commit of a command, that is, until a majority of the hosts have stored it.
PROPOSE_TIMEOUT_S = 2.0
# Interval at which a leader, or a host elected as leader, checks its leader lease.
LEADERSHIP_CHECK_INTERVAL_S = 0.05
# Interval at which a follower checks whether it leads. An election wakes it earlier; the interval
# bounds the delay if that event is missed.
FOLLOWER_CHECK_INTERVAL_S = 1.0

_log = get_logger("control")


class GroupMember:
    """Replicated state and ledger of one control host, and its soft state while it leads.

    Parameters
    ----------
    settings
        Validated settings.
    codec
        Codec of the inner protocol.
    timeline
        Event timeline of this host.

    Attributes
    ----------
    state
        Configuration state built by the replicated log.
    leadership
        Soft state while this host leads, else None. It may outlast the leader lease for a short
        time, so callers use ``require_leadership``.
    log
        Replicated log of the control hosts.
    ledger
        Bills stored on this host.
    peer_clients
        Connections to the other control hosts, by host.
    ledger_exchange
        Exchanges bills with the other control hosts.
    """

    def __init__(
        self, settings: ControlSettings, codec: WireCodec, timeline: TimelineWriter
    ) -> None:
        self.settings = settings
        self.timeline = timeline
        self.state = ConfigState()
        self.leadership: Leadership | None = None
        # Revision at which the waiting polls were last woken; 0 is the empty configuration.
        self._last_notified_revision = 0
        self._election_event = asyncio.Event()
        # Opened before the ledger, since opening the log locks the data folder.
        self.log = open_log(settings, self.state, codec, timeline, self.handle_log_change)
        self.ledger = Ledger(settings.data_folder / "ledger.log", _end_on_disk_failure)
        self.peer_clients = {
            peer.host: RpcClient(f"tcp://{peer.ip}:{peer.port}", codec)
            for peer in settings.control
            if peer.host != settings.host
        }
        # ``ledger-sync.json`` keeps the positions up to which the other hosts' ledgers were read.
        self.ledger_exchange = LedgerExchange(
            settings.host, self.ledger, self.peer_clients, settings.data_folder / "ledger-sync.json"
        )
        self._background_tasks: list[asyncio.Task[None]] = []

    @property
    def leads(self) -> bool:
        """Whether this host is the leader and holds the leader lease."""
        return self.log.leader == self.settings.host and self.log.holds_leader_lease()

    async def start(self) -> None:
        """Start the log and the background tasks."""
        await self.log.start()
        self._background_tasks += [
            asyncio.create_task(self._watch_leadership()),
            asyncio.create_task(self.ledger_exchange.run()),
        ]

    async def stop(self) -> None:
        """Stop the log, the background tasks and the leadership.

        The log is stopped first and hands leadership over if this host leads. The tasks are stopped
        before the leadership ends, since one of them could begin it again. The connections to the
        other control hosts and the ledger file remain open until ``close``, since calls that are
        still being served may use them.
        """
        await self.log.stop()
        for task in self._background_tasks:
            task.cancel()
        # Waits for all tasks; their exceptions, cancellations included, are ignored.
        await asyncio.gather(*self._background_tasks, return_exceptions=True)
        await self._end_leadership()

    async def close(self) -> None:
        """Close the connections to the other control hosts, and the ledger file.

        To be called after ``stop``, once no more calls are served that could use them.
        """
        for peer_client in self.peer_clients.values():
            peer_client.close()
        await self.ledger.close()

    def require_leadership(self) -> Leadership:
        """Return the soft state of this leader; create it if a new term or lease has begun.

        Raises
        ------
        PeerError
            ``NO_LEADER`` with the leader's name, empty if none is known, if this host is not a
            leader with a lease.
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
        """Commit a command on the leader and wake the waiting polls if a row changed.

        Raises
        ------
        BaobabstreamError
            ``NO_LEADER`` if this host does not lead, ``CHANGE_UNKNOWN`` if it is not known
            whether the command was committed.
        """
        self.require_leadership()
        outcome = await self.log.propose(command, PROPOSE_TIMEOUT_S)
        self.handle_log_change()
        return outcome

    def handle_log_change(self) -> None:
        """Wake the tasks that wait for an election or for a change of the configuration.

        Those are the check of the leadership, the waiting polls, and the watch that records when a
        revision is in force. The log calls this after each batch of applied commands and after a
        change of the leader.
        """
        if self.leadership is None and self.log.leader == self.settings.host:
            self._election_event.set()
        if self.leadership is not None and self.state.revision != self._last_notified_revision:
            self._last_notified_revision = self.state.revision
            self.leadership.poll_service.wake_polls()
            self.leadership.in_force_watch.add_revisions_through(self.state.revision)

    async def forward_to_leader(self, request: ForwardRequest, timeout_s: float) -> ForwardReply:
        """Send an HTTP call to the leader and return its answer.

        ``timeout_s`` is the longest time in seconds to wait for the answer.

        Raises
        ------
        PeerError
            ``NO_LEADER`` if no other host is known as leader, or the error of the connection.
        """
        # The leader's name is empty if none is known. This host has no connection to itself.
        leader_client = self.peer_clients.get(self.log.leader)
        if leader_client is None:
            raise PeerError(ResultCode.NO_LEADER)
        return await leader_client.call(request, timeout_s)

    async def _watch_leadership(self) -> None:
        """Begin and end the leadership as this host gains and loses the leader lease.

        Only a host that leads or was elected checks often; the others wait for an election.
        """
        while True:
            if self.leads:
                self.require_leadership()
            elif self.leadership is not None:
                await self._end_leadership()
            # The log reports no event when the leader lease begins or ends.
            if self.leadership is not None or self.log.leader == self.settings.host:
                await asyncio.sleep(LEADERSHIP_CHECK_INTERVAL_S)
                continue
            self._election_event.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(FOLLOWER_CHECK_INTERVAL_S):
                    await self._election_event.wait()

    def _begin_leadership(self) -> None:
        """Replace the soft state by an empty one, also if a lost leader lease was regained.

        Backend servers may have announced themselves to another leader in the meantime, so the old
        registry is out of date.
        """
        previous_leadership = self.leadership
        self.leadership = Leadership(
            self.settings,
            self.log.term,
            self.state,
            self.propose,
            lambda: self.leads,
            self.timeline,
        )
        if previous_leadership is not None:
            # Closed in the background, since the callers of this method cannot wait.
            self._background_tasks.append(asyncio.create_task(previous_leadership.close()))
        _log.info("Serving as leader in term %d.", self.log.term)

    async def _end_leadership(self) -> None:
        """Close the soft state, if there is one; this host no longer leads.

        ``leadership`` is set to None first, so that no caller gets the soft state that is closing.
        """
        ended_leadership, self.leadership = self.leadership, None
        if ended_leadership is not None:
            await ended_leadership.close()
            _log.info("No longer serving as leader.")


def _end_on_disk_failure(error: StorageError) -> None:
    """End the process at once because the ledger could not be written.

    Without a working disk, this host must not confirm any more bills.
    """
    end_on_disk_failure(_log, "ledger", f"{error.detail}.")
