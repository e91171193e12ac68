"""Events that a routing policy is told of."""

from dataclasses import dataclass
from enum import StrEnum
from math import inf

from baobabstream.policy.view import ClusterView

__all__ = [
    "AnswerRated",
    "AttemptFailed",
    "AttemptFinished",
    "CallerDisconnected",
    "FailureKind",
    "FirstToken",
    "PolicyEvent",
    "RequestArrived",
    "RequestInfo",
    "TimerFired",
    "TokensReceived",
    "TrialDenied",
    "TrialGranted",
    "ViewChanged",
]


class FailureKind(StrEnum):
    """Why an attempt failed."""

    CONNECT = "connect"
    REFUSED = "refused"
    ERROR = "error"
    LOST = "lost"
    STALLED = "stalled"


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """A chat request as the policy sees it.

    Attributes
    ----------
    request_id
        Identity of the request, unique in this entry.
    client_account, work_class
        Names of the account and of the class of work.
    model
        Model asked for, or empty to let the policy choose.
    pinned_version
        Version that the session is pinned to, or empty.
    prompt_tokens, expected_output_tokens
        Estimates of the work.
    prefix_digests
        Digests of the prompt's successive prefixes, shortest first.
    fingerprint
        Digest of account and content.
    streaming
        Whether the caller wants a stream.
    idempotent
        Whether the request may run more than once.
    """

    request_id: str
    client_account: str
    work_class: str
    model: str = ""
    pinned_version: str = ""
    prompt_tokens: int = 0
    expected_output_tokens: int = 128
    prefix_digests: tuple[str, ...] = ()
    fingerprint: str = ""
    streaming: bool = True
    idempotent: bool = True


@dataclass(frozen=True, slots=True)
class ViewChanged:
    """The configuration or the set of backend servers changed."""

    view: ClusterView


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller sent a request."""

    request: RequestInfo


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller closed its connection."""

    request_id: str


@dataclass(frozen=True, slots=True)
class FirstToken:
    """An attempt delivered its first token."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class TokensReceived:
    """An attempt has delivered ``tokens`` more tokens."""

    request_id: str
    attempt: int
    tokens: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt delivered its whole answer."""

    request_id: str
    attempt: int
    output_tokens: int


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt failed.

    ``delivered_tokens`` counts the tokens of the answer that the caller already has.
    ``retry_after_s`` is the backend server's own wish, if it gave one.
    """

    request_id: str
    attempt: int
    kind: FailureKind
    delivered_tokens: int = 0
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class AnswerRated:
    """The rating service judged an answer."""

    request_id: str
    model: str
    version: str
    good: bool


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time that the policy asked for has come."""


@dataclass(frozen=True, slots=True)
class TrialGranted:
    """The control leader lets a suspect run alone on a backend server, for ``trial_s`` seconds."""

    request_id: str
    backend_server: str
    trial_s: float = inf


@dataclass(frozen=True, slots=True)
class TrialDenied:
    """The control leader grants no trial now, or the fingerprint is quarantined."""

    request_id: str
    retry_after_s: float
    quarantined: bool = False


PolicyEvent = (
    ViewChanged
    | RequestArrived
    | CallerDisconnected
    | FirstToken
    | TokensReceived
    | AttemptFinished
    | AttemptFailed
    | AnswerRated
    | TimerFired
    | TrialGranted
    | TrialDenied
)
