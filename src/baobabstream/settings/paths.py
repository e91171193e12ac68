"""Paths in settings files, relative to the folder of the file."""

from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, ValidationInfo

__all__ = ["SettingsPath", "resolve_path"]


def resolve_path(path: Path, info: ValidationInfo) -> Path:
    """Return a path relative to the settings file's folder, given in the context."""
    folder = (info.context or {}).get("folder")
    return path if folder is None else folder / path


SettingsPath = Annotated[Path, AfterValidator(resolve_path)]
