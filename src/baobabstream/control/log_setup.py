"""Opens the replicated log of a control daemon."""

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
from baobabstream.telemetry.timeline import EventKind, TimeLine
from baobabstream.wire.codec import WireCodec

__all__ = ["open_log"]

_log = get_logger("control")


class _DaemonListener(LogListener):
    def __init__(self, host: str, timeline: TimeLine, notify: Callable[[], None]) -> None:
        self._host = host
        self._timeline = timeline
        self._notify = notify

    def on_applied(self) -> None:
        self._notify()

    def on_leader_changed(self, change: LeaderChanged) -> None:
        if change.is_leader:
            _log.info("This host leads in term %d.", change.term)
            self._timeline.emit(EventKind.LEADER_ELECTED, detail=f"term {change.term}")
        elif change.lost_leadership:
            _log.warning("This host no longer leads; term %d.", change.term)
            self._timeline.emit(EventKind.LEADER_LOST, detail=f"term {change.term}")
        self._notify()

    def on_storage_failed(self, error: StorageError) -> None:
        end_on_disk_failure(_log, "log", error)


def open_log(
    settings: ControlSettings,
    state: ConfigState,
    codec: WireCodec,
    timeline: TimeLine,
    notify: Callable[[], None],
) -> ReplicatedLog:
    """Open the log below the data folder.

    Parameters
    ----------
    settings
        Settings of this control host.
    state
        State that the log builds.
    codec
        Codec of this cluster.
    timeline
        Receives the leader events.
    notify
        Called after each applied batch and on leader changes.

    Raises
    ------
    StorageError
        If the folder is in use, foreign or damaged.
    """
    folder = settings.data_folder / "consensus"
    storage = FileStorage(folder, settings.cluster, settings.host)
    addresses = {peer.host: f"tcp://{peer.ip}:{peer.port}" for peer in settings.control}
    return ReplicatedLog(
        storage,
        ConfigStateMachine(state),
        FixedAddresses(addresses),
        codec,
        _DaemonListener(settings.host, timeline, notify),
        SystemRandom(),
        LogOptions(snapshot_entries=settings.snapshot_entries),
    )
