"""Interruptions of a rollout, and the state in which the rollout must end after each.

The name of a function is the name of its interruption in ``INTERRUPTIONS``.
"""

import asyncio
import signal
from random import Random

from system.cluster import wait_for
from system.rollouts import (
    STEP_SHARES,
    Interruption,
    RolloutCluster,
    fetch_rollout_row,
    rollout_has_reached,
)

__all__ = ["FINAL_STATES", "INTERRUPTIONS"]

STEP_TIMEOUT_S = 40.0
# Longer than the leader lease and every election timeout.
FREEZE_S = 5.0
PAUSE_S = 3.0


async def _wait_for_state(cluster: RolloutCluster, state: str, share: float = 0.0) -> None:
    """Wait until the rollout is in a state and has at least a share."""
    await wait_for(lambda: rollout_has_reached(cluster, state, share), STEP_TIMEOUT_S)


async def _wait_for_loading_engines(cluster: RolloutCluster) -> list[str]:
    """Wait until engines load and return their names."""
    names: list[str] = []

    async def any_loads() -> bool:
        orders = [
            (engine.identity, await cluster.fetch_orders(engine.identity))
            for engine in cluster.engines
        ]
        names[:] = [name for name, order in orders if order is not None and order["loading"]]
        return bool(names)

    await wait_for(any_loads, STEP_TIMEOUT_S)
    return names


async def _wait_for_leader(cluster: RolloutCluster) -> str:
    """Wait for a control leader and return its name."""
    names: list[str] = []

    async def is_known() -> bool:
        status = await cluster.status()
        names[:] = [status["leader"]] if status is not None else []
        return bool(names)

    await wait_for(is_known, 15)
    return names[0]


async def _restart_leader(cluster: RolloutCluster, random: Random) -> None:
    """Kill the control leader, start it again after a pause, and wait for a leader."""
    leader = await _wait_for_leader(cluster)
    await cluster.kill(leader)
    await asyncio.sleep(random.uniform(0.0, 1.0))
    await cluster.launch(leader)
    await _wait_for_leader(cluster)


async def no_interruption(_: RolloutCluster, __: Random) -> None:
    """Leave the rollout undisturbed."""


async def kill_leader_while_loading(cluster: RolloutCluster, random: Random) -> None:
    """Kill the leader while engines load."""
    await _wait_for_loading_engines(cluster)
    await _restart_leader(cluster, random)


async def kill_leader_at_each_share(cluster: RolloutCluster, random: Random) -> None:
    """Kill the current leader at each share."""
    for share in STEP_SHARES:
        await _wait_for_state(cluster, "running", share)
        await asyncio.sleep(random.uniform(0.0, 0.5))
        await _restart_leader(cluster, random)


async def kill_leader_when_completed(cluster: RolloutCluster, random: Random) -> None:
    """Kill the leader right after the rollout has completed."""
    await _wait_for_state(cluster, "completed")
    await _restart_leader(cluster, random)


async def kill_leader_at_each_step(cluster: RolloutCluster, random: Random) -> None:
    """Kill the current leader while engines load, at the second share, and at completion."""
    await kill_leader_while_loading(cluster, random)
    await _wait_for_state(cluster, "running", STEP_SHARES[1])
    await _restart_leader(cluster, random)
    await kill_leader_when_completed(cluster, random)


async def pause_and_resume(cluster: RolloutCluster, _: Random) -> None:
    """Pause the rollout while engines load and at the second share."""
    await _wait_for_loading_engines(cluster)
    await _pause_and_resume_once(cluster)
    await _wait_for_state(cluster, "running", STEP_SHARES[1])
    await _pause_and_resume_once(cluster)


async def _pause_and_resume_once(cluster: RolloutCluster) -> None:
    """Pause the rollout, check that its row does not change for a time, and resume it."""
    await cluster.run_operator_command("rollout", "pause", "summer")
    row_before = await fetch_rollout_row(cluster)
    await asyncio.sleep(PAUSE_S)
    row_after = await fetch_rollout_row(cluster)
    assert row_before is not None
    assert row_after is not None
    changed_keys = [key for key in ("state", "step", "share") if row_before[key] != row_after[key]]
    assert row_before["state"] == "paused", row_before
    assert not changed_keys, (row_before, row_after)
    await cluster.run_operator_command("rollout", "resume", "summer")


async def withdraw_halfway(cluster: RolloutCluster, _: Random) -> None:
    """Withdraw the rollout at the second share."""
    await _wait_for_state(cluster, "running", STEP_SHARES[1])
    await cluster.run_operator_command("rollout", "withdraw", "summer")


async def kill_loading_engine(cluster: RolloutCluster, random: Random) -> None:
    """Kill an engine while it loads and start it again once the rollout runs without it."""
    name = random.choice(await _wait_for_loading_engines(cluster))
    await cluster.kill(name)
    await _wait_for_state(cluster, "running", STEP_SHARES[0])
    await cluster.launch(name)


async def restart_loading_engine(cluster: RolloutCluster, random: Random) -> None:
    """Kill an engine while it loads and start it again before its announcement expires."""
    name = random.choice(await _wait_for_loading_engines(cluster))
    await cluster.kill(name)
    await cluster.launch(name)


async def freeze_leader_while_loading(cluster: RolloutCluster, _: Random) -> None:
    """Stop the leader by SIGSTOP while engines load; another has taken over when it continues."""
    await _wait_for_loading_engines(cluster)
    leader = await _wait_for_leader(cluster)
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
# State in which the rollout must end after each interruption.
FINAL_STATES = dict.fromkeys(INTERRUPTIONS, "completed") | {"withdraw_halfway": "stopped"}
