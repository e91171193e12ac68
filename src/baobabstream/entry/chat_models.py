"""Pydantic models of the chat-completions request."""

from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field

__all__ = ["ChatBody", "ChatMessage"]


class ChatMessage(BaseModel):
    """One message of the conversation; unknown fields pass through."""

    model_config = ConfigDict(extra="allow")

    role: Annotated[str, Field(min_length=1, max_length=32)]
    content: str | list[dict[str, Any]] | None = None


class ChatBody(BaseModel):
    """Body of ``POST /v1/chat/completions``; unknown fields pass through to the engine."""

    model_config = ConfigDict(extra="allow")

    model: Annotated[str, Field(max_length=128)] = ""
    messages: Annotated[list[ChatMessage], Field(min_length=1)]
    stream: bool = False
    max_tokens: Annotated[int, Field(ge=1, le=1_000_000)] | None = None
    max_completion_tokens: Annotated[int, Field(ge=1, le=1_000_000)] | None = None
