"""Result of applying a command of the replicated log.

The commands change the configuration. Some also change claims, which let one process run a
non-idempotent request, or the records of fingerprints, which identify requests with equal content.
A fingerprint is a suspect if such a request ran on a backend server when that failed (a loss). It
then runs only in a trial, and after repeated losses it is quarantined and does not run.
"""

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
        Number of the last change of the configuration, after the command.
    operator_revision
        Revision after the last accepted operator command. If the next one names a base revision,
        which only a change of rows must do, it must be this revision.
    detail
        Explanation of a refusal for the operator, or empty.
    claim
        Reply to a claim request, or None for other commands.
    quarantined
        Fingerprints of a recorded loss that are quarantined; empty for other commands.
    trial
        Reply to a request for a trial, or None for other commands.
    """

    code: ResultCode
    revision: int
    operator_revision: int = 0
    detail: str = ""
    claim: ClaimReply | None = None
    quarantined: tuple[str, ...] = ()
    trial: TrialReply | None = None
