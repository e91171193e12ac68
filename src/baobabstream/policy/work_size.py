"""Sizes of work: prefill time, long and short requests, and the share of long work."""

from math import exp

from baobabstream.policy.events import RequestInfo

__all__ = ["WorkSizes"]

# A request is long when it is expected to occupy an engine this many times longer than the mean
# short one; prompts weigh less than output since prefill is batched.
LONG_FACTOR = 6.0
MIN_LONG_TOKENS = 400.0
PROMPT_WEIGHT = 0.1
SHARE_AGE_S = 30.0
DEFAULT_PREFILL_S_PER_TOKEN = 0.0001


class WorkSizes:
    """Learns what short work is and how much of the work is long."""

    def __init__(self) -> None:
        self._short_mean = 100.0
        self._long_tokens = 0.0
        self._all_tokens = 0.0
        self._at_s = 0.0
        self.mean_output_tokens = 100.0
        self._prefill_s_per_token = DEFAULT_PREFILL_S_PER_TOKEN

    @staticmethod
    def tokens(request: RequestInfo) -> float:
        """Return the work of a request in output tokens."""
        return request.expected_output_tokens + PROMPT_WEIGHT * request.prompt_tokens

    def is_long(self, request: RequestInfo) -> bool:
        """Return whether a request counts as long work."""
        return self.tokens(request) > max(MIN_LONG_TOKENS, LONG_FACTOR * self._short_mean)

    def observe(self, request: RequestInfo, now_s: float) -> None:
        """Take an arrived request into the shares."""
        tokens = self.tokens(request)
        keep = exp(-max(0.0, now_s - self._at_s) / SHARE_AGE_S)
        self._at_s = now_s
        self._long_tokens *= keep
        self._all_tokens = self._all_tokens * keep + tokens
        self.mean_output_tokens += 0.02 * (request.expected_output_tokens - self.mean_output_tokens)
        if self.is_long(request):
            self._long_tokens += tokens
        else:
            self._short_mean += 0.02 * (tokens - self._short_mean)

    def long_share(self) -> float:
        """Return the share of recent work that is long."""
        return self._long_tokens / self._all_tokens if self._all_tokens else 0.0

    def prefill_s(self, request: RequestInfo) -> float:
        """Return the expected time that an engine needs for the prompt."""
        return request.prompt_tokens * self._prefill_s_per_token

    def measure_prefill(self, prompt_tokens: int, extra_s: float) -> None:
        """Take the time to first token beyond that of short prompts."""
        if prompt_tokens >= 1000:
            rate = max(0.0, extra_s) / prompt_tokens
            self._prefill_s_per_token += 0.05 * (rate - self._prefill_s_per_token)
