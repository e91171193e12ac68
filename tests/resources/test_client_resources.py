"""Tests which clients give way when a process has no room for more.

The pattern of load: many clients that connect, or begin a request, and never go on, beside a few
that do.
"""

import asyncio

import pytest

from baobabstream.resources.client_resources import ClientRefusal, ClientResources
from baobabstream.resources.memory_budget import MemoryBudget
from baobabstream.resources.process_limits import MAX_SMALL_REQUEST_BYTES, ProcessLimits
from waiting import until

MB = 1_000_000
# Largest body of the platform's example configuration, and the copies of one that are held.
BODY_BYTES, BODY_COPIES = 4 * 1024 * 1024, 2


def make_resources(max_connections: int = 3) -> ClientResources:
    """Return resources of which only the connections are scarce."""
    return ClientResources(max_connections, MemoryBudget(1000))


def test_clients_that_never_go_on_give_way_first():
    """Guards against a crowd that keeps others out by connections on which nothing arrives."""
    resources, closed = make_resources(), []
    crowd = [resources.admit(lambda n=n: closed.append(n)) for n in range(3)]
    crowd[1].begin_service()
    assert resources.admit(lambda: None) is not None
    assert closed == [0]
    assert resources.open_connections == 3


def test_connection_that_has_been_served_outlives_new_ones():
    """Guards against ordinary callers that lose their open connections to a flood of new ones."""
    resources, closed = make_resources(), []
    ordinary = resources.admit(lambda: closed.append("ordinary"))
    ordinary.begin_service()
    ordinary.end_service()
    for number in range(20):
        assert resources.admit(lambda n=number: closed.append(n)) is not None
    assert closed == list(range(18))
    assert resources.refusals == {ClientRefusal.WAITED_LONGEST: 18}


def test_no_connection_that_is_served_gives_way():
    """Guards against a request that is cut in the middle for a client that may never send one."""
    resources, closed = make_resources(), []
    served = [resources.admit(lambda n=n: closed.append(n)) for n in range(3)]
    for connection in served:
        connection.begin_service()
    assert resources.admit(lambda: closed.append("new")) is None
    assert closed == []
    served[2].set_reading(False)
    assert resources.admit(lambda: None) is not None
    assert closed == [2]


async def test_client_that_reads_nothing_loses_its_connection_in_time():
    """Guards against answers that wait for ever, and against clients cut off that read on."""
    resources, closed = make_resources(), []
    stalled, reading = (resources.admit(lambda n=n: closed.append(n)) for n in range(2))
    for connection in (stalled, reading):
        connection.begin_service()
        connection.set_reading(False, 0.05)
    reading.set_reading(True)
    await until(lambda: closed == [0])
    await asyncio.sleep(0.1)
    assert closed == [0]
    assert resources.refusals == {ClientRefusal.READS_NOTHING: 1}


def test_released_connections_leave_their_room_to_others():
    """Guards against room that is lost with each connection, until no client is admitted."""
    resources = make_resources()
    for _ in range(100):
        connection = resources.admit(lambda: None)
        assert connection.memory.try_acquire(900)
        connection.release()
        connection.release()
    assert resources.open_connections == 0
    assert resources.memory.held_bytes == 0


def test_small_requests_have_room_beside_large_ones():
    """Guards against a few large bodies that keep all ordinary requests out."""
    budget = MemoryBudget(1000, reserved_bytes=300, max_small_bytes=50)
    large = [budget.open(lambda: None) for _ in range(7)]
    assert all(holder.try_acquire(100) for holder in large)
    for holder in large:
        holder.is_evictable = False
    assert not budget.open(lambda: None).try_acquire(100)
    assert all(budget.open(lambda: None).try_acquire(50) for _ in range(6))


@pytest.mark.parametrize("memory_mb", [88, 128, 150, 200, 256, 300])
@pytest.mark.parametrize("max_descriptors", [600, 1024, 4096])
@pytest.mark.parametrize(("uses_tls", "connection_bytes"), [(False, 64 * 1024), (True, 176 * 1024)])
def test_parts_of_a_process_fit_into_its_limits(
    memory_mb, max_descriptors, uses_tls, connection_bytes
):
    """Guards against parts that are more than the whole, or that no request of legal size fits."""
    limits = ProcessLimits(
        memory_mb * MB, max_descriptors, clients_use_tls=uses_tls, peers_use_tls=uses_tls
    )
    parts = (
        limits.fixed_bytes,
        limits.max_client_connections * connection_bytes,
        limits.request_bytes,
        limits.max_peer_connections * connection_bytes,
        limits.message_bytes,
    )
    assert sum(parts) <= memory_mb * MB
    descriptors = (
        200,
        limits.max_client_connections,
        limits.accept_backlog,
        limits.max_peer_connections,
    )
    assert sum(descriptors) <= max_descriptors
    assert limits.request_bytes - limits.small_request_bytes >= BODY_COPIES * BODY_BYTES
    assert limits.small_request_bytes >= 50 * MAX_SMALL_REQUEST_BYTES
