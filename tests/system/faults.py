"""Faults for the scenarios; each function causes one, heals it and returns.

The name of a function is the name of its fault in ``FAULTS``.
"""

import asyncio
import re
import shutil
import signal
from itertools import cycle
from random import Random
from typing import Any

from baobabstream.emulator.engine_options import CRASH_MARKER
from system.callers import send_chat_request, wall_ms
from system.cluster import BACKEND_KEY, Cluster, wait_for
from system.scenario import DESK_API_KEY, ENTRY_LEASE_MS, Fault

__all__ = ["FAULTS", "find_fault"]

# Longer than the entry lease and every election timeout.
FREEZE_S = 5.0
ISOLATION_S = 6.0
# Longer than the time limit for new work at a backend server that has left.
DEPARTURE_OBSERVATION_S = 3.0
ENGINE_FAULT_S = 2.0
LEADER_TIMEOUT_S = 20.0
# Time during which the crashing request is resent; restarted engines need some seconds before they
# get work again.
CRASH_RESEND_S = 12.0
# Longer than the entry lease, so that there is a period in which no entry host may send work.
MAJORITY_LOSS_S = 5.0
REPAIR_TIMEOUT_S = 20.0
# Time within which the group must have a new leader: twice the duration of an election.
MAX_REELECTION_S = 4.0


async def _wait_for_leader(cluster: Cluster) -> str:
    """Wait for a control leader and return its name."""
    # A fault that happens at the same time may have stopped the leader.
    async with asyncio.timeout(LEADER_TIMEOUT_S):
        while (status := await cluster.status()) is None:
            await asyncio.sleep(0.05)
    return status["leader"]


async def _choose_follower(cluster: Cluster, random: Random) -> str:
    """Return the name of a random control host that does not lead."""
    leader = await _wait_for_leader(cluster)
    return random.choice([host for host in cluster.controls if host != leader])


async def _cause_no_fault(_: Cluster, __: Random) -> None:
    """Cause no fault."""
    return


async def _restart(cluster: Cluster, name: str, random: Random) -> None:
    """Kill a process and start it again after a random pause."""
    await cluster.kill(name)
    await asyncio.sleep(random.uniform(0.1, 2.0))
    await cluster.launch(name)
    await asyncio.sleep(2.0)


