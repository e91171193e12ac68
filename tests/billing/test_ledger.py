"""Ledger of one control host and the exchange between several."""

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
from baobabstream.billing.exchange import LedgerExchange
from baobabstream.billing.ledger import Ledger
from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import PeerError, StorageError
from baobabstream.wire.messages import Bill


def bill(number: int, account: str = "desk", tokens: int = 10, at_ms: int = 0) -> Bill:
    name = f"r{number:06d}"
    return Bill(account, name, "c", "m", "1", 1, tokens, tokens / 1000, "entry-1", at_ms)


async def test_bills_survive_a_restart_once(tmp_path: Path) -> None:
    """Guards against bills that are lost, doubled or summed wrongly."""
    ledger = Ledger(tmp_path / "ledger")
    counts = await asyncio.gather(*(ledger.put((bill(n % 50), bill(n))) for n in range(100)))
    assert_that(sum(counts), Equals(100))
    digest, total = ledger.digest, ledger.totals()["desk"]
    await ledger.close()
    again = Ledger(tmp_path / "ledger")
    assert_that((len(again), again.digest), Equals((100, digest)))
    assert_that((total.bills, total.output_tokens), Equals((100, 1000)))
    assert_that(again.totals()["desk"], Equals(total))
    assert_that(await again.put((bill(3),)), Equals(0))
    await again.close()


async def test_puts_share_a_sync_and_leave_the_loop_free(tmp_path: Path, monkeypatch) -> None:
    """Guards against a slow disk that stops the event loop or is synced for each bill."""
    syncs = []

    def slow_sync(_: int) -> None:
        syncs.append(1)
        # Stands for a slow disk; runs in the ledger's thread.
        sleep(0.05)

    ledger = Ledger(tmp_path / "ledger")
    monkeypatch.setattr(ledger_file.os, "fsync", slow_sync)
    puts = asyncio.gather(*(ledger.put((bill(n),)) for n in range(200)))
    turns = 0
    while not puts.done():
        await asyncio.sleep(0.001)
        turns += 1
    assert_that(len(syncs), LessThan(5))
    assert_that(turns > 10, Is(True))
    await ledger.close()


async def test_ledger_stops_after_a_failed_sync(tmp_path: Path, monkeypatch) -> None:
    """Guards against a bill that is acknowledged after the disk has lost an earlier write."""

    def failing_sync(_: int) -> None:
        raise OSError(5, "input/output error")

    failures: list[StorageError] = []
    ledger = Ledger(tmp_path / "ledger", failures.append)
    with monkeypatch.context() as patch:
        patch.setattr(ledger_file.os, "fsync", failing_sync)
        puts = (ledger.put((bill(n),)) for n in range(5))
        results = await asyncio.gather(*puts, return_exceptions=True)
    assert_that([type(item) for item in results], Equals([StorageError] * 5))
    with ExpectedException(StorageError):
        await ledger.put((bill(9),))
    assert_that((len(ledger), len(failures)), Equals((0, 1)))
    await ledger.close()


def _flip(offset_from_end: int) -> Callable[[bytes], bytes]:
    def damage(data: bytes) -> bytes:
        index = len(data) - offset_from_end
        return data[:index] + bytes([data[index] ^ 0xFF]) + data[index + 1 :]

    return damage


async def _stored(path: Path, bills: int) -> None:
    ledger = Ledger(path)
    for number in range(bills):
        await ledger.put((bill(number),))
    await ledger.close()


@pytest.mark.parametrize("cut", [1, 8, 12, 40])
async def test_torn_tail_is_cut(tmp_path: Path, cut: int) -> None:
    """Guards against a ledger that cannot be opened after a crash in the middle of a write."""
    path = tmp_path / "ledger"
    await _stored(path, 5)
    before = path.read_bytes()
    path.write_bytes(before[:-cut])
    ledger = Ledger(path)
    assert_that((len(ledger), ledger.tail_was_cut), Equals((4, True)))
    # Peers that had read the lost record must not go on from their old offsets.
    assert_that(ledger.ledger_id in before[8:24].hex(), Is(False))
    await ledger.put((bill(9),))
    await ledger.close()
    ledger = Ledger(path)
    assert_that((len(ledger), ledger.tail_was_cut), Equals((5, False)))
    await ledger.close()


