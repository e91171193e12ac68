"""Finds where another answer begins inside a body that only the end of its connection ends.

A faulty server may write a second answer after a complete one, or an error after a part of one. If
the body has a length or chunks, its end is known; otherwise the second answer, with its status line
and headers, would count as more of the body. It is recognised by a whole head that names the
request, which no proper body contains.
"""

import re

__all__ = ["RepeatedAnswerScanner"]

# Bytes with which each HTTP/1 status line begins.
STATUS_LINE_START = b"HTTP/1."
# Characters of header names.
_NAME = "[!#-'*+.^_`|~0-9A-Za-z-]"
_HEADER_LINE = rf"{_NAME}+:[^\r\n]*\r\n"
# A status line, and as many headers as follow it without other bytes between them.
_HEAD_PART = re.compile(rf"HTTP/1\.[01] (\d{{3}})[^\r\n]*(?:\r\n((?:{_HEADER_LINE})*))?".encode())
# Empty line that ends a head.
_HEAD_END = b"\r\n"
# Any bytes that may be the begin of such a head, up to the end of what has arrived.
_HEAD_BEGIN = re.compile(
    (
        rf"HTTP/1\.(?:[01](?: (?:\d{{0,2}}|\d{{3}}[^\r\n]*(?:\r|\r\n(?:{_HEADER_LINE})*"
        rf"(?:{_NAME}*|{_NAME}+:[^\r\n]*\r?|\r))?))?)?\Z"
    ).encode()
)
# Longest head; more bytes than this are part of the body.
MAX_HEAD_BYTES = 16 * 1024


class RepeatedAnswerScanner:
    """Passes the bytes of one body on until another answer begins.

    Bytes that may be the begin of a head are held back until enough of it has arrived.

    Parameters
    ----------
    request_id_header
        Lower-case name of the header in which an answer repeats the identity of its request.
    request_ids
        Identities of the requests whose answers may come again.

    Attributes
    ----------
    repeated_status
        HTTP status of the other answer, or None as long as none has begun.
    """

    def __init__(self, request_id_header: str, request_ids: frozenset[str]) -> None:
        self.repeated_status: int | None = None
        self._id_field = request_id_header.encode("latin-1") + b":"
        self._request_ids = frozenset(name.encode("latin-1", "replace") for name in request_ids)
        self._held_back = b""

    @property
    def has_partial_head(self) -> bool:
        """Whether the bytes so far end with what may be a part of another answer."""
        return len(self._held_back) >= len(STATUS_LINE_START)

    def feed(self, data: bytes) -> bytes:
        """Return those of the received bytes, and of the ones held back, that are the body's.

        The bytes from the begin of another answer on are dropped.
        """
        if self.repeated_status is not None:
            return b""
        data = self._held_back + data
        self._held_back = b""
        position = 0
        while (start := _find_possible_start(data, position)) >= 0:
            part = _HEAD_PART.match(data, start)
            end = part.end() if part is not None else start
            if part is not None and part.group(2) and data.startswith(_HEAD_END, end):
                if self._names_request(part.group(2)):
                    self.repeated_status = int(part.group(1))
                    return data[:start]
            elif _may_become_head(data, start):
                if len(data) - start <= MAX_HEAD_BYTES:
                    self._held_back = data[start:]
                    return data[:start]
                # Too long for a head, but its end may be the begin of another one.
                position = max(start + 1, len(data) - MAX_HEAD_BYTES)
                continue
            # A status line inside this part has the same headers after it, so that it is no head
            # of an answer either. Looking there again would take time with the square of the bytes.
            position = max(end, start + 1)
        return data

    def finish(self) -> bytes:
        """Return the bytes that were held back, as the body has ended."""
        rest, self._held_back = self._held_back, b""
        return rest

    def _names_request(self, header_lines: bytes) -> bool:
        """Return whether one of the headers of a head names one of the requests."""
        return any(
            line[len(self._id_field) :].strip() in self._request_ids
            for line in header_lines.split(b"\r\n")
            if line.lower().startswith(self._id_field)
        )


def _may_become_head(data: bytes, start: int) -> bool:
    """Return whether the bytes from a position on are the begin of a head."""
    if len(data) - start < len(STATUS_LINE_START):
        return True
    return _HEAD_BEGIN.match(data, start) is not None


def _find_possible_start(data: bytes, position: int) -> int:
    """Return where a status line, or the begin of one at the very end, starts; -1 if nowhere."""
    start = data.find(STATUS_LINE_START, position)
    if start >= 0:
        return start
    lengths = range(min(len(STATUS_LINE_START) - 1, len(data) - position), 0, -1)
    length = next((size for size in lengths if data.endswith(STATUS_LINE_START[:size])), 0)
    return len(data) - length if length else -1
