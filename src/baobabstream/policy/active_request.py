"""State of the requests that an entry is responsible for, and of their attempts.

An entry is a host process that accepts requests and sends them to backend servers. An attempt is
one dispatch of a request to a backend server. A request may have several: retries, hedges (a second
attempt, sent when the first token of the first one is late) and the second step of a cascade. A
cascade holds the answer of a first version until the rating service has rated it good or bad, and
replaces a bad one by an answer of a second version. Long work is a request that is expected to
occupy a server several times longer than most. Prefill is the time in which a server reads the
prompt. A suspect is a request that was running when a server was lost; it runs again only in a
trial, alone on a server that the control leader grants. An account's share is its weight in the
queue. A version key is the pair of model name and version. A work class names targets of quality,
latency and cost.
"""

from dataclasses import dataclass, field

from baobabstream.policy.events import RequestInfo
from baobabstream.policy.plan_choice import Plan
from baobabstream.wire.rows import ClassRow

__all__ = ["Attempt", "ActiveRequest", "Stage"]


@dataclass(slots=True)
class Attempt:
    """One attempt on one backend server.

    Times are on the policy's clock, in seconds.

    Attributes
    ----------
    number
        Number of the attempt within the request, from 1.
    backend_server
        Identity of the server.
    version_key
        Model and version that the attempt runs on.
    sent_at_s
        Time of the dispatch.
    is_long
        Whether the request counts as long work.
    expected_first_token_s
        Time to first token that was expected at the dispatch, in seconds.
    is_hedge
        Whether this is a hedge of an earlier attempt.
    rated_before_release
        Whether the answer is rated before the caller gets it (first step of a cascade).
    first_token_at_s
        Time of the first token, or None before it.
    received_tokens
        Output tokens received so far.
    tokens_at_measurement, measured_at_s
        Output tokens received, and time, when the time between tokens was last measured.
    counted_prefill_s
        Expected prefill time, in seconds, that the server's pending prefill still includes for this
        attempt; 0 after the first token.
    """

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
    """Stage of an active request.

    QUEUED waits for dispatch, TRIAL waits for the control leader to grant a trial, RUNNING has been
    dispatched, and RATING has an answer that is held until it is rated.
    """

    QUEUED = "queued"
    TRIAL = "trial"
    RUNNING = "running"
    RATING = "rating"


@dataclass(slots=True)
class ActiveRequest:
    """A request from its admission to its end.

    Times are on the policy's clock, in seconds.

    Attributes
    ----------
    request
        The request as it arrived.
    class_targets
        Row of the request's work class, with its quality, latency and cost targets.
    plan
        Version, or cascade of two versions, that the request runs on.
    arrived_at_s
        Time of the arrival.
    dispatch_deadline_s
        Time by which the request must leave the queue to meet its latency targets.
    is_long
        Whether the request counts as long work.
    stage
        One of the values of ``Stage``.
    attempts
        Attempts in flight, by number.
    tried_servers
        Identities of the servers of all attempts so far.
    next_attempt_number
        Number of the next attempt.
    delivered_tokens
        Output tokens that the caller already has.
    was_resumed
        Whether the stream was resumed on another server; that happens at most once.
    was_hedged
        Whether a hedge was sent; that happens at most once.
    was_escalated
        Whether the second step of the cascade was dispatched.
    held_attempt_number
        Number of the attempt whose answer is held until it is rated; 0 without one.
    was_dispatched
        Whether any attempt was sent.
    is_suspect
        Whether the request may have crashed a server; it is then neither hedged nor moved.
    is_within_share
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
