"""Writes a timeline event for each revision of the configuration once it is in force.

The revision is the number of the last change of the configuration. It is in force once every entry
process with a live lease has applied it. An entry process receives the callers' requests, and may
act on its configuration only while it holds a lease from the leader of the control hosts. The
leader itself holds a leader lease, which ends when it does not reach a majority of them.
"""

import asyncio
from collections import deque
from collections.abc import Callable

from baobabstream.control.poll_service import PollService
from baobabstream.telemetry.timeline import EventKind, TimelineWriter

__all__ = ["InForceWatch"]

# Longest single wait for a revision; the wait is repeated until the revision is in force.
IN_FORCE_TIMEOUT_S = 30.0
# Delay after a wait that timed out or ended without the leader lease.
RETRY_DELAY_S = 0.1


class InForceWatch:
    """Waits for each committed revision to be in force and records the time in the timeline.

    Parameters
    ----------
    poll_service
        Waits for a revision to be in force.
    revision
        Revision at which this host became leader.
    leads
        Returns whether this host still holds the leader lease.
    timeline
        Event timeline of this host.

    Notes
    -----
    A leader writes one event for each revision, in order. It begins with the revision at which it
    became leader, since the previous leader may have failed before that revision was in force.
    """

    def __init__(
        self,
        poll_service: PollService,
        revision: int,
        leads: Callable[[], bool],
        timeline: TimelineWriter,
    ) -> None:
        self._poll_service = poll_service
        self._leads = leads
        self._timeline = timeline
        self._last_added_revision = revision
        # Revision 0 is the empty configuration before the first change and needs no event.
        self._pending_revisions = deque([revision] if revision > 0 else [])
        self._revision_added = asyncio.Event()

    def add_revisions_through(self, revision: int) -> None:
        """Add all revisions up to this one, so that each gets an event once it is in force.

        Several commands may have been committed since the last call.
        """
        if revision > self._last_added_revision:
            self._pending_revisions.extend(range(self._last_added_revision + 1, revision + 1))
            self._last_added_revision = revision
            self._revision_added.set()

    async def run(self) -> None:
        """Write the events in the order of the revisions until cancelled.

        The leader lease is checked after each wait, since the answer of a host that no longer leads
        may be wrong.
        """
        while True:
            while not self._pending_revisions:
                self._revision_added.clear()
                await self._revision_added.wait()
            revision = self._pending_revisions[0]
            if (
                await self._poll_service.wait_in_force(revision, IN_FORCE_TIMEOUT_S)
                and self._leads()
            ):
                self._pending_revisions.popleft()
                self._timeline.emit(EventKind.CHANGE_IN_FORCE, revision=revision)
            else:
                await asyncio.sleep(RETRY_DELAY_S)
