"""Keeps the requests of all gateways to a backend server within a limit that the server names.

A server in need names in its answers how many requests a second it takes from all gateways
together. One coordination host, the one that leads, divides this number: it fills a token bucket
for each such server at the rate of its limit, and gives tokens to the gateways that ask for them. A
request is sent to a limited server only with a token, which is valid for a short time. So the
number of requests in any time is bounded by the limit, however many gateways there are.

A gateway that gets no reply of a host that leads sends an equal part of the limit by itself.
"""

from collections import deque
from dataclasses import dataclass
from math import ceil

__all__ = ["RequestLimit", "TokenBucket"]

# Time in seconds for which a token may be used. Gateways ask about twice a second.
TOKEN_LIFETIME_S = 1.0
# Time in seconds whose tokens a bucket holds at most, and the least number that it holds.
BUCKET_S, MIN_BUCKET_TOKENS = 0.5, 1.0
# Time in seconds without a reply of the leader after which a gateway uses its own part.
LEADER_TIMEOUT_S = 2.0
# Multiple of the expected requests for which a gateway asks for tokens, in case the demand rises. A
# bucket of a low limit holds too few tokens for that to take them from other gateways.
PEAK_FACTOR = 3.0
# Limits below this number of requests a second count as this. Only the answer to a request can tell
# that a limit has ended.
MIN_RATE_PER_S = 0.1
# A gateway that sends fewer requests a second to a service asks for no tokens, since they would
# mostly expire.
MIN_OWN_RATE_PER_S = 0.2


@dataclass(slots=True)
class TokenBucket:
    """Tokens that a coordination host may give for one server.

    Parameters
    ----------
    filled_s
        Time in seconds up to which it has been filled; it is empty at first.
    tokens
        Tokens in it, also a part of one.
    """

    filled_s: float
    tokens: float = 0.0

    def take(self, wanted: int, rate_per_s: float, now_s: float) -> int:
        """Take up to a number of tokens and return how many there were.

        Parameters
        ----------
        wanted
            Number of tokens.
        rate_per_s
            Tokens that the bucket gets in a second.
        now_s
            Time in seconds.
        """
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        capacity = max(MIN_BUCKET_TOKENS, BUCKET_S * rate_per_s)
        self.tokens = min(capacity, self.tokens + rate_per_s * (now_s - self.filled_s))
        self.filled_s = now_s
        taken = min(wanted, int(self.tokens))
        self.tokens -= taken
        return taken


class RequestLimit:
    """Limit of one server as one gateway knows it.

    Attributes
    ----------
    rate_per_s
        Requests a second that the server takes from all gateways, or None without a limit.
    observed_s
        Time in seconds at which an answer named the limit, or named none; negative infinity before
        the first limit.
    """

    def __init__(self) -> None:
        self.rate_per_s: float | None = None
        self.observed_s = float("-inf")
        # Times in seconds until which the tokens are valid, the earliest first.
        self._token_ends_s: deque[float] = deque()
        # Time in seconds of the last reply of the leader, and tokens of the gateway's own part.
        self._leader_replied_s = float("-inf")
        self._own_bucket: TokenBucket | None = None

    def observe(self, rate_per_s: float | None, observed_s: float, now_s: float) -> bool:
        """Take over what an answer said, unless a later one is known.

        Parameters
        ----------
        rate_per_s
            Limit that the answer named, or None if it named none.
        observed_s, now_s
            Time at which some gateway got the answer, and the present time, in seconds.

        Returns
        -------
        bool
            Whether the limit has changed.
        """
        if observed_s <= self.observed_s or (self.rate_per_s is None and rate_per_s is None):
            return False
        is_new = self.rate_per_s is None
        has_changed = rate_per_s != self.rate_per_s
        self.rate_per_s, self.observed_s = rate_per_s, observed_s
        if is_new:
            # The leader has time to learn of the limit and to give the first tokens.
            self._leader_replied_s = now_s
            self._own_bucket = None
            self._token_ends_s.clear()
        return has_changed

    def add_tokens(self, count: int, now_s: float) -> None:
        """Add tokens that the leader has given at ``now_s``, a time in seconds; may be none."""
        self._leader_replied_s = now_s
        self._own_bucket = None
        self._token_ends_s.extend([now_s + TOKEN_LIFETIME_S] * count)

    def wanted_tokens(self, own_rate_per_s: float, server_count: int, now_s: float) -> int:
        """Return how many tokens to ask for.

        Parameters
        ----------
        own_rate_per_s
            Requests a second that this gateway has for the service of the server.
        server_count
            Number of servers that share them.
        now_s
            Time in seconds.
        """
        if self.rate_per_s is None or own_rate_per_s < MIN_OWN_RATE_PER_S:
            return 0
        self._drop_expired(now_s)
        expected_requests = own_rate_per_s * TOKEN_LIFETIME_S / max(1, server_count)
        reserve = ceil(PEAK_FACTOR * expected_requests)
        return max(0, reserve + 1 - len(self._token_ends_s))

    def allows_request(self, now_s: float, gateway_count: int) -> bool:
        """Return whether a request may be sent at ``now_s``, a time in seconds.

        ``gateway_count`` is the number of gateways that share the limit while none leads.
        """
        if self.rate_per_s is None:
            return True
        self._drop_expired(now_s)
        if not self._token_ends_s and now_s - self._leader_replied_s > LEADER_TIMEOUT_S:
            if self._own_bucket is None:
                self._own_bucket = TokenBucket(now_s)
            own_rate_per_s = self.rate_per_s / max(1, gateway_count)
            taken = self._own_bucket.take(1, own_rate_per_s, now_s)
            self._token_ends_s.extend([now_s + TOKEN_LIFETIME_S] * taken)
        return bool(self._token_ends_s)

    def use_token(self) -> None:
        """Use the token that expires first, if there is a limit."""
        if self.rate_per_s is not None and self._token_ends_s:
            self._token_ends_s.popleft()

    def seconds_to_next_request(self) -> float:
        """Return the mean time in seconds between two requests that the server takes, 0 if any."""
        return 0.0 if self.rate_per_s is None else 1 / max(self.rate_per_s, MIN_RATE_PER_S)

    def _drop_expired(self, now_s: float) -> None:
        """Drop the tokens whose time is over."""
        while self._token_ends_s and self._token_ends_s[0] <= now_s:
            self._token_ends_s.popleft()
