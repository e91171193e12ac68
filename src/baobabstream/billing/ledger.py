"""Durable grow-only set of bills on one control host."""

import asyncio
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from functools import partial
from hashlib import blake2b
from pathlib import Path
from typing import TypeVar

from baobabstream.billing.bill_index import BillIndex
from baobabstream.billing.ledger_file import LedgerFile
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError, RequestRefused, StorageError
from baobabstream.wire.messages import Bill

__all__ = ["AccountTotal", "BillPage", "Ledger"]

SCAN_BYTES = 256 * 1024
# Bounds the time of one filtered read; the page then tells where to go on.
MAX_SCAN_BYTES = 16 * 1024 * 1024
MAX_BILL_BYTES = 16 * 1024
_NANO = 1_000_000_000

ResultT = TypeVar("ResultT")

# A bill and the body of its record.
_Encoded = tuple[Bill, bytes]


@dataclass(slots=True)
class AccountTotal:
    """Sum of a client account's bills; cost in billionths, so that it does not depend on order."""

    bills: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost_nano: int = 0

    def add(self, bill: Bill, sign: int) -> None:
        """Add or, with sign -1, take away a bill."""
        self.bills += sign
        self.prompt_tokens += sign * bill.prompt_tokens
        self.output_tokens += sign * bill.output_tokens
        self.cost_nano += sign * round(bill.cost * _NANO)


@dataclass(frozen=True, slots=True)
class BillPage:
    """Part of a ledger; ``next_offset`` is where to go on."""

    bills: tuple[Bill, ...]
    next_offset: int
    complete: bool


