"""Decodes JSON bodies that the platform sends, with numbered errors for invalid ones."""

from typing import TypeVar

from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused

__all__ = ["decode"]

MessageT = TypeVar("MessageT")


def decode(decoder: Decoder[MessageT], body: bytes, code: ResultCode) -> MessageT:
    """Return the decoded message of a JSON body.

    Parameters
    ----------
    decoder
        Decoder of the message type.
    body
        JSON text.
    code
        Result code of the error if the body is invalid.

    Raises
    ------
    RequestRefused
        With ``code`` if the body is not complete JSON or a field has the wrong type.
    """
    try:
        return decoder.decode(body)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise RequestRefused(code, str(error)) from error
