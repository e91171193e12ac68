"""Faults that the scenarios cause and heal, by name."""

import asyncio
import signal
from random import Random
from typing import Any

from system.callers import wall_ms
from system.cluster import BACKEND_KEY, Cluster
from system.scenario import Fault

__all__ = ["FAULTS"]

# Longer than the entry lease and every election timeout.
FREEZE_S = 5.0
ISOLATION_S = 6.0
# Longer than the limit on new work for a backend server that left.
LEFT_WATCH_S = 3.0
ENGINE_FAULT_S = 2.0


async def _leader(cluster: Cluster) -> str:
    status = await cluster.status()
    assert status is not None
    return status["leader"]


async def _follower(cluster: Cluster, random: Random) -> str:
    leader = await _leader(cluster)
    return random.choice([host for host in cluster.controls if host != leader])


async def _no_fault(_: Cluster, __: Random) -> None:
    return


async def _restart(cluster: Cluster, name: str, random: Random) -> None:
    await cluster.kill(name)
    await asyncio.sleep(random.uniform(0.1, 2.0))
    await cluster.launch(name)
    await asyncio.sleep(2.0)


async def _freeze(cluster: Cluster, name: str) -> None:
    cluster.signal(name, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    cluster.signal(name, signal.SIGCONT)
    await asyncio.sleep(1.0)


async def _isolate(cluster: Cluster, host: str) -> None:
    cluster.isolate(host)
    await asyncio.sleep(ISOLATION_S)
    cluster.heal()
    await asyncio.sleep(2.0)


async def kill_entry(cluster: Cluster, random: Random) -> None:
    """Kill an entry host and start it again."""
    await _restart(cluster, random.choice(cluster.entries), random)


async def kill_engine(cluster: Cluster, random: Random) -> None:
    """Kill an engine and start it again."""
    await _restart(cluster, random.choice(cluster.engines).identity, random)


async def kill_leader(cluster: Cluster, random: Random) -> None:
    """Kill the control leader and start it again."""
    await _restart(cluster, await _leader(cluster), random)


async def kill_follower(cluster: Cluster, random: Random) -> None:
    """Kill a control follower and start it again."""
    await _restart(cluster, await _follower(cluster, random), random)


async def kill_leader_and_entry(cluster: Cluster, random: Random) -> None:
    """Kill the leader, and an entry host while the group recovers."""
    leader, entry = await _leader(cluster), random.choice(cluster.entries)
    await cluster.kill(leader)
    await asyncio.sleep(random.uniform(0.0, 0.5))
    await cluster.kill(entry)
    await cluster.launch(leader)
    await cluster.launch(entry)
    await asyncio.sleep(4.0)


async def freeze_entry(cluster: Cluster, random: Random) -> None:
    """Freeze an entry host for longer than its lease."""
    await _freeze(cluster, random.choice(cluster.entries))


async def freeze_leader(cluster: Cluster, random: Random) -> None:
    """Freeze the control leader for longer than its lease."""
    await _freeze(cluster, await _leader(cluster))


async def isolate_leader(cluster: Cluster, random: Random) -> None:
    """Cut the control leader from all daemons, both ways, silently."""
    await _isolate(cluster, await _leader(cluster))


async def isolate_follower(cluster: Cluster, random: Random) -> None:
    """Cut a control follower from all daemons, both ways, silently."""
    await _isolate(cluster, await _follower(cluster, random))


async def isolate_leader_one_way(cluster: Cluster, random: Random) -> None:
    """Drop what others send to the leader; what it sends still arrives."""
    leader = await _leader(cluster)
    for (source, target), relay in cluster.relays.items():
        if target == leader:
            relay.drop_forward = True
        if source == leader:
            relay.drop_backward = True
    await asyncio.sleep(ISOLATION_S)
    cluster.heal()
    await asyncio.sleep(2.0)


async def silence_connections(cluster: Cluster, random: Random) -> None:
    """Make all open connections between daemons silent for good; new ones work."""
    for relay in cluster.relays.values():
        relay.silence_open_connections()
    await asyncio.sleep(5.0)


async def isolate_entry(cluster: Cluster, random: Random) -> None:
    """Cut an entry host from all control hosts, silently; its callers still reach it."""
    await _isolate(cluster, random.choice(cluster.entries))


async def leave_engine(cluster: Cluster, random: Random) -> None:
    """Let an engine leave although it goes on serving, so that late work to it is recorded."""
    identity = random.choice(cluster.engines[:2]).identity
    status = await cluster.status()
    assert status is not None
    record = next(item for item in status["backends"] if item["identity"] == identity)
    body = {"identity": identity, "incarnation": record["incarnation"]}
    headers = {"Authorization": f"Bearer {BACKEND_KEY}"}
    url = f"{cluster.admin_url(status['leader'])}/backend/v1/leave"
    cluster.left_ms[identity] = wall_ms()
    async with cluster.session.post(url, json=body, headers=headers) as response:
        assert response.status == 200, await response.text()
    await asyncio.sleep(LEFT_WATCH_S)


async def stop_engine(cluster: Cluster, random: Random) -> None:
    """Stop an engine gracefully; it leaves and finishes its open requests."""
    identity = random.choice(cluster.engines[:2]).identity
    cluster.left_ms[identity] = wall_ms()
    await cluster.terminate(identity)
    await asyncio.sleep(LEFT_WATCH_S)


async def cross_answers(cluster: Cluster, _: Random) -> None:
    """Let engines answer with the identity and text of the request before."""
    await _engine_faults(cluster, {"crossed": True})


async def double_answers(cluster: Cluster, _: Random) -> None:
    """Let engines send each answer twice."""
    await _engine_faults(cluster, {"doubled": True})


async def delay_answers(cluster: Cluster, _: Random) -> None:
    """Let engines answer late."""
    await _engine_faults(cluster, {"late_s": 1.5})


async def cut_answers(cluster: Cluster, _: Random) -> None:
    """Let engines cut each stream after a few tokens."""
    await _engine_faults(cluster, {"cut_after_tokens": 3})


async def _engine_faults(cluster: Cluster, faults: dict[str, Any]) -> None:
    for body in (faults, {}):
        for engine in cluster.engines:
            url = f"http://127.0.0.1:{cluster.ports[engine.identity]}/emulate/v1/faults"
            async with cluster.session.post(url, json=body) as response:
                assert response.status == 200, await response.text()
        await asyncio.sleep(ENGINE_FAULT_S if body else 0.0)


FAULTS: dict[str, Fault] = {
    "none": _no_fault,
    **{
        function.__name__: function
        for function in (
            kill_entry,
            kill_engine,
            kill_leader,
            kill_follower,
            kill_leader_and_entry,
            freeze_entry,
            freeze_leader,
            isolate_leader,
            isolate_follower,
            isolate_leader_one_way,
            silence_connections,
            isolate_entry,
            leave_engine,
            stop_engine,
            cross_answers,
            double_answers,
            delay_answers,
            cut_answers,
        )
    },
}
