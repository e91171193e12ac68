"""Reports requests that were running when a backend server was lost, and their trials."""

import asyncio
from dataclasses import dataclass, field
from math import inf

from baobabstream.entry.leader_calls import (
    BACKGROUND_LIMIT_S,
    BackgroundCalls,
    call_leader_within,
)
from baobabstream.errors.exceptions import PeerError
from baobabstream.membership.control_session import ControlSession
from baobabstream.policy.events import TrialDenied, TrialGranted
from baobabstream.telemetry.logs import get_logger
from baobabstream.wire.messages import (
    SuspectRequest,
    TrialEnd,
    TrialReply,
    TrialRequest,
)

__all__ = ["SuspectReporter"]

# The connections to a crashed backend server end within the same few milliseconds.
BATCH_DELAY_S = 0.01
# A caller waits this long for the acknowledgement while there is no leader.
REPORT_LIMIT_S = 5.0
TRIAL_TIMEOUT_S = 2.0
TRIAL_RETRY_S = 0.5

_log = get_logger("entry")


@dataclass(slots=True)
class _Batch:
    fingerprints: set[str] = field(default_factory=set)
    task: asyncio.Task[None] | None = None


class SuspectReporter:
    """Tells the control leader of losses and runs the entry's side of trials.

    Parameters
    ----------
    control
        Connection to the control hosts.
    host
        Name of this entry host.
    background
        Runs the calls that outlive their request.
    """

    def __init__(self, control: ControlSession, host: str, background: BackgroundCalls) -> None:
        self._control = control
        self._host = host
        self._background = background
        self._batches: dict[tuple[str, int], _Batch] = {}

    async def report(self, backend_server: str, incarnation: int, fingerprint: str) -> None:
        """Record that a connection was lost; returns once the leader has acknowledged it."""
        key = (backend_server, incarnation)
        batch = self._batches.setdefault(key, _Batch())
        batch.fingerprints.add(fingerprint)
        if batch.task is None:
            batch.task = self._background.start(self._send(key, batch))
        await asyncio.shield(batch.task)

    async def ask_trial(
        self, fingerprint: str, request_id: str, candidates: tuple[str, ...]
    ) -> TrialGranted | TrialDenied:
        """Ask for the right to run a suspect on one of the candidates."""
        message = TrialRequest(fingerprint, request_id, self._host, candidates)
        try:
            reply: TrialReply = await self._control.call_leader(message, TRIAL_TIMEOUT_S)
        except PeerError as error:
            _log.warning("Trial for %s could not be asked for: %s.", request_id, error)
            # The leader may have granted it. The suspect did not run, so it is not cleared.
            not_run = TrialEnd(fingerprint, request_id, self._host, lost=False, ran=False)
            self._background.start(self._end_trial(not_run))
            return TrialDenied(request_id, TRIAL_RETRY_S, quarantined=False)
        if reply.backend_server:
            trial_s = reply.trial_ms / 1000 if reply.trial_ms else inf
            return TrialGranted(request_id, reply.backend_server, trial_s)
        return TrialDenied(request_id, reply.retry_after_ms / 1000, reply.quarantined)

    def end_trial(self, fingerprint: str, request_id: str, *, lost: bool) -> None:
        """Tell the leader that a trial is over; with ``lost`` the suspect is not cleared."""
        message = TrialEnd(fingerprint, request_id, self._host, lost)
        self._background.start(self._end_trial(message))

    async def _send(self, key: tuple[str, int], batch: _Batch) -> None:
        await asyncio.sleep(BATCH_DELAY_S)
        del self._batches[key]
        backend_server, incarnation = key
        fingerprints = tuple(sorted(batch.fingerprints))
        message = SuspectRequest(backend_server, incarnation, fingerprints, self._host)
        try:
            await call_leader_within(self._control, message, REPORT_LIMIT_S)
        except PeerError as error:
            _log.error("Loss of %s could not be reported: %s.", backend_server, error)

    async def _end_trial(self, message: TrialEnd) -> None:
        try:
            await call_leader_within(self._control, message, BACKGROUND_LIMIT_S)
        except PeerError as error:
            _log.error("End of trial %s could not be reported: %s.", message.request_id, error)
