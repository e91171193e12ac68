"""Answers that the stand-in engine generates; they follow from the prompt alone."""

import hashlib
import json
import time
from typing import Any

__all__ = [
    "BAD_MARK",
    "ChunkWriter",
    "answer_text",
    "answer_word",
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


class ChunkWriter:
    """Makes the server-sent events of one answer, each of which carries one token.

    Parameters
    ----------
    request_id
        Identity of the request, as its sender gave it.
    model
        Model and version that answer.
    """

    def __init__(self, request_id: str, model: str) -> None:
        head = json.dumps(
            {
                "id": f"chatcmpl-{request_id}",
                "object": "chat.completion.chunk",
                "created": int(time.time()),
                "model": model,
            }
        )
        # Only token, index and end differ between the events of an answer.
        self._head = f'data: {head[:-1]}, "choices": [{{"index": 0, "delta": {{"content": '

    def chunk(self, index: int, text: str, last: bool) -> bytes:
        """Return the event of one token."""
        reason = '"stop"' if last else "null"
        tail = f'}}, "finish_reason": {reason}}}], "token_index": {index}}}'
        return f"{self._head}{json.dumps(text)}{tail}\n\n".encode()
