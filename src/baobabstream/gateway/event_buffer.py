"""Splits a stream of server-sent events at event boundaries.

A server-sent event is a group of text lines that an empty line ends. One of the lines may be
``id:`` with the event's identity, by which a caller names the last event that it has received.
"""

import re

__all__ = ["EVENT_END", "EventBuffer", "EventTooLarge", "InvalidEvent"]

# Line break of the last line of an event, and the empty line after it.
EVENT_END = b"\n\n"
# Start of the line with the event's identity.
ID_FIELD = b"id:"
# Start of a line that is no comment; comments begin with a colon.
_FIELD_LINE = re.compile(rb"^[^:\n]", re.MULTILINE)
# Start of a line that is no field, with or without a colon after its name, and no comment.
_INVALID_LINE = re.compile(rb"^(?![A-Za-z0-9_-]*(?::|\r?$))", re.MULTILINE)
# Limits the memory that a stream without event boundaries can fill.
MAX_EVENT_BYTES = 1024 * 1024


class EventTooLarge(Exception):
    """Raised when an event is over the limit on its size."""


class InvalidEvent(Exception):
    """Raised when the bytes of a stream are no event."""


class EventBuffer:
    """Releases only complete events and remembers the identity of the last one.

    Attributes
    ----------
    last_event_id
        Identity of the last complete event that had one, or empty.
    has_invalid_event
        Whether the bytes after the released events are no event.

    Notes
    -----
    A part of an event is buffered until the rest has arrived, so that a caller never receives an
    incomplete event, and another server can continue after the last complete one. Comments and
    blank lines are released together with the next event, since a server that sends nothing else
    makes no progress. A faulty server may write an error, or another answer, into its stream; the
    events before it are released.
    """

    def __init__(self) -> None:
        self.last_event_id = ""
        self.has_invalid_event = False
        # Bytes received after the end of the last complete event.
        self._partial_event = b""
        # Number of them that are comments and blank lines, and need not be searched again.
        self._comment_bytes = 0

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes that are buffered."""
        return len(self._partial_event)

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event is buffered; comments and blank lines are no part of one."""
        return _FIELD_LINE.search(self._partial_event) is not None

    def take_comments(self) -> bytes:
        """Return and forget the comments and blank lines after the last event of a whole stream."""
        comments, self._partial_event = self._partial_event, b""
        self._comment_bytes = 0
        return comments

    def drop_partial_event(self) -> None:
        """Forget the buffered bytes; `feed` must not be called any more."""
        self._partial_event = b""

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events that are now complete, or nothing.

        Raises
        ------
        EventTooLarge
            If more than ``MAX_EVENT_BYTES`` have arrived since the last complete event.
        InvalidEvent
            If the next bytes are no event.
        """
        # The end of an event may be split between the buffered and the received bytes.
        search_start = max(0, len(self._partial_event) - len(EVENT_END) + 1)
        data = self._partial_event + data
        last_end = data.rfind(EVENT_END, search_start)
        if last_end < 0 or _FIELD_LINE.search(data, self._comment_bytes, last_end + 1) is None:
            if len(data) > MAX_EVENT_BYTES:
                raise EventTooLarge
            self._partial_event = data
            if last_end >= 0:
                self._comment_bytes = last_end + len(EVENT_END)
            return b""
        self._comment_bytes = 0
        end = last_end + len(EVENT_END)
        invalid_line = _INVALID_LINE.search(data, 0, end)
        if invalid_line is not None:
            last_end = data.rfind(EVENT_END, 0, invalid_line.start())
            if last_end < 0:
                raise InvalidEvent
            end = last_end + len(EVENT_END)
            self.has_invalid_event = True
        events, self._partial_event = data[:end], data[end:]
        self._update_last_event_id(events)
        return events

    def _update_last_event_id(self, events: bytes) -> None:
        """Store the value of the last ``id`` field in complete events, if there is one."""
        # Start of the last ``id`` line. If no line break precedes one, rfind gives -1 and the sum
        # is 0, which is right if the events begin with the line.
        id_start = events.rfind(b"\n" + ID_FIELD) + 1
        if id_start == 0 and not events.startswith(ID_FIELD):
            return
        id_value = events[id_start + len(ID_FIELD) : events.find(b"\n", id_start)]
        # Latin-1 decodes any bytes, one character each, so the identity is kept whatever it is.
        self.last_event_id = id_value.strip().decode("latin-1")
