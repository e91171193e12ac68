"""A planned stop of an entry host under load cuts no request."""

import asyncio
from pathlib import Path
from random import Random

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from system.callers import Callers
from system.cluster import Cluster, EngineSpec, wait_for
from system.history import CallerRecord
from system.records import entries_serve
from system.rows import account_row, class_row, version_row

API_KEY = "api-key-of-the-desk"


async def test_stop_of_an_entry_cuts_no_stream(tmp_path: Path) -> None:
    """Guards against streams that end early when their entry host is stopped."""
    code, records = await stop_under_load(tmp_path)
    assert_that(code, Equals(0))
    assert_that(cut(records), Equals([]))
    assert_that(sum(record.finished for record in records), GreaterThan(8))


async def test_stop_without_drain_is_found(tmp_path: Path) -> None:
    """Guards against a check of planned stops that passes although streams are cut."""
    _, records = await stop_under_load(tmp_path, {"entry": "drain"})
    assert_that(len(cut(records)), GreaterThan(0))


async def stop_under_load(
    folder: Path, without: dict[str, str] | None = None
) -> tuple[int, list[CallerRecord]]:
    """Stop an entry host while streams run; return its exit code and the callers' records."""
    engines = tuple(EngineSpec(f"engine-{n}", ("small@1",)) for n in (1, 2))
    cluster = Cluster(folder, engines=engines, entry_count=2, without=without or {})
    try:
        await cluster.start()
        rows = (class_row(), version_row("small", "1"), account_row("desk", API_KEY, "small"))
        await cluster.put(*rows)
        await wait_for(lambda: entries_serve(cluster, 2, 2), 10)
        callers = Callers(cluster, Random(7))
        callers.start(8, API_KEY, "desk", tokens=60)
        await asyncio.sleep(1)
        code = await cluster.terminate("entry-1")
        return code, await callers.stop()
    finally:
        await cluster.stop()


def cut(records: list[CallerRecord]) -> list[CallerRecord]:
    """Return the requests that ended neither with a whole answer nor as not run."""
    return [record for record in records if not record.finished and record.ran != "no"]
