"""Exit codes of the ``baobabstream`` command.

Errors have a numbered result code; its range tells its kind. A *control host* replicates the
configuration, the *leader* among them decides the changes, and a change is *in force* once every
host that accepts requests has applied it. A *rollout* moves traffic to a new model version step by
step. The *ledger* of a control daemon holds the billing records of answered requests. The
*revision* is the number of the last change; a change that was based on an earlier one is in
conflict.
"""

from enum import IntEnum

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError

__all__ = ["EXIT_MEANINGS", "ExitCode", "exit_code"]

# Result codes from 5000 concern storage, those from 6000 settings.
FIRST_STORAGE_CODE = 5000
FIRST_SETTINGS_CODE = 6000


class ExitCode(IntEnum):
    """Exit code of the command; see `EXIT_MEANINGS`. ``STORAGE`` is EX_IOERR of sysexits.h."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    CONFLICT = 5
    SETTINGS = 6
    OUTCOME_UNKNOWN = 7
    NOT_YET = 8
    STORAGE = 74


# Meanings, as shown on the reference page.
EXIT_MEANINGS: dict[ExitCode, str] = {
    ExitCode.DONE: "The command did what it says.",
    ExitCode.FAILED: "An unexpected error; the trace is on standard error.",
    ExitCode.USAGE: "An option or argument is missing or not valid.",
    ExitCode.REFUSED: "The change or the read was refused; the numbered code says why.",
    ExitCode.UNREACHABLE: "No control host that has a leader could be reached.",
    ExitCode.CONFLICT: "Another change came first; read the configuration and decide again.",
    ExitCode.SETTINGS: "A settings file, its TLS files or a listening address is not usable.",
    ExitCode.OUTCOME_UNKNOWN: "It is not known whether the change was accepted.",
    ExitCode.NOT_YET: "A wait ran out before the change was in force or the rollout had ended.",
    ExitCode.STORAGE: "A control daemon cannot use its data folder, log or ledger.",
}

# Exit codes of result codes below the storage range; all others mean ``REFUSED``.
_EXIT_CODES_BY_RESULT = {
    ResultCode.NO_LEADER: ExitCode.UNREACHABLE,
    ResultCode.PEER_UNREACHABLE: ExitCode.UNREACHABLE,
    ResultCode.REVISION_CONFLICT: ExitCode.CONFLICT,
    ResultCode.CHANGE_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
}


def exit_code(error: BaobabstreamError) -> ExitCode:
    """Return the exit code with which the command ends after an error."""
    if error.code >= FIRST_SETTINGS_CODE:
        return ExitCode.SETTINGS
    if error.code >= FIRST_STORAGE_CODE:
        return ExitCode.STORAGE
    return _EXIT_CODES_BY_RESULT.get(error.code, ExitCode.REFUSED)
