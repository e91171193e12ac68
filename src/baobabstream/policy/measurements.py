"""Updates the estimates of servers, versions and sizes of work from the progress of attempts.

An attempt is one try to run a request on one backend server. Prefill is the time in which a server
reads the prompt; the first-token overhead is the time to first token beyond it. The window is the
number of attempts that this entry may have in flight on a server.
"""

from baobabstream.policy.active_request import ActiveRequest, Attempt
from baobabstream.policy.latency import LatencyEstimates
from baobabstream.policy.server_state import ServerState, ServerStates
from baobabstream.policy.work_size import WorkSizes

__all__ = ["Measurements"]

# Tokens between two measurements of a stream's time between tokens.
TOKENS_PER_GAP_MEASUREMENT = 8
# Fraction of the shortest first-token target that the first-token overhead may take; beyond it the
# entry reduces its window on the server.
MAX_OVERHEAD_TARGET_FRACTION = 0.35


class Measurements:
    """Updates the estimates as attempts start, deliver tokens and end.

    Attributes
    ----------
    min_first_token_target_s
        Shortest first-token target of all classes of work, in seconds.
    """

    def __init__(self, states: ServerStates, latency: LatencyEstimates, sizes: WorkSizes) -> None:
        self._states = states
        self._latency = latency
        self._sizes = sizes
        self.min_first_token_target_s = 1.0

    def attempt_started(self, running: ActiveRequest, attempt: Attempt) -> None:
        """Add an attempt and its prefill to its server's load."""
        state = self._states.get(attempt.backend_server)
        if state is not None:
            state.in_flight += 1
            state.long_in_flight += attempt.is_long
            attempt.counted_prefill_s = self._sizes.prefill_s(running.request)
            state.pending_prefill_s += attempt.counted_prefill_s

    def attempt_ended(self, attempt: Attempt) -> None:
        """Remove an attempt from its server's load."""
        state = self._states.get(attempt.backend_server)
        if state is not None:
            state.in_flight = max(0, state.in_flight - 1)
            state.long_in_flight = max(0, state.long_in_flight - attempt.is_long)
            self._remove_pending_prefill(attempt, state)

    @staticmethod
    def _remove_pending_prefill(attempt: Attempt, state: ServerState) -> None:
        """Remove an attempt's expected prefill from its server's pending prefill, once."""
        state.pending_prefill_s = max(0.0, state.pending_prefill_s - attempt.counted_prefill_s)
        attempt.counted_prefill_s = 0.0

    def first_token_received(self, running: ActiveRequest, attempt: Attempt, now_s: float) -> None:
        """Record the time to first token and adapt the window on the server."""
        attempt.first_token_at_s = now_s
        attempt.measured_at_s = now_s
        first_token_s = now_s - attempt.sent_at_s
        prefill_s = self._sizes.prefill_s(running.request)
        overhead_s = max(0.0, first_token_s - prefill_s)
        self._states.record_first_token_overhead(attempt.backend_server, overhead_s, now_s)
        measured_prefill_s = first_token_s - self._states.mean_first_token_overhead_s
        self._sizes.record_prefill(running.request.prompt_tokens, measured_prefill_s)
        if not attempt.is_long:
            self._latency.record_first_token(attempt.version_key, first_token_s, now_s)
        state = self._states.get(attempt.backend_server)
        if state is not None:
            self._remove_pending_prefill(attempt, state)
            is_late = overhead_s > MAX_OVERHEAD_TARGET_FRACTION * self.min_first_token_target_s
            state.adapt_window(is_late, self._states.window_limit(state.slots), now_s)

    def tokens_received(
        self, attempt: Attempt, tokens: int, now_s: float, last: bool = False
    ) -> None:
        """Count delivered tokens, and measure the time between tokens every few tokens.

        Parameters
        ----------
        attempt
            Attempt that delivered the tokens.
        tokens
            Number of tokens delivered since the last call.
        now_s
            Present time in seconds.
        last
            Whether the answer has ended; the time is then measured from 2 tokens on.
        """
        attempt.received_tokens += tokens
        unmeasured_tokens = attempt.received_tokens - attempt.tokens_at_measurement
        if attempt.first_token_at_s is None or unmeasured_tokens < (
            2 if last else TOKENS_PER_GAP_MEASUREMENT
        ):
            return
        token_gap_s = (now_s - attempt.measured_at_s) / unmeasured_tokens
        attempt.tokens_at_measurement = attempt.received_tokens
        attempt.measured_at_s = now_s
        if token_gap_s > 0.0:
            self._states.record_token_gap(attempt.backend_server, token_gap_s, now_s)
            self._latency.record_token_gap(attempt.version_key, token_gap_s)

    def first_token_overdue(self, attempt: Attempt, now_s: float) -> None:
        """Record the wait for a first token that is late, and reduce the window on the server."""
        self._states.record_first_token_overhead(
            attempt.backend_server, now_s - attempt.sent_at_s, now_s
        )
        state = self._states.get(attempt.backend_server)
        if state is not None:
            state.adapt_window(True, self._states.window_limit(state.slots), now_s)
