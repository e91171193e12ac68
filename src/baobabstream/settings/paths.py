"""Type of the paths in settings files, which are relative to the folder of the file."""

from pathlib import Path
from typing import Annotated

from pydantic import AfterValidator, ValidationInfo

__all__ = ["SettingsPath", "resolve_path"]


def resolve_path(path: Path, info: ValidationInfo) -> Path:
    """Return a path joined to the folder of the settings file.

    The folder is the entry ``folder`` of the validation context. Without it, the path is returned
    unchanged.
    """
    folder = (info.context or {}).get("folder")
    return path if folder is None else folder / path


SettingsPath = Annotated[Path, AfterValidator(resolve_path)]
