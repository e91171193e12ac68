"""A planned stop of an entry host under load interrupts no request."""

import asyncio
from pathlib import Path
from random import Random

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan

from system.callers import CONNECTION_BROKEN, Callers, wall_ms
from system.cluster import Cluster, EngineSpec, wait_for
from system.history import CallerRecord
from system.records import leader_knows_hosts, read_attempts
from system.rows import account_row, class_row, version_row

API_KEY = "api-key-of-the-desk"


# A request may cross the close of an open connection this long before its host's process ends.
CLOSE_MS = 1000


async def test_stop_of_an_entry_host_interrupts_no_stream(tmp_path: Path) -> None:
    """Guards against streams that end early when their entry host is stopped.

    A request may cross the close of a connection that its caller has kept open, as HTTP/1.1 allows
    (RFC 9112, section 9.6); then it has not been sent to a backend server.
    """
    exit_code, records, ended_ms = await stop_under_load(tmp_path)
    assert_that(exit_code, Equals(0))
    crossed = [record for record in records if crossed_the_close(record, ended_ms)]
    assert_that([record for record in interrupted(records) if record not in crossed], Equals([]))
    answered_ids = {record.request_id for record in records}
    sent_ids = {attempt.request_id for attempt in read_attempts(tmp_path)}
    assert_that(sent_ids - answered_ids, Equals(set()))
    assert_that(sum(record.finished for record in records), GreaterThan(8))


async def test_interrupted_streams_without_drain_are_found(tmp_path: Path) -> None:
    """Guards against a check of planned stops that passes although streams are interrupted."""
    _, records, _ = await stop_under_load(tmp_path, {"entry": "drain"})
    assert_that(len(interrupted(records)), GreaterThan(0))


async def stop_under_load(
    folder: Path, disabled_mechanisms: dict[str, str] | None = None
) -> tuple[int, list[CallerRecord], int]:
    """Stop an entry host gracefully under load.

    Returns its exit code, the callers' records, and the wall time of its end in milliseconds.
    """
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
        ended_ms = wall_ms()
        return exit_code, await callers.stop(), ended_ms
    finally:
        await cluster.stop()


def crossed_the_close(record: CallerRecord, ended_ms: int) -> bool:
    """Return whether a request was sent on an open connection as the host closed it.

    It got no response at all. ``ended_ms`` is the wall time of the host's end in milliseconds.
    """
    return (
        record.used_open_connection
        and not record.request_id
        and record.result_code == CONNECTION_BROKEN
        and ended_ms - CLOSE_MS <= record.started_ms <= ended_ms
    )


def interrupted(records: list[CallerRecord]) -> list[CallerRecord]:
    """Return the requests that neither got a whole answer nor were refused as not run."""
    return [record for record in records if not record.finished and record.run_state != "no"]
