"""Divides the limits that backend servers name among the gateways.

Each coordination host knows the limits from the reports of the gateways. Only the host that holds
the leader lease gives tokens, so that no two hosts divide the same limit; see `RequestLimit`.
"""

from dataclasses import dataclass

from baobabstream.routing.request_limit import TokenBucket
from baobabstream.wire.coordination_messages import ExchangeRequest, ServerLimit

__all__ = ["LimitTokens"]

# Time in seconds after which a limit is forgotten that no gateway reports any more. All gateways
# report a limit that they know, and for a while that it has ended.
LIMIT_MEMORY_S = 30.0


@dataclass(slots=True)
class _KnownLimit:
    """Newest report on one server process.

    Parameters
    ----------
    rate_per_s
        Requests a second, or None if its last answer named no limit.
    observed_s, reported_s
        Times in seconds of that answer, and of the last report by any gateway.
    bucket
        Tokens for the gateways.
    """

    rate_per_s: float | None
    observed_s: float
    reported_s: float
    bucket: TokenBucket


class LimitTokens:
    """Limits of all servers, and the tokens that this host gives while it leads."""

    def __init__(self) -> None:
        # By process of the server.
        self._limits: dict[str, _KnownLimit] = {}

    def record(self, report: ExchangeRequest, now_s: float) -> None:
        """Take over the limits that a gateway reports at ``now_s``, a time in seconds."""
        for limit in report.limits:
            observed_s = now_s - limit.age_s
            known = self._limits.get(limit.server_process)
            if known is None:
                known = _KnownLimit(limit.rate_per_s, observed_s, now_s, TokenBucket(now_s))
                self._limits[limit.server_process] = known
            known.reported_s = now_s
            if observed_s > known.observed_s:
                known.rate_per_s, known.observed_s = limit.rate_per_s, observed_s

    def limits(self, now_s: float) -> tuple[ServerLimit, ...]:
        """Return the limits that are known at ``now_s``, a time in seconds."""
        self._limits = {
            process: known
            for process, known in self._limits.items()
            if known.reported_s + LIMIT_MEMORY_S > now_s
        }
        return tuple(
            ServerLimit(process, known.rate_per_s, now_s - known.observed_s)
            for process, known in self._limits.items()
        )

    def give_tokens(self, wanted: dict[str, int], now_s: float) -> dict[str, int]:
        """Return how many tokens a gateway gets, by server process.

        Parameters
        ----------
        wanted
            Number of tokens that it asks for, by server process.
        now_s
            Time in seconds.
        """
        return {
            process: known.bucket.take(count, known.rate_per_s, now_s)
            for process, count in wanted.items()
            if (known := self._limits.get(process)) is not None and known.rate_per_s is not None
        }
