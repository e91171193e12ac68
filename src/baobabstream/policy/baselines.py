"""Baseline policies for comparison: round robin, least in flight, power of two choices.

An entry is a host process that accepts requests and sends them to engines, the backend servers that
run models. A policy turns an entry's events, such as an arrived request, into decisions, such as a
dispatch. A request makes one attempt after another, each on one engine. A view holds the
configuration and the announced backend servers. An entry may send a request only to the versions
that its client account allows.
"""

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

# Attempts of one request, the first one included.
MAX_ATTEMPTS = 3


@dataclass(slots=True)
class _ActiveRequest:
    """A dispatched request.

    Attributes
    ----------
    request
        The request as it arrived.
    version
        Version on which all its attempts run.
    backend_server
        Identity of the engine of the present attempt.
    attempt
        Number of the present attempt, from 1.
    tried
        Identities of the engines on which attempts have failed.
    """

    request: RequestInfo
    version: VersionRow
    backend_server: str
    attempt: int = 1
    tried: set[str] = field(default_factory=set)


class _BaselinePolicy(RoutingPolicy):
    """Runs requests on the cheapest allowed version, on the engine that a subclass chooses.

    Failed attempts are retried on other engines. There is no admission control.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._view = ClusterView()
        # Dispatched requests by request identity, and attempts in flight by engine identity.
        self._active_requests: dict[str, _ActiveRequest] = {}
        self._in_flight: dict[str, int] = {}

    def handle(self, event: PolicyEvent, now_s: float) -> list[Decision]:
        """Process an event and return the decisions that follow from it."""
        match event:
            case ViewChanged():
                self._view = event.view
            case RequestArrived():
                return self._dispatch_first(event.request)
            case AttemptFinished():
                self._finish(event.request_id)
            case CallerDisconnected():
                active_request = self._finish(event.request_id)
                return [Cancel(event.request_id, active_request.attempt)] if active_request else []
            case AttemptFailed():
                return self._dispatch_again(event)
        return []

    def next_timer_s(self) -> float | None:
        """Return None: no baseline uses timers."""
        return None

    @abstractmethod
    def _choose_engine(self, engines: list[BackendRecord]) -> BackendRecord:
        """Return the engine for the next attempt."""

    def _in_flight_on(self, record: BackendRecord) -> int:
        """Return the attempts of this entry in flight on an engine."""
        return self._in_flight.get(record.identity, 0)

    def _dispatch_first(self, request: RequestInfo) -> list[Decision]:
        """Dispatch an arrived request, or refuse it without an allowed version or an engine."""
        versions = allowed_versions(self._view, request, self._random)
        if not versions:
            return [Refuse(request.request_id, ResultCode.MODEL_NOT_ALLOWED)]
        version = min(versions, key=lambda row: row.cost_per_1k_tokens)
        engines = self._view.engines_for(version.model, version.version)
        if not engines:
            # 1.0: the caller is told to retry after 1 s.
            return [Refuse(request.request_id, ResultCode.NO_BACKEND_SERVER, 1.0)]
        engine = self._choose_engine(engines)
        self._active_requests[request.request_id] = _ActiveRequest(
            request, version, engine.identity
        )
        return [self._dispatch_to(self._active_requests[request.request_id], engine)]

    def _dispatch_again(self, event: AttemptFailed) -> list[Decision]:
        """Dispatch a failed request to an engine that it has not tried, or give it up.

        A request is given up after ``MAX_ATTEMPTS`` attempts, or when the caller has tokens of the
        answer. Failures of an attempt that is not the present one are ignored.
        """
        active_request = self._active_requests.get(event.request_id)
        if active_request is None or active_request.attempt != event.attempt:
            return []
        self._in_flight[active_request.backend_server] -= 1
        active_request.tried.add(active_request.backend_server)
        engines = [
            engine
            for engine in self._view.engines_for(
                active_request.version.model, active_request.version.version
            )
            if engine.identity not in active_request.tried
        ]
        if active_request.attempt >= MAX_ATTEMPTS or event.delivered_tokens or not engines:
            del self._active_requests[event.request_id]
            # 1.0: the caller is told to retry after 1 s.
            return [GiveUp(event.request_id, ResultCode.BACKEND_FAILED, 1.0)]
        active_request.attempt += 1
        engine = self._choose_engine(engines)
        active_request.backend_server = engine.identity
        return [self._dispatch_to(active_request, engine)]

    def _dispatch_to(self, active_request: _ActiveRequest, engine: BackendRecord) -> Dispatch:
        """Count an attempt on an engine and return its dispatch; the reason is the policy name."""
        self._in_flight[engine.identity] = self._in_flight_on(engine) + 1
        return Dispatch(
            active_request.request.request_id,
            active_request.attempt,
            engine.identity,
            active_request.version.model,
            active_request.version.version,
            reason=type(self).__name__,
        )

    def _finish(self, request_id: str) -> _ActiveRequest | None:
        """Remove a request with its attempt and return it, or None if it is not dispatched."""
        active_request = self._active_requests.pop(request_id, None)
        if active_request is not None:
            self._in_flight[active_request.backend_server] -= 1
        return active_request


class RoundRobin(_BaselinePolicy):
    """Chooses the engines in turn, starting at a random one."""

    def __init__(self, random: Random) -> None:
        super().__init__(random)
        # The random start, below an arbitrary bound, keeps entries from choosing the same engines.
        self._turns = count(random.randrange(1000))

    def _choose_engine(self, engines: list[BackendRecord]) -> BackendRecord:
        return engines[next(self._turns) % len(engines)]


class LeastInFlight(_BaselinePolicy):
    """Chooses the engine with the fewest attempts of this entry in flight, ties at random."""

    def _choose_engine(self, engines: list[BackendRecord]) -> BackendRecord:
        return min(engines, key=lambda record: (self._in_flight_on(record), self._random.random()))


class PowerOfTwo(_BaselinePolicy):
    """Chooses the engine with fewer attempts of this entry in flight among two random ones.

    References
    ----------
    M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001.
    """

    def _choose_engine(self, engines: list[BackendRecord]) -> BackendRecord:
        sample = self._random.sample(engines, min(2, len(engines)))
        return min(sample, key=self._in_flight_on)
