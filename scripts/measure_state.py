"""Measures the memory that each kind of state takes, as a slope over three sizes."""

import gc
import json
import sys
import tracemalloc
from collections.abc import Callable
from typing import Any

from baobabstream.control.claims import ClaimTable
from baobabstream.control.registry import BackendRegistry
from baobabstream.control.state import ConfigState
from baobabstream.policy.view import ClusterView
from baobabstream.wire.messages import Bill, ClaimAction, ClaimRequest
from baobabstream.wire.rows import (
    AccountRow,
    BackendKind,
    BackendRecord,
    ClassRow,
    LoadedVersion,
    RowEntry,
    VersionRow,
    row_key,
)

SIZES = (1000, 3000, 9000)


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


def bills(count: int) -> Any:
    """Return bills keyed by account and request."""
    return {
        ("account-1", f"{number:032x}"): Bill(
            "account-1", f"{number:032x}", "class-1", "model-1", "1", 100, 200, 0.04, "entry-1", 1
        )
        for number in range(count)
    }


BUILDERS: dict[str, Callable[[int], Any]] = {
    "registry, per backend server": registry,
    "entry view, per backend server": view,
    "row, per client account": rows(
        lambda n: AccountRow(f"account-{n}", f"{n:064x}", models=("model-1", "model-2"))
    ),
    "row, per class of work": rows(lambda n: ClassRow(f"class-{n}", 0.9, 800.0 + n, 5000.0 + n)),
    "row, per model version": rows(lambda n: VersionRow(f"model-{n}", "1", 0.1 + n)),
    "open claim": claims,
    "bill in the ledger's index": bills,
}


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
    """Print bytes at each size and the slope between the smallest and the largest."""
    result = {}
    for name, build in BUILDERS.items():
        sizes = {count: measure(build, count) for count in SIZES}
        slope = (sizes[SIZES[-1]] - sizes[SIZES[0]]) / (SIZES[-1] - SIZES[0])
        result[name] = {"bytes": sizes, "bytes_per_item": round(slope)}
    json.dump(result, sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()
