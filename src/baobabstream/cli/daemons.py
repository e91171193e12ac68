"""Commands that run the daemons."""

import asyncio
import time
from pathlib import Path
from random import SystemRandom
from typing import Annotated

import typer
import uvloop

from baobabstream.cli.run_daemon import run_until_stopped
from baobabstream.control.daemon import ControlDaemon
from baobabstream.entry.daemon import EntryDaemon
from baobabstream.settings.load import load_settings
from baobabstream.settings.models import ControlSettings, EntrySettings
from baobabstream.telemetry.logs import configure_logging
from baobabstream.wire.threads import limit_nng_threads

__all__ = ["control", "entry"]

SettingsFile = Annotated[Path, typer.Option("--settings", help="TOML settings file.")]


def entry(settings_file: SettingsFile) -> None:
    """Run an entry daemon."""
    settings = load_settings(settings_file, EntrySettings)
    configure_logging(settings.log.level, settings.log.json_lines, settings.host)
    limit_nng_threads()
    run_until_stopped(
        lambda: EntryDaemon(settings, SystemRandom(), clock=time.monotonic), uvloop.run
    )


def control(settings_file: SettingsFile) -> None:
    """Run a control daemon."""
    settings = load_settings(settings_file, ControlSettings)
    configure_logging(settings.log.level, settings.log.json_lines, settings.host)
    limit_nng_threads()
    # asyncio's own loop reads the clock at each call, so that a lease check right after a process
    # freeze sees the time that has passed; uvloop does not.
    run_until_stopped(lambda: ControlDaemon(settings), asyncio.run)
