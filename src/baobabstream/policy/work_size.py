"""Sizes of work: prefill time, long and short requests, and the share of long work.

The size of a request is counted in weighted tokens: its expected output tokens plus a fraction of
its prompt tokens. Prefill is the time in which an engine reads the prompt. The overhead is the time
to first token beyond the prefill.
"""

from math import exp

from baobabstream.policy.events import RequestInfo

__all__ = ["WorkSizes"]

# A request is long when it is expected to occupy an engine this many times longer than the mean
# short one, and has at least this many weighted tokens.
LONG_SIZE_RATIO = 6.0
MIN_LONG_TOKENS = 400.0
# Weight of a prompt token against an output token; it is small since prefill is batched.
PROMPT_TOKEN_WEIGHT = 0.1
# Time constant with which arrived work loses weight in the share of long work.
SHARE_DECAY_S = 30.0
# Prefill time per prompt token before the first measurement.
DEFAULT_PREFILL_S_PER_TOKEN = 0.0001


class WorkSizes:
    """Learns the size of short requests and how much of the work is long.

    Attributes
    ----------
    mean_output_tokens
        Moving average of the expected output tokens of all requests.
    """

    def __init__(self) -> None:
        # Moving average of the size of short requests, in weighted tokens. The averages start at
        # 100 tokens.
        self._mean_short_tokens = 100.0
        # Decaying sums of arrived long and of all work, in weighted tokens, and the time in seconds
        # to which they have decayed.
        self._long_tokens = 0.0
        self._all_tokens = 0.0
        self._updated_at_s = 0.0
        self.mean_output_tokens = 100.0
        self._prefill_s_per_token = DEFAULT_PREFILL_S_PER_TOKEN

    @staticmethod
    def weighted_tokens(request: RequestInfo) -> float:
        """Return the size of a request in output tokens, with prompt tokens at a lower weight."""
        return request.expected_output_tokens + PROMPT_TOKEN_WEIGHT * request.prompt_tokens

    def is_long(self, request: RequestInfo) -> bool:
        """Return whether a request counts as long work, by its size in weighted tokens."""
        return self.weighted_tokens(request) > max(
            MIN_LONG_TOKENS, LONG_SIZE_RATIO * self._mean_short_tokens
        )

    def observe(self, request: RequestInfo, now_s: float) -> None:
        """Add an arrived request to the averages and to the share of long work.

        A request has the weight 0.02 in the moving averages, which so follow the last 50 or so.
        """
        tokens = self.weighted_tokens(request)
        decay = exp(-max(0.0, now_s - self._updated_at_s) / SHARE_DECAY_S)
        self._updated_at_s = now_s
        self._long_tokens *= decay
        self._all_tokens = self._all_tokens * decay + tokens
        self.mean_output_tokens += 0.02 * (request.expected_output_tokens - self.mean_output_tokens)
        if self.is_long(request):
            self._long_tokens += tokens
        else:
            self._mean_short_tokens += 0.02 * (tokens - self._mean_short_tokens)

    def long_share(self) -> float:
        """Return the fraction of recent work that is long, by weighted tokens."""
        return self._long_tokens / self._all_tokens if self._all_tokens else 0.0

    def prefill_s(self, request: RequestInfo) -> float:
        """Return the expected time, in seconds, in which an engine reads a request's whole prompt.

        Cached prefixes are not considered.
        """
        return request.prompt_tokens * self._prefill_s_per_token

    def record_prefill(self, prompt_tokens: int, prefill_s: float) -> None:
        """Update the prefill time per token from a measured prefill, with the weight 0.05.

        Parameters
        ----------
        prompt_tokens
            Length of the prompt. Prompts below 1,000 tokens are ignored, since their prefill is
            short compared with the overhead that was subtracted.
        prefill_s
            Time to first token less the mean overhead of all servers, in seconds.
        """
        if prompt_tokens >= 1000:
            s_per_token = max(0.0, prefill_s) / prompt_tokens
            self._prefill_s_per_token += 0.05 * (s_per_token - self._prefill_s_per_token)
