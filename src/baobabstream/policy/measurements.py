"""Turns an attempt's progress into estimates of servers, versions and sizes."""

from baobabstream.policy.active_request import ActiveRequest, Attempt
from baobabstream.policy.latency import LatencyEstimates
from baobabstream.policy.server_state import ServerState, ServerStates
from baobabstream.policy.work_size import WorkSizes

__all__ = ["Measurements"]

# Tokens between two measurements of a stream's rate.
GAP_TOKENS = 8
# Part of the tightest first-token target that waiting at an engine may take; beyond it the entry
# lowers its window on the server.
WAIT_TARGET_PART = 0.35


class Measurements:
    """Updates the estimates with what an attempt shows."""

    def __init__(self, states: ServerStates, latency: LatencyEstimates, sizes: WorkSizes) -> None:
        self._states = states
        self._latency = latency
        self._sizes = sizes
        self.tightest_first_s = 1.0

    def started(self, running: ActiveRequest, attempt: Attempt) -> None:
        """Count an attempt on its server."""
        state = self._states.get(attempt.backend_server)
        if state is not None:
            state.in_flight += 1
            state.long_in_flight += attempt.is_long
            attempt.counted_prefill_s = self._sizes.prefill_s(running.request)
            state.pending_prefill_s += attempt.counted_prefill_s

    def ended(self, attempt: Attempt) -> None:
        """Take an attempt off its server."""
        state = self._states.get(attempt.backend_server)
        if state is not None:
            state.in_flight = max(0, state.in_flight - 1)
            state.long_in_flight = max(0, state.long_in_flight - attempt.is_long)
            self._prefilled(attempt, state)

    @staticmethod
    def _prefilled(attempt: Attempt, state: ServerState) -> None:
        state.pending_prefill_s = max(0.0, state.pending_prefill_s - attempt.counted_prefill_s)
        attempt.counted_prefill_s = 0.0

    def first_token(self, running: ActiveRequest, attempt: Attempt, now_s: float) -> None:
        """Take the time to first token."""
        attempt.first_token_at_s = now_s
        attempt.measured_at_s = now_s
        first_s = now_s - attempt.sent_at_s
        prefill_s = self._sizes.prefill_s(running.request)
        beyond_s = max(0.0, first_s - prefill_s)
        self._states.measure_first(attempt.backend_server, beyond_s, now_s)
        extra_s = first_s - self._states.mean_first_s
        self._sizes.measure_prefill(running.request.prompt_tokens, extra_s)
        if not attempt.is_long:
            self._latency.first_token(attempt.version_key, first_s, now_s)
        state = self._states.get(attempt.backend_server)
        if state is not None:
            self._prefilled(attempt, state)
            slow = beyond_s > WAIT_TARGET_PART * self.tightest_first_s
            state.adapt_window(slow, self._states.window_limit(state.slots), now_s)

    def tokens(self, attempt: Attempt, tokens: int, now_s: float, last: bool = False) -> None:
        """Take delivered tokens; a rate is measured every few tokens and at the end."""
        attempt.received_tokens += tokens
        since = attempt.received_tokens - attempt.tokens_at_measurement
        if attempt.first_token_at_s is None or since < (2 if last else GAP_TOKENS):
            return
        gap_s = (now_s - attempt.measured_at_s) / since
        attempt.tokens_at_measurement = attempt.received_tokens
        attempt.measured_at_s = now_s
        if gap_s > 0.0:
            self._states.measure_gap(attempt.backend_server, gap_s, now_s)
            self._latency.gap(attempt.version_key, gap_s)

    def overdue(self, attempt: Attempt, now_s: float) -> None:
        """Take a first token that is late as a measurement of the server."""
        self._states.measure_first(attempt.backend_server, now_s - attempt.sent_at_s, now_s)
        state = self._states.get(attempt.backend_server)
        if state is not None:
            state.adapt_window(True, self._states.window_limit(state.slots), now_s)
