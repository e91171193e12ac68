"""Measures the memory, the bytes on the wire and the coding time of each kind of state."""

import gc
import json
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from baobabstream.billing.bill_index import BillIndex
from baobabstream.control.claims import ClaimTable
from baobabstream.control.registry import BackendRegistry
from baobabstream.control.state import ConfigState
from baobabstream.entry.sessions import SessionPin, SessionTokens
from baobabstream.policy.view import ClusterView
from baobabstream.wire.codec import WireCodec
from baobabstream.wire.messages import (
    Bill,
    BillRequest,
    ClaimAction,
    ClaimRequest,
    PollReply,
    PollRequest,
    VersionEvidence,
)
from baobabstream.wire.rows import (
    AccountRow,
    BackendKind,
    BackendRecord,
    ClassRow,
    LoadedVersion,
    LoadReport,
    RowEntry,
    VersionRow,
    row_key,
)

SIZES = (1000, 3000, 9000)
WIRE_SIZES = (10, 100, 1000)
REPEATS = 20
# 16 bytes for a slot, of which between a third and two thirds are in use.
LEDGER_SIZES = (100_000, 300_000, 900_000)


def backend_record(number: int) -> BackendRecord:
    """Return the record of a backend server with two loaded versions."""
    loaded = (
        LoadedVersion(f"model-{number % 30}", "1"),
        LoadedVersion(f"model-{number % 30}", "2"),
    )
    return BackendRecord(
        identity=f"engine-{number:05d}",
        incarnation=1_700_000_000_000_000_000 + number,
        kind=BackendKind.ENGINE,
        url=f"http://10.{number % 250}.0.1:8000",
        availability_zone=f"zone-{number % 23}",
        loaded=loaded,
    )


def registry(count: int) -> Any:
    """Return a leader's registry."""
    result = BackendRegistry(1, 3.0)
    for number in range(count):
        result.announce(backend_record(number), 0.0)
    return result


def view(count: int) -> Any:
    """Return an entry's view of backend servers."""
    result = ClusterView()
    result.apply_backends([backend_record(number) for number in range(count)], (), True)
    return result


def rows(make: Callable[[int], Any]) -> Callable[[int], Any]:
    """Return a builder of a state with rows of one kind."""

    def build(count: int) -> Any:
        state = ConfigState()
        for number in range(count):
            row = make(number)
            state.rows[row_key(row)] = RowEntry(row_key(row), number, row)
        return state

    return build


def claims(count: int) -> Any:
    """Return a table of open claims."""
    table = ClaimTable()
    for number in range(count):
        request = ClaimRequest(
            ClaimAction.CLAIM,
            "account-1",
            f"key-{number:08d}",
            "0" * 64,
            f"{number:032x}",
            "entry-1",
        )
        table.apply(request, 1_700_000_000_000)
    return table


def bill(number: int) -> Bill:
    """Return a bill."""
    return Bill(
        "account-1", f"{number:032x}", "class-1", "model-1", "1", 100, 200, 0.04, "entry-1", 1
    )


def ledger_index(count: int) -> Any:
    """Return the index of a ledger."""
    index = BillIndex()
    for number in range(count):
        index.add(number * 0x9E3779B97F4A7C15 % 2**64, 1 + number * 182)
    return index


def account_row(number: int) -> AccountRow:
    """Return the row of a client account."""
    return AccountRow(f"account-{number}", f"{number:064x}", models=("model-1", "model-2"))


def version_row(number: int) -> VersionRow:
    """Return the row of a model version."""
    return VersionRow(f"model-{number}", "1", 0.1 + number)


def class_row(number: int) -> ClassRow:
    """Return the row of a class of work."""
    return ClassRow(f"class-{number}", 0.9, 800.0 + number, 5000.0 + number)


def row_entries(make: Callable[[int], Any], count: int) -> PollReply:
    """Return a poll reply with rows of one kind."""
    rows = (make(number) for number in range(count))
    return PollReply(1, 1, 3000, tuple(RowEntry(row_key(row), 1, row) for row in rows))


