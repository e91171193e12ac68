"""Durable storage of a Raft member in the files of one folder.

A member takes part in the group that keeps the replicated log. An entry is one record of this log;
its index is its place in the log, and its term the number of the period of leadership in which it
was written. A vote record holds the current term and the member that this one voted for in it. A
snapshot is the encoded state that replaces the entries up to its index. The identity is the cluster
and the member that a folder belongs to. A save is one numbered change of the stored state. A sync
makes the operating system store written data on the disk.

The file ``log`` grows by one checksummed frame for each sync; the base of the log is the position
(index and term) just before its first entry. The files ``vote``, ``identity`` and
``snapshot-<index>`` each consist of one frame and are only replaced as a whole. A frame is a header
with checksums and a body, the encoded record. The file ``lock`` is empty; its lock keeps a second
process from the folder.
"""

import fcntl
import os
import uuid
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from errno import EDQUOT, ENOSPC
from pathlib import Path

from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, Encoder

from baobabstream.consensus.frames import decode_single_frame, encode_frame, iterate_frames
from baobabstream.consensus.records import DurableState, Save, Snapshot, VoteState
from baobabstream.consensus.storage import LogStorage, StoredState
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import StorageError
from baobabstream.wire.consensus_messages import LogEntry, Member

__all__ = ["FileStorage"]

# Number of snapshot files to keep; only the newest one is read.
_KEPT_SNAPSHOTS = 2


class _Identity(Struct, frozen=True):
    """Name of the cluster, and member, that a folder belongs to."""

    cluster: str
    member: Member


class _LogRecord(Struct, frozen=True, array_like=True):
    """Record of a log file.

    The first record of the file gives the base of the log and has no entries; the others carry
    entries, and their base is 0 and not used.
    """

    base_index: int
    base_term: int
    entries: tuple[LogEntry, ...] = ()


