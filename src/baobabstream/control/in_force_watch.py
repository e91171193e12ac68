"""Writes a timeline event for each accepted change as soon as it is in force."""

import asyncio
from collections import deque
from collections.abc import Callable

from baobabstream.control.poll_service import PollService
from baobabstream.telemetry.timeline import EventKind, TimeLine

__all__ = ["InForceWatch"]

WAIT_S = 30.0
LEADER_CHECK_S = 0.1


class InForceWatch:
    """Waits for each revision that a leader committed and records when it is in force.

    Parameters
    ----------
    polls
        Knows when a revision is in force.
    revision
        Revision at which this leader began.
    leads
        Returns whether this host still holds the leader lease.
    timeline
        Event timeline of this host.

    Notes
    -----
    A leader writes one event for each revision. It begins with the revision that it found, since
    the previous leader may have been lost before that revision was in force.
    """

    def __init__(
        self,
        polls: PollService,
        revision: int,
        leads: Callable[[], bool],
        timeline: TimeLine,
    ) -> None:
        self._polls = polls
        self._leads = leads
        self._timeline = timeline
        self._highest = revision
        self._waiting = deque([revision] if revision > 0 else [])
        self._came = asyncio.Event()

    def note(self, revision: int) -> None:
        """Note the revision after committed commands, which may be several at once."""
        if revision > self._highest:
            self._waiting.extend(range(self._highest + 1, revision + 1))
            self._highest = revision
            self._came.set()

    async def run(self) -> None:
        """Write the events until cancelled."""
        while True:
            while not self._waiting:
                self._came.clear()
                await self._came.wait()
            revision = self._waiting[0]
            if await self._polls.wait_in_force(revision, WAIT_S) and self._leads():
                self._waiting.popleft()
                self._timeline.emit(EventKind.CHANGE_IN_FORCE, revision=revision)
            else:
                await asyncio.sleep(LEADER_CHECK_S)
