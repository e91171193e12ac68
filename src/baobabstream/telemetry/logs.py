"""Loggers with a fixed prefix for each part."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["PartLogger", "configure_logging", "get_logger"]

_ROOT = "baobabstream"


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
    handler = logging.StreamHandler(sys.stderr)
    if json_lines:
        fields = ["asctime", "levelname", "message"]
        handler.setFormatter(JsonFormatter(fields, static_fields={"host": host}))
    else:
        handler.setFormatter(logging.Formatter(f"%(asctime)s %(levelname)s {host} %(message)s"))
    root = logging.getLogger(_ROOT)
    root.handlers = [handler]
    root.setLevel(level)
    root.propagate = False
