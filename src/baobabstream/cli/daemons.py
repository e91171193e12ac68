"""Commands that run the daemons.

Each command imports its daemon itself, so that operator commands start without them.
"""

import asyncio
import time
from pathlib import Path
from random import SystemRandom
from typing import Annotated

import typer
import uvloop

__all__ = ["control", "entry"]

SettingsFile = Annotated[Path, typer.Option("--settings", help="TOML settings file.")]


def entry(settings_file: SettingsFile) -> None:
    """Run an entry daemon."""
    from baobabstream.cli.run_daemon import run_until_stopped
    from baobabstream.entry.daemon import EntryDaemon
    from baobabstream.settings.load import load_settings
    from baobabstream.settings.models import EntrySettings
    from baobabstream.telemetry.logs import configure_logging
    from baobabstream.wire.threads import limit_nng_threads

    settings = load_settings(settings_file, EntrySettings)
    configure_logging(settings.log.level, settings.log.json_lines, settings.host)
    limit_nng_threads()
    run_until_stopped(
        lambda: EntryDaemon(settings, SystemRandom(), clock=time.monotonic), uvloop.run
    )


def control(settings_file: SettingsFile) -> None:
    """Run a control daemon."""
    from baobabstream.cli.run_daemon import run_until_stopped
    from baobabstream.control.daemon import ControlDaemon
    from baobabstream.settings.load import load_settings
    from baobabstream.settings.models import ControlSettings
    from baobabstream.telemetry.logs import configure_logging
    from baobabstream.wire.threads import limit_nng_threads

    settings = load_settings(settings_file, ControlSettings)
    configure_logging(settings.log.level, settings.log.json_lines, settings.host)
    limit_nng_threads()
    # asyncio's own loop reads the clock at each call, so that a lease check right after a process
    # freeze sees the time that has passed; uvloop does not.
    run_until_stopped(lambda: ControlDaemon(settings), asyncio.run)
