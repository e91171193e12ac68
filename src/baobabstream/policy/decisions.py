"""Decisions that a routing policy returns and the entry carries out.

An entry is a host process that accepts requests and sends them to backend servers. An attempt is
one dispatch of a request to a backend server; attempts of a request are numbered from 1. A cascade
holds the answer of a first version until the rating service has rated it good or bad, and replaces
a bad one by an answer of a second version. ``request_id`` is the identity of the request, ``code``
the result that the caller gets, ``retry_after_s`` the time in seconds after which the caller may
try again (None to name no time), and ``reason`` a text for the operator. A hedge is a second
attempt, sent when the first token of the first one is late. The control leader is the host that
manages the configuration for all entries. An engine is a backend server that runs models.
"""

from dataclasses import dataclass

from baobabstream.errors.codes import ResultCode

__all__ = [
    "AskTrial",
    "Cancel",
    "Decision",
    "Dispatch",
    "GiveUp",
    "Refuse",
    "Release",
    "StopVersion",
]


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send an attempt to a backend server.

    Attributes
    ----------
    attempt
        Number of the attempt within the request, from 1.
    backend_server
        Identity of the server.
    model, version
        Version that the attempt runs on.
    priority
        Priority at the engine; higher runs first.
    resume_tokens
        Tokens already delivered, after which the engine resumes; 0 for an answer from its start.
    is_hedge
        Whether the attempt is a hedge: another attempt of the request is still running, and its
        first token is late.
    rated_before_release
        Whether the answer must be rated before it is released (first step of a cascade).
    reason
        Why this was decided, for the operator.
    """

    request_id: str
    attempt: int
    backend_server: str
    model: str
    version: str
    priority: int = 0
    resume_tokens: int = 0
    is_hedge: bool = False
    rated_before_release: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel the running attempt of a request with the number ``attempt``."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a request that was not dispatched, with a time to wait before a retry if known."""

    request_id: str
    code: ResultCode
    retry_after_s: float | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """End a request that was dispatched but cannot be completed."""

    request_id: str
    code: ResultCode
    retry_after_s: float | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StopVersion:
    """Report that this entry gives a version no new work, since its results became worse."""

    model: str
    version: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class AskTrial:
    """Ask the control leader to allow a trial of a suspect on one of the candidates.

    A suspect is a request that was running when a backend server was lost. In a trial it runs alone
    on a server. The answer comes back as ``TrialGranted`` or ``TrialDenied``.

    Attributes
    ----------
    candidates
        Identities of the servers on which the trial may run.
    """

    request_id: str
    candidates: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Release:
    """Release to the caller the answer of an attempt that was held until it was rated."""

    request_id: str
    attempt: int
    reason: str = ""


Decision = Dispatch | Cancel | Refuse | GiveUp | StopVersion | AskTrial | Release
