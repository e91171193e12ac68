"""Decisions that a routing policy gives."""

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
    resume_tokens
        Tokens already delivered, after which the engine resumes; 0 for a fresh attempt.
    hedge
        Whether another attempt of the request is still running.
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
    """Cancel a running attempt."""

    request_id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a request that has not run."""

    request_id: str
    code: ResultCode
    retry_after_s: float | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class GiveUp:
    """End a request whose attempts failed."""

    request_id: str
    code: ResultCode
    retry_after_s: float | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StopVersion:
    """Evidence at this entry speaks against a version; it gets no new work here."""

    model: str
    version: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class AskTrial:
    """Ask the control leader for a trial of a suspect on one of the candidates.

    The answer comes back as ``TrialGranted`` or ``TrialDenied``.
    """

    request_id: str
    candidates: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Release:
    """Release the answer of an attempt that was held back for its rating."""

    request_id: str
    attempt: int
    reason: str = ""


Decision = Dispatch | Cancel | Refuse | GiveUp | StopVersion | AskTrial | Release
