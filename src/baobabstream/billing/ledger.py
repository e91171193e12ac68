"""Durable grow-only set of bills on one control host."""

import os
import zlib
from pathlib import Path

from msgspec.msgpack import Decoder, Encoder

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import StorageError
from baobabstream.wire.messages import Bill

__all__ = ["Ledger"]

_HEADER_BYTES = 8


class Ledger:
    """Bills keyed by client account and request identity.

    Each record in the file is a length and a CRC-32, four bytes each, then the bill.

    Parameters
    ----------
    path
        File of the ledger; created if missing.

    Raises
    ------
    StorageError
        ``LOG_DAMAGED`` with file and offset if a record before the last is damaged. A torn last
        record is cut off.
    """

    def __init__(self, path: Path) -> None:
        self._path = path
        self._encoder = Encoder()
        self._bills: dict[tuple[str, str], Bill] = {}
        self._load()
        self._file = path.open("ab", buffering=0)

    def put(self, bills: tuple[Bill, ...]) -> int:
        """Store bills durably and return how many were new.

        A bill whose key is present is ignored: each request is billed once.
        """
        new = {self._key(bill): bill for bill in bills if self._key(bill) not in self._bills}
        if not new:
            return 0
        try:
            self._file.write(b"".join(self._record(bill) for bill in new.values()))
            os.fsync(self._file.fileno())
        except OSError as error:
            raise StorageError(ResultCode.DISK_FAILED, f"{self._path}: {error}") from error
        self._bills |= new
        return len(new)

    def bills(self, start: int = 0) -> tuple[Bill, ...]:
        """Return the bills in the order in which they were stored, from an index on."""
        return tuple(self._bills.values())[start:]

    def __len__(self) -> int:
        return len(self._bills)

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    @staticmethod
    def _key(bill: Bill) -> tuple[str, str]:
        return bill.client_account, bill.request_id

    def _record(self, bill: Bill) -> bytes:
        body = self._encoder.encode(bill)
        return len(body).to_bytes(4, "big") + zlib.crc32(body).to_bytes(4, "big") + body

    def _load(self) -> None:
        if not self._path.exists():
            self._path.touch()
            return
        data = self._path.read_bytes()
        decoder = Decoder(Bill)
        offset = 0
        while offset < len(data):
            size_bytes = int.from_bytes(data[offset : offset + 4], "big")
            end = offset + _HEADER_BYTES + size_bytes
            body = data[offset + _HEADER_BYTES : end]
            checksum = int.from_bytes(data[offset + 4 : offset + _HEADER_BYTES], "big")
            if end > len(data) or zlib.crc32(body) != checksum:
                self._cut_torn_tail(offset, end, len(data))
                return
            bill = decoder.decode(body)
            self._bills[self._key(bill)] = bill
            offset = end

    def _cut_torn_tail(self, offset: int, end: int, size_bytes: int) -> None:
        if end < size_bytes:
            raise StorageError(ResultCode.LOG_DAMAGED, f"{self._path}: record at byte {offset}")
        os.truncate(self._path, offset)
