"""Secrets of the settings files: written in the file itself or kept in a file of their own."""

import stat
from pathlib import Path
from typing import Annotated, Any

from pydantic import BeforeValidator, Field, SecretStr, ValidationInfo
from pydantic_core import PydanticCustomError

from baobabstream.settings.paths import resolve_path

__all__ = ["SECRET_KEYS", "Secret"]

# Values below these keys are never printed.
SECRET_KEYS = frozenset({"backend_key", "operator_keys", "peer_secret", "session_secret"})

MIN_SECRET_CHARS = 16
MAX_SECRET_CHARS = 256


def _read_secret(value: Any, info: ValidationInfo) -> Any:
    if not isinstance(value, dict):
        return value
    if set(value) != {"file"} or not isinstance(value["file"], str):
        raise PydanticCustomError("secret", 'allowed are a text and {{ file = "PATH" }}')
    path = resolve_path(Path(value["file"]), info)
    try:
        mode = path.stat().st_mode
        text = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise PydanticCustomError(
            "secret", "the file {path} cannot be read", {"path": str(path)}
        ) from error
    if mode & stat.S_IRWXO:
        raise PydanticCustomError(
            "secret", "the file {path} must not be open to other users", {"path": str(path)}
        )
    return text


Secret = Annotated[
    SecretStr,
    Field(min_length=MIN_SECRET_CHARS, max_length=MAX_SECRET_CHARS),
    BeforeValidator(_read_secret),
]
