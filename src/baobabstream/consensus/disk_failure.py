"""Ends a process whose disk failed.

It could lose what it promises from then on, so it must neither vote nor answer requests.
"""

import os
from typing import NoReturn

from baobabstream.telemetry.logs import PartLogger

__all__ = ["DISK_FAILED_EXIT_STATUS", "end_on_disk_failure"]

# EX_IOERR of sysexits.h, so that a supervisor can tell a failed disk from other exits.
DISK_FAILED_EXIT_STATUS = 74


def end_on_disk_failure(log: PartLogger, data_name: str, reason: object) -> NoReturn:
    """Log which data cannot be stored and why, and end the process without any cleanup."""
    log.critical("The %s cannot be stored, the daemon ends: %s", data_name, reason)
    os._exit(DISK_FAILED_EXIT_STATUS)
