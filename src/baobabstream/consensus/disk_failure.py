"""Ends a process whose disk failed.

A vote for a leader of the replicated log, or an answer to a request, promises that the data behind
it is stored. The process can no longer keep such promises, so it must neither vote nor answer
requests.
"""

import os
from typing import NoReturn

from baobabstream.telemetry.logs import ComponentLogger

__all__ = ["DISK_FAILED_EXIT_STATUS", "end_on_disk_failure"]

# EX_IOERR of sysexits.h, so that a supervisor can tell a failed disk from other exits.
DISK_FAILED_EXIT_STATUS = 74


def end_on_disk_failure(log: ComponentLogger, data_name: str, reason: object) -> NoReturn:
    """Log which data cannot be stored and why, and end the process without any cleanup.

    Ending at once keeps the process from answering requests in the meantime.

    Parameters
    ----------
    log
        Logger of the part of the program that wanted to store the data.
    data_name
        Name of the data for the message, without an article.
    reason
        Error that the write raised, or a text.
    """
    log.critical("The %s cannot be stored, the daemon ends: %s", data_name, reason)
    os._exit(DISK_FAILED_EXIT_STATUS)
