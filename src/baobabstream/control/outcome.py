"""Result of applying a command."""

from msgspec import Struct

from baobabstream.errors.codes import ResultCode
from baobabstream.wire.messages import ClaimReply, TrialReply

__all__ = ["Outcome"]


class Outcome(Struct, frozen=True):
    """What applying a command gave.

    Attributes
    ----------
    code
        ``OK`` or why the command changed nothing.
    revision
        Revision of the configuration after the command.
    operator_revision
        Revision that an operator's next change must be based on.
    claim
        Reply to a claim call.
    quarantined
        Fingerprints, of those named, that are quarantined.
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
