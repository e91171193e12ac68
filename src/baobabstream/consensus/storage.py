"""Interface of the durable storage of a Raft member, and a storage in memory for tests.

Durable state is what a member must find again after a restart: its vote, its latest snapshot and
its log. The log is a list of entries, each with an index, its place in the log, and a term, the
number of the period of leadership in which it was written. A vote record holds the current term and
the member that this one voted for in it. A snapshot is the encoded state that replaces the entries
up to its index. A save is one numbered change of the durable state. A sync makes written data
durable; data that was written but not synced is lost in a crash. The base of a log is the position
(index and term) just before the first entry that is kept.
"""

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
        """Apply one save; parts of the state that it does not contain stay as they are."""
        if save.vote is not None:
            self.vote = save.vote
        if save.entries:
            self.log.replace_suffix(save.entries)
        if save.snapshot is not None:
            self.install_snapshot(save.snapshot, save.base_index, save.base_term)

    def install_snapshot(self, snapshot: Snapshot, base_index: int, base_term: int) -> None:
        """Adopt a snapshot and a new base of the log.

        The entries after the base are kept only if the log contains the base. Otherwise they
        belong to another history than the snapshot, and all entries are dropped.
        """
        self.snapshot = snapshot
        if self.log.term_at(base_index) == base_term:
            self.log.discard_through(base_index)
        else:
            self.log.reset(base_index, base_term)

    def durable_state(self) -> DurableState:
        """Return the state as a restart would load it."""
        log = self.log
        return DurableState(self.vote, self.snapshot, log.base_index, log.base_term, tuple(log))


class LogStorage(ABC):
    """Durable state of one member.

    All methods may block. Only one of them may run at a time.
    """

    @property
    @abstractmethod
    def member(self) -> Member:
        """Member that this storage belongs to; its id is created together with the storage."""

    @abstractmethod
    def load(self) -> DurableState:
        """Return the stored state."""

    @abstractmethod
    def save(self, saves: Sequence[Save]) -> None:
        """Make changes durable, in order, before returning.

        Raises
        ------
        StorageError
            ``DISK_FULL`` if the disk is full; the same saves may be tried again.
            ``DISK_FAILED`` for other errors; the storage must not be used any more.
        """

    @abstractmethod
    def close(self) -> None:
        """Release files and locks."""


class MemoryStorage(LogStorage):
    """Storage in memory whose writes are lost in a crash unless they were synced.

    Parameters
    ----------
    member
        Member that the storage belongs to.
    """

    def __init__(self, member: Member) -> None:
        self._member = member
        self._synced_state = StoredState(DurableState())
        self._unsynced: list[Save] = []

    @property
    def member(self) -> Member:
        """Member that the storage belongs to."""
        return self._member

    def load(self) -> DurableState:
        """Return the synced state."""
        return self._synced_state.durable_state()

    def save(self, saves: Sequence[Save]) -> None:
        """Write changes and sync them."""
        self.write(saves)
        self.sync()

    def write(self, saves: Sequence[Save]) -> None:
        """Add changes to those that are not synced; a crash before the next sync loses them."""
        self._unsynced.extend(saves)

    def sync(self, count: int | None = None) -> None:
        """Make the first ``count`` unsynced changes durable, or all of them if it is None."""
        for save in self._unsynced[:count]:
            self._synced_state.apply(save)
        del self._unsynced[:count]

    def crash(self) -> None:
        """Drop all changes that were not synced."""
        self._unsynced.clear()

    def close(self) -> None:
        """Do nothing: there are no files to close."""
