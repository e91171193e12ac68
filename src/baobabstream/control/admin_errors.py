"""Parsing of HTTP bodies and queries, and error answers with a result code.

A result code is a number that says why a call failed. ``CODE_TABLE`` gives for each code the HTTP
status, and whether the refused call has run, that is, whether it may have had an effect.
"""

import json
from typing import Any, TypeVar
from urllib.parse import parse_qsl

from aiohttp import web
from msgspec import json as msgspec_json
from pydantic import BaseModel, ValidationError

from baobabstream.errors.codes import CODE_TABLE, ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, RequestRefused

__all__ = ["encode_error", "error_response", "parse_body", "parse_query"]

ModelT = TypeVar("ModelT", bound=BaseModel)


def parse_body(model: type[ModelT], body: bytes, code: ResultCode) -> ModelT:
    """Return a JSON body as an object of a pydantic model, which checks its fields.

    Raises
    ------
    RequestRefused
        With the result code ``code`` and a text that names the first invalid field.
    """
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        raise RequestRefused(code, _describe_first_error(error)) from error


def parse_query(model: type[ModelT], query: str) -> ModelT:
    """Return a query string as an object of a pydantic model, which checks its fields.

    Raises
    ------
    RequestRefused
        ``CHANGE_INVALID`` with the first invalid field, or if a field is repeated.
    """
    # Fields with an empty value are kept, so that the model checks them too.
    pairs = parse_qsl(query, keep_blank_values=True)
    if len({name for name, _ in pairs}) < len(pairs):
        raise RequestRefused(ResultCode.CHANGE_INVALID, "a query field is given more than once")
    try:
        return model.model_validate_strings(dict(pairs))
    except ValidationError as error:
        raise RequestRefused(ResultCode.CHANGE_INVALID, _describe_first_error(error)) from error


def encode_error(error: BaobabstreamError) -> bytes:
    """Return the body of an error answer as JSON text."""
    return msgspec_json.encode(_error_body(error))


def error_response(error: BaobabstreamError) -> web.Response:
    """Return the HTTP response for an error, with the status of its result code."""
    return web.json_response(
        _error_body(error), status=CODE_TABLE[error.code].http_status, dumps=json.dumps
    )


def _describe_first_error(error: ValidationError) -> str:
    """Return the path of the first invalid field and what is wrong with it."""
    first_error = error.errors()[0]
    field_path = ".".join(str(part) for part in first_error["loc"])
    return f"{field_path}: {first_error['msg']}"


def _error_body(error: BaobabstreamError) -> dict[str, Any]:
    """Return the body of an error answer as a dictionary.

    ``code`` and ``name`` are the number and the name of the result code. ``ran`` says whether the
    call was carried out (``no``, ``yes`` or ``unknown``), and ``retry_after_s`` after how many
    seconds the caller should repeat it, or is None if the error names no such time. ``message`` is
    empty if there is nothing to explain.
    """
    code_row = CODE_TABLE[error.code]
    return {
        "error": {
            "code": int(error.code),
            "name": error.code.name,
            "message": error.detail,
            "ran": code_row.run_state.value,
            "retry_after_s": error.retry_after_s,
        }
    }