async def _freeze(cluster: Cluster, name: str) -> None:
    """Stop a process by SIGSTOP for ``FREEZE_S`` and let it continue."""
    cluster.signal(name, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    cluster.signal(name, signal.SIGCONT)
    await asyncio.sleep(1.0)


async def _isolate(cluster: Cluster, host: str) -> None:
    """Drop all bytes between a host and the other daemons for ``ISOLATION_S``."""
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
    await _restart(cluster, await _wait_for_leader(cluster), random)


async def kill_follower(cluster: Cluster, random: Random) -> None:
    """Kill a control follower and start it again."""
    await _restart(cluster, await _choose_follower(cluster, random), random)


async def kill_leader_and_entry(cluster: Cluster, random: Random) -> None:
    """Kill the control leader, and an entry host while the group recovers; restart both."""
    leader, entry = await _wait_for_leader(cluster), random.choice(cluster.entries)
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
    await _freeze(cluster, await _wait_for_leader(cluster))


async def isolate_leader(cluster: Cluster, random: Random) -> None:
    """Drop all bytes between the control leader and the other daemons."""
    await _isolate(cluster, await _wait_for_leader(cluster))


async def isolate_follower(cluster: Cluster, random: Random) -> None:
    """Drop all bytes between a control follower and the other daemons."""
    await _isolate(cluster, await _choose_follower(cluster, random))


async def isolate_leader_one_way(cluster: Cluster, random: Random) -> None:
    """Drop all bytes to the control leader; those that it sends still arrive."""
    leader = await _wait_for_leader(cluster)
    for (source, target), relay in cluster.relays.items():
        if target == leader:
            relay.drop_forward = True
        if source == leader:
            relay.drop_backward = True
    await asyncio.sleep(ISOLATION_S)
    cluster.heal()
    await asyncio.sleep(2.0)


async def silence_connections(cluster: Cluster, random: Random) -> None:
    """Drop all further bytes on the open connections between daemons; new connections work."""
    for relay in cluster.relays.values():
        relay.silence_open_connections()
    await asyncio.sleep(5.0)


async def isolate_entry(cluster: Cluster, random: Random) -> None:
    """Drop all bytes between an entry host and the control hosts; callers still reach it."""
    await _isolate(cluster, random.choice(cluster.entries))


async def leave_engine(cluster: Cluster, random: Random) -> None:
    """Announce that an engine leaves while it goes on serving, so that late work is recorded."""
    identity = random.choice(cluster.engines[:2]).identity
    status = await cluster.status()
    assert status is not None
    record = next(item for item in status["backends"] if item["identity"] == identity)
    body = {"identity": identity, "incarnation": record["incarnation"]}
    headers = {"Authorization": f"Bearer {BACKEND_KEY}"}
    url = f"{cluster.admin_url(status['leader'])}/backend/v1/leave"
    cluster.left_at_ms[identity] = wall_ms()
    async with cluster.session.post(url, json=body, headers=headers) as response:
        assert response.status == 200, await response.text()
    await asyncio.sleep(DEPARTURE_OBSERVATION_S)


async def stop_engine(cluster: Cluster, random: Random) -> None:
    """Stop an engine gracefully; it leaves and finishes its open requests."""
    identity = random.choice(cluster.engines[:2]).identity
    cluster.is_planned_stop = True
    cluster.left_at_ms[identity] = wall_ms()
    await cluster.terminate(identity)
    await asyncio.sleep(DEPARTURE_OBSERVATION_S)


async def cross_answers(cluster: Cluster, _: Random) -> None:
    """Let engines answer with the identity and text of the previous request."""
    await _set_engine_faults(cluster, {"crossed": True})


async def double_answers(cluster: Cluster, _: Random) -> None:
    """Let engines send each answer twice."""
    await _set_engine_faults(cluster, {"doubled": True})


async def delay_answers(cluster: Cluster, _: Random) -> None:
    """Let engines delay each answer by 1.5 s."""
    await _set_engine_faults(cluster, {"late_s": 1.5})


async def cut_answers(cluster: Cluster, _: Random) -> None:
    """Let engines end each stream after three tokens."""
    await _set_engine_faults(cluster, {"cut_after_tokens": 3})


async def _set_engine_faults(cluster: Cluster, faults: dict[str, Any]) -> None:
    """Set the fault options of all engines for ``ENGINE_FAULT_S`` and reset them."""
    for body in (faults, {}):
        for engine in cluster.engines:
            url = f"http://{cluster.ip}:{cluster.ports[engine.identity]}/emulate/v1/faults"
            async with cluster.session.post(url, json=body) as response:
                assert response.status == 200, await response.text()
        await asyncio.sleep(ENGINE_FAULT_S if body else 0.0)


async def crash_request(cluster: Cluster, _: Random) -> None:
    """Resend a request that crashes its engine through all entry hosts; restart the engines."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + CRASH_RESEND_S
    engines = [engine.identity for engine in cluster.engines]
    for entry in cycle(cluster.entries):
        await send_chat_request(cluster, entry, DESK_API_KEY, "desk", CRASH_MARKER)
        for name in engines:
            if cluster.processes[name].returncode is not None:
                cluster.crash_count += 1
                await cluster.launch(name)
        await asyncio.sleep(0.1)
        if loop.time() > end_s:
            return


async def lose_majority(cluster: Cluster, random: Random) -> None:
    """Kill the leader and a follower; restart them after the entry hosts' leases have expired."""
    leader, follower = await _wait_for_leader(cluster), await _choose_follower(cluster, random)
    cluster.control_majority_lost = True
    await asyncio.gather(cluster.kill(leader), cluster.kill(follower))
    lost_at_ms = wall_ms()
    await asyncio.sleep(MAJORITY_LOSS_S)
    cluster.no_work_period_ms = (lost_at_ms + ENTRY_LEASE_MS, wall_ms())
    await cluster.launch(leader)
    await cluster.launch(follower)
    await _wait_for_leader(cluster)
    await asyncio.sleep(2.0)


async def lose_disk_then_host(cluster: Cluster, random: Random) -> None:
    """Restart a follower without its data and kill the leader after it has logged the repair.

    The repair replaces the voter of the follower by one with a new identity.
    """
    host = await _choose_follower(cluster, random)
    old_voter = _find_voter(cluster, await _wait_for_leader(cluster), host)
    await _lose_disk(cluster, host)

    async def is_repaired() -> bool:
        voter = _find_voter(cluster, await _wait_for_leader(cluster), host)
        return bool(voter) and voter != old_voter

    await wait_for(is_repaired, REPAIR_TIMEOUT_S)
    await _kill_leader_after_repair(cluster)


async def lose_disk_then_host_at_ready(cluster: Cluster, random: Random) -> None:
    """Restart a follower without its data and kill the leader after it reports to be ready."""
    await _lose_disk(cluster, await _choose_follower(cluster, random))
    await asyncio.sleep(1.0)

    async def is_ready() -> bool:
        status, answer = await cluster.admin("GET", "/ready")
        return status == 200 and answer["ready"]

    await wait_for(is_ready, REPAIR_TIMEOUT_S)
    await _kill_leader_after_repair(cluster)


async def _lose_disk(cluster: Cluster, host: str) -> None:
    """Kill a control host, delete its data and start it again."""
    await cluster.kill(host)
    shutil.rmtree(cluster.folder / host)
    await cluster.launch(host)


def _find_voter(cluster: Cluster, leader: str, host: str) -> str:
    """Return the identity of a host's voter from the leader's log, or "" if there are learners."""
    log = (cluster.folder / f"{leader}.log").read_text()
    lines = [line for line in log.splitlines() if "Members are now" in line]
    if not lines or not lines[-1].endswith("learners: none."):
        return ""
    match = re.search(rf"{host}#\w+", lines[-1])
    return match.group() if match else ""


async def _kill_leader_after_repair(cluster: Cluster) -> None:
    """Kill the leader and check that the repaired group elects another in time."""
    leader = await _wait_for_leader(cluster)
    await cluster.kill(leader)
    await asyncio.sleep(MAX_REELECTION_S)
    if await cluster.status() is None:
        cluster.problems.append(
            f"no leader {MAX_REELECTION_S:g} s after the leader was killed after the repair"
        )
    await cluster.launch(leader)
    await asyncio.sleep(2.0)


async def stop_leader(cluster: Cluster, _: Random) -> None:
    """Stop the control leader gracefully and start it again."""
    await _planned_stop(cluster, await _wait_for_leader(cluster))


async def stop_follower(cluster: Cluster, random: Random) -> None:
    """Stop a control follower gracefully and start it again."""
    await _planned_stop(cluster, await _choose_follower(cluster, random))


async def stop_entry(cluster: Cluster, random: Random) -> None:
    """Stop an entry host gracefully and start it again."""
    await _planned_stop(cluster, random.choice(cluster.entries))


async def stop_service(cluster: Cluster, random: Random) -> None:
    """Stop a plain service gracefully and start it again."""
    await _planned_stop(cluster, random.choice(cluster.services))


async def _planned_stop(cluster: Cluster, name: str) -> None:
    """Stop a process gracefully and start it again."""
    cluster.is_planned_stop = True
    await cluster.terminate(name)
    await asyncio.sleep(1.0)
    await cluster.launch(name)
    await asyncio.sleep(2.0)


def find_fault(name: str) -> Fault:
    """Return a fault by name; faults whose names are joined by "+" happen at the same time."""
    faults = [FAULTS[part] for part in name.split("+")]

    async def cause_all(cluster: Cluster, random: Random) -> None:
        await asyncio.gather(*[fault(cluster, random) for fault in faults])

    return faults[0] if len(faults) == 1 else cause_all


FAULTS: dict[str, Fault] = {
    "none": _cause_no_fault,
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
