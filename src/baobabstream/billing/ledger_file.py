"""File of a ledger: a header with the ledger's identity, then checksummed bills."""

import os
import secrets
import zlib
from collections.abc import Iterator
from mmap import ACCESS_READ, mmap
from pathlib import Path
from struct import Struct as Layout

from msgspec import DecodeError
from msgspec.msgpack import Decoder, Encoder

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import StorageError
from baobabstream.wire.messages import Bill

__all__ = ["LedgerFile"]

_MAGIC = b"BBLEDG01"
_ID_BYTES = 16
_START = len(_MAGIC) + _ID_BYTES
# Size of the body, checksum of the body, checksum of the two. The last tells a torn record from
# one whose size is damaged.
_HEADER = Layout(">III")
_SIZE_AND_CHECKSUM = Layout(">II")
MAX_RECORD_BYTES = 64 * 1024


class LedgerFile:
    """Append-only file of bills.

    Parameters
    ----------
    path
        The file; created if missing.

    Attributes
    ----------
    ledger_id
        Random identity of this file; offsets of another file mean nothing here.
    end
        Offset after the last record.
    tail_was_cut
        Whether a torn record was cut off when the file was opened.

    Raises
    ------
    StorageError
        ``LOG_DAMAGED`` with file and offset if a record is damaged and others follow it. What a
        crash tore off at the end was never acknowledged and is cut.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._encoder = Encoder()
        self._decoder = Decoder(Bill)
        self.tail_was_cut = False
        if not path.exists() or path.stat().st_size < _START:
            self._create()
        self._descriptor = os.open(path, os.O_RDWR)
        header = os.pread(self._descriptor, _START, 0)
        if not header.startswith(_MAGIC):
            raise StorageError(ResultCode.LOG_DAMAGED, f"{path}: the file header at byte 0")
        self.ledger_id = header[len(_MAGIC) :].hex()
        self.start = _START
        self.end = os.fstat(self._descriptor).st_size

    def encode(self, bill: Bill) -> bytes:
        """Return the body of a bill's record; equal bills have equal bodies."""
        return self._encoder.encode(bill)

    def append(self, bodies: list[bytes]) -> list[int]:
        """Write records, sync the file and return their offsets.

        Raises
        ------
        StorageError
            ``DISK_FAILED`` if writing or syncing fails.
        """
        records = [_record(body) for body in bodies]
        offsets = []
        end = self.end
        for record in records:
            offsets.append(end)
            end += len(record)
        try:
            os.pwrite(self._descriptor, b"".join(records), self.end)
            os.fsync(self._descriptor)
        except OSError as error:
            raise StorageError(ResultCode.DISK_FAILED, f"{self._path}: {error}") from error
        self.end = end
        return offsets

    def read(self, offset: int) -> tuple[bytes, Bill]:
        """Return body and bill of the record at an offset."""
        size_bytes = _HEADER.unpack(os.pread(self._descriptor, _HEADER.size, offset))[0]
        body = os.pread(self._descriptor, size_bytes, offset + _HEADER.size)
        return body, self._decoder.decode(body)

    def scan(self, offset: int, limit_bytes: int) -> Iterator[tuple[int, bytes, Bill, int]]:
        """Return offset, body, bill and next offset of the records in a part of the file."""
        data = os.pread(self._descriptor, limit_bytes + MAX_RECORD_BYTES, offset)
        position = 0
        while position < limit_bytes and offset + position < self.end:
            body = _body_at(data, position)
            if body is None:
                where = offset + position
                raise StorageError(ResultCode.LOG_DAMAGED, f"{self._path}: record at byte {where}")
            start = offset + position
            position += _HEADER.size + len(body)
            yield start, body, self._decoder.decode(body), offset + position

    def is_boundary(self, offset: int) -> bool:
        """Return whether a record starts at an offset, or the file ends there."""
        if not self.start <= offset < self.end:
            return offset == self.end
        data = os.pread(self._descriptor, _HEADER.size + MAX_RECORD_BYTES, offset)
        return _body_at(data, 0) is not None

    def load(self) -> Iterator[tuple[int, bytes, Bill]]:
        """Return all records; cuts a torn one at the end."""
        # Mapped, since a ledger may be larger than the memory.
        data = mmap(self._descriptor, 0, access=ACCESS_READ)
        position = self.start
        while position < len(data):
            body = _body_at(data, position)
            if body is None:
                self._cut(data, position)
                return
            try:
                bill = self._decoder.decode(body)
            except DecodeError as error:
                detail = f"{self._path}: record at byte {position}: {error}"
                raise StorageError(ResultCode.LOG_DAMAGED, detail) from error
            yield position, body, bill
            position += _HEADER.size + len(body)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def _create(self) -> None:
        # A header shorter than this was never synced, so no bill was acknowledged.
        temporary = self._path.with_suffix(".new")
        with temporary.open("wb") as file:
            file.write(_MAGIC + secrets.token_bytes(_ID_BYTES))
            file.flush()
            os.fsync(file.fileno())
        temporary.rename(self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        os.fsync(folder)
        os.close(folder)

    def _cut(self, data: bytes | mmap, position: int) -> None:
        following = range(position + 1, len(data) - _HEADER.size)
        if any(_body_at(data, later) for later in following):
            detail = f"{self._path}: record at byte {position}"
            raise StorageError(ResultCode.LOG_DAMAGED, detail)
        # Other hosts may have read what is cut, if the damage came after the sync. The new
        # identity makes them read this file from the start.
        identity = secrets.token_bytes(_ID_BYTES)
        os.pwrite(self._descriptor, identity, len(_MAGIC))
        os.ftruncate(self._descriptor, position)
        os.fsync(self._descriptor)
        self.ledger_id = identity.hex()
        self.end = position
        self.tail_was_cut = True


def _record(body: bytes) -> bytes:
    head = _SIZE_AND_CHECKSUM.pack(len(body), zlib.crc32(body))
    return head + zlib.crc32(head).to_bytes(4, "big") + body


def _body_at(data: bytes | mmap, position: int) -> bytes | None:
    """Return the body of the record at a position, or None if there is no whole record."""
    head_end = position + _HEADER.size
    if head_end > len(data):
        return None
    size_bytes, checksum, head_checksum = _HEADER.unpack_from(data, position)
    if zlib.crc32(data[position : position + _SIZE_AND_CHECKSUM.size]) != head_checksum:
        return None
    body = data[head_end : head_end + size_bytes]
    if not size_bytes or len(body) < size_bytes or zlib.crc32(body) != checksum:
        return None
    return body
