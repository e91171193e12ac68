"""Logging setup of the daemons, with a logger for each component.

A *component* is a part of the project with log lines of its own, such as ``entry`` (accepts the
requests of callers) or ``consensus`` (the replicated log). Its name precedes each of its messages.
"""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

__all__ = ["ComponentLogger", "configure_logging", "get_logger"]

# Parent of all loggers of this project.
_ROOT_LOGGER = "baobabstream"

# Libraries whose warnings are logged too; in plain text the library's name precedes the message.
_LIBRARIES = ("aiohttp", "asyncio")


class ComponentLogger(logging.LoggerAdapter):
    """Logger that puts the name of its component before each message."""

    def __init__(self, logger: logging.Logger, component: str) -> None:
        super().__init__(logger, {})
        self._component = component

    def process(self, msg, kwargs):
        """Return the message with the component's name before it, and unchanged ``kwargs``."""
        return f"{self._component}: {msg}", kwargs


def get_logger(component: str) -> ComponentLogger:
    """Return the logger of a component, such as ``entry`` or ``consensus``."""
    return ComponentLogger(logging.getLogger(f"{_ROOT_LOGGER}.{component}"), component)


def configure_logging(level: str, json_lines: bool, host: str) -> None:
    """Write the log records of the project, and warnings of libraries, to standard error.

    Parameters
    ----------
    level
        Lowest level that is written, such as ``INFO``; libraries always have ``WARNING``.
    json_lines
        Whether each record is a line with a JSON object; otherwise it is plain text.
    host
        Name of this host, part of each record.
    """
    _write_to_stderr(_ROOT_LOGGER, level, json_lines, host, "%(message)s")
    for library in _LIBRARIES:
        _write_to_stderr(library, "WARNING", json_lines, host, f"{library}: %(message)s")


def _write_to_stderr(
    logger_name: str, level: str, json_lines: bool, host: str, message_format: str
) -> None:
    """Replace the handlers of a logger by one that writes to standard error.

    Parameters
    ----------
    logger_name
        Name of the logger.
    level
        Lowest level that is written.
    json_lines
        Whether each record is a JSON object; its message then has no added prefix.
    host
        Name of this host, part of each record.
    message_format
        Format of the message in plain text, with the placeholder ``%(message)s``.
    """
    handler = logging.StreamHandler(sys.stderr)
    if json_lines:
        fields = ["asctime", "levelname", "name", "message"]
        handler.setFormatter(JsonFormatter(fields, static_fields={"host": host}))
    else:
        handler.setFormatter(
            logging.Formatter(f"%(asctime)s %(levelname)s {host} {message_format}")
        )
    logger = logging.getLogger(logger_name)
    logger.handlers = [handler]
    logger.setLevel(level)
    # Records would be written again by the handlers of the parent loggers.
    logger.propagate = False
