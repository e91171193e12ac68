"""Interruptions of a rollout, by name, with the state in which the rollout must end."""

import asyncio
import signal
from random import Random

from system.cluster import wait_for
from system.rollouts import STEPS, Interruption, RolloutCluster, reached, rollout_row

__all__ = ["FINAL_STATES", "INTERRUPTIONS"]

STEP_LIMIT_S = 40.0
# Longer than the leader lease and every election timeout.
FREEZE_S = 5.0
PAUSE_S = 3.0


async def _reach(cluster: RolloutCluster, state: str, share: float = 0.0) -> None:
    await wait_for(lambda: reached(cluster, state, share), STEP_LIMIT_S)


async def _reach_loading(cluster: RolloutCluster) -> list[str]:
    """Wait until engines load and return their names."""
    found: list[str] = []

    async def loads() -> bool:
        orders = [(x.identity, await cluster.orders_of(x.identity)) for x in cluster.engines]
        found[:] = [name for name, order in orders if order is not None and order["loading"]]
        return bool(found)

    await wait_for(loads, STEP_LIMIT_S)
    return found


async def _leader(cluster: RolloutCluster) -> str:
    found: list[str] = []

    async def known() -> bool:
        status = await cluster.status()
        found[:] = [status["leader"]] if status is not None else []
        return bool(found)

    await wait_for(known, 15)
    return found[0]


async def _kill_leader(cluster: RolloutCluster, random: Random) -> None:
    leader = await _leader(cluster)
    await cluster.kill(leader)
    await asyncio.sleep(random.uniform(0.0, 1.0))
    await cluster.launch(leader)
    await _leader(cluster)


async def no_interruption(_: RolloutCluster, __: Random) -> None:
    """Let the rollout go on."""


async def kill_leader_while_loading(cluster: RolloutCluster, random: Random) -> None:
    """Kill the leader while engines load."""
    await _reach_loading(cluster)
    await _kill_leader(cluster, random)


async def kill_leader_at_each_share(cluster: RolloutCluster, random: Random) -> None:
    """Kill the leader of the time at each share."""
    for share in STEPS:
        await _reach(cluster, "running", share)
        await asyncio.sleep(random.uniform(0.0, 0.5))
        await _kill_leader(cluster, random)


async def kill_leader_when_completed(cluster: RolloutCluster, random: Random) -> None:
    """Kill the leader right after the rollout has completed."""
    await _reach(cluster, "completed")
    await _kill_leader(cluster, random)


async def kill_leader_at_each_step(cluster: RolloutCluster, random: Random) -> None:
    """Kill the leader of the time while engines load, at a share, and at completion."""
    await kill_leader_while_loading(cluster, random)
    await _reach(cluster, "running", STEPS[1])
    await _kill_leader(cluster, random)
    await kill_leader_when_completed(cluster, random)


async def pause_and_resume(cluster: RolloutCluster, _: Random) -> None:
    """Pause while engines load and at the second share; nothing moves while it is paused."""
    await _reach_loading(cluster)
    await _pause(cluster)
    await _reach(cluster, "running", STEPS[1])
    await _pause(cluster)


async def _pause(cluster: RolloutCluster) -> None:
    await cluster.operate("rollout", "pause", "summer")
    before = await rollout_row(cluster)
    await asyncio.sleep(PAUSE_S)
    after = await rollout_row(cluster)
    assert before is not None
    assert after is not None
    moved = [key for key in ("state", "step", "share") if before[key] != after[key]]
    assert before["state"] == "paused", before
    assert not moved, (before, after)
    await cluster.operate("rollout", "resume", "summer")


async def withdraw_halfway(cluster: RolloutCluster, _: Random) -> None:
    """Withdraw the rollout at the second share."""
    await _reach(cluster, "running", STEPS[1])
    await cluster.operate("rollout", "withdraw", "summer")


async def kill_loading_engine(cluster: RolloutCluster, random: Random) -> None:
    """Kill an engine while it loads and start it again once the others go on without it."""
    name = random.choice(await _reach_loading(cluster))
    await cluster.kill(name)
    await _reach(cluster, "running", STEPS[0])
    await cluster.launch(name)


async def restart_loading_engine(cluster: RolloutCluster, random: Random) -> None:
    """Kill an engine while it loads and start it again before its announcement expires."""
    name = random.choice(await _reach_loading(cluster))
    await cluster.kill(name)
    await cluster.launch(name)


async def freeze_leader_while_loading(cluster: RolloutCluster, _: Random) -> None:
    """Freeze the leader while engines load; it goes on when another leader has taken over."""
    await _reach_loading(cluster)
    leader = await _leader(cluster)
    cluster.signal(leader, signal.SIGSTOP)
    await asyncio.sleep(FREEZE_S)
    cluster.signal(leader, signal.SIGCONT)


INTERRUPTIONS: dict[str, Interruption] = {
    function.__name__: function
    for function in (
        no_interruption,
        kill_leader_while_loading,
        kill_leader_at_each_share,
        kill_leader_when_completed,
        kill_leader_at_each_step,
        pause_and_resume,
        withdraw_halfway,
        kill_loading_engine,
        restart_loading_engine,
        freeze_leader_while_loading,
    )
}
FINAL_STATES = dict.fromkeys(INTERRUPTIONS, "completed") | {"withdraw_halfway": "stopped"}
