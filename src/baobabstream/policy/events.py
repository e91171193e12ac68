"""Events that a routing policy processes.

An entry is a host process that accepts requests and sends them to backend servers. An attempt is
one dispatch of a request to a backend server; ``attempt`` is its number within the request, from 1,
and ``request_id`` the identity of the request. A client account is the customer that is billed for
a request; a work class names the request's targets of quality, latency and cost. A session is a
series of requests that must stay on one version of the model, to which they are pinned. A suspect
is a request that was running when a backend server was lost; it runs again only in a trial, which
the control leader grants or denies. After repeated losses its fingerprint is quarantined, and the
request never runs again. A view holds the configuration and the announced backend servers. An
engine is a backend server that runs models.
"""

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
    """Why an attempt failed.

    CONNECT
        The connection to the server could not be opened; the request did not run.
    REFUSED
        The server refused the request; it did not run.
    ERROR
        The engine reported an error or sent invalid data.
    LOST
        The connection ended before the answer was complete; the server may have crashed.
    STALLED
        The server sent nothing for too long.
    """

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
        Names of the client account and of the work class.
    model
        Model asked for, or empty to let the policy choose.
    pinned_version
        Version that the session is pinned to, or empty.
    prompt_tokens, expected_output_tokens
        Estimated lengths of the prompt and of the answer, in tokens.
    prefix_digests
        Digests of the prompt's successive prefixes (its first parts), shortest first; equal
        digests mean that a server may have cached what it computed for the prefix.
    fingerprint
        Digest of account and content, the same for repeated requests; recognises a request that
        may have crashed a server. Empty without one.
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
    """An attempt delivered the first token of its answer."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class TokensReceived:
    """An attempt delivered ``tokens`` more output tokens."""

    request_id: str
    attempt: int
    tokens: int


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """An attempt delivered its complete answer of ``output_tokens`` tokens."""

    request_id: str
    attempt: int
    output_tokens: int


@dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An attempt failed.

    Attributes
    ----------
    kind
        Why it failed.
    delivered_tokens
        Output tokens that the caller already has.
    retry_after_s
        Time to wait before a retry that the backend server asked for, in seconds, or None.
    """

    request_id: str
    attempt: int
    kind: FailureKind
    delivered_tokens: int = 0
    retry_after_s: float | None = None


@dataclass(frozen=True, slots=True)
class AnswerRated:
    """The rating service rated an answer of a version as good or bad."""

    request_id: str
    model: str
    version: str
    good: bool


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The time that ``RoutingPolicy.next_timer_s`` returned has been reached."""


@dataclass(frozen=True, slots=True)
class TrialGranted:
    """The control leader lets a suspect run alone on a backend server, for ``trial_s`` seconds.

    A suspect is a request that was running when a backend server was lost. An infinite ``trial_s``
    sets no limit.
    """

    request_id: str
    backend_server: str
    trial_s: float = inf


@dataclass(frozen=True, slots=True)
class TrialDenied:
    """The control leader grants no trial to a suspect now.

    Attributes
    ----------
    retry_after_s
        Time after which the caller may try again, in seconds.
    quarantined
        Whether the request's fingerprint is quarantined, so that it never runs again.
    """

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
