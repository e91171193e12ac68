"""Reads a TOML settings file and validates it with pydantic, a data validation library."""

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

    Relative paths in the file are resolved against its folder.

    Parameters
    ----------
    path
        The TOML file.
    model
        The pydantic model that validates the file.

    Returns
    -------
    ModelT
        The validated settings.

    Raises
    ------
    SettingsError
        ``SETTINGS_UNREADABLE`` if the file is missing or not TOML, ``TLS_FILES_INVALID`` if
        certificate files cannot be used, else ``SETTINGS_INVALID`` if a value is not allowed.
        The text has one line for each error, with file, key, allowed values and value.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise SettingsError(ResultCode.SETTINGS_UNREADABLE, f"{path}: {error}") from error
    try:
        # The validators of paths and secrets join relative paths to the folder in the context.
        return model.model_validate(document, context={"folder": path.absolute().parent})
    except ValidationError as error:
        # Without the cause, whose text would show the values of secrets.
        raise _settings_error(path, model, error.errors()) from None


def _settings_error(path: Path, model: type[BaseModel], errors: list[Any]) -> SettingsError:
    """Return the exception for the validation errors of a settings file.

    Parameters
    ----------
    path
        The settings file.
    model
        Its model.
    errors
        pydantic's error dictionaries, at least one; ``type`` is the kind of the error.
    """
    has_only_tls_errors = all(error["type"] == TLS_ERROR_TYPE for error in errors)
    code = ResultCode.TLS_FILES_INVALID if has_only_tls_errors else ResultCode.SETTINGS_INVALID
    lines = [f"{path}: {describe_error(error, model)}" for error in errors]
    return SettingsError(code, "\n".join(lines))
