"""Waits on conditions in tests."""

import asyncio
from collections.abc import Callable

__all__ = ["until"]

POLL_INTERVAL_S = 0.002


async def until(condition: Callable[[], object], timeout_s: float = 10.0) -> None:
    """Return once a condition holds; raises TimeoutError if it does not in time."""
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110 - any condition, not only an event
            await asyncio.sleep(POLL_INTERVAL_S)