@pytest.mark.parametrize("offset_from_end", [200, 300, 310, 400])
async def test_damage_is_refused_with_file_and_offset(tmp_path: Path, offset_from_end: int) -> None:
    """Guards against bills that vanish because damage passes for a torn tail."""
    path = tmp_path / "ledger"
    await _stored(path, 5)
    path.write_bytes(_flip(offset_from_end)(path.read_bytes()))
    with ExpectedException(StorageError, ".*ledger: record at byte.*"):
        Ledger(path)
    path.write_bytes(b"another file, long enough to hold a header")
    with ExpectedException(StorageError, ".*header.*"):
        Ledger(path)


async def test_pages_filter_and_cover_everything(tmp_path: Path) -> None:
    """Guards against pages that skip or repeat a bill, or show a replaced one."""
    ledger = Ledger(tmp_path / "ledger")
    for number in range(500):
        account = f"a{number % 3}"
        await ledger.put((bill(number, account, at_ms=number),))
    await ledger.put((bill(0, "a0", tokens=99, at_ms=-1),))
    seen, after, complete = [], 0, False
    while not complete:
        page = await ledger.page("a0", 0, after, 7)
        seen += [item.request_id for item in page.bills]
        after, complete = page.next_offset, page.complete
    assert_that(seen, Equals([f"r{n:06d}" for n in range(3, 500, 3)]))
    since = await ledger.page("", 490, 0, 1000)
    assert_that(since.bills, HasLength(10))
    replaced = [
        item for item in (await ledger.page("a0", -5, 0, 1000)).bills if item.wall_time_ms < 0
    ]
    assert_that([item.output_tokens for item in replaced], Equals([99]))
    assert_that(ledger.totals()["a0"].output_tokens, Equals(166 * 10 + 99))
    await ledger.close()


class Peer:
    """Connection to the exchange of another host; fails now and then."""

    def __init__(self, random: Random) -> None:
        self.target: LedgerExchange | None = None
        self._random = random

    async def call(self, message, timeout_s: float):
        if self.target is None or self._random.random() < 0.2:
            raise PeerError(ResultCode.PEER_TIMEOUT)
        return await self.target.answer(message)


class Hosts:
    """Three ledgers with their exchanges."""

    def __init__(self, folder: Path, random: Random) -> None:
        self._folder = folder
        self._random = random
        self.ledgers: dict[str, Ledger] = {}
        self.exchanges: dict[str, LedgerExchange] = {}
        self._peers = {
            name: {other: Peer(random) for other in "abc" if other != name} for name in "abc"
        }
        for name in "abc":
            self.open(name)

    def open(self, name: str) -> None:
        self.ledgers[name] = Ledger(self._folder / name)
        path = self._folder / f"{name}.json"
        exchange = LedgerExchange(name, self.ledgers[name], self._peers[name], path)
        self.exchanges[name] = exchange
        for other in set("abc") - {name}:
            self._peers[other][name].target = exchange

    async def settle(self) -> None:
        for _ in range(40):
            for name, exchange in self.exchanges.items():
                for peer in self._peers[name]:
                    try:
                        await exchange.pull(peer)
                        exchange._save()
                    except PeerError:
                        continue

    async def lose_disk(self, name: str) -> None:
        await self.ledgers[name].close()
        (self._folder / name).unlink()
        self.open(name)

    def sets(self) -> set[tuple[int, int]]:
        return {(len(x), x.digest) for x in self.ledgers.values()}


@pytest.mark.parametrize("seed", range(3))
async def test_hosts_come_to_hold_the_same_bills(tmp_path: Path, seed: int) -> None:
    """Guards against hosts that differ for good, and an empty host that does not recover."""
    random = Random(seed)
    hosts = Hosts(tmp_path, random)
    for number in range(300):
        target = hosts.ledgers[random.choice("abc")]
        await target.put((bill(number % 200, tokens=random.randrange(3), at_ms=number % 7),))
    await hosts.settle()
    assert_that(hosts.sets(), HasLength(1))
    assert_that(len(hosts.ledgers["a"]), Equals(200))
    await hosts.lose_disk("b")
    assert_that(len(hosts.ledgers["b"]), Equals(0))
    await hosts.settle()
    assert_that((len(hosts.sets()), len(hosts.ledgers["b"])), Equals((1, 200)))
    assert_that(hosts.exchanges["a"].equal_to("b"), Is(True))
    stored = (tmp_path / "a.json").read_text()
    assert_that(stored, Contains(hosts.ledgers["a"].ledger_id))
    for ledger in hosts.ledgers.values():
        await ledger.close()
