"""Answers that the stand-in engine generates; they follow from the prompt alone."""

import hashlib
import json
import time
from typing import Any

__all__ = [
    "BAD_MARK",
    "answer_text",
    "answer_word",
    "chunk",
    "prefix_digests",
    "prompt_seed",
    "prompt_tokens",
]

WORDS = ("the", "dune", "gate", "bearing", "waiver", "grease", "is", "ready", "and", "checked")
BAD_MARK = "[WRONG]"
BYTES_PER_TOKEN = 4
DIGEST_CHARS = 16


def prefix_digests(messages: list[dict[str, Any]]) -> tuple[str, ...]:
    """Return one digest for each prefix of the conversation, shortest first."""
    running = hashlib.sha256()
    digests = []
    for message in messages:
        running.update(json.dumps(message, sort_keys=True).encode() + b"\n")
        digests.append(running.copy().hexdigest()[:DIGEST_CHARS])
    return tuple(digests)


def prompt_seed(messages: list[dict[str, Any]]) -> int:
    """Return a number that follows from the texts of the whole prompt."""
    texts = [[message.get("role"), message.get("content")] for message in messages]
    return int.from_bytes(hashlib.sha256(json.dumps(texts).encode()).digest()[:4])


def prompt_tokens(messages: list[dict[str, Any]]) -> int:
    """Return the estimated number of tokens of a prompt."""
    return 1 + len(json.dumps(messages)) // BYTES_PER_TOKEN


def answer_word(seed: int, index: int) -> str:
    """Return one token of the answer, so that a resumed stream continues the same answer."""
    return WORDS[(seed + index * (1 + seed % 7)) % len(WORDS)] + " "


def answer_text(messages: list[dict[str, Any]], tokens: int) -> str:
    """Return the whole answer to a prompt; tests compare what a caller got with it."""
    seed = prompt_seed(messages)
    return "".join(answer_word(seed, index) for index in range(tokens))


def chunk(request_id: str, model: str, index: int, text: str, last: bool) -> bytes:
    """Return one server-sent event that carries one token."""
    document = {
        "id": f"chatcmpl-{request_id}",
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
        "choices": [
            {
                "index": 0,
                "delta": {"content": text},
                "finish_reason": "stop" if last else None,
            }
        ],
        "token_index": index,
    }
    return b"data: " + json.dumps(document).encode() + b"\n\n"
