"""Reads and checks a settings file."""

import tomllib
from pathlib import Path
from typing import Any, TypeVar

from pydantic import BaseModel, ValidationError

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import SettingsError
from baobabstream.settings.describe import describe_error
from baobabstream.settings.tls import TLS_ERROR_TYPE

__all__ = ["load_settings"]

ModelT = TypeVar("ModelT", bound=BaseModel)


def load_settings(path: Path, model: type[ModelT]) -> ModelT:
    """Read a TOML file into a settings model.

    Relative paths in the file are relative to its folder.

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
        ``SETTINGS_UNREADABLE`` if the file is missing or not TOML, ``TLS_FILES_INVALID`` if
        certificate files cannot be used, else ``SETTINGS_INVALID`` if a value is not allowed.
        The text names file, key, value and what is allowed.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}") from error
    try:
        return model.model_validate(document, context={"folder": path.absolute().parent})
    except ValidationError as error:
        raise _refusal(path, model, error.errors()) from None


def _refusal(path: Path, model: type[BaseModel], items: list[Any]) -> SettingsError:
    tls_only = all(item["type"] == TLS_ERROR_TYPE for item in items)
    code = ResultCode.TLS_FILES_INVALID if tls_only else ResultCode.SETTINGS_INVALID
    lines = [f"{path}: {describe_error(item, model)}" for item in items]
    return SettingsError(code, "\n".join(lines))
