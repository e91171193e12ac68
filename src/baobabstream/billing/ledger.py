"""Durable grow-only set of bills on one control host.

A bill records the tokens and the cost of one answered request. Its key is the client account and
the identity of the request. Several bills may be reported for one key; every control host then
selects the same one, whatever the order in which they arrive. This one is valid, and the others are
replaced; their records stay in the file. A page is a part of the ledger that one read returns. A
torn record is one whose writing was interrupted by a crash.
"""

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

# Bytes of the file that one step of a read scans.
SCAN_CHUNK_BYTES = 256 * 1024
# Limit on the bytes that one page may scan. It bounds the time of a filtered read that matches few
# bills; the page then ends early, and the next one continues where it stopped.
MAX_PAGE_SCAN_BYTES = 16 * 1024 * 1024
# Largest size of an encoded bill.
MAX_BILL_BYTES = 16 * 1024
# Costs are summed as integers in billionths of the unit of ``Bill.cost``.
_NANO_PER_UNIT = 1_000_000_000

ResultT = TypeVar("ResultT")

# A bill and its encoded form, the body of its record in the file.
_EncodedBill = tuple[Bill, bytes]


@dataclass(slots=True)
class AccountTotal:
    """Totals of the bills of one client account.

    Parameters
    ----------
    bills
        Number of bills.
    prompt_tokens, output_tokens
        Sums of their tokens.
    cost_nano
        Sum of their costs in billionths of the unit of ``Bill.cost``. The sum of integers does not
        depend on the order of the bills.
    """

    bills: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cost_nano: int = 0

    def add(self, bill: Bill, sign: int) -> None:
        """Add a bill to the totals if ``sign`` is 1, or subtract it if ``sign`` is -1."""
        self.bills += sign
        self.prompt_tokens += sign * bill.prompt_tokens
        self.output_tokens += sign * bill.output_tokens
        self.cost_nano += sign * round(bill.cost * _NANO_PER_UNIT)


@dataclass(frozen=True, slots=True)
class BillPage:
    """Some bills of a ledger in the order of the file.

    Parameters
    ----------
    bills
        The bills.
    next_offset
        File offset in bytes at which the next page starts.
    is_complete
        Whether the page reaches the end of the ledger.
    """

    bills: tuple[Bill, ...]
    next_offset: int
    is_complete: bool


