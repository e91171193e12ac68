"""A withdrawn version gets no new work once the withdrawal is in force."""

import asyncio
from pathlib import Path
from random import Random

from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from system.callers import Callers, wall_ms
from system.cluster import Cluster, EngineSpec, wait_for
from system.history import check_no_run_after_withdrawal
from system.records import leader_knows_hosts, read_attempts
from system.rows import account_row, class_row, version_row

API_KEY = "api-key-of-the-desk"
# Design limit from the acceptance of a change until it is in force.
IN_FORCE_LIMIT_MS = 5000


async def test_withdrawn_version_gets_no_new_work(tmp_path: Path) -> None:
    """Guards against entry hosts that use a version after its withdrawal is in force."""
    engines = (EngineSpec("engine-1", ("small@1",)), EngineSpec("engine-2", ("small@2",)))
    cluster = Cluster(tmp_path, engines=engines)
    try:
        await cluster.start()
        cheaper_version = version_row("small", "1", cost_per_1k_tokens=0.1)
        account = account_row("desk", API_KEY, "small")
        await cluster.put(class_row(), cheaper_version, version_row("small", "2"), account)
        await wait_for(lambda: leader_knows_hosts(cluster, 2, 2), 10)
        callers = Callers(cluster, Random(3))
        callers.start(6, API_KEY, "desk")
        await asyncio.sleep(1)
        accepted_ms = wall_ms()
        answer = await cluster.put(cheaper_version | {"state": "withdrawn"})
        await wait_for(lambda: is_in_force(cluster, answer["revision"]), 10)
        in_force_ms = wall_ms()
        await asyncio.sleep(1)
        records = await callers.stop()
    finally:
        await cluster.stop()
    attempts = read_attempts(tmp_path)
    assert_that(check_no_run_after_withdrawal(attempts, "small@1", in_force_ms), Equals([]))
    assert_that(in_force_ms - accepted_ms, LessThan(IN_FORCE_LIMIT_MS))
    assert_that(sum(record.version == "1" for record in records), GreaterThan(0))
    assert_that(sum(record.version == "2" for record in records), GreaterThan(0))


async def is_in_force(cluster: Cluster, revision: int) -> bool:
    """Return whether the control group reports a revision in force."""
    status, answer = await cluster.admin("GET", f"/in-force?revision={revision}")
    return status == 200 and answer["in_force"]
