"""Formats pydantic's validation errors of settings files for operators, without secrets.

pydantic is the data validation library. It reports an error as a dictionary with the type of the
error (``type``), the keys that lead to the value (``loc``), the value (``input``) and a message
(``msg``).
"""

from typing import Any, get_args

from pydantic import BaseModel

from baobabstream.settings.secrets import SECRET_KEYS
from baobabstream.settings.tls import TLS_ERROR_TYPE

__all__ = ["describe_error"]

# Errors whose text never shows the input: it may be a whole table, or the value of a misspelled key
# of a secret.
_ERROR_TYPES_WITHOUT_VALUE = frozenset(
    {"missing", "extra_forbidden", "value_error", TLS_ERROR_TYPE}
)


def describe_error(error: Any, model: type[BaseModel]) -> str:
    """Return one line with the key, what is allowed, and the value unless it may be a secret.

    Parameters
    ----------
    error
        One of pydantic's error dictionaries.
    model
        Model of the whole settings file.
    """
    location = error["loc"]
    key_path = ".".join(str(part) for part in location) or "the file"
    match error["type"]:
        case "missing":
            return f"{key_path}: the key is required"
        case "extra_forbidden":
            # The last part of the location is the unknown key, the others lead to its table.
            allowed_keys = ", ".join(sorted(_find_table_model(model, location[:-1]).model_fields))
            return f"{key_path}: the key is not known; allowed are {allowed_keys}"
    # pydantic puts "Value error, " before the message of a validator's ValueError.
    message = error["msg"].removeprefix("Value error, ")
    return f"{key_path}: {message}{_format_value(error)}"


def _format_value(error: Any) -> str:
    """Return the end of an error line that shows the value.

    For a secret it is a note that the value is not shown. It is empty for a table or list, and for
    the error types whose text never shows the value.
    """
    if SECRET_KEYS.intersection(error["loc"]):
        return " (value not shown)"
    value = error["input"]
    if error["type"] in _ERROR_TYPES_WITHOUT_VALUE or isinstance(value, dict | list):
        return ""
    return f" (got {value!r})"


def _find_table_model(model: type[BaseModel], location: tuple[Any, ...]) -> type[BaseModel]:
    """Return the model of a table of the settings file.

    Parameters
    ----------
    model
        Model of the whole settings file.
    location
        Keys, and indices of lists, that lead to the table. Indices are skipped, since the model of
        a list's elements is found with the key of the list.
    """
    for part in location:
        if isinstance(part, str) and part in model.model_fields:
            model = _find_annotated_model(model.model_fields[part].annotation) or model
    return model


def _find_annotated_model(annotation: Any) -> type[BaseModel] | None:
    """Return the first pydantic model within a type annotation, or None if there is none.

    The annotation may be the model, or contain it, such as ``list[Model]`` or ``Model | None``.
    """
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    models = (_find_annotated_model(argument) for argument in get_args(annotation))
    return next((model for model in models if model is not None), None)
