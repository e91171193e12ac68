"""Reports requests that were running when a backend server was lost, and runs their trials.

Such a request is a suspect: it may have crashed the server. The control leader quarantines it after
several losses, so that it never runs again; until then it runs only in trials, alone on a server
that the leader chooses. The leader clears a suspect whose server survives the trial. A loss is the
end of a connection to a backend server while a request ran on it. A request is identified by its
fingerprint, a digest of its account and content, and the process of a backend server by the
server's identity and its incarnation, a number that changes with each start.

An entry host accepts the requests of callers. The control hosts store losses and trials; one of
them is the elected leader.
"""

import asyncio
from dataclasses import dataclass, field
from math import inf

from baobabstream.entry.leader_calls import (
    BACKGROUND_TIMEOUT_S,
    BackgroundTasks,
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

# Time for which losses are collected into one report: the connections to a crashed backend server
# end within the same few milliseconds.
BATCH_DELAY_S = 0.01
# Longest time that a request waits for the acknowledgement of a loss while there is no leader.
REPORT_TIMEOUT_S = 5.0
# Limit on the single call that asks for a trial; it is not repeated.
TRIAL_TIMEOUT_S = 2.0
# Time after which a trial may be asked for again if the leader did not reply.
TRIAL_RETRY_S = 0.5

_log = get_logger("entry")


@dataclass(slots=True)
class _LossBatch:
    """Fingerprints to report for one lost backend server, and the task that sends them."""

    fingerprints: set[str] = field(default_factory=set)
    task: asyncio.Task[None] | None = None


class SuspectReporter:
    """Reports losses to the control leader and asks it for trials.

    Parameters
    ----------
    control
        Connection to the control hosts.
    host
        Name of this entry host.
    background_tasks
        Runs the calls that outlive their request.
    """

    def __init__(
        self, control: ControlSession, host: str, background_tasks: BackgroundTasks
    ) -> None:
        self._control = control
        self._host = host
        self._background_tasks = background_tasks
        # Losses not yet reported, by identity and incarnation of the backend server.
        self._batches: dict[tuple[str, int], _LossBatch] = {}

    async def report_loss(self, backend_server: str, incarnation: int, fingerprint: str) -> None:
        """Report that a connection to a backend server was lost while a request ran on it.

        Returns once the leader has acknowledged the report, or the report has failed, which is only
        logged: the leader may then not know of the loss. The task that sends the report is shielded
        from a cancellation of one caller, since other requests share it.
        ``incarnation`` identifies the start of the server's process that was lost.
        """
        server_key = (backend_server, incarnation)
        batch = self._batches.setdefault(server_key, _LossBatch())
        batch.fingerprints.add(fingerprint)
        if batch.task is None:
            batch.task = self._background_tasks.start(self._send_report(server_key, batch))
        await asyncio.shield(batch.task)

    async def ask_trial(
        self, fingerprint: str, request_id: str, candidates: tuple[str, ...]
    ) -> TrialGranted | TrialDenied:
        """Ask the leader for permission to run a suspect on one of the candidates.

        ``candidates`` are identities of backend servers. Without a reply, the trial is denied for
        ``TRIAL_RETRY_S`` seconds. A granted trial names the server and how many seconds the trial
        may take. A denied one gives the seconds after which to ask again, and whether the suspect
        is quarantined, so that it never runs. The reply has both times in milliseconds.
        """
        message = TrialRequest(fingerprint, request_id, self._host, candidates)
        try:
            reply: TrialReply = await self._control.call_leader(message, TRIAL_TIMEOUT_S)
        except PeerError as error:
            _log.warning("Trial of request %s could not be requested: %s.", request_id, error)
            # The leader may have granted the trial although no reply came. The trial is ended and
            # the suspect is not cleared, since it did not run.
            end_without_run = TrialEnd(fingerprint, request_id, self._host, lost=False, ran=False)
            self._background_tasks.start(self._send_trial_end(end_without_run))
            return TrialDenied(request_id, TRIAL_RETRY_S, quarantined=False)
        if reply.backend_server:
            # Without a limit in the reply, the trial may take any time.
            trial_s = reply.trial_ms / 1000 if reply.trial_ms else inf
            return TrialGranted(request_id, reply.backend_server, trial_s)
        return TrialDenied(request_id, reply.retry_after_ms / 1000, reply.quarantined)

    def end_trial(self, fingerprint: str, request_id: str, *, was_server_lost: bool) -> None:
        """Report to the leader that a trial is over.

        The suspect is cleared unless ``was_server_lost`` is set, which also stands for a server
        that is not known to have survived. The report is sent in the background.
        """
        message = TrialEnd(fingerprint, request_id, self._host, was_server_lost)
        self._background_tasks.start(self._send_trial_end(message))

    async def _send_report(self, server_key: tuple[str, int], batch: _LossBatch) -> None:
        """Send the losses of a backend server to the leader in one report.

        They are collected for ``BATCH_DELAY_S`` seconds first. ``server_key`` is the identity and
        the incarnation of the server.
        """
        await asyncio.sleep(BATCH_DELAY_S)
        del self._batches[server_key]
        backend_server, incarnation = server_key
        fingerprints = tuple(sorted(batch.fingerprints))
        message = SuspectRequest(backend_server, incarnation, fingerprints, self._host)
        try:
            await call_leader_within(self._control, message, REPORT_TIMEOUT_S)
        except PeerError as error:
            _log.error(
                "Loss of backend server %s could not be reported: %s.", backend_server, error
            )

    async def _send_trial_end(self, message: TrialEnd) -> None:
        """Send the end of a trial to the leader, repeatedly until it answers.

        After ``BACKGROUND_TIMEOUT_S`` seconds, the failure is only logged; the leader may then not
        know that the trial is over.
        """
        try:
            await call_leader_within(self._control, message, BACKGROUND_TIMEOUT_S)
        except PeerError as error:
            _log.error(
                "End of the trial of request %s could not be reported: %s.",
                message.request_id,
                error,
            )
