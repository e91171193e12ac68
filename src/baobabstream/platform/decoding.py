"""Decodes what the platform sends, with a numbered error for what cannot be read."""

from typing import TypeVar

from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused

__all__ = ["decode"]

MessageT = TypeVar("MessageT")


def decode(decoder: Decoder[MessageT], body: bytes, code: ResultCode) -> MessageT:
    """Return the message in a body.

    Raises
    ------
    RequestRefused
        With the given code if the body cannot be read in full or a field has another type.
    """
    try:
        return decoder.decode(body)
    except (DecodeError, ValidationError, UnicodeDecodeError) as error:
        raise RequestRefused(code, str(error)) from error
