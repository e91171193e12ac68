"""Command that checks a settings file without starting a daemon."""

from enum import StrEnum
from pathlib import Path
from typing import Annotated

import typer

from baobabstream.settings.load import load_settings
from baobabstream.settings.models import ControlSettings, EntrySettings

__all__ = ["Role", "check_settings"]


class Role(StrEnum):
    """Role of a daemon."""

    ENTRY = "entry"
    CONTROL = "control"


def check_settings(
    file: Annotated[Path, typer.Argument(help="TOML settings file.")],
    role: Annotated[Role, typer.Option(help="Daemon that the file is for.")],
) -> None:
    """Check a settings file and the files it names."""
    model = EntrySettings if role is Role.ENTRY else ControlSettings
    settings = load_settings(file, model)
    typer.echo(f"{file}: valid {role.value} settings of host {settings.host}")
