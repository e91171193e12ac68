"""Joins streamed chunks into whole chat completions and makes the usage chunk."""

import json
import time
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

__all__ = ["Answer", "Usage", "join_answer", "usage_chunk"]


@dataclass(frozen=True, slots=True)
class Usage:
    """Token counts of a request."""

    prompt_tokens: int
    completion_tokens: int

    def document(self) -> dict[str, int]:
        """Return the counts in the chat-completions format."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.completion_tokens,
            "total_tokens": self.prompt_tokens + self.completion_tokens,
        }


@dataclass(slots=True)
class Answer:
    """What has been collected of an answer, in the order of its tokens."""

    tokens: int = 0
    parts: list[bytes] = field(default_factory=list)

    def add(self, data: bytes, tokens: int) -> None:
        """Append whole events."""
        self.parts.append(data)
        self.tokens += tokens

    def text(self) -> str:
        """Return the text of the answer."""
        return "".join(_text(chunk) for chunk in _chunks(self.parts))


def join_answer(answer: Answer, request_id: str, usage: Usage) -> dict[str, Any]:
    """Return the whole chat completion made from the streamed parts."""
    chunks = list(_chunks(answer.parts))
    choices = [chunk["choices"][0] for chunk in chunks if chunk.get("choices")]
    last = chunks[-1] if chunks else {}
    reasons = [choice["finish_reason"] for choice in choices if choice.get("finish_reason")]
    return {
        "id": last.get("id", f"chatcmpl-{request_id}"),
        "object": "chat.completion",
        "created": last.get("created", int(time.time())),
        "model": last.get("model", ""),
        "choices": [
            {
                "index": 0,
                "message": {
                    "role": "assistant",
                    "content": "".join(_text(chunk) for chunk in chunks),
                },
                "finish_reason": reasons[-1] if reasons else "stop",
            }
        ],
        "usage": usage.document(),
    }


def usage_chunk(request_id: str, model: str, usage: Usage) -> bytes:
    """Return the event that tells the usage at the end of a stream."""
    chunk = {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
        "choices": [],
        "usage": usage.document(),
    }
    return b"data: " + json.dumps(chunk).encode() + b"\n\n"


def _chunks(parts: Iterable[bytes]) -> Iterable[dict[str, Any]]:
    for event in b"".join(parts).split(b"\n\n"):
        if event:
            yield json.loads(event.removeprefix(b"data:"))


def _text(chunk: dict[str, Any]) -> str:
    return "".join(
        choice.get("delta", {}).get("content") or "" for choice in chunk.get("choices", ())
    )
