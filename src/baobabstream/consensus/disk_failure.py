"""Ends a process whose disk fails: it must not go on to vote and answer."""

import os
from typing import NoReturn

from baobabstream.telemetry.logs import PartLogger

__all__ = ["DISK_FAILED_EXIT_STATUS", "end_on_disk_failure"]

# EX_IOERR of sysexits.h, so that a supervisor can tell a failed disk from other exits.
DISK_FAILED_EXIT_STATUS = 74


def end_on_disk_failure(log: PartLogger, what: str, reason: object) -> NoReturn:
    """Say what cannot be stored and end the process at once."""
    log.critical("The %s cannot be stored, the daemon ends: %s", what, reason)
    os._exit(DISK_FAILED_EXIT_STATUS)
