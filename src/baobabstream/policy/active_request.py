"""Requests and attempts that an entry has in hand."""

from dataclasses import dataclass, field

from baobabstream.policy.events import RequestInfo
from baobabstream.policy.plan_choice import Plan
from baobabstream.wire.rows import ClassRow

__all__ = ["Attempt", "ActiveRequest", "Stage"]


@dataclass(slots=True)
class Attempt:
    """One attempt on one backend server; times in seconds."""

    number: int
    backend_server: str
    version_key: tuple[str, str]
    sent_at_s: float
    is_long: bool
    expected_first_token_s: float
    is_hedge: bool = False
    rated_before_release: bool = False
    first_token_at_s: float | None = None
    received_tokens: int = 0
    tokens_at_measurement: int = 0
    measured_at_s: float = 0.0
    counted_prefill_s: float = 0.0


class Stage:
    """Where a request is: waiting for room, for a trial, running, or held for its rating."""

    QUEUED = "queued"
    TRIAL = "trial"
    RUNNING = "running"
    RATING = "rating"


@dataclass(slots=True)
class ActiveRequest:
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
    class_targets: ClassRow
    plan: Plan
    arrived_at_s: float
    dispatch_deadline_s: float
    is_long: bool
    stage: str = Stage.QUEUED
    attempts: dict[int, Attempt] = field(default_factory=dict)
    tried_servers: set[str] = field(default_factory=set)
    next_attempt_number: int = 1
    delivered_tokens: int = 0
    was_resumed: bool = False
    was_hedged: bool = False
    was_escalated: bool = False
    held_attempt_number: int = 0
    was_dispatched: bool = False
    is_suspect: bool = False
    is_within_share: bool = False
