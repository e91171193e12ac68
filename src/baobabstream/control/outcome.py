"""Result of applying a command of the replicated log."""

from msgspec import Struct

from baobabstream.errors.codes import ResultCode
from baobabstream.wire.messages import ClaimReply, TrialReply

__all__ = ["Outcome"]


class Outcome(Struct, frozen=True):
    """Result of applying a command to the configuration state.

    Attributes
    ----------
    code
        ``OK``, or the reason why the command changed nothing.
    revision
        Revision of the configuration after the command.
    operator_revision
        Base revision that the next operator change must name.
    detail
        Explanation of a refusal for the operator, or empty.
    claim
        Reply to a claim request.
    quarantined
        Fingerprints of a recorded loss that are quarantined.
    trial
        Reply to a request for a trial.
    """

    code: ResultCode
    revision: int
    operator_revision: int = 0
    detail: str = ""
    claim: ClaimReply | None = None
    quarantined: tuple[str, ...] = ()
    trial: TrialReply | None = None
