"""Trials of suspect requests; a pure table."""

from msgspec import Struct, field

from baobabstream.wire.messages import TrialEnd, TrialReply, TrialRequest

__all__ = ["TrialTable"]

# Longer than any answer: a gate history runs for about a minute.
TRIAL_MS = 120_000
# Covers the difference between the clocks of two leaders.
CLOCK_MARGIN_MS = 30_000
RETRY_AFTER_MS = 200


class _Trial(Struct):
    backend_server: str
    request_id: str
    host: str
    expires_ms: int


class TrialTable(Struct):
    """Trials that run, by fingerprint.

    At most one suspect runs on a backend server, so that a second loss identifies the culprit,
    and a fingerprint runs on one backend server, so that it cannot take two at once.
    """

    trials: dict[str, _Trial] = field(default_factory=dict)
    time_ms: int = 0

    def start(self, request: TrialRequest, wall_time_ms: int) -> TrialReply:
        """Grant a trial on the first candidate without one, or say when to ask again."""
        self._drop_expired(wall_time_ms)
        known = self.trials.get(request.fingerprint)
        if known is not None:
            if known.request_id != request.request_id or not known.backend_server:
                return TrialReply(retry_after_ms=RETRY_AFTER_MS)
            left_ms = known.expires_ms - CLOCK_MARGIN_MS - self.time_ms
            return TrialReply(known.backend_server, trial_ms=max(0, left_ms))
        taken = {trial.backend_server for trial in self.trials.values()}
        free = next((name for name in request.candidates if name not in taken), "")
        if not free:
            return TrialReply(retry_after_ms=RETRY_AFTER_MS)
        expires_ms = self.time_ms + TRIAL_MS + CLOCK_MARGIN_MS
        self.trials[request.fingerprint] = _Trial(
            free, request.request_id, request.host, expires_ms
        )
        return TrialReply(free, trial_ms=TRIAL_MS)

    def end(self, request: TrialEnd) -> bool:
        """End a trial and return whether it clears the suspect."""
        trial = self.trials.get(request.fingerprint)
        if trial is None or trial.request_id != request.request_id:
            return False
        if request.lost:
            # The backend server is free, but the suspect waits until its loss is recorded.
            trial.backend_server = ""
            return False
        del self.trials[request.fingerprint]
        return request.ran

    def loss_recorded(self, fingerprint: str, backend_server: str) -> None:
        """Drop the trial that lost a backend server; a trial on another one goes on."""
        trial = self.trials.get(fingerprint)
        if trial is not None and trial.backend_server in ("", backend_server):
            del self.trials[fingerprint]

    def _drop_expired(self, wall_time_ms: int) -> None:
        self.time_ms = max(self.time_ms, wall_time_ms)
        expired = [name for name, x in self.trials.items() if x.expires_ms <= self.time_ms]
        for name in expired:
            del self.trials[name]
