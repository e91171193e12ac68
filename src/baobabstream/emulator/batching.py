"""Continuous batching of the stand-in engine."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ["BatchSpeed", "ContinuousBatch", "Sequence"]


@dataclass(frozen=True, slots=True)
class BatchSpeed:
    """Speed of an engine.

    Attributes
    ----------
    slots
        Number of sequences in the batch.
    token_gap_s
        Shortest time between two tokens of a sequence.
    tokens_per_s
        Most tokens that the whole batch generates in a second.
    prefill_tokens_per_s
        Prompt tokens processed in a second.
    prefill_chunk_tokens
        Most prompt tokens processed in one step, so that prefill does not stop decoding.
    """

    slots: int = 8
    token_gap_s: float = 0.005
    tokens_per_s: float = 1600.0
    prefill_tokens_per_s: float = 20_000.0
    prefill_chunk_tokens: int = 512


@dataclass(slots=True, eq=False)
class Sequence:
    """One request in the engine; ``tokens`` gets each token's index, then None."""

    priority: int
    prefill_tokens: int
    next_token: int
    end_token: int
    tokens: asyncio.Queue[int | None] = field(default_factory=asyncio.Queue)


class ContinuousBatch:
    """Runs sequences in steps; each step gives every decoding sequence one token.

    A waiting sequence of higher priority enters a free slot first.

    Parameters
    ----------
    speed
        Slots and rates.
    slow_factor
        Returns the factor by which every step is slowed at present.
    """

    def __init__(self, speed: BatchSpeed, slow_factor: Callable[[], float]) -> None:
        self._speed = speed
        self._slow_factor = slow_factor
        self._waiting: list[Sequence] = []
        self._active: list[Sequence] = []
        self._arrived = asyncio.Event()

    @property
    def in_flight(self) -> int:
        """Number of sequences that wait or run."""
        return len(self._waiting) + len(self._active)

    @property
    def queued_tokens(self) -> int:
        """Number of tokens still to be processed."""
        sequences = (*self._waiting, *self._active)
        return sum(s.prefill_tokens + s.end_token - s.next_token for s in sequences)

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        self._waiting.append(sequence)
        self._arrived.set()

    def cancel(self, sequence: Sequence) -> None:
        """Drop a sequence and free its slot."""
        for queue in (self._waiting, self._active):
            if sequence in queue:
                queue.remove(sequence)

    async def run(self) -> None:
        """Run steps until cancelled."""
        while True:
            if not self.in_flight:
                self._arrived.clear()
                await self._arrived.wait()
            self._admit()
            prefilled = self._prefill()
            decoding = [sequence for sequence in self._active if not sequence.prefill_tokens]
            step_s = max(self._speed.token_gap_s, len(decoding) / self._speed.tokens_per_s)
            step_s += prefilled / self._speed.prefill_tokens_per_s
            await asyncio.sleep(step_s * self._slow_factor())
            for sequence in decoding:
                self._advance(sequence)

    def _admit(self) -> None:
        self._waiting.sort(key=lambda sequence: -sequence.priority)
        free = self._speed.slots - len(self._active)
        self._active += self._waiting[:free]
        del self._waiting[:free]

    def _prefill(self) -> int:
        left = self._speed.prefill_chunk_tokens
        for sequence in sorted(self._active, key=lambda sequence: -sequence.priority):
            part = min(left, sequence.prefill_tokens)
            sequence.prefill_tokens -= part
            left -= part
        return self._speed.prefill_chunk_tokens - left

    def _advance(self, sequence: Sequence) -> None:
        if sequence not in self._active:
            return
        if sequence.next_token < sequence.end_token:
            sequence.tokens.put_nowait(sequence.next_token)
            sequence.next_token += 1
        if sequence.next_token >= sequence.end_token:
            sequence.tokens.put_nowait(None)
            self._active.remove(sequence)
