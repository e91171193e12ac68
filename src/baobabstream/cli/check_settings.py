"""Command that checks a settings file without starting a daemon.

An *entry* daemon accepts the requests of callers; a *control* daemon replicates the configuration.
"""

from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer

from baobabstream.settings.load import load_settings
from baobabstream.settings.models import ControlSettings, EntrySettings

__all__ = ["Role", "check_settings"]


class Role(StrEnum):
    """Role of a daemon, which decides the settings that its file may contain."""

    ENTRY = "entry"
    CONTROL = "control"


def check_settings(
    file: Annotated[Path, typer.Argument(help="TOML settings file.")],
    role: Annotated[Role, typer.Option(help="Daemon that the file is for.")],
) -> None:
    """Check a settings file and the files that it names."""
    settings_class = EntrySettings if role is Role.ENTRY else ControlSettings
    settings = load_settings(file, settings_class)
    typer.echo(f"{file}: valid {role.value} settings of host {settings.host}")