BUILDERS: dict[str, Callable[[int], Any]] = {
    "registry, per backend server": registry,
    "entry view, per backend server": view,
    "row, per client account": rows(account_row),
    "row, per class of work": rows(class_row),
    "row, per model version": rows(version_row),
    "open claim": claims,
}

# Messages with a number of items.
MESSAGES: dict[str, Callable[[int], Any]] = {
    "poll reply, per backend server": lambda n: PollReply(
        1, 1, 3000, backends=tuple(backend_record(i) for i in range(n))
    ),
    "poll reply, per load report": lambda n: PollReply(
        1, 1, 3000, loads=tuple(LoadReport(f"engine-{i:05d}", 17, 4096) for i in range(n))
    ),
    "poll reply, per client account": lambda n: row_entries(account_row, n),
    "poll reply, per class of work": lambda n: row_entries(class_row, n),
    "poll reply, per model version": lambda n: row_entries(version_row, n),
    "poll, per version with evidence": lambda n: PollRequest(
        "entry-001", 1, "zone-1", 1, 1, 1, 500, 1,
        tuple(VersionEvidence(f"model-{i}", "1", 40, 1, 2, 1) for i in range(n)),
    ),
    "claim that finishes, per byte of answer": lambda n: ClaimRequest(
        ClaimAction.FINISH, "account-1", "key-00000001", "0" * 64, "0" * 32, "entry-001",
        answer=bytes(n),
    ),
    "bill request, per bill": lambda n: BillRequest(tuple(bill(i) for i in range(n))),
}  # fmt: skip


def coding(make: Callable[[int], Any]) -> dict[str, Any]:
    """Return bytes and coding time of a message at each number of items, and the slopes."""
    codec = WireCodec("measure", "control-1", "0" * 32)
    sizes, encode_us, decode_us = {}, {}, {}
    for count in WIRE_SIZES:
        message = make(count)
        started_s = time.perf_counter()
        for _ in range(REPEATS):
            frame = codec.encode(message)
        middle_s = time.perf_counter()
        for _ in range(REPEATS):
            codec.decode(frame)
        sizes[count] = len(frame)
        encode_us[count] = round((middle_s - started_s) / REPEATS * 1e6, 1)
        decode_us[count] = round((time.perf_counter() - middle_s) / REPEATS * 1e6, 1)
    return {
        "bytes": sizes,
        "encode_us": encode_us,
        "decode_us": decode_us,
        "bytes_per_item": round(slope(sizes), 1),
        "encode_us_per_item": round(slope(encode_us), 3),
        "decode_us_per_item": round(slope(decode_us), 3),
    }


def slope(values: dict[int, float]) -> float:
    """Return the slope between the smallest and the largest size."""
    low, high = min(values), max(values)
    return (values[high] - values[low]) / (high - low)


def measure(build: Callable[[int], Any], count: int) -> int:
    """Return the bytes that a state of a size holds."""
    gc.collect()
    tracemalloc.start()
    state = build(count)
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del state
    return size_bytes


def main() -> None:
    """Print the figures at each size and the slope between the smallest and the largest."""
    result: dict[str, Any] = {}
    for name, build in BUILDERS.items():
        sizes = {count: measure(build, count) for count in SIZES}
        result[name] = {"bytes": sizes, "bytes_per_item": round(slope(sizes))}
    sizes = {count: measure(ledger_index, count) for count in LEDGER_SIZES}
    result["bill in the ledger's index"] = {
        "bytes": sizes,
        "bytes_per_item": {count: round(size / count, 1) for count, size in sizes.items()},
    }
    result |= {name: coding(make) for name, make in MESSAGES.items()}
    token = SessionTokens("0" * 32).issue(SessionPin("account-1", "model-1", "1"))
    result["session token, bytes held by the caller"] = len(token)
    json.dump(result, sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()
