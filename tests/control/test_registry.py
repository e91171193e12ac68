"""Registry of backend servers and the deltas that its subscribers receive.

A delta is the changes since a version of the registry. An incarnation numbers the successive
processes of a server. The load class is the load of a server, rounded so that it changes rarely.
"""

from random import Random

import pytest
from msgspec import msgpack
from msgspec.structs import replace
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, Is, LessThan

from baobabstream.control import registry as registry_module
from baobabstream.control.registry import BackendRegistry
from baobabstream.errors.codes import ResultCode
from baobabstream.wire.rows import BackendKind, BackendRecord, LoadedVersion

# Control traffic that one subscriber may receive.
MAX_DELTA_BYTES_PER_S = 13_000


def server_record(name: str = "engine-1", incarnation: int = 1, **fields) -> BackendRecord:
    """Return the record of an engine; ``fields`` are further fields of ``BackendRecord``."""
    loaded = (LoadedVersion("small", "1"),)
    return BackendRecord(
        name, incarnation, BackendKind.ENGINE, "http://127.0.0.1:1", "zone-1", "", loaded, **fields
    )


def test_old_and_departed_incarnations_are_refused() -> None:
    """Guards against a delayed announcement that brings back a server that left or restarted."""
    registry = BackendRegistry(1, 3.0, departed={"engine-2": 5})
    codes = [
        registry.announce(server_record(incarnation=2), 0.0),
        registry.announce(server_record(incarnation=1), 0.0),
        registry.leave("engine-1", 1),
        registry.leave("engine-1", 2),
        registry.leave("engine-1", 2),
        registry.announce(server_record(incarnation=2), 0.0),
        registry.announce(server_record(incarnation=3), 0.0),
        registry.announce(server_record("engine-2", 4), 0.0),
    ]
    stale, ok = ResultCode.INCARNATION_STALE, ResultCode.OK
    assert_that(codes, Equals([ok, stale, stale, ok, ok, stale, ok, stale]))


def test_deltas_lead_to_the_registry() -> None:
    """Guards against a subscriber that misses a change, a load or a removal.

    Two subscribers apply deltas at random times while servers announce themselves, leave and
    expire. Loads may differ from the registry only within a load class.
    """
    random = Random(2)
    registry = BackendRegistry(1, 3.0)
    views: list[dict[str, BackendRecord]] = [{}, {}]
    versions = [0, 0]
    for step in range(2000):
        now_s = step * 0.05
        name, incarnation = f"engine-{random.randrange(8)}", 1 + step // 500
        if random.random() < 0.05:
            registry.leave(name, incarnation)
            incarnation += 1
        elif random.random() < 0.9:
            in_flight_count = random.randrange(64)
            registry.announce(
                server_record(name, 10 * incarnation + step // 100, in_flight=in_flight_count),
                now_s,
            )
        registry.expire(now_s)
        index = random.randrange(2)
        delta = registry.delta(1, versions[index])
        view = views[index]
        if delta.complete:
            view.clear()
        view.update({record.identity: record for record in delta.changed})
        for load_report in delta.loads:
            view[load_report.identity] = replace(
                view[load_report.identity], in_flight=load_report.in_flight
            )
        for gone_identity in delta.gone:
            view.pop(gone_identity, None)
        versions[index] = delta.version
        registry_incarnations = {
            record.identity: record.incarnation for record in registry.records()
        }
        view_incarnations = {record.identity: record.incarnation for record in view.values()}
        assert_that(view_incarnations, Equals(registry_incarnations))
        # The load class of a number of requests is its count of binary digits.
        load_classes = {
            record.identity: record.in_flight.bit_length() for record in registry.records()
        }
        assert_that(
            {record.identity: record.in_flight.bit_length() for record in view.values()},
            Equals(load_classes),
        )


def test_subscriber_far_behind_gets_everything(monkeypatch) -> None:
    """Guards against a removal that is pruned before a subscriber has received it."""
    monkeypatch.setattr(registry_module, "MAX_REMOVALS", 2)
    registry = BackendRegistry(1, 3.0)
    for index in range(5):
        registry.announce(server_record(f"engine-{index}"), 0.0)
    for index in range(4):
        registry.leave(f"engine-{index}", 1)
    assert_that(registry.delta(1, 5).complete, Is(True))
    assert_that(registry.delta(1, 7).gone, HasLength(2))
    assert_that(registry.delta(2, 8).complete, Is(True))


def measure_delta_bytes_per_s(server_count: int, duration_s: int = 20) -> float:
    """Return bytes of deltas per second for one subscriber that polls twice a second.

    Every server announces itself once a second with a random load.
    """
    random = Random(server_count)
    registry = BackendRegistry(1, 3.0)
    names = [f"engine-{index:04d}" for index in range(server_count)]
    for name in names:
        registry.announce(server_record(name), 0.0)
    version, delta_bytes = registry.version, 0
    for half_second in range(2, 2 + 2 * duration_s):
        for index in range(half_second % 2, server_count, 2):
            in_flight_count, queued_token_count = random.randrange(64), random.randrange(8000)
            changed_record = server_record(
                names[index], in_flight=in_flight_count, queued_tokens=queued_token_count
            )
            registry.announce(changed_record, half_second / 2 + index / server_count / 2)
        delta = registry.delta(1, version)
        version = delta.version
        delta_bytes += len(msgpack.encode((delta.changed, delta.gone, delta.loads)))
    return delta_bytes / duration_s


@pytest.mark.parametrize("server_count", [6, 100, 1000])
def test_load_reports_stay_within_the_traffic_limit(server_count: int) -> None:
    """Guards against load reports of many servers that use up an entry host's control traffic."""
    assert_that(measure_delta_bytes_per_s(server_count), LessThan(MAX_DELTA_BYTES_PER_S))


def test_traffic_limit_needs_the_load_budget(monkeypatch) -> None:
    """Guards against a traffic check that would also pass without the budget for load reports."""
    monkeypatch.setattr(registry_module, "MAX_LOAD_REPORTS_PER_S", 1e9)
    assert_that(measure_delta_bytes_per_s(1000, 4) > MAX_DELTA_BYTES_PER_S, Is(True))
