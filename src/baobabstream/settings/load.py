"""Reads and checks a settings file."""

import tomllib
from pathlib import Path
from typing import TypeVar

from pydantic import BaseModel, ValidationError

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import SettingsError

__all__ = ["load_settings"]

ModelT = TypeVar("ModelT", bound=BaseModel)


def load_settings(path: Path, model: type[ModelT]) -> ModelT:
    """Read a TOML file into a settings model.

    Parameters
    ----------
    path
        The TOML file.
    model
        The pydantic model that the file must satisfy.

    Returns
    -------
    ModelT
        The validated settings.

    Raises
    ------
    SettingsError
        ``SETTINGS_UNREADABLE`` if the file is missing or not TOML, ``SETTINGS_INVALID`` if a
        value is not allowed. The text names file, key, value and what is allowed.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}") from error
    try:
        return model.model_validate(document)
    except ValidationError as error:
        lines = [f"{path}: {_describe(item)}" for item in error.errors()]
        raise SettingsError(ResultCode.SETTINGS_INVALID, "\n".join(lines)) from error


def _describe(item) -> str:
    key = ".".join(str(part) for part in item["loc"])
    value = "" if "secret" in key or "key" in key else f" (got {item['input']!r})"
    return f"{key}: {item['msg']}{value}"
