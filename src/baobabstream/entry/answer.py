"""Joins streamed chunks into a complete chat completion and builds the usage chunk.

A chunk is the JSON object in one server-sent event of a streamed chat completion. A choice is one
of the alternative answers that the format allows; a request here always has exactly one.

A token is the unit of text that a model generates; the usage is the report of token counts. A
caller is a client that sends chat requests.
"""

import json
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

__all__ = ["CollectedAnswer", "Usage", "build_completion", "usage_chunk"]


@dataclass(frozen=True, slots=True)
class Usage:
    """Numbers of tokens in the prompt and in the answer of a request."""

    prompt_tokens: int
    completion_tokens: int

    def document(self) -> dict[str, int]:
        """Return the counts as the ``usage`` object of the chat-completions format."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
        }


@dataclass(slots=True)
class CollectedAnswer:
    """The server-sent events received of an answer, and the number of tokens that they carry.

    Attributes
    ----------
    token_count
        Number of tokens in all events.
    event_blocks
        The events as received, in order; each block consists of one or more complete events. The
        final event, ``data: [DONE]``, is not among them.
    """

    token_count: int = 0
    event_blocks: list[bytes] = field(default_factory=list)

    def add(self, data: bytes, token_count: int) -> None:
        """Append ``data``, complete events that carry ``token_count`` tokens."""
        self.event_blocks.append(data)
        self.token_count += token_count

    def text(self) -> str:
        """Return the text of the answer."""
        return "".join(_chunk_text(chunk) for chunk in _decode_chunks(self.event_blocks))


def build_completion(answer: CollectedAnswer, request_id: str, usage: Usage) -> dict[str, Any]:
    """Return the chat completion object made from the collected chunks.

    It is the answer to a caller that does not stream. Identity, time (Unix time in seconds) and
    model are those of the last chunk. The finish reason, which says why the model ended the answer,
    is the last one that a chunk names, or "stop" if none does. The index 0 is that of the only
    choice.
    """
    chunks = list(_decode_chunks(answer.event_blocks))
    choices = [chunk["choices"][0] for chunk in chunks if chunk.get("choices")]
    last_chunk = chunks[-1] if chunks else {}
    finish_reasons = [choice["finish_reason"] for choice in choices if choice.get("finish_reason")]
    return {
        "id": last_chunk.get("id", f"chatcmpl-{request_id}"),
        "object": "chat.completion",
        "created": last_chunk.get("created", int(time.time())),
        "model": last_chunk.get("model", ""),
        "choices": [
            {
                "index": 0,
                "message": {
                    "role": "assistant",
                    "content": "".join(_chunk_text(chunk) for chunk in chunks),
                },
                "finish_reason": finish_reasons[-1] if finish_reasons else "stop",
            }
        ],
        "usage": usage.document(),
    }


def usage_chunk(request_id: str, model: str, usage: Usage) -> bytes:
    """Return the server-sent event that reports the token counts at the end of a stream.

    In the chat-completions format, the chunk of this event has no choices.
    """
    chunk = {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
        "choices": [],
        "usage": usage.document(),
    }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def _decode_chunks(event_blocks: Iterable[bytes]) -> Iterable[dict[str, Any]]:
    """Yield the decoded chunk of each server-sent event.

    An event is ``data:`` with the JSON text of the chunk; a blank line ends it.
    """
    for event in b"".join(event_blocks).split(b"\n\n"):
        if event:
            yield json.loads(event.removeprefix(b"data:"))


def _chunk_text(chunk: dict[str, Any]) -> str:
    """Return the text that a chunk adds to the answer.

    In a choice, ``delta`` is the change of the message and its ``content`` the added text, which
    may be missing or null.
    """
    return "".join(
        choice.get("delta", {}).get("content") or "" for choice in chunk.get("choices", ())
    )
