"""Trials of suspect requests, part of the replicated configuration state.

A fingerprint identifies requests with equal content. It is a suspect if such a request was running
on a backend server when that failed, which is called a loss. A suspect may run again only in a
trial: alone among suspects on one backend server, for a limited time. The owner of a trial is the
request, given by its identity, that it was granted to. The leader of the control hosts grants
trials; its wall clock decides when they expire.
"""

from msgspec import Struct, field

from baobabstream.wire.messages import TrialEnd, TrialReply, TrialRequest

__all__ = ["TrialTable"]

# Time within which the suspect must have ended. It is longer than any answer takes: the longest
# ones of the benchmark, those of the gate-histories workload, run for about a minute.
TRIAL_DURATION_MS = 120_000
# Upper bound of the difference between the wall clocks of two successive leaders. The table keeps a
# trial for this much longer than the time that its owner is given.
CLOCK_SKEW_MARGIN_MS = 30_000
# Time after which an entry host (a host that receives the callers' requests) asks again for a trial
# that could not be granted.
RETRY_AFTER_MS = 200


class _Trial(Struct):
    """Trial of one suspect request.

    ``backend_server`` is the identity of the server on which the suspect runs; it is empty once the
    trial lost its server and the loss is not yet recorded. ``host`` is the entry host that runs the
    request. ``expires_ms`` is a wall time in milliseconds since the Unix epoch.
    """

    backend_server: str
    request_id: str
    host: str
    expires_ms: int


class TrialTable(Struct):
    """Running trials by fingerprint.

    At most one suspect runs on a backend server, so that a loss identifies the request that caused
    it. A fingerprint runs on one backend server, so that it cannot make two fail at once.

    Attributes
    ----------
    trials
        Trials by fingerprint.
    time_ms
        Latest wall time of any command in milliseconds since the Unix epoch. It never falls, even
        if the clock of a new leader is behind.
    """

    trials: dict[str, _Trial] = field(default_factory=dict)
    time_ms: int = 0

    def start(self, request: TrialRequest, wall_time_ms: int) -> TrialReply:
        """Grant a trial on the first candidate server without one, or say when to ask again.

        ``wall_time_ms`` is the leader's wall clock in milliseconds since the Unix epoch. The owner
        of a running trial gets the same server again, with the remaining time. Others must wait.

        ``request.candidates`` are the identities of the servers that may run the suspect, in order
        of preference. In the reply, an empty server means that no trial was granted,
        ``retry_after_ms`` is the time after which to ask again, and ``trial_ms`` the time within
        which the suspect must end.
        """
        self._drop_expired(wall_time_ms)
        current_trial = self.trials.get(request.fingerprint)
        if current_trial is not None:
            if current_trial.request_id != request.request_id or not current_trial.backend_server:
                return TrialReply(retry_after_ms=RETRY_AFTER_MS)
            # Time that the owner has left; the margin is not part of it.
            remaining_ms = current_trial.expires_ms - CLOCK_SKEW_MARGIN_MS - self.time_ms
            return TrialReply(current_trial.backend_server, trial_ms=max(0, remaining_ms))
        servers_in_trial = {trial.backend_server for trial in self.trials.values()}
        free_server = next(
            (server for server in request.candidates if server not in servers_in_trial), ""
        )
        if not free_server:
            return TrialReply(retry_after_ms=RETRY_AFTER_MS)
        expires_ms = self.time_ms + TRIAL_DURATION_MS + CLOCK_SKEW_MARGIN_MS
        self.trials[request.fingerprint] = _Trial(
            free_server, request.request_id, request.host, expires_ms
        )
        return TrialReply(free_server, trial_ms=TRIAL_DURATION_MS)

    def end(self, request: TrialEnd) -> bool:
        """End the trial of this request and return whether the suspect is cleared.

        A suspect is cleared, that is, no longer one, if its request ran and its backend server was
        not lost. ``request.lost`` says that its server was lost, ``request.ran`` that it ran.
        """
        trial = self.trials.get(request.fingerprint)
        if trial is None or trial.request_id != request.request_id:
            return False
        if request.lost:
            # Frees the backend server, but blocks the fingerprint until the loss is recorded.
            trial.backend_server = ""
            return False
        del self.trials[request.fingerprint]
        return request.ran

    def drop_trial_after_loss(self, fingerprint: str, backend_server: str) -> None:
        """Remove the trial of a fingerprint once the loss of its backend server is recorded.

        A trial on another backend server continues.
        """
        trial = self.trials.get(fingerprint)
        # Empty if the trial has already reported the loss of its server.
        if trial is not None and trial.backend_server in ("", backend_server):
            del self.trials[fingerprint]

    def _drop_expired(self, wall_time_ms: int) -> None:
        """Advance the time of the table and remove the trials that have expired."""
        self.time_ms = max(self.time_ms, wall_time_ms)
        expired_fingerprints = [
            fingerprint
            for fingerprint, trial in self.trials.items()
            if trial.expires_ms <= self.time_ms
        ]
        for fingerprint in expired_fingerprints:
            del self.trials[fingerprint]
