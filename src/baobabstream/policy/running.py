"""Requests and attempts that an entry has in hand."""

from dataclasses import dataclass, field

from baobabstream.policy.events import RequestInfo
from baobabstream.policy.plan_choice import Plan
from baobabstream.wire.rows import ClassRow

__all__ = ["Attempt", "Running", "Stage"]


@dataclass(slots=True)
class Attempt:
    """One attempt on one backend server; times in seconds."""

    number: int
    backend_server: str
    key: tuple[str, str]
    sent_s: float
    long: bool
    expected_first_s: float
    hedge: bool = False
    rate_first: bool = False
    first_token_s: float | None = None
    tokens: int = 0
    measured_tokens: int = 0
    measured_s: float = 0.0
    prefill_s: float = 0.0


class Stage:
    """Where a request is: waiting for room, for a trial, running, or held for its rating."""

    QUEUED = "queued"
    TRIAL = "trial"
    RUNNING = "running"
    RATING = "rating"


@dataclass(slots=True)
class Running:
    """A request from its admission to its end.

    Attributes
    ----------
    plan
        Plan that was chosen at the arrival.
    delivered_tokens
        Tokens of the answer that the caller has.
    resumed
        Whether the stream has been resumed once.
    trial
        Whether the request is a suspect, which is neither hedged nor moved.
    within_share
        Whether its account used less than its share when the request was queued.
    """

    request: RequestInfo
    target: ClassRow
    plan: Plan
    arrived_s: float
    deadline_s: float
    long: bool
    stage: str = Stage.QUEUED
    attempts: dict[int, Attempt] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    next_attempt: int = 1
    delivered_tokens: int = 0
    resumed: bool = False
    hedged: bool = False
    escalated: bool = False
    held_attempt: int = 0
    sent: bool = False
    trial: bool = False
    within_share: bool = False
