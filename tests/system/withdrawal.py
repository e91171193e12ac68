"""Withdraws a version while faults happen and measures when the withdrawal is in force."""

import asyncio
import os
from dataclasses import dataclass

from system.callers import wall_ms
from system.cluster import Cluster
from system.history import Violation

__all__ = ["IN_FORCE_LIMIT_MS", "Withdrawal", "check_in_force", "wait_in_force", "withdraw"]

# Aim of the design with one control host lost.
IN_FORCE_LIMIT_MS = 5000
SEND_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.05
# Every fault ends long before this, so a withdrawal that takes longer never comes into force.
GIVE_UP_S = 30.0


@dataclass(frozen=True)
class Withdrawal:
    """Wall times in milliseconds of a withdrawal, and how often it was sent."""

    sent_ms: int
    accepted_ms: int
    in_force_ms: int
    sends: int

    def __str__(self) -> str:
        return (
            f"withdrawal accepted {self.accepted_ms - self.sent_ms} ms after the first of "
            f"{self.sends} sends, in force {self.in_force_ms - self.accepted_ms} ms later"
        )


async def withdraw(cluster: Cluster, model: str, version: str, delay_s: float = 0.0) -> Withdrawal:
    """Withdraw a version and wait until any control host reports the withdrawal in force.

    The same change is sent again to the next control host until one accepts it.
    """
    await asyncio.sleep(delay_s)
    body = {"change_id": os.urandom(8).hex(), "model": model, "version": version}
    sent_ms, sends, status, answer = wall_ms(), 0, 0, None
    async with asyncio.timeout(GIVE_UP_S):
        while status != 200:
            host = cluster.controls[sends % len(cluster.controls)]
            sends += 1
            status, answer = await cluster.admin(
                "POST", "/versions/withdraw", body, host=host, timeout_s=SEND_TIMEOUT_S
            )
            assert status == 200 or not 400 <= status < 500, answer
            await asyncio.sleep(0 if status == 200 else RETRY_PAUSE_S)
        accepted_ms = wall_ms()
        await wait_in_force(cluster, answer["revision"])
        in_force_ms = wall_ms()
    return Withdrawal(sent_ms, accepted_ms, in_force_ms, sends)


async def wait_in_force(cluster: Cluster, revision: int) -> None:
    """Wait until any control host reports a revision in force; all are asked side by side."""
    waits = [asyncio.create_task(_poll(cluster, host, revision)) for host in cluster.controls]
    try:
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for wait in waits:
            wait.cancel()
        await asyncio.gather(*waits, return_exceptions=True)


async def _poll(cluster: Cluster, host: str, revision: int) -> None:
    path, in_force = f"/in-force?revision={revision}", False
    while not in_force:
        code, answer = await cluster.admin("GET", path, host=host, timeout_s=SEND_TIMEOUT_S)
        in_force = code == 200 and answer["in_force"]
        await asyncio.sleep(0 if in_force else RETRY_PAUSE_S)


def check_in_force(withdrawal: Withdrawal) -> list[Violation]:
    """Check that an accepted change was in force within the limit."""
    took_ms = withdrawal.in_force_ms - withdrawal.accepted_ms
    if took_ms <= IN_FORCE_LIMIT_MS:
        return []
    return [Violation("in force", f"{took_ms} ms after it was accepted")]
