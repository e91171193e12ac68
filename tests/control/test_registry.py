"""Registry of backend servers and its deltas."""

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

BYTES_PER_S = 13_000


def record(name: str = "engine-1", incarnation: int = 1, **fields) -> BackendRecord:
    loaded = (LoadedVersion("small", "1"),)
    return BackendRecord(
        name, incarnation, BackendKind.ENGINE, "http://127.0.0.1:1", "zone-1", "", loaded, **fields
    )


def test_old_and_departed_incarnations_are_refused() -> None:
    """Guards against a delayed announcement that brings back a server that left or restarted."""
    registry = BackendRegistry(1, 3.0, departed={"engine-2": 5})
    codes = [
        registry.announce(record(incarnation=2), 0.0),
        registry.announce(record(incarnation=1), 0.0),
        registry.leave("engine-1", 1),
        registry.leave("engine-1", 2),
        registry.leave("engine-1", 2),
        registry.announce(record(incarnation=2), 0.0),
        registry.announce(record(incarnation=3), 0.0),
        registry.announce(record("engine-2", 4), 0.0),
    ]
    stale, good = ResultCode.INCARNATION_STALE, ResultCode.OK
    assert_that(codes, Equals([good, stale, stale, good, good, stale, good, stale]))


def test_deltas_lead_to_the_registry() -> None:
    """Guards against a subscriber that misses a change, a load or a removal."""
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
            busy = random.randrange(64)
            registry.announce(record(name, 10 * incarnation + step // 100, in_flight=busy), now_s)
        registry.expire(now_s)
        index = random.randrange(2)
        delta = registry.delta(1, versions[index])
        view = views[index]
        if delta.complete:
            view.clear()
        view.update({item.identity: item for item in delta.changed})
        for load in delta.loads:
            view[load.identity] = replace(view[load.identity], in_flight=load.in_flight)
        for gone in delta.gone:
            view.pop(gone, None)
        versions[index] = delta.version
        present = {item.identity: item.incarnation for item in registry.records()}
        seen = {item.identity: item.incarnation for item in view.values()}
        assert_that(seen, Equals(present))
        busy_class = {x.identity: x.in_flight.bit_length() for x in registry.records()}
        assert_that(
            {x.identity: x.in_flight.bit_length() for x in view.values()}, Equals(busy_class)
        )


def test_subscriber_far_behind_gets_everything(monkeypatch) -> None:
    """Guards against a removal that is forgotten before a subscriber has seen it."""
    monkeypatch.setattr(registry_module, "MAX_REMOVALS", 2)
    registry = BackendRegistry(1, 3.0)
    for index in range(5):
        registry.announce(record(f"engine-{index}"), 0.0)
    for index in range(4):
        registry.leave(f"engine-{index}", 1)
    assert_that(registry.delta(1, 5).complete, Is(True))
    assert_that(registry.delta(1, 7).gone, HasLength(2))
    assert_that(registry.delta(2, 8).complete, Is(True))


def load_traffic(servers: int, seconds: int = 20) -> float:
    """Return bytes of deltas per second for one subscriber that polls twice a second."""
    random = Random(servers)
    registry = BackendRegistry(1, 3.0)
    names = [f"engine-{index:04d}" for index in range(servers)]
    for name in names:
        registry.announce(record(name), 0.0)
    version, size_bytes = registry.version, 0
    for half in range(2, 2 + 2 * seconds):
        for index in range(half % 2, servers, 2):
            busy, tokens = random.randrange(64), random.randrange(8000)
            changed = record(names[index], in_flight=busy, queued_tokens=tokens)
            registry.announce(changed, half / 2 + index / servers / 2)
        delta = registry.delta(1, version)
        version = delta.version
        size_bytes += len(msgpack.encode((delta.changed, delta.gone, delta.loads)))
    return size_bytes / seconds


@pytest.mark.parametrize("servers", [6, 100, 1000])
def test_load_reports_stay_within_the_traffic_limit(servers: int) -> None:
    """Guards against load reports of many servers that use up an entry's control traffic."""
    assert_that(load_traffic(servers), LessThan(BYTES_PER_S))


def test_traffic_limit_needs_the_load_budget(monkeypatch) -> None:
    """Guards against a traffic check that passes without the budget for load reports."""
    monkeypatch.setattr(registry_module, "MAX_LOAD_REPORTS_PER_S", 1e9)
    assert_that(load_traffic(1000, 4) > BYTES_PER_S, Is(True))
