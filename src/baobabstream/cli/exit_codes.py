"""Exit codes of the command."""

from enum import IntEnum

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import BaobabstreamError

__all__ = ["EXIT_MEANINGS", "ExitCode", "exit_code"]

FIRST_SETTINGS_CODE = 6000


class ExitCode(IntEnum):
    """Exit code of the command."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNREACHABLE = 4
    CONFLICT = 5
    SETTINGS = 6
    OUTCOME_UNKNOWN = 7
    NOT_YET = 8


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
}

_BY_RESULT = {
    ResultCode.NO_LEADER: ExitCode.UNREACHABLE,
    ResultCode.PEER_UNREACHABLE: ExitCode.UNREACHABLE,
    ResultCode.REVISION_CONFLICT: ExitCode.CONFLICT,
    ResultCode.CHANGE_UNKNOWN: ExitCode.OUTCOME_UNKNOWN,
}


def exit_code(error: BaobabstreamError) -> ExitCode:
    """Return the exit code that an error ends the command with."""
    if error.code >= FIRST_SETTINGS_CODE:
        return ExitCode.SETTINGS
    return _BY_RESULT.get(error.code, ExitCode.REFUSED)
