"""A planned stop of an entry host under load interrupts no request."""

import asyncio
from pathlib import Path
from random import Random

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from system.callers import Callers
from system.cluster import Cluster, EngineSpec, wait_for
from system.history import CallerRecord
from system.records import leader_knows_hosts
from system.rows import account_row, class_row, version_row

API_KEY = "api-key-of-the-desk"


async def test_stop_of_an_entry_host_interrupts_no_stream(tmp_path: Path) -> None:
    """Guards against streams that end early when their entry host is stopped."""
    exit_code, records = await stop_under_load(tmp_path)
    assert_that(exit_code, Equals(0))
    assert_that(interrupted(records), Equals([]))
    assert_that(sum(record.finished for record in records), GreaterThan(8))


async def test_interrupted_streams_without_drain_are_found(tmp_path: Path) -> None:
    """Guards against a check of planned stops that passes although streams are interrupted."""
    _, records = await stop_under_load(tmp_path, {"entry": "drain"})
    assert_that(len(interrupted(records)), GreaterThan(0))


async def stop_under_load(
    folder: Path, disabled_mechanisms: dict[str, str] | None = None
) -> tuple[int, list[CallerRecord]]:
    """Stop an entry host gracefully under load; return its exit code and the callers' records."""
    engines = tuple(EngineSpec(f"engine-{n}", ("small@1",)) for n in (1, 2))
    cluster = Cluster(
        folder, engines=engines, entry_count=2, disabled_mechanisms=disabled_mechanisms or {}
    )
    try:
        await cluster.start()
        rows = (class_row(), version_row("small", "1"), account_row("desk", API_KEY, "small"))
        await cluster.put(*rows)
        await wait_for(lambda: leader_knows_hosts(cluster, 2, 2), 10)
        callers = Callers(cluster, Random(7))
        callers.start(8, API_KEY, "desk", max_tokens=60)
        await asyncio.sleep(1)
        exit_code = await cluster.terminate("entry-1")
        return exit_code, await callers.stop()
    finally:
        await cluster.stop()


def interrupted(records: list[CallerRecord]) -> list[CallerRecord]:
    """Return the requests that neither got a whole answer nor were refused as not run."""
    return [record for record in records if not record.finished and record.run_state != "no"]
