"""Opens the replicated log of a control daemon.

The control hosts append commands to the log and apply them in the same order to their copies of the
configuration. They elect a leader; the term is the number of an election. A snapshot of the whole
configuration replaces log entries that have been applied.
"""

from collections.abc import Callable
from random import SystemRandom

from baobabstream.consensus.address_book import FixedAddresses
from baobabstream.consensus.disk_failure import end_on_disk_failure
from baobabstream.consensus.file_storage import FileStorage
from baobabstream.consensus.records import LeaderChanged
from baobabstream.consensus.replicated_log import (
    LogListener,
    LogOptions,
    ReplicatedLog,
)
from baobabstream.control.state import ConfigState
from baobabstream.control.state_machine import ConfigStateMachine
from baobabstream.errors.exceptions import StorageError
from baobabstream.settings.models import ControlSettings
from baobabstream.telemetry.logs import get_logger
from baobabstream.telemetry.timeline import EventKind, TimelineWriter
from baobabstream.wire.codec import WireCodec

__all__ = ["open_log"]

_log = get_logger("control")


class _ControlLogListener(LogListener):
    """Logs changes of the leader, and ends the process if the disk fails.

    ``on_log_change`` is called after each applied batch of commands and each change of the leader.
    """

    def __init__(
        self, host: str, timeline: TimelineWriter, on_log_change: Callable[[], None]
    ) -> None:
        self._host = host
        self._timeline = timeline
        self._on_log_change = on_log_change

    def on_applied(self) -> None:
        """Call ``on_log_change`` after a batch of commands has been applied."""
        self._on_log_change()

    def on_leader_changed(self, change: LeaderChanged) -> None:
        """Log that this host was elected or lost the leadership, and call ``on_log_change``."""
        if change.is_leader:
            _log.info("This host leads in term %d.", change.term)
            self._timeline.emit(EventKind.LEADER_ELECTED, detail=f"term {change.term}")
        elif change.lost_leadership:
            _log.warning("This host no longer leads; term %d.", change.term)
            self._timeline.emit(EventKind.LEADER_LOST, detail=f"term {change.term}")
        self._on_log_change()

    def on_storage_failed(self, error: StorageError) -> None:
        """End the process; a host without a working disk must not vote or answer."""
        end_on_disk_failure(_log, "log", error)


def open_log(
    settings: ControlSettings,
    state: ConfigState,
    codec: WireCodec,
    timeline: TimelineWriter,
    on_log_change: Callable[[], None],
) -> ReplicatedLog:
    """Open the replicated log, whose files are in the subfolder ``consensus`` of the data folder.

    Parameters
    ----------
    settings
        Settings of this control host.
    state
        Configuration state to which the log applies its commands.
    codec
        Encodes and decodes the messages between the hosts of this cluster.
    timeline
        Receives an event when this host is elected or loses the leadership.
    on_log_change
        Called after each applied batch of commands and each change of the leader.

    Raises
    ------
    StorageError
        If the folder is in use, belongs to another host or cluster, or is damaged.
    """
    folder = settings.data_folder / "consensus"
    storage = FileStorage(folder, settings.cluster, settings.host)
    addresses = {peer.host: f"tcp://{peer.ip}:{peer.port}" for peer in settings.control}
    return ReplicatedLog(
        storage,
        ConfigStateMachine(state),
        FixedAddresses(addresses),
        codec,
        _ControlLogListener(settings.host, timeline, on_log_change),
        # Random numbers that no two hosts share, for the times until an election.
        SystemRandom(),
        # Number of applied entries after which a new snapshot is made.
        LogOptions(snapshot_entries=settings.snapshot_entries),
    )
