"""Loggers with a fixed prefix for each part."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["PartLogger", "configure_logging", "get_logger"]

_ROOT = "baobabstream"

# Libraries whose warnings belong in the log; their records get the logger's name as prefix.
_LIBRARIES = ("aiohttp", "asyncio")


class PartLogger(logging.LoggerAdapter):
    """Puts the name of the part before each message."""

    def __init__(self, logger: logging.Logger, part: str) -> None:
        super().__init__(logger, {})
        self._part = part

    def process(self, msg, kwargs):
        """Return the message with its prefix."""
        return f"{self._part}: {msg}", kwargs


def get_logger(part: str) -> PartLogger:
    """Return the logger of a part, such as ``entry`` or ``consensus``."""
    return PartLogger(logging.getLogger(f"{_ROOT}.{part}"), part)


def configure_logging(level: str, json_lines: bool, host: str) -> None:
    """Send the project's log to standard error.

    Parameters
    ----------
    level
        Least level that is written.
    json_lines
        Whether each record is one JSON object.
    host
        Name of this host, part of each record.
    """
    _send_to_stderr(_ROOT, level, json_lines, host, "%(message)s")
    for library in _LIBRARIES:
        _send_to_stderr(library, "WARNING", json_lines, host, f"{library}: %(message)s")


def _send_to_stderr(name: str, level: str, json_lines: bool, host: str, message: str) -> None:
    handler = logging.StreamHandler(sys.stderr)
    if json_lines:
        fields = ["asctime", "levelname", "name", "message"]
        handler.setFormatter(JsonFormatter(fields, static_fields={"host": host}))
    else:
        handler.setFormatter(logging.Formatter(f"%(asctime)s %(levelname)s {host} {message}"))
    logger = logging.getLogger(name)
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
