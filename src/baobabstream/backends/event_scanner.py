"""Checks and counts the server-sent events of an answer without decoding each one."""

import json
from dataclasses import dataclass
from typing import Any

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.policy.events import FailureKind

__all__ = ["EventScanner", "StreamPart"]

DONE = b"data: [DONE]\n\n"
EVENT_END = b"\n\n"
# Longest event accepted; a stream without event boundaries must not fill the memory.
MAX_EVENT_BYTES = 1024 * 1024
_DATA = b"data:"
_TEXT_FIELDS = (b'"content": "', b'"content":"')
_EMPTY_TEXT_FIELDS = (b'"content": ""', b'"content":""')
_FINISH_FIELDS = (b'"finish_reason": "', b'"finish_reason":"')


@dataclass(frozen=True, slots=True)
class StreamPart:
    """Whole server-sent events, how many of them carry a token, and whether the answer ended."""

    data: bytes
    tokens: int
    done: bool


class EventScanner:
    """Cuts the bytes of an answer at event boundaries and checks whose answer they are.

    Parameters
    ----------
    request_id, attempt
        Identity that the ``id`` of each chunk must carry.

    Notes
    -----
    Quotes inside a JSON string are escaped, so the bytes of ``"id": "..."`` can only be a field.
    Counting these bytes therefore tells whether each event carries the identity. Only blocks in
    which the counts differ are decoded event by event.
    """

    def __init__(self, request_id: str, attempt: int) -> None:
        names = (request_id, f"{request_id}.{attempt}")
        self._identities = {name for item in names for name in (item, f"chatcmpl-{item}")}
        self._identity_field = b""
        self._rest = b""
        self._finished = False

    def feed(self, data: bytes) -> StreamPart | None:
        """Take bytes as received; return the events that are now whole, or None.

        Raises
        ------
        AttemptError
            If an event belongs to another answer or follows the end of this one.
        """
        data = self._rest + data if self._rest else data
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        end = data.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            end = 0
        self._rest = data[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise _foreign("an event is over the size limit")
        return self._scan(data[:end]) if end else None

    def _scan(self, block: bytes) -> StreamPart:
        done = block.endswith(DONE) and (
            len(block) == len(DONE) or block[: -len(DONE)].endswith(EVENT_END)
        )
        if done:
            block = block[: -len(DONE)]
            if self._rest:
                raise _foreign("data after the final marker")
        if not block:
            return StreamPart(b"", 0, done)
        known = self._identity_field
        if not known or block.count(known) != block.count(EVENT_END):
            block, done_inside = self._decode_each(block)
            done = done or done_inside
        return StreamPart(block, self._count_tokens(block), done)

    def _count_tokens(self, block: bytes) -> int:
        tokens = _count(block, _TEXT_FIELDS) - _count(block, _EMPTY_TEXT_FIELDS)
        if tokens and self._finished:
            raise _foreign("tokens after the end of the answer")
        if _count(block, _FINISH_FIELDS):
            self._finished = True
        return tokens

    def _decode_each(self, block: bytes) -> tuple[bytes, bool]:
        kept: list[bytes] = []
        for event in block[: -len(EVENT_END)].split(EVENT_END):
            if not event.startswith(_DATA):
                continue
            payload = event[len(_DATA) :].strip()
            if payload == b"[DONE]":
                return b"".join(kept), True
            self._check(payload)
            kept.append(b"data: " + payload + EVENT_END)
        return b"".join(kept), False

    def _check(self, payload: bytes) -> None:
        try:
            chunk: Any = json.loads(payload)
        except ValueError as error:
            raise AttemptError(FailureKind.ERROR, "the answer is not JSON") from error
        identity = chunk.get("id") if isinstance(chunk, dict) else None
        if isinstance(chunk, dict) and "error" in chunk:
            raise AttemptError(FailureKind.ERROR, "error inside the stream")
        if not isinstance(identity, str) or identity not in self._identities:
            raise _foreign("the chunk belongs to another answer")
        for separator in (b'"id": "', b'"id":"'):
            field = separator + identity.encode() + b'"'
            if payload.count(field) == 1:
                self._identity_field = field


def _count(block: bytes, fields: tuple[bytes, bytes]) -> int:
    return block.count(fields[0]) + block.count(fields[1])


def _foreign(detail: str) -> AttemptError:
    return AttemptError(FailureKind.ERROR, detail)
