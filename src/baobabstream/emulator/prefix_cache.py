"""Prompt prefix cache of the stand-in engine and the events it publishes."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random
from typing import Any

__all__ = ["CacheFeed", "PrefixCache"]

EVENTS_IN_ANNOUNCEMENT = 256


@dataclass(frozen=True, slots=True)
class _Event:
    due_s: float
    document: dict[str, Any]


class CacheFeed:
    """Publishes cache events late and with gaps.

    Parameters
    ----------
    delay_s
        Seconds between an event and its publication.
    loss_share
        Share of events that are never published; their sequence numbers are missing.
    random
        Source of randomness for the losses.
    """

    def __init__(self, delay_s: float, loss_share: float, random: Random) -> None:
        self._delay_s = delay_s
        self._loss_share = loss_share
        self._random = random
        self._sequence = 0
        self._pending: deque[_Event] = deque(maxlen=10 * EVENTS_IN_ANNOUNCEMENT)

    def add(self, action: str, key: str, now_s: float) -> None:
        """Record that a prefix was stored or evicted."""
        self._sequence += 1
        if self._random.random() < self._loss_share:
            return
        document = {"sequence": self._sequence, "action": action, "prefix": key}
        self._pending.append(_Event(now_s + self._delay_s, document))

    def take_due(self, now_s: float) -> list[dict[str, Any]]:
        """Return the events whose time has come, each once."""
        due = []
        while self._pending and self._pending[0].due_s <= now_s:
            due.append(self._pending.popleft().document)
            if len(due) == EVENTS_IN_ANNOUNCEMENT:
                break
        return due


class PrefixCache:
    """Least recently used prefixes within a memory limit.

    Parameters
    ----------
    capacity_tokens
        Memory limit in prompt tokens.
    feed
        Where stored and evicted prefixes are published.
    """

    def __init__(self, capacity_tokens: int, feed: CacheFeed) -> None:
        self._capacity_tokens = capacity_tokens
        self._feed = feed
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self.used_tokens = 0

    def cached_tokens(self, version: str, digests: tuple[str, ...], sizes: list[int]) -> int:
        """Return how many prompt tokens are cached for a prompt; marks them as used."""
        cached = 0
        for digest, size in zip(digests, sizes, strict=True):
            key = f"{version}/{digest}"
            if key not in self._sizes:
                break
            self._sizes.move_to_end(key)
            cached += size
        return cached

    def store(self, version: str, digests: tuple[str, ...], sizes: list[int], now_s: float) -> None:
        """Store all prefixes of a prompt and evict the least recently used ones."""
        for digest, size in zip(digests, sizes, strict=True):
            key = f"{version}/{digest}"
            if key not in self._sizes:
                self._sizes[key] = size
                self.used_tokens += size
                self._feed.add("stored", key, now_s)
            self._sizes.move_to_end(key)
        while self.used_tokens > self._capacity_tokens:
            key, size = self._sizes.popitem(last=False)
            self.used_tokens -= size
            self._feed.add("evicted", key, now_s)