class Ledger:
    """Set of bills with one bill per key, stored in a file.

    Of several bills with the same key, the one that comes first by wall time, then host, then
    encoded content is valid. This rule gives the same result on all hosts.

    Parameters
    ----------
    path
        Path of the ledger file; it is created if missing.
    on_failure
        Called once when writing or syncing fails. It is then unknown which data reached the disk,
        so the ledger accepts no more bills.

    Attributes
    ----------
    digest
        Exclusive or of the 64-bit hashes of all valid bills; equal sets have equal digests.

    Raises
    ------
    StorageError
        ``LOG_DAMAGED`` with file and offset if a record before the last is damaged.

    Notes
    -----
    After loading, a single thread reads and writes the file and uses the index, so that the event
    loop does not wait for the disk. Bills of ``put`` calls that arrive during a sync are written
    together, with one further sync.
    """

    def __init__(
        self, path: Path, on_failure: Callable[[StorageError], None] = lambda _: None
    ) -> None:
        self._file = LedgerFile(path)
        self._index = BillIndex()
        self._totals: dict[str, AccountTotal] = {}
        self.digest = 0
        for offset, body, bill in self._file.load():
            self._index_record(offset, body, bill)
        # One thread, named "ledger".
        self._thread = ThreadPoolExecutor(1, "ledger")
        # Bills of each ``put`` that is not being written yet, and the future of its result.
        self._pending_puts: list[tuple[list[_EncodedBill], asyncio.Future[int]]] = []
        self._on_failure = on_failure
        self._failure: StorageError | None = None
        self._writer_task: asyncio.Task[None] | None = None

    def __len__(self) -> int:
        """Return the number of valid bills, one per key."""
        return len(self._index)

    @property
    def ledger_id(self) -> str:
        """Random identity of the ledger file."""
        return self._file.ledger_id

    @property
    def end_offset(self) -> int:
        """Offset after the last record."""
        return self._file.end_offset

    @property
    def tail_was_cut(self) -> bool:
        """Whether a torn record was cut off the end of the file when it was loaded."""
        return self._file.tail_was_cut

    @property
    def index_bytes(self) -> int:
        """Memory size of the index in bytes."""
        return self._index.size_bytes

    def totals(self) -> dict[str, AccountTotal]:
        """Return the totals by client account."""
        return self._totals

    async def put(self, bills: tuple[Bill, ...]) -> int:
        """Store bills durably and return how many of them had new keys.

        Raises
        ------
        StorageError
            ``DISK_FAILED`` if the bills could not be synced; some of them may have reached the disk
            nevertheless. All later puts fail with the same error.
        PeerError
            ``MESSAGE_MALFORMED`` if a bill is too large.
        """
        if self._failure is not None:
            raise self._failure
        encoded_bills = [(bill, self._file.encode(bill)) for bill in bills]
        if any(len(body) > MAX_BILL_BYTES for _, body in encoded_bills):
            raise PeerError(ResultCode.MESSAGE_MALFORMED, f"a bill is over {MAX_BILL_BYTES} bytes")
        future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._pending_puts.append((encoded_bills, future))
        if self._writer_task is None or self._writer_task.done():
            self._writer_task = asyncio.create_task(self._write_pending_puts())
        return await future

    async def read(self, offset: int, limit_bytes: int = SCAN_CHUNK_BYTES) -> BillPage:
        """Return the bills whose records start within ``limit_bytes`` bytes from a file offset.

        Other control hosts copy the ledger with it. An offset before the first record counts as
        that of the first record. If a record starts at the offset, at least this one is scanned.
        """
        start_offset = max(offset, self._file.start_offset)
        # Bills of all accounts and times, and as many of them as there are.
        return await self._run_in_thread(
            partial(self._scan_page, start_offset, limit_bytes, "", 0, len(self))
        )

    async def read_page(
        self, client_account: str, since_ms: int, after: int, limit: int
    ) -> BillPage:
        """Return bills filtered by client account and wall time.

        Parameters
        ----------
        client_account
            Account whose bills are returned, or empty for all accounts.
        since_ms
            Earliest wall time of the bills, in milliseconds since 1970-01-01 UTC.
        after
            ``next_offset`` of the previous page, or 0 for the first page.
        limit
            Largest number of bills.

        Raises
        ------
        RequestRefused
            ``CHANGE_INVALID`` if ``after`` is neither 0 nor the offset of a record or of the end.
        """
        matching_bills: list[Bill] = []
        start_offset = offset = after or self._file.start_offset
        if not await self._run_in_thread(partial(self._file.is_boundary, start_offset)):
            raise RequestRefused(ResultCode.CHANGE_INVALID, f"after: no page ended at {after}")
        while (
            offset < self.end_offset
            and len(matching_bills) < limit
            and offset - start_offset < MAX_PAGE_SCAN_BYTES
        ):
            remaining_bills = limit - len(matching_bills)
            chunk_page = await self._run_in_thread(
                partial(
                    self._scan_page,
                    offset,
                    SCAN_CHUNK_BYTES,
                    client_account,
                    since_ms,
                    remaining_bills,
                )
            )
            matching_bills += chunk_page.bills
            offset = chunk_page.next_offset
        return BillPage(tuple(matching_bills), offset, offset >= self.end_offset)

    async def close(self) -> None:
        """Wait for the pending writes and close the file."""
        if self._writer_task is not None:
            await self._writer_task
        self._thread.shutdown()
        self._file.close()

    async def _run_in_thread(self, function: Callable[[], ResultT]) -> ResultT:
        """Run a function in the thread of the ledger and return its result."""
        return await asyncio.get_running_loop().run_in_executor(self._thread, function)

    async def _write_pending_puts(self) -> None:
        """Write the bills of the pending puts until there are none, and resolve their futures."""
        while self._pending_puts:
            puts, self._pending_puts = self._pending_puts, []
            try:
                batches = [bills for bills, _ in puts]
                new_key_counts = await self._run_in_thread(partial(self._write_batches, batches))
            except StorageError as error:
                self._fail(error, [future for _, future in puts + self._pending_puts])
                return
            for (_, future), new_key_count in zip(puts, new_key_counts, strict=True):
                if not future.done():
                    future.set_result(new_key_count)

    def _fail(self, error: StorageError, futures: list[asyncio.Future[int]]) -> None:
        """Fail the given puts and all later ones, and call ``on_failure``."""
        self._failure = error
        self._pending_puts = []
        for future in futures:
            if not future.done():
                future.set_exception(error)
        self._on_failure(error)

    def _write_batches(self, batches: list[list[_EncodedBill]]) -> list[int]:
        """Write the bills of several puts with one sync.

        ``batches`` holds the bills of each put. Returns the number of new keys of each put. Only
        bills that take precedence over the known bill with their key, which is written already or
        selected in this call, are written.
        """
        selected_bills: dict[tuple[str, str], _EncodedBill] = {}
        new_key_counts = []
        for bills in batches:
            new_key_count = 0
            for bill, body in bills:
                key = _bill_key(bill)
                known_bill = selected_bills.get(key) or self._find_stored(key)
                if known_bill is None:
                    new_key_count += 1
                if known_bill is None or _precedence(bill, body) < _precedence(*known_bill):
                    selected_bills[key] = bill, body
            new_key_counts.append(new_key_count)
        if selected_bills:
            offsets = self._file.append([body for _, body in selected_bills.values()])
            for offset, (bill, body) in zip(offsets, selected_bills.values(), strict=True):
                self._index_record(offset, body, bill)
        return new_key_counts

    def _index_record(self, offset: int, body: bytes, bill: Bill) -> None:
        """Index a record and update the totals, unless a bill with its key takes precedence.

        ``offset`` is the file offset of the record, and ``body`` the encoded form of its bill.
        """
        key_hash = _hash_key(_bill_key(bill))
        indexed_record = self._find_record(_bill_key(bill))
        if indexed_record is None:
            self._index.add(key_hash, offset)
        else:
            old_offset, old_bill, old_body = indexed_record
            if _precedence(old_bill, old_body) <= _precedence(bill, body):
                return
            self._index.replace(key_hash, old_offset, offset)
            self._update_totals(old_bill, old_body, -1)
        self._update_totals(bill, body, 1)

    def _update_totals(self, bill: Bill, body: bytes, sign: int) -> None:
        """Add a bill to digest and totals if ``sign`` is 1, or remove it if ``sign`` is -1.

        The digest needs no sign, since exclusive or with a hash adds it and, done again, removes
        it.
        """
        self.digest ^= _hash_bytes(body)
        self._totals.setdefault(bill.client_account, AccountTotal()).add(bill, sign)

    def _find_stored(self, key: tuple[str, str]) -> tuple[Bill, bytes] | None:
        """Return the valid bill with a key and its encoded form, or None."""
        indexed_record = self._find_record(key)
        return indexed_record[1:] if indexed_record is not None else None

    def _find_record(self, key: tuple[str, str]) -> tuple[int, Bill, bytes] | None:
        """Return the record offset of the valid bill with a key, the bill and its encoded form."""
        for offset in self._index.find_offsets(_hash_key(key)):
            body, bill = self._file.read(offset)
            if _bill_key(bill) == key:
                return offset, bill, body
        return None

    def _scan_page(
        self, offset: int, limit_bytes: int, client_account: str, since_ms: int, limit: int
    ) -> BillPage:
        """Return up to ``limit`` matching bills from one part of the file.

        ``limit_bytes`` is the size of this part from ``offset`` on. A bill matches if it is of
        ``client_account``, or this is empty, and its wall time is at least ``since_ms``, in
        milliseconds since 1970-01-01 UTC. Replaced bills are left out.
        """
        matching_bills: list[Bill] = []
        next_offset = offset
        for record_offset, _, bill, following_offset in self._file.scan(offset, limit_bytes):
            if len(matching_bills) >= limit:
                break
            next_offset = following_offset
            account_matches = client_account in ("", bill.client_account)
            if (
                account_matches
                and bill.wall_time_ms >= since_ms
                and self._is_current(record_offset, bill)
            ):
                matching_bills.append(bill)
        return BillPage(tuple(matching_bills), next_offset, next_offset >= self.end_offset)

    def _is_current(self, offset: int, bill: Bill) -> bool:
        """Return whether the index holds the record at this offset, so that its bill is valid.

        It does not if another record with the same key took precedence.
        """
        return offset in self._index.find_offsets(_hash_key(_bill_key(bill)))


def _bill_key(bill: Bill) -> tuple[str, str]:
    """Return the key of a bill: client account and request identity."""
    return bill.client_account, bill.request_id


def _precedence(bill: Bill, body: bytes) -> tuple[int, str, bytes]:
    """Return the value by which bills with the same key are compared; the lowest one is valid."""
    return bill.wall_time_ms, bill.host, body


def _hash_key(key: Iterable[str]) -> int:
    """Return the 64-bit hash under which the index stores a key; a line feed joins its parts."""
    return _hash_bytes("\n".join(key).encode())


def _hash_bytes(data: bytes) -> int:
    """Return a 64-bit hash of some bytes, the same on all hosts; 8 is its size in bytes."""
    return int.from_bytes(blake2b(data, digest_size=8).digest(), "big")
