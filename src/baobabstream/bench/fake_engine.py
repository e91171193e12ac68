"""Fake of a continuously batching engine, in virtual time."""

from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

from cachetools import LRUCache

from baobabstream.bench.virtual_time import VirtualTime
from baobabstream.policy.events import FailureKind

__all__ = ["EngineJob", "EngineSpeed", "FakeEngine", "JobListener"]

_ORDER = count()


class JobListener(Protocol):
    """Gets the progress of a job."""

    def on_tokens(self, job: "EngineJob", tokens: int) -> None:
        """Tokens were generated."""

    def on_finished(self, job: "EngineJob") -> None:
        """The whole answer was generated."""

    def on_failed(self, job: "EngineJob", kind: FailureKind) -> None:
        """The engine lost the job."""


@dataclass(frozen=True, slots=True)
class EngineSpeed:
    """Speed of an engine.

    Attributes
    ----------
    gap_s, gap_per_job_s
        Time between tokens with an empty batch, and the addition per job in the batch.
    prefill_tokens_per_s
        Rate at which prompts are read; reading holds up the batch.
    prefill_chunk
        Most prompt tokens that are read in one step.
    """

    slots: int = 16
    gap_s: float = 0.010
    gap_per_job_s: float = 0.0006
    prefill_tokens_per_s: float = 8000.0
    prefill_chunk: int = 1024
    tokens_per_step: int = 4


@dataclass(slots=True, eq=False)
class EngineJob:
    """One attempt on an engine."""

    listener: JobListener
    request_id: str
    attempt: int
    prompt_tokens: float
    output_tokens: int
    priority: int
    prefixes: tuple[str, ...]
    crashes: bool = False
    done_tokens: int = 0
    cancelled: bool = False
    order: int = field(default_factory=lambda: next(_ORDER))


class FakeEngine:
    """Batch slots, a token rate shared by the batch, and a prefix cache.

    Parameters
    ----------
    time
        Virtual time.
    slow_factor
        Gives the factor by which the engine is slowed at a time.
    """

    def __init__(
        self,
        time: VirtualTime,
        identity: str,
        speed: EngineSpeed,
        slow_factor: Callable[[float], float],
    ) -> None:
        self._time = time
        self.identity = identity
        self.speed = speed
        self._slow_factor = slow_factor
        self._queue: list[EngineJob] = []
        self._batch: list[EngineJob] = []
        self._cache: LRUCache[str, None] = LRUCache(400)
        self._stepping = False
        self.alive = True
        self.generated_tokens = 0

    @property
    def in_flight(self) -> int:
        """Return the number of jobs in the batch and the queue."""
        return len(self._batch) + len(self._queue)

    @property
    def queued_tokens(self) -> int:
        """Return the output tokens that are still to be generated."""
        return sum(job.output_tokens - job.done_tokens for job in self._batch + self._queue)

    def submit(self, job: EngineJob) -> None:
        """Take a job; an engine that is down fails it."""
        if not self.alive:
            job.listener.on_failed(job, FailureKind.CONNECT)
            return
        self._queue.append(job)
        if not self._stepping:
            self._stepping = True
            self._step()

    def cancel(self, job: EngineJob) -> None:
        """Drop a job."""
        job.cancelled = True
        if job in self._queue:
            self._queue.remove(job)
        if job in self._batch:
            self._batch.remove(job)

    def crash(self) -> None:
        """Lose all jobs."""
        self.alive = False
        lost = self._batch + self._queue
        self._batch, self._queue = [], []
        self._cache.clear()
        for job in lost:
            job.cancelled = True
            job.listener.on_failed(job, FailureKind.LOST)

    def restart(self) -> None:
        """Serve again after a crash."""
        self.alive = True

    def _admit(self) -> None:
        room = self.speed.slots - len(self._batch)
        if not self._queue or room <= 0:
            return
        self._queue.sort(key=lambda job: (-job.priority, job.order))
        for job in self._queue[:room]:
            cached = [digest for digest in job.prefixes if digest in self._cache]
            if job.prefixes:
                job.prompt_tokens *= 1 - len(cached) / len(job.prefixes)
            self._batch.append(job)
        del self._queue[:room]

    def _step(self) -> None:
        """Read prompts and generate the next tokens of the batch."""
        self._admit()
        if not self._batch or not self.alive:
            self._stepping = False
            return
        budget = float(self.speed.prefill_chunk)
        ready = []
        for job in self._batch:
            if job.prompt_tokens > 0:
                read = min(job.prompt_tokens, budget)
                job.prompt_tokens -= read
                budget -= read
            if job.prompt_tokens <= 0:
                ready.append(job)
        read_s = (self.speed.prefill_chunk - budget) / self.speed.prefill_tokens_per_s
        gap_s = self.speed.gap_s + self.speed.gap_per_job_s * len(ready)
        step_s = read_s + (self.speed.tokens_per_step * gap_s if ready else 0.0)
        step_s *= self._slow_factor(self._time.now_s)
        self._time.after(step_s, lambda: self._end_step(ready))

    def _end_step(self, ready: list[EngineJob]) -> None:
        for job in ready:
            if job.cancelled or not self.alive:
                continue
            if job.crashes:
                self.crash()
                break
            tokens = min(self.speed.tokens_per_step, job.output_tokens - job.done_tokens)
            job.done_tokens += tokens
            self.generated_tokens += tokens
            job.listener.on_tokens(job, tokens)
            if job.done_tokens >= job.output_tokens and not job.cancelled:
                self._batch.remove(job)
                for digest in job.prefixes:
                    self._cache[digest] = None
                job.listener.on_finished(job)
        self._step()
