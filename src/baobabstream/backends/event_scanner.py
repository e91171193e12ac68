"""Checks the server-sent events of an answer and counts its tokens without decoding each event.

A chunk is the JSON object in one event of a streamed chat completion. Its ``id`` field names the
request that it answers. The chunk that ends the answer holds a finish reason, which says why the
model stopped. The final event, ``data: [DONE]``, holds no chunk; error texts call it the final
marker. A block consists of one or more complete events.

An engine is a backend server that runs a language model, and an attempt is one dispatch of a
caller's request to an engine. A token is the unit of text that a model generates.
"""

import json
from typing import Any, NamedTuple

from baobabstream.backends.attempt_error import AttemptError
from baobabstream.policy.events import FailureKind

__all__ = ["EventScanner", "StreamPart"]

# Event by which an engine marks the end of a stream.
FINAL_EVENT = b"data: [DONE]\n\n"
# Blank line that ends each event.
EVENT_END = b"\n\n"
# Limits the memory that a stream without event boundaries can fill.
MAX_EVENT_BYTES = 1024 * 1024
_DATA_PREFIX = b"data:"
# Separators that JSON encoders write between the name and the value of a field.
_FIELD_SEPARATORS = (b": ", b":")


class StreamPart(NamedTuple):
    """Some complete events of an answer.

    Parameters
    ----------
    data
        Bytes of the events, without the final event.
    token_count
        Number of events that carry a token.
    is_last
        Whether the final event followed them.
    """

    data: bytes
    token_count: int
    is_last: bool


class EventScanner:
    """Splits the bytes of an answer at event boundaries and checks that its events belong to it.

    Parameters
    ----------
    request_id, attempt
        Request and attempt that the ``id`` of each chunk must name.

    Notes
    -----
    Quotes inside a JSON string are escaped, so the bytes of ``"id": "..."`` can only be a field.
    If a block contains these bytes as often as it contains events, each event carries the
    identity. Only blocks in which the two counts differ are decoded event by event. All fields of
    a stream are assumed to have the same separator (``": "`` or ``":"``) between name and value.
    """

    def __init__(self, request_id: str, attempt: int) -> None:
        # Engines may name only the request, and may put "chatcmpl-" before the identity, as is
        # usual in the chat-completions format.
        accepted_ids = (request_id, f"{request_id}.{attempt}")
        self._identities = {
            identity
            for accepted_id in accepted_ids
            for identity in (accepted_id, f"chatcmpl-{accepted_id}")
        }
        # Byte patterns of the fields for identity, text and finish reason, the last two up to the
        # opening quote of the value. They are empty until the first chunk has been decoded.
        self._identity_field = b""
        self._text_field = b""
        self._finish_field = b""
        # Received bytes after the last complete event.
        self._incomplete_event = b""
        self._has_finish_reason = False

    def feed(self, data: bytes) -> StreamPart | None:
        """Process received bytes and return the events that they complete, or None.

        Raises
        ------
        AttemptError
            If an event is malformed, too long, belongs to another answer or follows the end of
            this one.
        """
        data = self._incomplete_event + data if self._incomplete_event else data
        # The event format allows lines to end with CR LF.
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        # Index after the last complete event; 0 if there is none.
        events_end = data.rfind(EVENT_END) + len(EVENT_END)
        if events_end < len(EVENT_END):
            events_end = 0
        self._incomplete_event = data[events_end:]
        if len(self._incomplete_event) > MAX_EVENT_BYTES:
            raise _stream_error("an event is over the size limit")
        return self._scan_block(data[:events_end]) if events_end else None

    def _scan_block(self, block: bytes) -> StreamPart:
        """Check a block and return its events, without the final event.

        The final event counts only as the whole block or right after another event, so that a line
        that merely ends with the same bytes is not taken for it.
        """
        is_last = block.endswith(FINAL_EVENT) and (
            len(block) == len(FINAL_EVENT) or block[: -len(FINAL_EVENT)].endswith(EVENT_END)
        )
        if is_last:
            block = block[: -len(FINAL_EVENT)]
            if self._incomplete_event:
                raise _stream_error("data after the final marker")
        if not block:
            return StreamPart(b"", 0, is_last)
        identity_field = self._identity_field
        if not identity_field or block.count(identity_field) != block.count(EVENT_END):
            block, has_final_event = self._decode_events(block)
            is_last = is_last or has_final_event
        return StreamPart(block, self._check_and_count_tokens(block) if block else 0, is_last)

    def _check_and_count_tokens(self, block: bytes) -> int:
        """Return the number of tokens in a block.

        Raises AttemptError if a token follows the finish reason: the answer is over then, so that
        the token does not belong to it.
        """
        token_count = self._count_token_events(block)
        if token_count and self._has_finish_reason:
            raise _stream_error("tokens after the end of the answer")
        finish_position = block.find(self._finish_field)
        if finish_position >= 0:
            self._has_finish_reason = True
            if self._count_token_events(block[block.find(EVENT_END, finish_position) :]):
                raise _stream_error("tokens after the end of the answer")
        return token_count

    def _count_token_events(self, block: bytes) -> int:
        """Return the number of events with non-empty text; each carries one token."""
        # The text is empty if a quote directly follows the opening one.
        field = self._text_field
        return block.count(field) - block.count(field + b'"')

    def _decode_events(self, block: bytes) -> tuple[bytes, bool]:
        """Check each event of a block by decoding it.

        Returns the events with data, each as ``data: `` and its payload, and whether the final
        event was among them. Other events, such as comments, are dropped.
        """
        checked_events: list[bytes] = []
        for event in block[: -len(EVENT_END)].split(EVENT_END):
            if not event.startswith(_DATA_PREFIX):
                continue
            payload = event[len(_DATA_PREFIX) :].strip()
            if payload == b"[DONE]":
                return b"".join(checked_events), True
            self._check_chunk(payload)
            checked_events.append(b"data: " + payload + EVENT_END)
        return b"".join(checked_events), False

    def _check_chunk(self, payload: bytes) -> None:
        """Check the identity of one chunk and store the byte patterns of its fields.

        The patterns make it possible to check later chunks without decoding them. ``payload`` is
        the JSON text of one event. Raises AttemptError if it is not a chunk of this answer.
        """
        try:
            chunk: Any = json.loads(payload)
        except (ValueError, RecursionError) as error:
            raise AttemptError(FailureKind.ERROR, "the answer is not JSON") from error
        identity = chunk.get("id") if isinstance(chunk, dict) else None
        if isinstance(chunk, dict) and "error" in chunk:
            raise AttemptError(FailureKind.ERROR, "error inside the stream")
        if not isinstance(identity, str) or identity not in self._identities:
            raise _stream_error("the chunk belongs to another answer")
        for separator in _FIELD_SEPARATORS:
            field = b'"id"' + separator + b'"' + identity.encode() + b'"'
            if payload.count(field) == 1:
                self._identity_field = field
                self._text_field = b'"content"' + separator + b'"'
                self._finish_field = b'"finish_reason"' + separator + b'"'
                return
        raise AttemptError(FailureKind.ERROR, "the chunk has an unknown layout")


def _stream_error(detail: str) -> AttemptError:
    """Return the error for a stream that does not follow the protocol."""
    return AttemptError(FailureKind.ERROR, detail)
