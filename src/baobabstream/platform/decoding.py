"""Decodes JSON bodies that the platform sends, with numbered errors for invalid ones."""

from typing import Annotated, TypeVar

from msgspec import DecodeError, Meta, ValidationError
from msgspec.json import Decoder

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused

__all__ = ["Identifier", "NaturalNumber", "decode"]

# Largest integer that the messages between daemons can hold.
MAX_INTEGER = 2**63 - 1
# Most characters of an identity, or of the name of a service, version or availability zone. They
# are short; the limit keeps a faulty sender from filling the messages between the daemons.
MAX_IDENTIFIER_LENGTH = 256

# Types of fields whose values are sent on to other daemons.
NaturalNumber = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Identifier = Annotated[str, Meta(min_length=1, max_length=MAX_IDENTIFIER_LENGTH)]

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
        With ``code`` if the body is not complete JSON, is nested too deeply or a field has the
        wrong type.
    """
    try:
        return decoder.decode(body)
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError) as error:
        raise RequestRefused(code, str(error)) from error
