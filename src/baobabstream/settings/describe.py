"""Puts validation errors of settings into words without showing secrets."""

from typing import Any, get_args

from pydantic import BaseModel

from baobabstream.settings.secrets import SECRET_KEYS
from baobabstream.settings.tls import TLS_ERROR_TYPE

__all__ = ["describe_error"]

# The input of these errors is a whole table or a key that may be a misspelled secret.
_TYPES_WITHOUT_VALUE = frozenset({"missing", "extra_forbidden", "value_error", TLS_ERROR_TYPE})


def describe_error(item: Any, model: type[BaseModel]) -> str:
    """Return key, what is allowed, and the value unless it may be a secret."""
    location = item["loc"]
    key = ".".join(str(part) for part in location) or "the file"
    match item["type"]:
        case "missing":
            return f"{key}: the key is required"
        case "extra_forbidden":
            keys = ", ".join(sorted(_model_at(model, location[:-1]).model_fields))
            return f"{key}: the key is not known; allowed are {keys}"
    message = item["msg"].removeprefix("Value error, ")
    return f"{key}: {message}{_shown_value(item)}"


def _shown_value(item: Any) -> str:
    if SECRET_KEYS.intersection(item["loc"]):
        return " (value not shown)"
    value = item["input"]
    if item["type"] in _TYPES_WITHOUT_VALUE or isinstance(value, dict | list):
        return ""
    return f" (got {value!r})"


def _model_at(model: type[BaseModel], location: tuple[Any, ...]) -> type[BaseModel]:
    """Return the model of the table at a location."""
    for part in location:
        if isinstance(part, str) and part in model.model_fields:
            model = _model_in(model.model_fields[part].annotation) or model
    return model


def _model_in(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    found = (_model_in(argument) for argument in get_args(annotation))
    return next((model for model in found if model is not None), None)
