"""Pydantic models of the chat-completions request body, and its decoder.

An engine is a backend server that runs a language model. A choice is one of the alternative answers
that a caller may ask for; the usage is the report of token counts at the end of a stream.
"""

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused

__all__ = ["ChatBody", "ChatMessage", "StreamOptions", "decode_chat_body"]

# A limit on the length of an answer in tokens: an integer from 1 to 1,000,000; with ``strict``, no
# text or fraction is converted to it.
TokenCount = Annotated[int, Field(ge=1, le=1_000_000, strict=True)]


class ChatMessage(BaseModel):
    """One message of the conversation; unknown fields are passed on to the engine.

    ``role`` names the author, such as "user", with up to 32 characters. ``content`` is a text, a
    list of parts, or null. Of a list with many invalid items only the first is looked at, since
    each error takes memory.
    """

    model_config = ConfigDict(extra="allow")

    role: Annotated[str, Field(min_length=1, max_length=32)]
    content: str | Annotated[list[dict[str, Any]], Field(fail_fast=True)] | None = None


class StreamOptions(BaseModel):
    """Options of a streamed answer.

    ``include_usage`` asks for the token counts in the last chunk. The options are not passed on to
    the engine: this daemon itself adds the usage.
    """

    model_config = ConfigDict(extra="allow")

    include_usage: bool = False


class ChatBody(BaseModel):
    """Body of ``POST /v1/chat/completions``; unknown fields are passed on to the engine.

    ``model`` has up to 128 characters and may be empty. ``max_tokens`` and
    ``max_completion_tokens`` are the older and the newer name of the limit on the answer. ``n`` is
    the number of choices. A request for several is refused, since resuming and billing support only
    one answer.
    """

    model_config = ConfigDict(extra="allow")

    model: Annotated[str, Field(max_length=128)] = ""
    messages: Annotated[list[ChatMessage], Field(min_length=1, fail_fast=True)]
    stream: Annotated[bool, Field(strict=True)] | None = None
    stream_options: StreamOptions | None = None
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    n: Literal[1] | None = None

    @property
    def wants_usage(self) -> bool:
        """Whether the last chunk of a stream must report the usage."""
        return self.stream_options is not None and self.stream_options.include_usage

    def engine_body(self) -> dict[str, Any]:
        """Return the fields of the body to send to the engine: those that the caller has set."""
        return self.model_dump(exclude_unset=True, exclude={"stream_options"})


def decode_chat_body(raw_body: bytes) -> ChatBody:
    """Return the body of a chat request.

    Raises
    ------
    RequestRefused
        ``MALFORMED_BODY`` with the path of the first invalid field.
    """
    try:
        return ChatBody.model_validate_json(raw_body)
    except ValidationError as error:
        first_error = error.errors(include_url=False, include_context=False, include_input=False)[0]
        # "loc" holds the names and list indices that lead to the field, and "msg" says what is
        # wrong with it. The options leave out a link, the context and the value that the caller
        # sent.
        field_path = ".".join(str(part) for part in first_error["loc"])
        raise RequestRefused(
            ResultCode.MALFORMED_BODY, f"{field_path}: {first_error['msg']}"
        ) from error
