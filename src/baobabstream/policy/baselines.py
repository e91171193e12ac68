"""Simple policies to compare with: round robin, least in flight, power of two choices."""

from abc import abstractmethod
from dataclasses import dataclass, field
from itertools import count
from random import Random

from baobabstream.errors.codes import ResultCode
from baobabstream.policy.base import RoutingPolicy
from baobabstream.policy.candidates import allowed_versions
from baobabstream.policy.decisions import Cancel, Decision, Dispatch, GiveUp, Refuse
from baobabstream.policy.events import (
    AttemptFailed,
    AttemptFinished,
    CallerDisconnected,
    PolicyEvent,
    RequestArrived,
    RequestInfo,
    ViewChanged,
)
from baobabstream.policy.view import ClusterView
from baobabstream.wire.rows import BackendRecord, VersionRow

__all__ = ["LeastInFlight", "PowerOfTwo", "RoundRobin"]

MAX_ATTEMPTS = 3


@dataclass(slots=True)
class _Running:
    request: RequestInfo
    version: VersionRow
    backend_server: str
    attempt: int = 1
    tried: set[str] = field(default_factory=set)


class _BaselinePolicy(RoutingPolicy):
    """Cheapest allowed version; retries failed attempts elsewhere; no admission control."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._view = ClusterView()
        self._running: dict[str, _Running] = {}
        self._in_flight: dict[str, int] = {}

    def handle(self, event: PolicyEvent, now_s: float) -> list[Decision]:
        """Take an event and return the decisions that follow."""
        match event:
            case ViewChanged():
                self._view = event.view
            case RequestArrived():
                return self._start(event.request)
            case AttemptFinished():
                self._finish(event.request_id)
            case CallerDisconnected():
                running = self._finish(event.request_id)
                return [Cancel(event.request_id, running.attempt)] if running else []
            case AttemptFailed():
                return self._retry(event)
        return []

    def next_timer_s(self) -> float | None:
        """Return None: no baseline uses timers."""
        return None

    @abstractmethod
    def _choose(self, engines: list[BackendRecord]) -> BackendRecord:
        """Return the engine for the next attempt."""

    def _load(self, record: BackendRecord) -> int:
        return self._in_flight.get(record.identity, 0)

    def _start(self, request: RequestInfo) -> list[Decision]:
        versions = allowed_versions(self._view, request, self._random)
        if not versions:
            return [Refuse(request.request_id, ResultCode.MODEL_NOT_ALLOWED)]
        version = min(versions, key=lambda row: row.cost_per_1k_tokens)
        engines = self._view.engines_for(version.model, version.version)
        if not engines:
            return [Refuse(request.request_id, ResultCode.NO_BACKEND_SERVER, 1.0)]
        engine = self._choose(engines)
        self._running[request.request_id] = _Running(request, version, engine.identity)
        return [self._dispatch(self._running[request.request_id], engine)]

    def _retry(self, event: AttemptFailed) -> list[Decision]:
        running = self._running.get(event.request_id)
        if running is None or running.attempt != event.attempt:
            return []
        self._in_flight[running.backend_server] -= 1
        running.tried.add(running.backend_server)
        engines = [
            engine
            for engine in self._view.engines_for(running.version.model, running.version.version)
            if engine.identity not in running.tried
        ]
        if running.attempt >= MAX_ATTEMPTS or event.delivered_tokens or not engines:
            del self._running[event.request_id]
            return [GiveUp(event.request_id, ResultCode.BACKEND_FAILED, 1.0)]
        running.attempt += 1
        engine = self._choose(engines)
        running.backend_server = engine.identity
        return [self._dispatch(running, engine)]

    def _dispatch(self, running: _Running, engine: BackendRecord) -> Dispatch:
        self._in_flight[engine.identity] = self._load(engine) + 1
        return Dispatch(
            running.request.request_id,
            running.attempt,
            engine.identity,
            running.version.model,
            running.version.version,
            reason=type(self).__name__,
        )

    def _finish(self, request_id: str) -> _Running | None:
        running = self._running.pop(request_id, None)
        if running is not None:
            self._in_flight[running.backend_server] -= 1
        return running


class RoundRobin(_BaselinePolicy):
    """Takes the engines in turn."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        self._turn = count(random.randrange(1000))

    def _choose(self, engines: list[BackendRecord]) -> BackendRecord:
        return engines[next(self._turn) % len(engines)]


class LeastInFlight(_BaselinePolicy):
    """Takes the engine with the fewest requests of this entry in flight."""

    def _choose(self, engines: list[BackendRecord]) -> BackendRecord:
        return min(engines, key=lambda record: (self._load(record), self._random.random()))


class PowerOfTwo(_BaselinePolicy):
    """Takes the less loaded of two random engines.

    References
    ----------
    M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    """

    def _choose(self, engines: list[BackendRecord]) -> BackendRecord:
        sample = self._random.sample(engines, min(2, len(engines)))
        return min(sample, key=self._load)
