"""Tests of the ledger of one control host and of the replication between several."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random
from time import sleep

import pytest
from testtools import ExpectedException
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, HasLength, Is, LessThan

from baobabstream.billing import ledger_file
from baobabstream.billing.ledger import Ledger
from baobabstream.billing.ledger_exchange import LedgerExchange
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError, StorageError
from baobabstream.wire.messages import Bill


def make_bill(number: int, account: str = "desk", tokens: int = 10, at_ms: int = 0) -> Bill:
    """Return a bill of request ``number``; its cost is a thousandth per output token."""
    request_id = f"r{number:06d}"
    return Bill(account, request_id, "c", "m", "1", 1, tokens, tokens / 1000, "entry-1", at_ms)


async def test_each_bill_is_stored_once_and_survives_a_restart(tmp_path: Path) -> None:
    """Guards against lost or duplicate bills and wrong totals, also after a restart."""
    ledger = Ledger(tmp_path / "ledger")
    counts = await asyncio.gather(
        *(ledger.put((make_bill(number % 50), make_bill(number))) for number in range(100))
    )
    assert_that(sum(counts), Equals(100))
    digest, total = ledger.digest, ledger.totals()["desk"]
    await ledger.close()
    reopened = Ledger(tmp_path / "ledger")
    assert_that((len(reopened), reopened.digest), Equals((100, digest)))
    assert_that((total.bills, total.output_tokens), Equals((100, 1000)))
    assert_that(reopened.totals()["desk"], Equals(total))
    assert_that(await reopened.put((make_bill(3),)), Equals(0))
    await reopened.close()


async def test_concurrent_puts_share_a_sync_and_do_not_block_the_event_loop(
    tmp_path: Path, monkeypatch
) -> None:
    """Guards against one sync per bill, and against a slow disk that blocks the event loop."""
    sync_calls = []

    def slow_sync(_: int) -> None:
        sync_calls.append(1)
        # Simulates a slow disk; runs in the thread of the ledger.
        sleep(0.05)

    ledger = Ledger(tmp_path / "ledger")
    monkeypatch.setattr(ledger_file.os, "fsync", slow_sync)
    puts = asyncio.gather(*(ledger.put((make_bill(number),)) for number in range(200)))
    loop_iterations = 0
    while not puts.done():
        await asyncio.sleep(0.001)
        loop_iterations += 1
    assert_that(len(sync_calls), LessThan(5))
    assert_that(loop_iterations > 10, Is(True))
    await ledger.close()


async def test_ledger_rejects_bills_after_a_failed_sync(tmp_path: Path, monkeypatch) -> None:
    """Guards against acknowledging a bill after a failed sync.

    The kernel may discard data whose sync failed, so a later successful sync proves nothing.
    """

    def failing_sync(_: int) -> None:
        raise OSError(5, "input/output error")

    failures: list[StorageError] = []
    ledger = Ledger(tmp_path / "ledger", failures.append)
    with monkeypatch.context() as patch:
        patch.setattr(ledger_file.os, "fsync", failing_sync)
        puts = (ledger.put((make_bill(number),)) for number in range(5))
        results = await asyncio.gather(*puts, return_exceptions=True)
    assert_that([type(item) for item in results], Equals([StorageError] * 5))
    with ExpectedException(StorageError):
        await ledger.put((make_bill(9),))
    assert_that((len(ledger), len(failures)), Equals((0, 1)))
    await ledger.close()


def _byte_inverter(offset_from_end: int) -> Callable[[bytes], bytes]:
    """Return a function that inverts one byte, counted from the end of the data."""

    def invert_byte(data: bytes) -> bytes:
        index = len(data) - offset_from_end
        return data[:index] + bytes([data[index] ^ 0xFF]) + data[index + 1 :]

    return invert_byte


async def _store_bills(path: Path, bill_count: int) -> None:
    """Create a ledger file with bills of the requests 0 to ``bill_count`` - 1."""
    ledger = Ledger(path)
    for number in range(bill_count):
        await ledger.put((make_bill(number),))
    await ledger.close()


@pytest.mark.parametrize("cut_bytes", [1, 8, 12, 40])
async def test_torn_last_record_is_removed(tmp_path: Path, cut_bytes: int) -> None:
    """Guards against a ledger that cannot be opened after a crash during a write."""
    path = tmp_path / "ledger"
    await _store_bills(path, 5)
    intact_content = path.read_bytes()
    path.write_bytes(intact_content[:-cut_bytes])
    ledger = Ledger(path)
    assert_that((len(ledger), ledger.tail_was_cut), Equals((4, True)))
    # Peers that have read the removed record must not continue at their old offsets.
    assert_that(ledger.ledger_id in intact_content[8:24].hex(), Is(False))
    await ledger.put((make_bill(9),))
    await ledger.close()
    ledger = Ledger(path)
    assert_that((len(ledger), ledger.tail_was_cut), Equals((5, False)))
    await ledger.close()


@pytest.mark.parametrize("offset_from_end", [200, 300, 310, 400])
async def test_damaged_record_is_reported_with_file_and_offset(
    tmp_path: Path, offset_from_end: int
) -> None:
    """Guards against lost bills when a damaged record in the middle counts as a torn last one."""
    path = tmp_path / "ledger"
    await _store_bills(path, 5)
    path.write_bytes(_byte_inverter(offset_from_end)(path.read_bytes()))
    with ExpectedException(StorageError, ".*ledger: record at byte.*"):
        Ledger(path)
    path.write_bytes(b"another file, long enough to hold a header")
    with ExpectedException(StorageError, ".*header.*"):
        Ledger(path)


async def test_pages_return_each_matching_bill_exactly_once(tmp_path: Path) -> None:
    """Guards against pages that skip or repeat a bill, or contain a replaced one."""
    ledger = Ledger(tmp_path / "ledger")
    for number in range(500):
        account = f"a{number % 3}"
        await ledger.put((make_bill(number, account, at_ms=number),))
    await ledger.put((make_bill(0, "a0", tokens=99, at_ms=-1),))
    request_ids, after, is_complete = [], 0, False
    while not is_complete:
        page = await ledger.read_page("a0", 0, after, 7)
        request_ids += [item.request_id for item in page.bills]
        after, is_complete = page.next_offset, page.is_complete
    assert_that(
        request_ids, Equals([f"r{request_number:06d}" for request_number in range(3, 500, 3)])
    )
    recent_page = await ledger.read_page("", 490, 0, 1000)
    assert_that(recent_page.bills, HasLength(10))
    replaced = [
        item for item in (await ledger.read_page("a0", -5, 0, 1000)).bills if item.wall_time_ms < 0
    ]
    assert_that([item.output_tokens for item in replaced], Equals([99]))
    assert_that(ledger.totals()["a0"].output_tokens, Equals(166 * 10 + 99))
    await ledger.close()


class UnreliablePeer:
    """Connection to the ledger of another control host; a fifth of all calls fails."""

    def __init__(self, random: Random) -> None:
        self.target: LedgerExchange | None = None
        self._random = random

    async def call(self, message, timeout_s: float):
        """Pass a request to the peer and return its answer, or raise PeerError."""
        if self.target is None or self._random.random() < 0.2:
            raise PeerError(ResultCode.PEER_TIMEOUT)
        return await self.target.answer(message)


class ControlHosts:
    """Three control hosts, each with a ledger and its replication from the other two."""

    def __init__(self, directory: Path, random: Random) -> None:
        self._directory = directory
        self._random = random
        self.ledgers: dict[str, Ledger] = {}
        self.exchanges: dict[str, LedgerExchange] = {}
        self._peers = {
            host: {peer_host: UnreliablePeer(random) for peer_host in "abc" if peer_host != host}
            for host in "abc"
        }
        for host in "abc":
            self.open(host)

    def open(self, host: str) -> None:
        """Open the ledger of a host and connect its peers to it."""
        self.ledgers[host] = Ledger(self._directory / host)
        path = self._directory / f"{host}.json"
        exchange = LedgerExchange(host, self.ledgers[host], self._peers[host], path)
        self.exchanges[host] = exchange
        for peer_host in set("abc") - {host}:
            self._peers[peer_host][host].target = exchange

    async def pull_repeatedly(self) -> None:
        """Let each host pull from each peer, often enough despite failing calls."""
        for _ in range(40):
            for host, exchange in self.exchanges.items():
                for peer in self._peers[host]:
                    try:
                        await exchange.pull(peer)
                        exchange._save_positions()
                    except PeerError:
                        continue

    async def lose_disk(self, host: str) -> None:
        """Replace the ledger of a host by an empty one."""
        await self.ledgers[host].close()
        (self._directory / host).unlink()
        self.open(host)

    def distinct_contents(self) -> set[tuple[int, int]]:
        """Return number and digest of the bills of each ledger; equal ledgers appear once."""
        return {(len(ledger), ledger.digest) for ledger in self.ledgers.values()}


@pytest.mark.parametrize("seed", range(3))
async def test_control_hosts_converge_to_the_same_bills(tmp_path: Path, seed: int) -> None:
    """Guards against ledgers that stay different, and a lost ledger that is not restored."""
    random = Random(seed)
    hosts = ControlHosts(tmp_path, random)
    for number in range(300):
        target = hosts.ledgers[random.choice("abc")]
        await target.put((make_bill(number % 200, tokens=random.randrange(3), at_ms=number % 7),))
    await hosts.pull_repeatedly()
    assert_that(hosts.distinct_contents(), HasLength(1))
    assert_that(len(hosts.ledgers["a"]), Equals(200))
    await hosts.lose_disk("b")
    assert_that(len(hosts.ledgers["b"]), Equals(0))
    await hosts.pull_repeatedly()
    assert_that((len(hosts.distinct_contents()), len(hosts.ledgers["b"])), Equals((1, 200)))
    assert_that(hosts.exchanges["a"].holds_same_bills_as("b"), Is(True))
    saved_positions = (tmp_path / "a.json").read_text()
    assert_that(saved_positions, Contains(hosts.ledgers["a"].ledger_id))
    for ledger in hosts.ledgers.values():
        await ledger.close()