class FileStorage(LogStorage):
    """Log, vote, snapshots and identity of one member.

    Parameters
    ----------
    folder
        Folder of the log; created with a new identity if it does not exist.
    cluster, host
        Names of the cluster and host that the folder must belong to.

    Raises
    ------
    StorageError
        ``DATA_FOLDER_IN_USE`` if another process holds the lock, ``DATA_FOLDER_FOREIGN`` if the
        folder belongs to another cluster or host, ``LOG_DAMAGED`` if a file is damaged or
        missing, ``DISK_FAILED`` if a file cannot be written.
    """

    def __init__(self, folder: Path, cluster: str, host: str) -> None:
        self._folder = folder
        self._encoder = Encoder()
        self._log_path = folder / "log"
        self._vote_path = folder / "vote"
        self._identity_path = folder / "identity"
        self._has_failed = False
        # Numbers of the last change that the state in memory has, and that the files have.
        self._applied_sequence = 0
        self._written_sequence = 0
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._lock_descriptor = self._acquire_lock()
        except OSError as error:
            raise StorageError(ResultCode.DISK_FAILED, f"{folder}: {error}") from error
        try:
            if not self._identity_path.exists():
                self._create_files(cluster, host)
            self._identity = self._check_identity(cluster, host)
            self._current_state = StoredState(self._load_files())
            self._log_descriptor = os.open(self._log_path, os.O_WRONLY | os.O_APPEND)
        except StorageError:
            os.close(self._lock_descriptor)
            raise
        except OSError as error:
            os.close(self._lock_descriptor)
            raise StorageError(ResultCode.DISK_FAILED, f"{folder}: {error}") from error

    @property
    def member(self) -> Member:
        """Member that the folder belongs to; the identity is created together with the folder."""
        return self._identity.member

    def load(self) -> DurableState:
        """Return the stored state."""
        return self._current_state.durable_state()

    def save(self, saves: Sequence[Save]) -> None:
        """Write changes and sync them; consecutive entries share one sync, since each takes long.

        Raises
        ------
        StorageError
            ``DISK_FULL`` if the disk is full, ``DISK_FAILED`` for other errors and ever after.

        Notes
        -----
        After ``DISK_FULL`` the record that was not written completely is removed. The same saves
        may be tried again; those that the files have by then are left out, since entries must not
        be written again after a snapshot that covers them.
        """
        if self._has_failed:
            raise StorageError(ResultCode.DISK_FAILED, f"{self._folder}: an earlier write failed")
        try:
            self._write_saves(saves)
        except _DiskFullError as error:
            raise StorageError(ResultCode.DISK_FULL, f"{self._folder}: {error}") from error
        except OSError as error:
            # After a failed sync the kernel may have dropped the data, so a second sync that
            # succeeds does not prove that the data is stored.
            self._has_failed = True
            raise StorageError(ResultCode.DISK_FAILED, f"{self._folder}: {error}") from error

    def close(self) -> None:
        """Close the files and release the lock."""
        os.close(self._log_descriptor)
        os.close(self._lock_descriptor)

    def _write_saves(self, saves: Sequence[Save]) -> None:
        """Write and sync changes in order, grouping consecutive entries into one record.

        A vote or a snapshot ends a group, so that the files never contain a later change without
        the earlier ones.
        """
        pending_entries: list[LogEntry] = []
        for save in saves:
            if save.sequence <= self._written_sequence:
                continue
            if save.vote is not None or save.snapshot is not None:
                self._append_to_log(pending_entries)
                self._written_sequence = save.sequence - 1
            if save.sequence > self._applied_sequence:
                self._current_state.apply(save)
                self._applied_sequence = save.sequence
            if save.vote is not None:
                self._replace_framed_file(self._vote_path, self._encoder.encode(save.vote))
            pending_entries.extend(save.entries)
            if save.snapshot is not None:
                self._append_to_log(pending_entries)
                self._write_snapshot(save.snapshot)
                self._rewrite_log()
                self._written_sequence = save.sequence
        self._append_to_log(pending_entries)
        self._written_sequence = saves[-1].sequence

    def _append_to_log(self, pending_entries: list[LogEntry]) -> None:
        """Append the pending entries to the log file as one record, sync it and clear the list.

        If the disk is full, the part of the record that was written is cut off again.
        """
        if not pending_entries:
            return
        # The base (0, 0) is not used in a record with entries.
        body = self._encoder.encode(_LogRecord(0, 0, tuple(pending_entries)))
        previous_size_bytes = os.fstat(self._log_descriptor).st_size
        try:
            _write_all(self._log_descriptor, encode_frame(body))
        except _DiskFullError:
            os.ftruncate(self._log_descriptor, previous_size_bytes)
            raise
        os.fdatasync(self._log_descriptor)
        pending_entries.clear()

    def _write_snapshot(self, snapshot: Snapshot) -> None:
        """Write a snapshot file and delete all but the newest snapshots."""
        # 20 digits, so that the order of the names is the order of the indexes.
        path = self._folder / f"snapshot-{snapshot.index:020d}"
        self._replace_framed_file(path, self._encoder.encode(snapshot))
        for old_path in self._snapshot_paths()[:-_KEPT_SNAPSHOTS]:
            old_path.unlink()

    def _rewrite_log(self) -> None:
        """Replace the log file by one with the current base and entries.

        This drops the entries that a snapshot covers. The open descriptor belongs to the old file,
        so the new one is opened.
        """
        log = self._current_state.log
        base_frame = encode_frame(self._encoder.encode(_LogRecord(log.base_index, log.base_term)))
        entries = tuple(log)
        # The base (0, 0) is not used in a record with entries.
        entries_frame = (
            encode_frame(self._encoder.encode(_LogRecord(0, 0, entries))) if entries else b""
        )
        self._replace_file(self._log_path, base_frame + entries_frame)
        os.close(self._log_descriptor)
        self._log_descriptor = os.open(self._log_path, os.O_WRONLY | os.O_APPEND)

    def _replace_framed_file(self, path: Path, body: bytes) -> None:
        """Replace a file by one frame with this body."""
        self._replace_file(path, encode_frame(body))

    def _replace_file(self, path: Path, data: bytes) -> None:
        """Replace a file atomically: write a temporary file, sync it and rename it.

        A crash leaves either the old file or the whole new one. Whatever fails because the disk is
        full may be tried again, since the temporary file is written anew.
        """
        temporary_path = path.with_name(f"{path.name}.new")
        with _disk_full_errors():
            descriptor = _open_for_writing(temporary_path)
            try:
                _write_all(descriptor, data)
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
            temporary_path.rename(path)
            self._sync_folder(self._folder)

    @staticmethod
    def _sync_folder(folder: Path) -> None:
        """Make the names of created and renamed files in a folder durable.

        A sync of a file alone does not cover its name.
        """
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def _acquire_lock(self) -> int:
        """Lock the folder for this process and return the descriptor that holds the lock.

        Raises ``DATA_FOLDER_IN_USE`` if another process holds it. The lock ends with the process.
        """
        # 0o600: only the owner may read and write the file.
        descriptor = os.open(self._folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            # LOCK_NB: fail at once instead of waiting for the other process.
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(descriptor)
            raise StorageError(ResultCode.DATA_FOLDER_IN_USE, str(self._folder)) from error
        return descriptor

    def _create_files(self, cluster: str, host: str) -> None:
        """Create the files of a new member.

        The identity is written last, so an interrupted creation is repeated at the next start.
        If there are entries or snapshots without an identity, the folder is damaged
        (``LOG_DAMAGED``).
        """
        if self._snapshot_paths():
            detail = f"{self._identity_path} is missing beside a snapshot"
            raise StorageError(ResultCode.LOG_DAMAGED, detail)
        # Item 2 is the entries; a log without any may be from an interrupted creation.
        if self._log_path.exists() and len(self._read_log()[2]) > 0:
            detail = f"{self._identity_path} is missing beside a log"
            raise StorageError(ResultCode.LOG_DAMAGED, detail)
        # The base (0, 0): the log starts with entry 1.
        self._replace_file(self._log_path, encode_frame(self._encoder.encode(_LogRecord(0, 0))))
        # Term 0 and no vote.
        self._replace_framed_file(self._vote_path, self._encoder.encode(VoteState()))
        # The member id is the host name and 12 random hexadecimal digits, so that a host whose disk
        # was lost gets another id.
        identity = _Identity(cluster, Member(f"{host}#{uuid.uuid4().hex[:12]}", host))
        self._replace_framed_file(self._identity_path, self._encoder.encode(identity))
        self._sync_folder(self._folder.parent)

    def _check_identity(self, cluster: str, host: str) -> _Identity:
        """Return the identity of the folder; raises ``DATA_FOLDER_FOREIGN`` if it is another's."""
        identity = self._decode_file(self._identity_path, _Identity)
        if (identity.cluster, identity.member.host) != (cluster, host):
            detail = (
                f"{self._folder} belongs to {identity.member.host} of cluster {identity.cluster}"
            )
            raise StorageError(ResultCode.DATA_FOLDER_FOREIGN, detail)
        return identity

    def _decode_file(self, path: Path, record_type):
        """Return the record of a file with one frame.

        ``record_type`` is its class. Raises ``LOG_DAMAGED`` if the file is missing or holds
        anything else.
        """
        if not path.exists():
            raise StorageError(ResultCode.LOG_DAMAGED, f"{path} is missing")
        body = decode_single_frame(path, path.read_bytes())
        try:
            return Decoder(record_type).decode(body)
        except DecodeError as error:
            raise StorageError(ResultCode.LOG_DAMAGED, f"{path}: {error}") from error

    def _snapshot_paths(self) -> list[Path]:
        """Return the snapshot files, oldest first, without temporary files (``.new``)."""
        paths = sorted(self._folder.glob("snapshot-*"))
        return [path for path in paths if not path.name.endswith(".new")]

    def _load_files(self) -> DurableState:
        """Return the state that the files contain, with the newest snapshot.

        Raises ``LOG_DAMAGED`` if entries are missing between the snapshot and the log.
        """
        vote = self._decode_file(self._vote_path, VoteState)
        base_index, base_term, entries = self._read_log()
        # ``Snapshot()`` has index 0, which means that there is none.
        stored = StoredState(DurableState(vote, Snapshot(), base_index, base_term, entries))
        paths = self._snapshot_paths()
        if paths:
            snapshot = self._decode_file(paths[-1], Snapshot)
            if stored.log.term_at(snapshot.index) == snapshot.term:
                stored.snapshot = snapshot
            else:
                # The process stopped after it wrote the snapshot and before it rewrote the log.
                stored.install_snapshot(snapshot, snapshot.index, snapshot.term)
        if stored.log.base_index > stored.snapshot.index:
            detail = f"{self._log_path} starts after the snapshot at {stored.snapshot.index}"
            raise StorageError(ResultCode.LOG_DAMAGED, detail)
        return stored.durable_state()

    def _read_log(self) -> tuple[int, int, tuple[LogEntry, ...]]:
        """Return base index, base term and entries of the log file; cut an incomplete last frame.

        Entries of a later record replace earlier ones from their first index on.
        """
        if not self._log_path.exists():
            raise StorageError(ResultCode.LOG_DAMAGED, f"{self._log_path} is missing")
        data = self._log_path.read_bytes()
        decoder = Decoder(_LogRecord)
        # None until the first record has given the base.
        state: StoredState | None = None
        # Byte offset of the record that is read; at the end, that of the incomplete last frame.
        start = 0
        for end, body in iterate_frames(self._log_path, data):
            try:
                record = decoder.decode(body)
            except DecodeError as error:
                raise self._damaged(start) from error
            if state is None:
                state = StoredState(
                    DurableState(base_index=record.base_index, base_term=record.base_term)
                )
            for entry in record.entries:
                # An entry must follow the last one or replace one after the base, without a gap.
                if not state.log.base_index < entry.index <= state.log.last_index + 1:
                    raise self._damaged(start)
                state.log.replace_suffix((entry,))
            start = end
        if state is None:
            # The file has not even one complete record, though it is created with one.
            raise self._damaged(0)
        if start < len(data):
            # Only whole records stay, so that the next one is appended directly after them.
            os.truncate(self._log_path, start)
            descriptor = os.open(self._log_path, os.O_WRONLY)
            os.fsync(descriptor)
            os.close(descriptor)
        log = state.log
        return log.base_index, log.base_term, tuple(log)

    def _damaged(self, offset: int) -> StorageError:
        """Return the error for a damaged record that starts ``offset`` bytes into the log file."""
        return StorageError(ResultCode.LOG_DAMAGED, f"{self._log_path}: record at byte {offset}")


class _DiskFullError(OSError):
    """A write failed since the disk is full; unlike a failed sync it may be tried again."""


# Errors of a disk without space, and of one whose share for this user is used up.
_DISK_FULL_NUMBERS = frozenset({ENOSPC, EDQUOT})


@contextmanager
def _disk_full_errors() -> Iterator[None]:
    """Raise ``_DiskFullError`` for the errors of a full disk."""
    try:
        yield
    except OSError as error:
        if error.errno in _DISK_FULL_NUMBERS and not isinstance(error, _DiskFullError):
            raise _DiskFullError(str(error)) from error
        raise


def _open_for_writing(path: Path) -> int:
    """Open an empty file for writing and return its descriptor."""
    # 0o600: only the owner may read and write the file.
    return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)


def _write_all(descriptor: int, data: bytes) -> None:
    """Write all bytes; raises ``_DiskFullError`` if the disk is full, perhaps after some bytes."""
    view = memoryview(data)
    with _disk_full_errors():
        while view:
            # The system may write fewer bytes than it was given, and returns their number.
            view = view[os.write(descriptor, view) :]
