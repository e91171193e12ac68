"""Updates the estimates of servers, versions and sizes of work from the progress of attempts.

An entry is a host process that accepts requests and sends them to backend servers. An attempt is
one dispatch of a request to one backend server. Prefill is the time in which a server reads the
prompt; the first-token overhead is the time to first token beyond it. The window is the number of
attempts that this entry may have in flight on a server. An attempt is long if its request is
expected to occupy a server several times longer than most. A token gap is the time between two
tokens of a stream. A version key is the pair of model name and version.
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
        # Value until class targets are known.
        self.min_first_token_target_s = 1.0

    def attempt_started(self, active_request: ActiveRequest, attempt: Attempt) -> None:
        """Add a dispatched attempt to its server's counts of attempts and of long attempts.

        The expected prefill of its request is added to the server's pending prefill until the
        first token or the end of the attempt. A server that is no longer known has no counts.
        """
        state = self._states.get(attempt.backend_server)
        if state is not None:
            state.in_flight += 1
            state.long_in_flight += attempt.is_long
            attempt.counted_prefill_s = self._sizes.prefill_s(active_request.request)
            state.pending_prefill_s += attempt.counted_prefill_s

    def attempt_ended(self, attempt: Attempt) -> None:
        """Remove an attempt from its server's counts and pending prefill; undo its start."""
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

    def first_token_received(
        self, active_request: ActiveRequest, attempt: Attempt, now_s: float
    ) -> None:
        """Record the time to first token and adapt the window on the server.

        The window shrinks if the overhead, that is the time to first token less the expected
        prefill, takes too much of the shortest first-token target. The prefill per token is
        learned from the time to first token less the mean overhead of all servers. The version's
        latencies are learned from short requests only, since they decide when a hedge (a second
        attempt against a late first token) is sent, and long requests are not hedged.

        Parameters
        ----------
        active_request
            Request to which the attempt belongs.
        attempt
            Attempt that delivered its first token.
        now_s
            Present time in seconds.
        """
        attempt.first_token_at_s = now_s
        attempt.measured_at_s = now_s
        first_token_s = now_s - attempt.sent_at_s
        prefill_s = self._sizes.prefill_s(active_request.request)
        overhead_s = max(0.0, first_token_s - prefill_s)
        self._states.record_first_token_overhead(attempt.backend_server, overhead_s, now_s)
        measured_prefill_s = first_token_s - self._states.mean_first_token_overhead_s
        self._sizes.record_prefill(active_request.request.prompt_tokens, measured_prefill_s)
        if not attempt.is_long:
            self._latency.record_first_token(attempt.version_key, first_token_s, now_s)
        state = self._states.get(attempt.backend_server)
        if state is not None:
            self._remove_pending_prefill(attempt, state)
            is_late = overhead_s > MAX_OVERHEAD_TARGET_FRACTION * self.min_first_token_target_s
            state.adapt_window(is_late, self._states.window_limit(state.slots), now_s)

    def tokens_received(
        self, attempt: Attempt, tokens: int, now_s: float, is_last: bool = False
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
        is_last
            Whether the answer has ended; the time is then measured if at least 2 tokens came since
            the last measurement, since there is no later chance.
        """
        attempt.received_tokens += tokens
        unmeasured_tokens = attempt.received_tokens - attempt.tokens_at_measurement
        if attempt.first_token_at_s is None or unmeasured_tokens < (
            2 if is_last else TOKENS_PER_GAP_MEASUREMENT
        ):
            return
        token_gap_s = (now_s - attempt.measured_at_s) / unmeasured_tokens
        attempt.tokens_at_measurement = attempt.received_tokens
        attempt.measured_at_s = now_s
        if token_gap_s > 0.0:
            self._states.record_token_gap(attempt.backend_server, token_gap_s, now_s)
            self._latency.record_token_gap(attempt.version_key, token_gap_s)

    def first_token_overdue(self, attempt: Attempt, now_s: float) -> None:
        """Record the wait for a first token that is late, and reduce the window on the server.

        The whole wait so far counts as overhead, so that the server appears slow before the first
        token has come.
        """
        self._states.record_first_token_overhead(
            attempt.backend_server, now_s - attempt.sent_at_s, now_s
        )
        state = self._states.get(attempt.backend_server)
        if state is not None:
            state.adapt_window(True, self._states.window_limit(state.slots), now_s)