class Ledger:
    """Bills keyed by client account and request identity.

    Of two bills with one key, all hosts keep the one that comes first by wall time, host and
    content.

    Parameters
    ----------
    path
        File of the ledger; created if missing.
    on_failure
        Called once when writing or syncing fails. What reached the disk is then not known, so the
        ledger takes no more bills.

    Attributes
    ----------
    digest
        Exclusive or of the hashes of all bills; equal for equal sets.

    Raises
    ------
    StorageError
        ``LOG_DAMAGED`` with file and offset if a record before the last is damaged.

    Notes
    -----
    The file is read and written by one thread, which also owns the index. Puts that wait while
    the file is synced are written together.
    """

    def __init__(
        self, path: Path, on_failure: Callable[[StorageError], None] = lambda _: None
    ) -> None:
        self._file = LedgerFile(path)
        self._index = BillIndex()
        self._totals: dict[str, AccountTotal] = {}
        self.digest = 0
        for offset, body, bill in self._file.load():
            self._place(offset, body, bill)
        self._thread = ThreadPoolExecutor(1, "ledger")
        self._waiting: list[tuple[list[_Encoded], asyncio.Future[int]]] = []
        self._on_failure = on_failure
        self._failure: StorageError | None = None
        self._writer: asyncio.Task[None] | None = None

    def __len__(self) -> int:
        return len(self._index)

    @property
    def ledger_id(self) -> str:
        """Identity of the ledger's file."""
        return self._file.ledger_id

    @property
    def end(self) -> int:
        """Offset after the last record."""
        return self._file.end

    @property
    def tail_was_cut(self) -> bool:
        """Whether a torn record was cut off at the start."""
        return self._file.tail_was_cut

    @property
    def index_bytes(self) -> int:
        """Memory of the index in bytes."""
        return self._index.size_bytes

    def totals(self) -> dict[str, AccountTotal]:
        """Return the sums by client account."""
        return self._totals

    async def put(self, bills: tuple[Bill, ...]) -> int:
        """Store bills durably and return how many were new.

        Raises
        ------
        StorageError
            ``DISK_FAILED`` if the bills could not be synced.
        PeerError
            ``MESSAGE_MALFORMED`` if a bill is too large.
        """
        if self._failure is not None:
            raise self._failure
        encoded = [(bill, self._file.encode(bill)) for bill in bills]
        if any(len(body) > MAX_BILL_BYTES for _, body in encoded):
            raise PeerError(ResultCode.MESSAGE_MALFORMED, f"a bill is over {MAX_BILL_BYTES} bytes")
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._waiting.append((encoded, future))
        if self._writer is None or self._writer.done():
            self._writer = asyncio.create_task(self._write())
        return await future

    async def read(self, offset: int, limit_bytes: int = SCAN_BYTES) -> BillPage:
        """Return the bills from an offset on, at least one if there is any."""
        start = max(offset, self._file.start)
        return await self._run(partial(self._page, start, limit_bytes, "", 0, len(self)))

    async def page(self, client_account: str, since_ms: int, after: int, limit: int) -> BillPage:
        """Return bills of an account (or all, if empty) not older than a wall time.

        Parameters
        ----------
        client_account, since_ms
            Filter.
        after
            Offset that an earlier page gave, or 0.
        limit
            Most bills returned.

        Raises
        ------
        RequestRefused
            ``CHANGE_INVALID`` if no page gave the offset.
        """
        found: list[Bill] = []
        start = offset = after or self._file.start
        if not await self._run(partial(self._file.is_boundary, start)):
            raise RequestRefused(ResultCode.CHANGE_INVALID, f"after: no page ended at {after}")
        while offset < self.end and len(found) < limit and offset - start < MAX_SCAN_BYTES:
            left = limit - len(found)
            part = await self._run(
                partial(self._page, offset, SCAN_BYTES, client_account, since_ms, left)
            )
            found += part.bills
            offset = part.next_offset
        return BillPage(tuple(found), offset, offset >= self.end)

    async def close(self) -> None:
        """Finish the writes and close the file."""
        if self._writer is not None:
            await self._writer
        self._thread.shutdown()
        self._file.close()

    async def _run(self, work: Callable[[], ResultT]) -> ResultT:
        return await asyncio.get_running_loop().run_in_executor(self._thread, work)

    async def _write(self) -> None:
        while self._waiting:
            waiting, self._waiting = self._waiting, []
            try:
                batches = [bills for bills, _ in waiting]
                counts = await self._run(partial(self._commit, batches))
            except StorageError as error:
                self._fail(error, [future for _, future in waiting + self._waiting])
                return
            for (_, future), count in zip(waiting, counts, strict=True):
                if not future.done():
                    future.set_result(count)

    def _fail(self, error: StorageError, futures: list[asyncio.Future[int]]) -> None:
        self._failure = error
        self._waiting = []
        for future in futures:
            if not future.done():
                future.set_exception(error)
        self._on_failure(error)

    def _commit(self, batches: list[list[_Encoded]]) -> list[int]:
        """Write the bills of several puts with one sync and return the new ones of each."""
        chosen: dict[tuple[str, str], _Encoded] = {}
        counts = []
        for bills in batches:
            count = 0
            for bill, body in bills:
                key = _key(bill)
                stored = chosen.get(key) or self._stored(key)
                if stored is None:
                    count += 1
                if stored is None or _order(bill, body) < _order(*stored):
                    chosen[key] = bill, body
            counts.append(count)
        if chosen:
            offsets = self._file.append([body for _, body in chosen.values()])
            for offset, (bill, body) in zip(offsets, chosen.values(), strict=True):
                self._place(offset, body, bill)
        return counts

    def _place(self, offset: int, body: bytes, bill: Bill) -> None:
        """Add a record to the index unless a bill with its key comes first."""
        key_hash = _key_hash(_key(bill))
        known = self._find(_key(bill))
        if known is None:
            self._index.add(key_hash, offset)
        else:
            old_offset, old_bill, old_body = known
            if _order(old_bill, old_body) <= _order(bill, body):
                return
            self._index.replace(key_hash, old_offset, offset)
            self._count(old_bill, old_body, -1)
        self._count(bill, body, 1)

    def _count(self, bill: Bill, body: bytes, sign: int) -> None:
        self.digest ^= _hash(body)
        self._totals.setdefault(bill.client_account, AccountTotal()).add(bill, sign)

    def _stored(self, key: tuple[str, str]) -> tuple[Bill, bytes] | None:
        known = self._find(key)
        return known[1:] if known is not None else None

    def _find(self, key: tuple[str, str]) -> tuple[int, Bill, bytes] | None:
        for offset in self._index.offsets(_key_hash(key)):
            body, bill = self._file.read(offset)
            if _key(bill) == key:
                return offset, bill, body
        return None

    def _page(
        self, offset: int, limit_bytes: int, client_account: str, since_ms: int, limit: int
    ) -> BillPage:
        found: list[Bill] = []
        next_offset = offset
        for start, _, bill, following in self._file.scan(offset, limit_bytes):
            if len(found) >= limit:
                break
            next_offset = following
            wanted = client_account in ("", bill.client_account)
            if wanted and bill.wall_time_ms >= since_ms and self._live(start, bill):
                found.append(bill)
        return BillPage(tuple(found), next_offset, next_offset >= self.end)

    def _live(self, offset: int, bill: Bill) -> bool:
        """Return False for a record that another one with the same key has replaced."""
        return offset in self._index.offsets(_key_hash(_key(bill)))


def _key(bill: Bill) -> tuple[str, str]:
    return bill.client_account, bill.request_id


def _order(bill: Bill, body: bytes) -> tuple[int, str, bytes]:
    return bill.wall_time_ms, bill.host, body


def _key_hash(key: Iterable[str]) -> int:
    return _hash("\n".join(key).encode())


def _hash(data: bytes) -> int:
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")
