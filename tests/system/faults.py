"""Faults that the scenarios cause and heal, by name."""

import asyncio
import re
import shutil
import signal
from itertools import cycle
from random import Random
from typing import Any

from baobabstream.emulator.engine_options import CRASH_MARKER
from system.callers import ask, wall_ms
from system.cluster import BACKEND_KEY, Cluster, wait_for
from system.scenario import DESK_KEY, ENTRY_LEASE_MS, Fault

__all__ = ["FAULTS", "fault_of"]

# Longer than the entry lease and every election timeout.
FREEZE_S = 5.0
ISOLATION_S = 6.0
# Longer than the limit on new work for a backend server that left.
LEFT_WATCH_S = 3.0
ENGINE_FAULT_S = 2.0
LEADER_WAIT_S = 20.0
# Restarted engines need some seconds before they get work again.
CRASH_RESENDS_S = 12.0
# Longer than the entry lease, so that there is a time in which no entry may take new work.
MAJORITY_LOST_S = 5.0
REPAIR_WAIT_S = 20.0
# Twice the time that an election takes.
SECOND_LOSS_S = 4.0


async def _leader(cluster: Cluster) -> str:
    # Another fault of a pair may have taken the leader.
    async with asyncio.timeout(LEADER_WAIT_S):
        while (status := await cluster.status()) is None:
            await asyncio.sleep(0.05)
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
    cluster.planned = True
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
            url = f"http://{cluster.ip}:{cluster.ports[engine.identity]}/emulate/v1/faults"
            async with cluster.session.post(url, json=body) as response:
                assert response.status == 200, await response.text()
        await asyncio.sleep(ENGINE_FAULT_S if body else 0.0)


async def crash_request(cluster: Cluster, _: Random) -> None:
    """Resend a request that crashes its engine through all entries; engines are restarted."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + CRASH_RESENDS_S
    engines = [engine.identity for engine in cluster.engines]
    for entry in cycle(cluster.entries):
        await ask(cluster, entry, DESK_KEY, "desk", CRASH_MARKER)
        for name in engines:
            if cluster.processes[name].returncode is not None:
                cluster.crashes += 1
                await cluster.launch(name)
        await asyncio.sleep(0.1)
        if loop.time() > until_s:
            return


async def lose_majority(cluster: Cluster, random: Random) -> None:
    """Kill the leader and a follower; restart them after the entries' leases have ended."""
    leader, follower = await _leader(cluster), await _follower(cluster, random)
    cluster.majority_lost = True
    await asyncio.gather(cluster.kill(leader), cluster.kill(follower))
    lost_ms = wall_ms()
    await asyncio.sleep(MAJORITY_LOST_S)
    cluster.no_work_ms = (lost_ms + ENTRY_LEASE_MS, wall_ms())
    await cluster.launch(leader)
    await cluster.launch(follower)
    await _leader(cluster)
    await asyncio.sleep(2.0)


async def lose_disk_then_host(cluster: Cluster, random: Random) -> None:
    """Restart a follower without its data and kill the leader once it has logged the repair."""
    host = await _follower(cluster, random)
    old = _member(cluster, await _leader(cluster), host)
    await _lose_disk(cluster, host)

    async def repaired() -> bool:
        member = _member(cluster, await _leader(cluster), host)
        return bool(member) and member != old

    await wait_for(repaired, REPAIR_WAIT_S)
    await _lose_leader_after_repair(cluster)


async def lose_disk_then_host_at_ready(cluster: Cluster, random: Random) -> None:
    """Restart a follower without its data and kill the leader once it answers that it is ready."""
    await _lose_disk(cluster, await _follower(cluster, random))
    await asyncio.sleep(1.0)

    async def ready() -> bool:
        code, answer = await cluster.admin("GET", "/ready")
        return code == 200 and answer["ready"]

    await wait_for(ready, REPAIR_WAIT_S)
    await _lose_leader_after_repair(cluster)


async def _lose_disk(cluster: Cluster, host: str) -> None:
    await cluster.kill(host)
    shutil.rmtree(cluster.folder / host)
    await cluster.launch(host)


def _member(cluster: Cluster, leader: str, host: str) -> str:
    """Return the identity of a host's voter in the leader's log, empty while there are learners."""
    log = (cluster.folder / f"{leader}.log").read_text()
    lines = [line for line in log.splitlines() if "Members are now" in line]
    if not lines or not lines[-1].endswith("learners: none."):
        return ""
    found = re.search(rf"{host}#\w+", lines[-1])
    return found.group() if found else ""


async def _lose_leader_after_repair(cluster: Cluster) -> None:
    leader = await _leader(cluster)
    await cluster.kill(leader)
    await asyncio.sleep(SECOND_LOSS_S)
    if await cluster.status() is None:
        cluster.problems.append(f"no leader {SECOND_LOSS_S:g} s after a loss after the repair")
    await cluster.launch(leader)
    await asyncio.sleep(2.0)


async def stop_leader(cluster: Cluster, _: Random) -> None:
    """Stop the control leader gracefully and start it again."""
    await _planned_stop(cluster, await _leader(cluster))


async def stop_follower(cluster: Cluster, random: Random) -> None:
    """Stop a control follower gracefully and start it again."""
    await _planned_stop(cluster, await _follower(cluster, random))


async def stop_entry(cluster: Cluster, random: Random) -> None:
    """Stop an entry host gracefully and start it again."""
    await _planned_stop(cluster, random.choice(cluster.entries))


async def stop_service(cluster: Cluster, random: Random) -> None:
    """Stop a plain service gracefully and start it again."""
    await _planned_stop(cluster, random.choice(cluster.services))


async def _planned_stop(cluster: Cluster, name: str) -> None:
    cluster.planned = True
    await cluster.terminate(name)
    await asyncio.sleep(1.0)
    await cluster.launch(name)
    await asyncio.sleep(2.0)


def fault_of(name: str) -> Fault:
    """Return a fault by name; names joined by "+" happen together."""
    faults = [FAULTS[part] for part in name.split("+")]

    async def together(cluster: Cluster, random: Random) -> None:
        await asyncio.gather(*[fault(cluster, random) for fault in faults])

    return faults[0] if len(faults) == 1 else together


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
            crash_request,
            lose_majority,
            lose_disk_then_host,
            lose_disk_then_host_at_ready,
            stop_leader,
            stop_follower,
            stop_entry,
            stop_service,
        )
    },
}
