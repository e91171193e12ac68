"""Append-only file of bills.

The file starts with a magic number and the random identity of the ledger. Records follow, each with
a header that holds sizes and checksums, and a body that holds one bill. A record is torn if a crash
interrupted its writing, which is possible only at the end of the file. A record is damaged if its
bytes changed after it was written.

An offset is the number of a byte in the file, and a position the number of a byte in bytes read
from it.
"""

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

# First bytes of each ledger file, by which another file is recognised.
_FILE_MAGIC = b"BBLEDG01"
_LEDGER_ID_BYTES = 16
_FIRST_RECORD_OFFSET = len(_FILE_MAGIC) + _LEDGER_ID_BYTES
# Record header: size of the body in bytes, CRC-32 of the body, and CRC-32 of these two fields. The
# last one distinguishes a torn record from one with a damaged size. Each field is an unsigned
# 32-bit integer in big-endian order.
_RECORD_HEADER = Layout(">III")
# The first two of these fields.
_SIZE_AND_BODY_CHECKSUM = Layout(">II")
# Upper bound of the size of a record. A scan reads this many bytes beyond its limit, so that the
# last record is complete.
MAX_RECORD_BYTES = 64 * 1024


class LedgerFile:
    """Append-only file of checksummed bill records.

    Parameters
    ----------
    path
        Path of the file; it is created if missing.

    Attributes
    ----------
    ledger_id
        Random identity of this file in hexadecimal. An offset is valid only for the file with the
        identity that it came with.
    start_offset
        Offset of the first record.
    end_offset
        Offset after the last record.
    tail_was_cut
        Whether ``load`` removed a torn record at the end of the file.

    Raises
    ------
    StorageError
        ``LOG_DAMAGED`` with file and offset if the file header is damaged, or if a record is
        damaged and others follow it. A torn record at the end stems from a crash during a write,
        was never acknowledged, and is removed.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._encoder = Encoder()
        self._decoder = Decoder(Bill)
        self.tail_was_cut = False
        if not path.exists() or path.stat().st_size < _FIRST_RECORD_OFFSET:
            self._create()
        self._descriptor = os.open(path, os.O_RDWR)
        header = os.pread(self._descriptor, _FIRST_RECORD_OFFSET, 0)
        if not header.startswith(_FILE_MAGIC):
            raise StorageError(ResultCode.LOG_DAMAGED, f"{path}: invalid file header at byte 0")
        self.ledger_id = header[len(_FILE_MAGIC) :].hex()
        self.start_offset = _FIRST_RECORD_OFFSET
        self.end_offset = os.fstat(self._descriptor).st_size

    def encode(self, bill: Bill) -> bytes:
        """Return the record body of a bill; equal bills have equal bodies."""
        return self._encoder.encode(bill)

    def append(self, bodies: list[bytes]) -> list[int]:
        """Append a record for each body, sync the file and return the offsets of the records.

        Raises
        ------
        StorageError
            ``DISK_FAILED`` if writing or syncing fails.
        """
        records = [_encode_record(body) for body in bodies]
        offsets = []
        next_offset = self.end_offset
        for record in records:
            offsets.append(next_offset)
            next_offset += len(record)
        try:
            os.pwrite(self._descriptor, b"".join(records), self.end_offset)
            os.fsync(self._descriptor)
        except OSError as error:
            raise StorageError(ResultCode.DISK_FAILED, f"{self._path}: {error}") from error
        self.end_offset = next_offset
        return offsets

    def read(self, offset: int) -> tuple[bytes, Bill]:
        """Return body and decoded bill of the record at an offset, without checking it."""
        size_bytes = _RECORD_HEADER.unpack(os.pread(self._descriptor, _RECORD_HEADER.size, offset))[
            0
        ]
        body = os.pread(self._descriptor, size_bytes, offset + _RECORD_HEADER.size)
        return body, self._decoder.decode(body)

    def scan(self, offset: int, limit_bytes: int) -> Iterator[tuple[int, bytes, Bill, int]]:
        """Yield the records that start within ``limit_bytes`` bytes from an offset.

        Each item holds the offset of a record, its body, its bill and the offset after it. Raises
        StorageError with ``LOG_DAMAGED`` at a damaged record.
        """
        data = os.pread(self._descriptor, limit_bytes + MAX_RECORD_BYTES, offset)
        position = 0
        while position < limit_bytes and offset + position < self.end_offset:
            body = _body_at(data, position)
            if body is None:
                damage_offset = offset + position
                raise StorageError(
                    ResultCode.LOG_DAMAGED, f"{self._path}: record at byte {damage_offset}"
                )
            record_offset = offset + position
            position += _RECORD_HEADER.size + len(body)
            yield record_offset, body, self._decoder.decode(body), offset + position

    def is_boundary(self, offset: int) -> bool:
        """Return whether a valid record starts at an offset, or the file ends there."""
        if not self.start_offset <= offset < self.end_offset:
            return offset == self.end_offset
        data = os.pread(self._descriptor, _RECORD_HEADER.size + MAX_RECORD_BYTES, offset)
        return _body_at(data, 0) is not None

    def load(self) -> Iterator[tuple[int, bytes, Bill]]:
        """Yield offset, body and bill of all records; remove a torn record at the end.

        Raises StorageError with ``LOG_DAMAGED`` if another record is damaged.
        """
        # The file is mapped rather than read, since it may be larger than the memory. The length 0
        # maps all of it, so that positions are also file offsets.
        data = mmap(self._descriptor, 0, access=ACCESS_READ)
        position = self.start_offset
        while position < len(data):
            body = _body_at(data, position)
            if body is None:
                self._cut_torn_record(data, position)
                return
            try:
                bill = self._decoder.decode(body)
            except DecodeError as error:
                detail = f"{self._path}: record at byte {position}: {error}"
                raise StorageError(ResultCode.LOG_DAMAGED, detail) from error
            yield position, body, bill
            position += _RECORD_HEADER.size + len(body)

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def _create(self) -> None:
        """Write a new file with a random identity and no records, and sync it.

        It replaces a file with an incomplete header: such a file was never synced, so none of its
        bills was acknowledged.
        """
        temporary_path = self._path.with_suffix(".new")
        with temporary_path.open("wb") as file:
            file.write(_FILE_MAGIC + secrets.token_bytes(_LEDGER_ID_BYTES))
            file.flush()
            os.fsync(file.fileno())
        temporary_path.rename(self._path)
        # Syncing the directory makes the new name of the file durable.
        directory_descriptor = os.open(self._path.parent, os.O_RDONLY)
        os.fsync(directory_descriptor)
        os.close(directory_descriptor)

    def _cut_torn_record(self, data: bytes | mmap, position: int) -> None:
        """Truncate the file at an invalid record and give it a new identity.

        Raises StorageError with ``LOG_DAMAGED`` if a valid record follows, since the record is then
        damaged rather than torn. ``data`` is the whole file.
        """
        later_positions = range(position + 1, len(data) - _RECORD_HEADER.size)
        if any(_body_at(data, later_position) for later_position in later_positions):
            detail = f"{self._path}: record at byte {position}"
            raise StorageError(ResultCode.LOG_DAMAGED, detail)
        # If the record was damaged after it had been synced, other hosts may have read it and would
        # continue at an offset after it. The new identity makes them read this file from the start.
        new_ledger_id = secrets.token_bytes(_LEDGER_ID_BYTES)
        os.pwrite(self._descriptor, new_ledger_id, len(_FILE_MAGIC))
        os.ftruncate(self._descriptor, position)
        os.fsync(self._descriptor)
        self.ledger_id = new_ledger_id.hex()
        self.end_offset = position
        self.tail_was_cut = True


def _encode_record(body: bytes) -> bytes:
    """Return the record header, with three fields of 4 bytes each, followed by the body."""
    size_and_checksum = _SIZE_AND_BODY_CHECKSUM.pack(len(body), zlib.crc32(body))
    return size_and_checksum + zlib.crc32(size_and_checksum).to_bytes(4, "big") + body


def _body_at(data: bytes | mmap, position: int) -> bytes | None:
    """Return the body of the record at a position of ``data``.

    Returns None if the record is incomplete, damaged or empty.
    """
    body_start = position + _RECORD_HEADER.size
    if body_start > len(data):
        return None
    size_bytes, body_checksum, header_checksum = _RECORD_HEADER.unpack_from(data, position)
    if zlib.crc32(data[position : position + _SIZE_AND_BODY_CHECKSUM.size]) != header_checksum:
        return None
    body = data[body_start : body_start + size_bytes]
    if not size_bytes or len(body) < size_bytes or zlib.crc32(body) != body_checksum:
        return None
    return body
