"""Pydantic models of the chat-completions request, and its decoder."""

from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from baobabstream.errors.codes import ResultCode
from baobabstream.errors.exceptions import RequestRefused

__all__ = ["ChatBody", "ChatMessage", "StreamOptions", "decode_chat_body"]

TokenCount = Annotated[int, Field(ge=1, le=1_000_000, strict=True)]


class ChatMessage(BaseModel):
    """One message of the conversation; unknown fields pass through."""

    model_config = ConfigDict(extra="allow")

    role: Annotated[str, Field(min_length=1, max_length=32)]
    content: str | list[dict[str, Any]] | None = None


class StreamOptions(BaseModel):
    """Options of a streamed answer; the entry itself adds the usage."""

    model_config = ConfigDict(extra="allow")

    include_usage: bool = False


class ChatBody(BaseModel):
    """Body of ``POST /v1/chat/completions``; unknown fields pass through to the engine.

    A request for several choices is refused, since resuming and billing count one answer.
    """

    model_config = ConfigDict(extra="allow")

    model: Annotated[str, Field(max_length=128)] = ""
    messages: Annotated[list[ChatMessage], Field(min_length=1)]
    stream: Annotated[bool, Field(strict=True)] | None = None
    stream_options: StreamOptions | None = None
    max_tokens: TokenCount | None = None
    max_completion_tokens: TokenCount | None = None
    n: Literal[1] | None = None

    @property
    def wants_usage(self) -> bool:
        """Whether the last chunk of a stream must tell the usage."""
        return self.stream_options is not None and self.stream_options.include_usage

    def engine_body(self) -> dict[str, Any]:
        """Return what is passed to the engine."""
        return self.model_dump(exclude_unset=True, exclude={"stream_options"})


def decode_chat_body(raw: bytes) -> ChatBody:
    """Return the body of a chat request.

    Raises
    ------
    RequestRefused
        ``MALFORMED_BODY`` with the first field that is wrong.
    """
    try:
        return ChatBody.model_validate_json(raw)
    except ValidationError as error:
        first = error.errors(include_url=False, include_context=False, include_input=False)[0]
        key = ".".join(str(part) for part in first["loc"])
        raise RequestRefused(ResultCode.MALFORMED_BODY, f"{key}: {first['msg']}") from error
