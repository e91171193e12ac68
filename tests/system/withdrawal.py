"""Withdraws a model version during faults and measures when the withdrawal is in force.

A change is in force once no entry host can use the configuration before it any more.
"""

import asyncio
import os
from dataclasses import dataclass

from system.callers import wall_ms
from system.cluster import Cluster
from system.history import Violation

__all__ = ["IN_FORCE_LIMIT_MS", "Withdrawal", "check_in_force", "wait_in_force", "withdraw"]

# Design limit from the acceptance of a change until it is in force, with one control host lost.
IN_FORCE_LIMIT_MS = 5000
SEND_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.05
# Every fault ends long before this time, so a withdrawal that takes longer will never succeed.
WITHDRAWAL_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class Withdrawal:
    """Progress of one withdrawal.

    Attributes
    ----------
    sent_ms, accepted_ms, in_force_ms
        Wall times in milliseconds of the first send, of its acceptance, and of the first report
        that it is in force.
    send_count
        Number of times that it was sent.
    """

    sent_ms: int
    accepted_ms: int
    in_force_ms: int
    send_count: int

    def __str__(self) -> str:
        return (
            f"withdrawal accepted {self.accepted_ms - self.sent_ms} ms after the first of "
            f"{self.send_count} sends, in force {self.in_force_ms - self.accepted_ms} ms later"
        )


async def withdraw(cluster: Cluster, model: str, version: str, delay_s: float = 0.0) -> Withdrawal:
    """Withdraw a version and wait until any control host reports the withdrawal in force.

    Waits ``delay_s`` first. The same change is sent to one control host after the other until one
    accepts it.
    """
    await asyncio.sleep(delay_s)
    body = {"change_id": os.urandom(8).hex(), "model": model, "version": version}
    sent_ms, send_count, status, answer = wall_ms(), 0, 0, None
    async with asyncio.timeout(WITHDRAWAL_TIMEOUT_S):
        while status != 200:
            host = cluster.controls[send_count % len(cluster.controls)]
            send_count += 1
            status, answer = await cluster.admin(
                "POST", "/versions/withdraw", body, host=host, timeout_s=SEND_TIMEOUT_S
            )
            assert status == 200 or not 400 <= status < 500, answer
            await asyncio.sleep(0 if status == 200 else RETRY_PAUSE_S)
        accepted_ms = wall_ms()
        await wait_in_force(cluster, answer["revision"])
        in_force_ms = wall_ms()
    return Withdrawal(sent_ms, accepted_ms, in_force_ms, send_count)


async def wait_in_force(cluster: Cluster, revision: int) -> None:
    """Wait until any control host reports a revision in force; polls all concurrently."""
    polls = [
        asyncio.create_task(_poll_until_in_force(cluster, host, revision))
        for host in cluster.controls
    ]
    try:
        await asyncio.wait(polls, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for poll in polls:
            poll.cancel()
        await asyncio.gather(*polls, return_exceptions=True)


async def _poll_until_in_force(cluster: Cluster, host: str, revision: int) -> None:
    """Ask one control host repeatedly until it reports the revision in force."""
    path, is_in_force = f"/in-force?revision={revision}", False
    while not is_in_force:
        status, answer = await cluster.admin("GET", path, host=host, timeout_s=SEND_TIMEOUT_S)
        is_in_force = status == 200 and answer["in_force"]
        await asyncio.sleep(0 if is_in_force else RETRY_PAUSE_S)


def check_in_force(withdrawal: Withdrawal) -> list[Violation]:
    """Check that an accepted withdrawal was in force within the limit."""
    delay_ms = withdrawal.in_force_ms - withdrawal.accepted_ms
    if delay_ms <= IN_FORCE_LIMIT_MS:
        return []
    return [Violation("in force", f"{delay_ms} ms after it was accepted")]
