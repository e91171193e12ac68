"""Interface of the durable part of a member, and a storage in memory for tests."""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from baobabstream.consensus.entry_list import EntryList
from baobabstream.consensus.records import DurableState, Save, Snapshot
from baobabstream.wire.consensus_messages import Member

__all__ = ["LogStorage", "MemoryStorage", "StoredState"]


class StoredState:
    """Durable state in memory, changed by saves in order.

    Parameters
    ----------
    state
        State to start from.
    """

    def __init__(self, state: DurableState) -> None:
        self.vote = state.vote
        self.snapshot = state.snapshot
        self.log = EntryList(state.base_index, state.base_term, state.entries)

    def apply(self, save: Save) -> None:
        """Follow one save."""
        if save.vote is not None:
            self.vote = save.vote
        if save.entries:
            self.log.replace_suffix(save.entries)
        if save.snapshot is not None:
            self.install_snapshot(save.snapshot, save.base_index, save.base_term)

    def install_snapshot(self, snapshot: Snapshot, base_index: int, base_term: int) -> None:
        """Keep a snapshot and the entries after a base, if the base is on this log."""
        self.snapshot = snapshot
        if self.log.term_at(base_index) == base_term:
            self.log.discard_through(base_index)
        else:
            self.log.reset(base_index, base_term)

    def durable_state(self) -> DurableState:
        """Return the state as loaded after a restart."""
        log = self.log
        return DurableState(self.vote, self.snapshot, log.base_index, log.base_term, tuple(log))


class LogStorage(ABC):
    """Durable state of one member. All methods may block; one caller at a time."""

    @property
    @abstractmethod
    def member(self) -> Member:
        """Identity that was made together with this storage."""

    @abstractmethod
    def load(self) -> DurableState:
        """Return what the storage holds."""

    @abstractmethod
    def save(self, saves: Sequence[Save]) -> None:
        """Make changes durable, in order, before returning.

        Raises
        ------
        StorageError
            ``DISK_FAILED``; the storage must not be used any more.
        """

    @abstractmethod
    def close(self) -> None:
        """Release files and locks."""


class MemoryStorage(LogStorage):
    """Storage in memory that can lose what was written but not synced.

    Parameters
    ----------
    member
        Identity of the storage.
    """

    def __init__(self, member: Member) -> None:
        self._member = member
        self._synced_state = StoredState(DurableState())
        self._unsynced: list[Save] = []

    @property
    def member(self) -> Member:
        """Identity of the storage."""
        return self._member

    def load(self) -> DurableState:
        """Return the synced state."""
        return self._synced_state.durable_state()

    def save(self, saves: Sequence[Save]) -> None:
        """Write and sync."""
        self.write(saves)
        self.sync()

    def write(self, saves: Sequence[Save]) -> None:
        """Keep changes that a crash loses until the next sync."""
        self._unsynced.extend(saves)

    def sync(self, count: int | None = None) -> None:
        """Make the first ``count`` written changes durable, or all of them."""
        for save in self._unsynced[:count]:
            self._synced_state.apply(save)
        del self._unsynced[:count]

    def crash(self) -> None:
        """Lose what was not synced."""
        self._unsynced.clear()

    def close(self) -> None:
        """Do nothing."""
