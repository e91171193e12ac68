"""Commands that run the entry and control daemons.

An *entry* daemon accepts the requests of callers and sends them to backend servers; a *control*
daemon replicates the configuration. nng is the messaging library between daemons.

Each command imports its daemon within the function, so that operator commands, which need no
daemon, start quickly.
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
    from baobabstream.cli.process_memory import return_large_buffers
    from baobabstream.cli.run_daemon import run_until_stopped
    from baobabstream.entry.daemon import EntryDaemon
    from baobabstream.settings.load import load_settings
    from baobabstream.settings.models import EntrySettings
    from baobabstream.telemetry.logs import configure_logging
    from baobabstream.wire.threads import limit_nng_threads

    settings = load_settings(settings_file, EntrySettings)
    configure_logging(settings.log.level, settings.log.json_lines, settings.host)
    limit_nng_threads()
    return_large_buffers()
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
    # A lease is a time-limited right that the leader checks before it acts. asyncio's event loop
    # reads the clock at each call, so that a check right after the process was suspended sees the
    # elapsed time. uvloop caches the time and does not.
    run_until_stopped(lambda: ControlDaemon(settings), asyncio.run)
