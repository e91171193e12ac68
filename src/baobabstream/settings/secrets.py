"""Type of the secrets in settings files: a text, or a table that names a file with the text.

pydantic, the data validation library, keeps the text in a ``SecretStr``, which hides it when it is
printed.
"""

import stat
from pathlib import Path
from typing import Annotated, Any

from pydantic import BeforeValidator, Field, SecretStr, ValidationInfo
from pydantic_core import PydanticCustomError

from baobabstream.settings.paths import resolve_path

__all__ = ["SECRET_KEYS", "Secret"]

# Keys of the settings file whose values are never printed.
SECRET_KEYS = frozenset({"backend_key", "operator_keys", "peer_secret", "session_secret"})

# Limits of the length of a secret in characters.
MIN_SECRET_CHARS = 16
MAX_SECRET_CHARS = 256


def _read_secret(value: Any, info: ValidationInfo) -> Any:
    """Return the text of a secret; a table such as ``{ file = "PATH" }`` is replaced by the file.

    ``value`` is the value in the settings file; one that is no table is returned unchanged.
    ``info`` holds the folder of the settings file, to which a relative PATH is joined. White space
    around the file's text is removed.

    Raises
    ------
    PydanticCustomError
        If the table is not of this form, or the file cannot be read or is accessible to users that
        are neither its owner nor in its group.
    """
    if not isinstance(value, dict):
        return value
    if set(value) != {"file"} or not isinstance(value["file"], str):
        raise PydanticCustomError("secret", 'allowed are a text and {{ file = "PATH" }}')
    path = resolve_path(Path(value["file"]), info)
    try:
        file_mode = path.stat().st_mode
        text = path.read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise PydanticCustomError(
            "secret", "the file {path} cannot be read", {"path": str(path)}
        ) from error
    # Any of the permissions to read, write and execute for users outside of the file's group.
    if file_mode & stat.S_IRWXO:
        raise PydanticCustomError(
            "secret", "the file {path} must not be open to other users", {"path": str(path)}
        )
    return text


Secret = Annotated[
    SecretStr,
    Field(min_length=MIN_SECRET_CHARS, max_length=MAX_SECRET_CHARS),
    BeforeValidator(_read_secret),
]
