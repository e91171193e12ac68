"""Parsing of HTTP input and numbered error answers."""

import json
from typing import Any, TypeVar
from urllib.parse import parse_qsl

from aiohttp import web
from msgspec import json as msgspec_json
from pydantic import BaseModel, ValidationError

from baobabstream.errors.codes import CODE_TABLE, ResultCode
from baobabstream.errors.exceptions import BaobabstreamError, RequestRefused

__all__ = ["error_bytes", "error_response", "parse_body", "parse_query"]

ModelT = TypeVar("ModelT", bound=BaseModel)


def parse_body(model: type[ModelT], body: bytes, code: ResultCode) -> ModelT:
    """Return the validated body.

    Raises
    ------
    RequestRefused
        With ``code`` and the first wrong field.
    """
    try:
        return model.model_validate_json(body)
    except ValidationError as error:
        raise RequestRefused(code, _first_problem(error)) from error


def parse_query(model: type[ModelT], query: str) -> ModelT:
    """Return the validated query.

    Raises
    ------
    RequestRefused
        ``CHANGE_INVALID`` with the first wrong field.
    """
    pairs = parse_qsl(query, keep_blank_values=True)
    if len({name for name, _ in pairs}) < len(pairs):
        raise RequestRefused(ResultCode.CHANGE_INVALID, "a query field is given more than once")
    try:
        return model.model_validate_strings(dict(pairs))
    except ValidationError as error:
        raise RequestRefused(ResultCode.CHANGE_INVALID, _first_problem(error)) from error


def error_bytes(error: BaobabstreamError) -> bytes:
    """Return the JSON body of an error answer."""
    return msgspec_json.encode(_error_body(error))


def error_response(error: BaobabstreamError) -> web.Response:
    """Return the HTTP answer for an error."""
    return web.json_response(
        _error_body(error), status=CODE_TABLE[error.code].http_status, dumps=json.dumps
    )


def _first_problem(error: ValidationError) -> str:
    first = error.errors()[0]
    key = ".".join(str(part) for part in first["loc"])
    return f"{key}: {first['msg']}"


def _error_body(error: BaobabstreamError) -> dict[str, Any]:
    row = CODE_TABLE[error.code]
    return {
        "error": {
            "code": int(error.code),
            "name": error.code.name,
            "message": error.detail,
            "ran": row.run_state.value,
            "retry_after_s": error.retry_after_s,
        }
    }
